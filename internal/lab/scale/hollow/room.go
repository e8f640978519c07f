package hollow

import "sync"

// limiter is a semaphore that bounds how many controllers run at a time.
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

// acquire waits until size controllers may run, and reserves them.
func (r *limiter) acquire(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.free < size {
		r.changed.Wait()
	}
	r.free -= size
}

// release returns a reservation.
func (r *limiter) release(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += size
	r.changed.Broadcast()
}
