package logs

import (
	"log/slog"
	"sync"
	"time"
)

// maxKinds bounds the memory of the rate limiter in case a message holds something that varies.
// Further kinds share one window.
const maxKinds = 256

// otherKinds is the kind of lines past maxKinds.
var otherKinds = kind{message: "other"}

// kind is what a rate limit applies to. Messages are constants of the program, so there are few
// kinds; what varies belongs in attributes.
type kind struct {
	level   slog.Level
	message string
}

// window counts lines of one kind.
type window struct {
	start   time.Time
	written int // since start
	dropped int // since the last line that was written
}

// rateLimiter limits lines of each kind to a number within a fixed window.
type rateLimiter struct {
	now func() time.Time

	mu      sync.Mutex // guards windows
	windows map[kind]*window
}

// allow reports whether a line may be written now, and how many lines of its kind were dropped
// since the last one that was written.
func (r *rateLimiter) allow(k kind, b Block) (dropped int, ok bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windowOf(k, now)
	elapsed := now.Sub(w.start)
	// Without this check the kind would be silent until a clock that was set back has caught up.
	clockSetBack := elapsed < 0
	if elapsed >= b.Every || clockSetBack {
		w.start = now
		w.written = 0
	}
	if w.written >= b.Burst {
		w.dropped++
		return 0, false
	}
	w.written++
	dropped = w.dropped
	w.dropped = 0
	return dropped, true
}

// windowOf returns the window of a kind, or the shared one if there are too many kinds.
func (r *rateLimiter) windowOf(k kind, now time.Time) *window {
	if w := r.windows[k]; w != nil {
		return w
	}
	if len(r.windows) >= maxKinds {
		k = otherKinds
	}
	w := r.windows[k]
	if w == nil {
		w = &window{start: now}
		r.windows[k] = w
	}
	return w
}
