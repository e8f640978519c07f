package eventqueue

import (
	"cmp"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// TestOrder adds and removes events at random and compares their order with that of a stably sorted list.
func TestOrder(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	type entry struct {
		at     float64
		number int
	}
	var q Queue
	var expected []entry
	var got []int
	for number := range 5000 {
		at := float64(rng.Intn(50)) // many events share a time
		q.Add(at, func() { got = append(got, number) })
		expected = append(expected, entry{at, number})
		if rng.Intn(3) > 0 {
			continue
		}
		slices.SortStableFunc(expected, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
		if q.NextTime() != expected[0].at {
			t.Fatalf("next event is at %g ms, want %g", q.NextTime(), expected[0].at)
		}
		q.Pop().Run()
		if last := got[len(got)-1]; last != expected[0].number {
			t.Fatalf("got event %d, want %d", last, expected[0].number)
		}
		expected = expected[1:]
	}
	for range expected {
		q.Pop()
	}
	if !math.IsInf(q.NextTime(), 1) {
		t.Errorf("next event of an empty queue is at %g ms, want +Inf", q.NextTime())
	}
}
