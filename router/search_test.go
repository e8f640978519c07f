package router

import (
	"math"
	"math/rand"
	"testing"
)

// A step examines few engines, however many queries are queued and engines are full. The test counts examined
// engines; times are measured by benchmarks.
func TestStepExaminesFewEngines(t *testing.T) {
	for _, c := range []struct {
		engines, queued, most int
		memory                float64 // granted share: 0.95 keeps queries away though threads are free
	}{{10, 2000, 200, 0}, {300, 2000, 1500, 0}, {300, 100, 1500, 0}, {300, 2000, 1500, 0.95}} {
		tr := newTestRouterInFleet(t, cancelCapabilities, 1, c.engines)
		tr.step(newQuery(1))
		for _, e := range tr.r.engineList {
			tr.r.recordReport(e, &LoadReport{Inflight: 1, Utilization: 0.5, Disk: 0.5, Memory: c.memory})
		}
		id := QueryID(1)
		for tr.r.queue.length < c.queued {
			var events []Event
			for range 100 {
				id++
				ev := newQuery(id)
				ev.TimeLeft = 1e6
				ev.Tables = TableGroup(id % 20)
				events = append(events, ev)
			}
			tr.step(events...)
		}
		before := tr.r.search.boundsExamined
		steps := 20
		for range steps {
			id++
			ev := newQuery(id)
			ev.TimeLeft = 1e6
			ev.Tables = TableGroup(id % 20)
			tr.step(ev)
		}
		if examined := (tr.r.search.boundsExamined - before) / steps; examined > c.most {
			t.Errorf("%+v: a step examined %d engines, more than allowed", c, examined)
		}
	}
}

// Under random events, bounds hold until the next periodic run: no score is below its lower bound, and no
// engine that is bounded as full has capacity.
func TestSearchBoundsHold(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		controllers := 1 + rng.Intn(4)*rng.Intn(20)
		tr := newTestRouterInFleet(t, cancelCapabilities, controllers, 12)
		outstanding := map[QueryID]bool{}
		id := QueryID(0)
		for range 300 {
			var events []Event
			for range rng.Intn(4) {
				id++
				ev := newQuery(id)
				ev.Tables = TableGroup(rng.Intn(5))
				ev.EstimatedWork = 200 * rng.Float64()
				events = append(events, ev)
			}
			for _, outcome := range []Outcome{Succeeded, Succeeded, Errored, EngineFull, ConnectionReset} {
				if at := QueryID(rng.Intn(int(id) + 1)); outstanding[at] {
					delete(outstanding, at)
					ev := attemptEnded(at, 0, outcome)
					ev.Elapsed = 300 * rng.Float64()
					ev.QueryDone = true
					ev.Load = &LoadReport{Inflight: 30 * rng.Float64(), Utilization: rng.Float64(), Memory: rng.Float64()}
					events = append(events, ev, AttemptProgress{ID: at, Kind: ProgressDone, Value: rng.Float64()})
				}
			}
			if rng.Intn(40) == 0 {
				e := tr.r.engineList[rng.Intn(len(tr.r.engineList))]
				events = append(events, EndpointsUpdated{Endpoints: []Endpoint{{Engine: e.id, Kind: e.kind,
					Zone: e.zone, StartedAt: tr.now}}})
			}
			tr.now += 12 * rng.Float64()
			for _, action := range tr.step(events...) {
				if s, ok := action.(StartAttempt); ok {
					outstanding[s.ID] = true
				}
			}
			if tr.r.traffic.othersPerCore.mean(tr.r.now, 0, 1) < tr.r.search.minOthersPerCore {
				tr.r.updateAllBounds() // as dispatch does before a selection
			}
			q := &query{class: tr.r.classes[0], tables: tr.r.tableGroupOf(TableGroup(rng.Intn(5)))}
			trafficShare := tr.r.trafficShare()
			bounds, least := tr.r.scoreLowerBounds(q, tr.r.engineList, tr.r.capacityBound(1, trafficShare))
			for i, e := range tr.r.engineList {
				score := tr.r.placementScore(q, e)
				hasCapacity := tr.r.hasCapacity(q, e, 1) && e.state == Ready
				if full := math.IsInf(bounds[i], 1); !full && bounds[i] > score || full && hasCapacity {
					t.Fatalf("seed %d, %s: score %v violates bound %v (capacity: %v)", seed, e.id,
						score, bounds[i], hasCapacity)
				}
				if bounds[i] < bounds[least] {
					t.Fatalf("seed %d: the bound at the returned index %d is not the lowest", seed, least)
				}
			}
		}
	}
}
