package hollow

import "sync"

// room bounds how many controllers run at a time.
type room struct {
	mu      sync.Mutex
	changed *sync.Cond
	free    int
}

func newRoom(size int) *room {
	r := &room{free: size}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// take waits until there is room for so many.
func (r *room) take(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.free < size {
		r.changed.Wait()
	}
	r.free -= size
}

// give gives room back.
func (r *room) give(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += size
	r.changed.Broadcast()
}
