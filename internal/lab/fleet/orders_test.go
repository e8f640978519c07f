package fleet

import (
	"math"
	"testing"
)

// Every policy takes all engines out; the settled order loses less than those that take no care, and comes near the best
// order of all where that can be told.
func TestOrders(t *testing.T) {
	lost := map[Policy]float64{}
	for seed := range int64(8) {
		for _, p := range Policies() {
			l, took, most := TakeAll(seed, 10, 0.55, p, 2, 1500)
			if lost[p] += l; math.IsInf(took, 1) {
				t.Errorf("%v, seed %d: not all were taken", p, seed)
			}
			if p == Planned && most > 2 {
				t.Errorf("seed %d: %d were out at once", seed, most)
			}
		}
	}
	if lost[Planned] >= lost[AllAllowed] || lost[Planned] >= lost[EachAlone] {
		t.Errorf("lost %v", lost)
	}
	best, ours := 0.0, 0.0
	for seed := range int64(3) {
		b, o := BestOrder(seed, 4, 0.6)
		best, ours = best+b, ours+o
	}
	if ours > best+0.01 {
		t.Errorf("it loses %.4f, the best order %.4f", ours/3, best/3)
	}
}

// Nine of ten forecasts hold the real end.
func TestForecasts(t *testing.T) {
	held, of := 0, 0
	for seed := range int64(10) {
		for _, n := range []int{10, 40} {
			h, o := Forecasts(seed, n, 0.55)
			held, of = held+h, of+o
		}
	}
	t.Logf("%d of %d", held, of)
	if of < 200 || float64(held) < 0.85*float64(of) {
		t.Errorf("%d of %d forecasts held", held, of)
	}
}
