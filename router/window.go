package router

// slidingWindow holds amounts by the times at which they were added, and sums the recent ones.
type slidingWindow struct {
	times   []float64 // ms, ascending
	amounts []float64 // same indexes as times
	total   float64   // of amounts
}

// add adds an amount at a time (ms) that must not be before the last one.
func (w *slidingWindow) add(at, amount float64) {
	w.times = append(w.times, at)
	w.amounts = append(w.amounts, amount)
	w.total += amount
}

// sumSince is the sum of the amounts from a time (ms) on. It drops the earlier ones, so later calls
// with an earlier time don't include them.
func (w *slidingWindow) sumSince(from float64) float64 {
	for len(w.times) > 0 && w.times[0] < from {
		w.total -= w.amounts[0]
		w.times = w.times[1:]
		w.amounts = w.amounts[1:]
	}
	if len(w.times) == 0 {
		w.total = 0 // removes the accumulated rounding error
	}
	return w.total
}
