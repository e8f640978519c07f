package router

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// However many are held and however many engines are full, one step looks at few: costs are asserted by counts, as times
// belong to benchmarks.
func TestLooksAtFew(t *testing.T) {
	for _, c := range []struct {
		engines, held, most int
		memory              float64 // granted: 0.95 keeps commands away though threads are free
	}{{10, 2000, 200, 0}, {300, 2000, 1500, 0}, {300, 100, 1500, 0}, {300, 2000, 1500, 0.95}} {
		d := crowd(t, loose, 1, c.engines)
		d.step(command1(1))
		for _, e := range d.r.order {
			d.r.report(e, &LoadReport{Inflight: 1, Utilization: 0.5, Disk: 0.5, Memory: c.memory})
		}
		id := QueryID(1)
		for d.r.held.n < c.held {
			var events []Event
			for range 100 {
				id++
				ev := command1(id)
				ev.TimeLeft, ev.Tables = 1e6, TableGroup(id%20)
				events = append(events, ev)
			}
			d.step(events...)
		}
		before, steps := d.r.looked, 20
		for range steps {
			id++
			ev := command1(id)
			ev.TimeLeft, ev.Tables = 1e6, TableGroup(id%20)
			d.step(ev)
		}
		if looked := (d.r.looked - before) / steps; looked > c.most {
			t.Errorf("%+v: a step looked at %d engines", c, looked)
		}
	}
}

// The bounds hold: whatever happens, until the next tend no exact figure passes its bound. What is drawn is events, not
// the engines' books.
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
				e := d.r.order[rng.Intn(len(d.r.order))]
				events = append(events, EndpointsUpdated{Endpoints: []Endpoint{{Engine: e.id, Kind: e.kind, Zone: e.zone, StartedAt: d.now}}})
			}
			d.now += 12 * rng.Float64()
			for _, action := range d.step(events...) {
				if s, ok := action.(StartAttempt); ok {
					out[s.ID] = true
				}
			}
			if d.r.busy.mean(d.r.now, 0, 1) < d.r.busyLeast {
				d.r.weighAll() // as release does ahead of a choice
			}
			c := &command{profile: d.r.profiles[0], tables: d.r.groupOf(TableGroup(rng.Intn(5)))}
			part := d.r.portion()
			floors, least := d.r.floors(c, d.r.order, 1, part)
			for i, e := range d.r.order {
				x, room := d.r.pressure(c, e), d.r.hasRoom(c, e, 1) && e.state == Ready
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
			q := r.profiles[0]
			q.best = []float64{0, q.best, 2 * rng.Float64(), 50 * rng.Float64()}[rng.Intn(4)]
			q.run.add(r.now, 3*rng.Float64(), 1)
			q.workScale.add(r.now, 2*rng.Float64(), 1)
			r.now++ // two looks are never at one moment
			var want []QueryID
			for _, c := range r.cmds {
				if c.held && r.now > r.giveUpAt(c) {
					want = append(want, c.id)
				}
			}
			var got []QueryID
			for _, c := range r.hopeless() {
				got = append(got, c.id)
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
	d.wait(period)
	watched := len(d.r.profiles[0].watches.heap.list)
	if g := d.r.tables[7]; len(d.r.order) > 2 || len(d.r.cmds) > 0 || d.r.held.n > 0 || watched > 0 ||
		len(d.r.alarms.list) > 0 || g != nil && len(g.holders) > 0 {
		t.Errorf("%d engines, %d commands, %d held, %d watched, %d alarms, %+v", len(d.r.order), len(d.r.cmds), d.r.held.n,
			watched, len(d.r.alarms.list), g)
	}
}

// However engines are parted, the fittest come first, of two alike the earlier, and the rest keep their order.
func TestFittest(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, c := range []struct{ engines, n int }{{5, 2}, {256, 256}, {300, 1}, {300, 8}, {300, 9}, {300, 300}, {1000, 500}} {
		var free []*engine
		for range c.engines {
			free = append(free, &engine{fit: float64(rng.Intn(50))})
		}
		want := slices.Clone(free)
		slices.SortStableFunc(want, func(a, b *engine) int { return int(b.fit - a.fit) })
		order := map[*engine]int{}
		for i, e := range free {
			order[e] = i
		}
		best, rest := fittest(free, c.n)
		if !slices.Equal(best, want[:c.n]) || len(rest) != c.engines-c.n {
			t.Errorf("%+v: not the fittest", c)
		}
		if c.engines > fewEngines && !slices.IsSortedFunc(rest, func(a, b *engine) int { return order[a] - order[b] }) {
			t.Errorf("%+v: the rest are in another order", c)
		}
	}
}

// Whoever names table groups without end, what is kept of how they lean is bounded.
func TestLeaningsBounded(t *testing.T) {
	d := crowd(t, loose, 1, 2*fewLeanings)
	for id := range QueryID(20000) {
		g := &tableGroup{id: TableGroup(id)}
		d.r.leaning(&d.r.spare, g, d.r.order)
		if n := len(d.r.spare.orders); n > mostLeanings/groupLeanings+1 {
			t.Fatalf("%d groups are kept", n)
		}
	}
	g := &tableGroup{id: 7}
	for range usesLeanings {
		d.r.leaning(&d.r.spare, g, d.r.order)
	}
	if places := d.r.leaning(&d.r.spare, g, d.r.order); len(places) != len(d.r.order) {
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
	h.mend()
	for last := -1.0; len(h.list) > 0; {
		x := h.pop()
		if x < last {
			t.Fatal(fmt.Sprint(x, " came after ", last))
		}
		last = x
	}
}
