package controller

import "time"

// Clock returns the time in milliseconds since 1970. It is monotonic.
type Clock func() float64

// SystemClock returns a clock that starts at the system time and advances with the monotonic clock,
// so that later adjustments of the system time don't affect it.
func SystemClock() Clock {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e6
	return func() float64 { return base + milliseconds(time.Since(start)) }
}

// milliseconds converts a duration to the module's unit of time.
func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }

// duration converts a time from the module's unit.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
