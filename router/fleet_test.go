package router

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// However many are held and however many engines are full, one step looks at few: costs are asserted by
// counts, as times belong to benchmarks.
func TestLooksAtFew(t *testing.T) {
	for _, c := range []struct {
		engines, held, most int
		memory              float64 // granted: 0.95 keeps commands away though threads are free
	}{{10, 2000, 200, 0}, {300, 2000, 1500, 0}, {300, 100, 1500, 0}, {300, 2000, 1500, 0.95}} {
		d := crowd(t, loose, 1, c.engines)
		d.step(command1(1))
		for _, e := range d.r.engineList {
			d.r.recordReport(e, &LoadReport{Inflight: 1, Utilization: 0.5, Disk: 0.5, Memory: c.memory})
		}
		id := QueryID(1)
		for d.r.queue.length < c.held {
			var events []Event
			for range 100 {
				id++
				ev := command1(id)
				ev.TimeLeft, ev.Tables = 1e6, TableGroup(id%20)
				events = append(events, ev)
			}
			d.step(events...)
		}
		before, steps := d.r.search.boundsExamined, 20
		for range steps {
			id++
			ev := command1(id)
			ev.TimeLeft, ev.Tables = 1e6, TableGroup(id%20)
			d.step(ev)
		}
		if looked := (d.r.search.boundsExamined - before) / steps; looked > c.most {
			t.Errorf("%+v: a step looked at %d engines", c, looked)
		}
	}
}

// The bounds hold: whatever happens, until the next tend no exact figure passes its bound. What is drawn is
// events, not the engines' books.
func TestBounds(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		controllers := 1 + rng.Intn(4)*rng.Intn(20)
		d := crowd(t, loose, controllers, 12)
		out := map[QueryID]bool{}
		id := QueryID(0)
		for range 300 {
			var events []Event
			for range rng.Intn(4) {
				id++
				ev := command1(id)
				ev.Tables, ev.EstimatedWork = TableGroup(rng.Intn(5)), 200*rng.Float64()
				events = append(events, ev)
			}
			for _, o := range []Outcome{Succeeded, Succeeded, Errored, EngineFull, ConnectionReset} {
				if at := QueryID(rng.Intn(int(id) + 1)); out[at] {
					delete(out, at)
					ev := outcome(at, 0, o)
					ev.Elapsed, ev.QueryDone = 300*rng.Float64(), true
					ev.Load = &LoadReport{Inflight: 30 * rng.Float64(), Utilization: rng.Float64(), Memory: rng.Float64()}
					events = append(events, ev, AttemptProgress{ID: at, Kind: ProgressDone, Value: rng.Float64()})
				}
			}
			if rng.Intn(40) == 0 {
				e := d.r.engineList[rng.Intn(len(d.r.engineList))]
				events = append(events, EndpointsUpdated{Endpoints: []Endpoint{{Engine: e.id, Kind: e.kind, Zone: e.zone, StartedAt: d.now}}})
			}
			d.now += 12 * rng.Float64()
			for _, action := range d.step(events...) {
				if s, ok := action.(StartAttempt); ok {
					out[s.ID] = true
				}
			}
			if d.r.traffic.othersPerCore.mean(d.r.now, 0, 1) < d.r.search.minOthersPerCore {
				d.r.updateAllBounds() // as release does ahead of a choice
			}
			q := &query{class: d.r.classes[0], tables: d.r.tableGroupOf(TableGroup(rng.Intn(5)))}
			part := d.r.trafficShare()
			floors, least := d.r.scoreLowerBounds(q, d.r.engineList, d.r.capacityBound(1, part))
			for i, e := range d.r.engineList {
				x, room := d.r.placementScore(q, e), d.r.hasCapacity(q, e, 1) && e.state == Ready
				if ends := math.IsInf(floors[i], 1); !ends && floors[i] > x || ends && room {
					t.Fatalf("seed %d, %s: presses %v, by its bound %v, room: %v", seed, e.id, x, floors[i], room)
				}
				if floors[i] < floors[least] {
					t.Fatalf("seed %d: the least bound is not that of %d", seed, least)
				}
			}
		}
	}
}

// What can't be given up yet is not looked at, and what can be is found, whatever the paces do.
func TestHopeless(t *testing.T) {
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		p := lookup
		p.ObjectivePerWork, p.LateBenefit = 4*rng.Float64(), rng.Float64()
		d := newDesk(t, p, loose, tight) // no engine: all are held
		r := d.r
		for id := range QueryID(200) {
			ev := command1(id + 1)
			ev.EstimatedWork, ev.TimeLeft = []float64{0, 300 * rng.Float64(), 3000 * rng.Float64()}[rng.Intn(3)], 500+4500*rng.Float64()
			d.step(ev)
			q := r.classes[0]
			q.bestUnitTime = []float64{0, q.bestUnitTime, 2 * rng.Float64(), 50 * rng.Float64()}[rng.Intn(4)]
			q.logSlowdown.add(r.now, 3*rng.Float64(), 1)
			q.workScale.add(r.now, 2*rng.Float64(), 1)
			r.now++ // two looks are never at one moment
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
				t.Fatalf("seed %d, at %v: %v is past giving up, not %v", seed, r.now, got, want)
			}
			r.now += 60 * rng.Float64()
			d.now = max(d.now, r.now)
		}
	}
}

