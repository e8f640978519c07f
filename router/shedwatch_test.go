package router

import (
	"math/rand"
	"slices"
	"testing"
)

// The run times of a class change at random while queries are queued. The alarms of the shed watch find
// exactly the queries that are past their shed deadline.
func TestShedWatchFindsTheOverdue(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		class := lookupClass
		class.ObjectivePerWork = 4 * rng.Float64()
		class.LateBenefit = rng.Float64()
		tr := newTestRouter(t, class, cancelCapabilities, slowStartLimits) // no engine: all are queued
		r := tr.r
		for id := range QueryID(200) {
			ev := newQuery(id + 1)
			ev.EstimatedWork = []float64{0, 300 * rng.Float64(), 3000 * rng.Float64()}[rng.Intn(3)]
			ev.TimeLeft = 500 + 4500*rng.Float64()
			tr.step(ev)
			q := r.classes[0]
			q.bestUnitTime = []float64{0, q.bestUnitTime, 2 * rng.Float64(), 50 * rng.Float64()}[rng.Intn(4)]
			q.logSlowdown.add(r.now, 3*rng.Float64(), 1)
			q.workScale.add(r.now, 2*rng.Float64(), 1)
			r.now++ // so that no query is examined twice at the same time
			var want []QueryID
			for _, q := range r.queries {
				if q.queued && r.now > r.shedDeadline(q) {
					want = append(want, q.id)
				}
			}
			var got []QueryID
			for _, q := range r.overdueQueries() {
				got = append(got, q.id)
			}
			slices.Sort(want)
			slices.Sort(got)
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, at %v ms: overdue queries %v, want %v", seed, r.now, got, want)
			}
			r.now += 60 * rng.Float64()
			tr.now = max(tr.now, r.now)
		}
	}
}
