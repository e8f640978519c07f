package controller

import "time"

// Clock returns the time in milliseconds since 1970. It never goes back.
type Clock func() float64

// SystemClock returns a clock that starts at the system's time and runs by the monotonic clock.
func SystemClock() Clock {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e6
	return func() float64 { return base + milliseconds(time.Since(start)) }
}

// milliseconds converts to the module's unit of time.
func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

// duration converts from the module's unit of time.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