// What is kept of engines and commands that are gone is forgotten, though new ones come for ever.
func TestNothingGrows(t *testing.T) {
	waits := lookup
	waits.WaitsForTables = true
	d := newDesk(t, waits, loose, tight)
	id := QueryID(0)
	for n := range 400 {
		e := engineAt(EngineID(fmt.Sprint("e", n)), 0, "z", 1)
		d.step(EndpointsUpdated{Complete: true, Endpoints: []Endpoint{e}})
		for range 5 {
			id++
			d.step(command1(id))
			d.step(AttemptProgress{ID: id, Kind: ProgressWaitsForTables}, outcome(id, 0, Succeeded))
		}
		d.wait(100)
	}
	d.wait(10000)
	d.wait(rebalanceInterval)
	watched := len(d.r.classes[0].shedWatch.alarms.list)
	if g := d.r.tableGroups[7]; len(d.r.engineList) > 2 || len(d.r.queries) > 0 || d.r.queue.length > 0 || watched > 0 ||
		len(d.r.timers.alarms.list) > 0 || g != nil && len(g.lockHolders) > 0 {
		t.Errorf("%d engines, %d commands, %d held, %d watched, %d alarms, %+v", len(d.r.engineList), len(d.r.queries), d.r.queue.length,
			watched, len(d.r.timers.alarms.list), g)
	}
}

// However engines are parted, the fittest come first, of two alike the earlier, and the rest keep their
// order.
func TestFittest(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ engines, n int }{{5, 2}, {256, 256}, {300, 1}, {300, 8}, {300, 9}, {300, 300}, {1000, 500}} {
		var free []*engine
		for range c.engines {
			free = append(free, &engine{affinity: float64(rng.Intn(50))})
		}
		want := slices.Clone(free)
		slices.SortStableFunc(want, func(a, b *engine) int { return int(b.affinity - a.affinity) })
		order := map[*engine]int{}
		for i, e := range free {
			order[e] = i
		}
		best, rest := splitByAffinity(free, c.n)
		if !slices.Equal(best, want[:c.n]) || len(rest) != c.engines-c.n {
			t.Errorf("%+v: not the fittest", c)
		}
		if c.engines > maxEnginesSortedWhole && !slices.IsSortedFunc(rest, func(a, b *engine) int { return order[a] - order[b] }) {
			t.Errorf("%+v: the rest are in another order", c)
		}
	}
}

// Whoever names table groups without end, what is kept of how they lean is bounded.
func TestLeaningsBounded(t *testing.T) {
	d := crowd(t, loose, 1, 2*minEnginesForAffinityOrder)
	for id := range QueryID(20000) {
		g := &tableGroup{id: TableGroup(id)}
		d.r.affinityOrderOf(&d.r.search.candidates, g, d.r.engineList)
		if n := len(d.r.search.candidates.affinityOrders); n > maxAffinityEntries/affinityEntriesPerGroup+1 {
			t.Fatalf("%d groups are kept", n)
		}
	}
	g := &tableGroup{id: 7}
	for range minUsesForAffinityOrder {
		d.r.affinityOrderOf(&d.r.search.candidates, g, d.r.engineList)
	}
	if places := d.r.affinityOrderOf(&d.r.search.candidates, g, d.r.engineList); len(places) != len(d.r.engineList) {
		t.Errorf("a group that is looked for often has %d places", len(places))
	}
}

func TestHeap(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	h := heap[float64]{less: func(a, b *float64) bool { return *a < *b }}
	var want []float64
	for range 2000 {
		if len(want) == 0 || rng.Intn(5) < 3 {
			x := float64(rng.Intn(300))
			h.push(x)
			want = append(want, x)
			continue
		}
		slices.Sort(want)
		if x := h.pop(); x != want[0] {
			t.Fatalf("%v came first, not %v", x, want[0])
		}
		want = want[1:]
	}
	for i := range h.list {
		h.list[i] = math.Mod(7919*float64(i), 1009)
	}
	h.heapify()
	for last := -1.0; len(h.list) > 0; {
		x := h.pop()
		if x < last {
			t.Fatal(fmt.Sprint(x, " came after ", last))
		}
		last = x
	}
}
