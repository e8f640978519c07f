package fleet

import (
	"math"
	"testing"
)

// Every policy takes all engines out. The planned order loses less benefit than taking out as many as allowed and than
// independent timers, and over three small fleets at most 0.01 more than the best orders.
func TestOrders(t *testing.T) {
	lost := map[Policy]float64{}
	for seed := range int64(8) {
		for _, p := range Policies() {
			l, took, most := TakeAll(seed, 10, 0.55, p, 2, 1500)
			if lost[p] += l; math.IsInf(took, 1) {
				t.Errorf("%v, seed %d: not all engines were taken out within 1500 s", p, seed)
			}
			if p == Planned && most > 2 {
				t.Errorf("seed %d: %d engines were out at once, want 2 at most", seed, most)
			}
		}
	}
	if lost[Planned] >= lost[AllAllowed] || lost[Planned] >= lost[EachAlone] {
		t.Errorf("lost benefit by policy: %v; want less in the planned order than with as many as allowed or with timers", lost)
	}
	best, ours := 0.0, 0.0
	for seed := range int64(3) {
		b, o := BestOrder(seed, 4, 0.6)
		best, ours = best+b, ours+o
	}
	if ours > best+0.01 {
		t.Errorf("the planned order loses %.4f on average, the best order %.4f", ours/3, best/3)
	}
}

// Nine of ten forecasts are meant to contain the real end; the test demands 85% of at least 200.
func TestForecasts(t *testing.T) {
	held, of := 0, 0
	for seed := range int64(10) {
		for _, n := range []int{10, 40} {
			h, o := Forecasts(seed, n, 0.55)
			held, of = held+h, of+o
		}
	}
	t.Logf("%d of %d forecasts contain the real end", held, of)
	if of < 200 || float64(held) < 0.85*float64(of) {
		t.Errorf("%d of %d forecasts contain the real end, want 85%% of at least 200", held, of)
	}
}
