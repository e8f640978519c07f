package restart

import (
	"math"
	"strings"
	"testing"

	"mintkeel/router"
)

// Differences are taken by seed, so noise that all variants of a seed share does not widen the interval.
func TestSummarize(t *testing.T) {
	var all []map[Variant]Outcome
	for _, noise := range []float64{-0.2, 0, 0.2} {
		all = append(all, map[Variant]Outcome{Unbroken: {Benefit: 0.7 + noise}, Without: {Benefit: 0.5 + noise},
			With: {Benefit: 0.65 + noise}, Aged: {Benefit: 0.5 + 2*noise}})
	}
	sums := Summarize(all)
	if s := sums[With]; math.Abs(s.OverWithout-0.15) > 1e-9 || s.Interval > 1e-9 || math.Abs(s.GapShare-0.75) > 1e-9 {
		t.Errorf("summary %+v, want 0.15 over without, an interval of 0 and 0.75 of the gap", s)
	}
	if s := sums[Aged]; math.Abs(s.OverWithout) > 1e-9 || math.Abs(s.Interval-4.30*0.2/math.Sqrt(3)) > 1e-3 {
		t.Errorf("summary %+v, want 0 over without and the interval of differences -0.2, 0 and 0.2", s)
	}
	if table := Table(sums); strings.Count(table, "\n") != len(Variants())+2 || !strings.Contains(table, "| with | 0.650 |") {
		t.Error(table)
	}
}

// The times of all kinds of records are shifted, so that their ages stay consistent.
func TestShift(t *testing.T) {
	l := router.Statistics{Engines: make([]router.EngineStatistics, 1), Tables: make([]router.TableStatistics, 1),
		Classes: make([]router.ClassStatistics, 1), Traffic: make([]router.TrafficStatistics, 1)}
	shiftTimes(&l, func(at float64) float64 { return at + 5 })
	if l.Engines[0].At+l.Tables[0].At+l.Classes[0].At+l.Traffic[0].At != 20 {
		t.Errorf("shifted by 5: %+v, want time 5 in each record", l)
	}
}
