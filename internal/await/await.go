// Package await waits for results for a bounded time in which the process has turns.
package await

import "time"

// ticks is the number of ticks in a timeout.
const ticks = 20

// Result waits for a result and reports whether it came. It gives up after a number of ticks that
// take the timeout together. While the process has no turn at most one tick passes, so the
// goroutine that is to send the result gets its time. A result that is there is taken, whatever has
// passed.
func Result[T any](results <-chan T, timeout time.Duration) (result T, ok bool) {
	ticker := time.NewTicker(max(1, timeout/ticks))
	defer ticker.Stop()
	return await(results, ticker.C)
}

func await[T any](results <-chan T, passed <-chan time.Time) (result T, ok bool) {
	for range ticks {
		select {
		case result = <-results:
			return result, true
		case <-passed:
		}
	}
	select {
	case result = <-results:
		return result, true
	default:
		return result, false
	}
}
