package hollow

import "sync"

// limiter bounds how many controllers run at a time.
type limiter struct {
	mu      sync.Mutex
	changed *sync.Cond
	free    int
}

func newLimiter(size int) *limiter {
	r := &limiter{free: size}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// acquire waits until there is room for so many.
func (r *limiter) acquire(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.free < size {
		r.changed.Wait()
	}
	r.free -= size
}

// release gives room back.
func (r *limiter) release(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += size
	r.changed.Broadcast()
}
