package logs

import (
	"log/slog"
	"sync"
	"time"
)

// maxKinds bounds the memory of the rate limiter in case a message has variable content. Further
// kinds share one window.
const maxKinds = 256

// otherKinds stands for all kinds past maxKinds.
var otherKinds = kind{message: "other"}

// kind is the key of a rate limit. Messages are constants of the program, so there are few kinds;
// variable content belongs in attributes.
type kind struct {
	level   slog.Level
	message string
}

// window counts the lines of one kind.
type window struct {
	start   time.Time
	written int // since start
	dropped int // since the last written line
}

// rateLimiter limits the number of lines of each kind within a fixed window.
type rateLimiter struct {
	now func() time.Time

	mu      sync.Mutex // guards windows
	windows map[kind]*window
}

// allow reports whether a line may be written now and, if so, how many lines of its kind were
// dropped since the last written one.
func (r *rateLimiter) allow(k kind, b Block) (dropped int, ok bool) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.windowOf(k, now)
	elapsed := now.Sub(w.start)
	// Without this check a clock that was set back would suppress the kind until it has caught up.
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

// windowOf returns the window of a kind, or the shared one for new kinds past maxKinds.
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
