package router

// slidingWindow are amounts at times within a sliding window.
type slidingWindow struct {
	times, amounts []float64
	total          float64
}

func (s *slidingWindow) add(at, amount float64) {
	s.times, s.amounts, s.total = append(s.times, at), append(s.amounts, amount), s.total+amount
}

// sumSince is the sum of what came at from or later; what came before is dropped.
func (s *slidingWindow) sumSince(from float64) float64 {
	for len(s.times) > 0 && s.times[0] < from {
		s.total -= s.amounts[0]
		s.times, s.amounts = s.times[1:], s.amounts[1:]
	}
	if len(s.times) == 0 {
		s.total = 0
	}
	return s.total
}
