package router

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// taught is a controller that has learned of some engines, of which one is slow, table groups and a profile.
func taught(t *testing.T) (d *desk, slow EngineID) {
	var entries []Endpoint
	for i := range 6 {
		e := engineAt(EngineID(fmt.Sprint("e", i)), KindID(i%2), "z", CellID(i))
		e.StartedAt = float64(i) * 10
		entries = append(entries, e)
	}
	d = newDesk(t, lookup, loose, tight, entries...)
	for id := range QueryID(400) {
		ev := command1(id)
		ev.Tables = TableGroup(id % 5)
		to := sent(d.step(ev), id)
		if slow == "" {
			slow = to
		}
		end := outcome(id, 0, Succeeded)
		end.Elapsed, end.Load = 100, &LoadReport{Inflight: 4, Utilization: 0.5, Disk: 0.1}
		if to == slow && id > 100 {
			end.Elapsed = 900
		}
		if d.step(end); id%8 == 0 {
			d.wait(30)
		}
	}
	return d, slow
}

func all(r *Router, most int) (l Statistics, parts int) {
	for from, more := (Cursor{}), true; more; parts++ {
		var part Statistics
		if part, from, more = r.Statistics(from, most); part.Len() > most {
			panic("a part has too many records")
		}
		l.Add(part)
	}
	return l, parts
}

// What is taken out is the same whatever the parts, and taking it out changes nothing.
func TestLearnedInParts(t *testing.T) {
	d, slow := taught(t)
	whole, _ := all(d.r, 1000)
	if len(whole.Engines) != 6 || len(whole.Tables) != 5 || len(whole.Classes) != 1 || len(whole.Traffic) != 1 {
		t.Fatalf("%+v", whole)
	}
	for _, most := range []int{1, 2, 3, 7} {
		if some, parts := all(d.r, most); fmt.Sprint(some) != fmt.Sprint(whole) || parts < 13/most {
			t.Errorf("in %d parts of %d: %+v", parts, most, some)
		}
	}
	for _, e := range whole.Engines {
		if (e.Engine == slow) != (e.Slowdown.Mean > 2) {
			t.Errorf("%s is nine times slower: %+v", slow, e)
		}
	}
	if p := whole.Classes[0]; p.UnloadedTime < 50 || p.UnloadedTime > 200 || p.FirstTryTimeout < 4000 {
		t.Errorf("%+v", p)
	}
}

// The cursor goes on behind what it has seen while engines and groups come and go.
func TestCursorOverChanges(t *testing.T) {
	d, _ := taught(t)
	seen := map[EngineID]int{}
	for from, more := (Cursor{}), true; more; {
		var part Statistics
		part, from, more = d.r.Statistics(from, 1)
		for _, e := range part.Engines {
			if seen[e.Engine]++; e.Engine == "e2" {
				d.step(EndpointsUpdated{Endpoints: []Endpoint{{Engine: "e1", State: Gone}, {Engine: "e15"}, {Engine: "e4", State: Gone}}})
			}
		}
	}
	if len(seen) != 5 || seen["e4"] != 0 || seen["e3"] != 1 || seen["e5"] != 1 {
		t.Errorf("seen %v", seen)
	}
}

// What is put in stands where nothing was learned since, and only for the same process of a ready engine.
func TestRecalled(t *testing.T) {
	old, slow := taught(t)
	l, _ := all(old.r, 1000)
	var entries []Endpoint
	want := map[string]EngineID{}
	for _, e := range old.r.engineList {
		entry := Endpoint{Engine: e.id, Kind: e.kind, Zone: e.zone, Cell: e.cell, StartedAt: e.startedAt}
		switch {
		case e.id == slow:
		case want["process"] == "":
			want["process"], entry.StartedAt = e.id, 5 // another one
		case want["drains"] == "":
			want["drains"], entry.State = e.id, Draining
		case want["gone"] == "":
			want["gone"] = e.id
			continue
		}
		entries = append(entries, entry)
	}
	d := newDesk(t, lookup, loose, tight, entries...)
	d.step(StatisticsRestored{Statistics: l})
	for _, e := range d.r.engineList {
		if (e.slowdown.mean(d.r.now, 1, 1) > 2) != (e.id == slow) || e.id == want["process"] && e.slowdown.weight > 0 ||
			e.id == want["drains"] && e.slowdown.weight > 0 {
			t.Errorf("%s, of %v: pace %g", e.id, want, e.slowdown.mean(d.r.now, 1, 1))
		}
	}
	if len(d.r.groupList) != 5 || d.r.groupList[0].demand.rate(d.r.now) <= 0 {
		t.Errorf("%d table groups", len(d.r.groupList))
	}
	if class := d.r.classes[0]; class.bestUnitTime != l.Classes[0].UnloadedTime || class.work.weight != 0 {
		t.Errorf("best %g, %g told of work, which guards cold engines", class.bestUnitTime, class.work.weight)
	}
	e := d.r.engines[slow]
	d.step(StatisticsRestored{Statistics: Statistics{Engines: []EngineStatistics{{Engine: slow, StartedAt: e.startedAt, Slowdown: WeightedMean{1, 50}}}}})
	if e.slowdown.mean(d.r.now, 1, 1) < 2 {
		t.Error("what is there was put in anew")
	}
	for k, list := range d.r.pools.byKind { // whatever was remembered, each ready engine has one owner
		var owned []EngineID
		for _, pool := range list {
			for _, e := range pool.engines {
				owned = append(owned, e.id)
			}
		}
		if slices.Sort(owned); len(owned) != len(d.r.readyEngines(k)) || len(slices.Compact(owned)) != len(owned) {
			t.Errorf("kind %d: owned %v", k, owned)
		}
	}
}

// Table groups go back to the engines that had them, while those are there.
func TestRecalledHomes(t *testing.T) {
	var entries []Endpoint
	for i := range 8 {
		entries = append(entries, engineAt(EngineID(fmt.Sprint("e", i)), 0, "z", 1))
	}
	kept, moved := 0, 0
	for shift := range 8 { // at each shift other engines had them than a fixed leaning would choose
		var l Statistics
		for i := range 8 {
			id := EngineID(fmt.Sprint("e", i))
			l.Engines = append(l.Engines, EngineStatistics{Engine: id, ThreadsPerCore: 2, Outcomes: 0xff, PoolLeader: id})
			l.Tables = append(l.Tables, TableStatistics{Tables: TableGroup(i), Demand: 1, MemoryTime: 12000,
				PoolLeaders: []EngineID{EngineID(fmt.Sprint("e", (i+shift)%8))}})
		}
		d := &desk{t: t, now: 100000, r: New(1, Identity{}, twoKinds, []QueryClass{lookup}, nil, loose, tight)}
		d.step(EndpointsUpdated{Complete: true, Cached: true, Endpoints: entries}, StatisticsRestored{Statistics: l})
		d.wait(periodicInterval) // a period would merge owners by loads that are all none
		for i, g := range d.r.groupList {
			if pool := g.pools[0]; slices.Contains(d.r.pools.byKind[0], pool) && len(pool.engines) == 1 &&
				pool.engines[0].id == l.Tables[i].PoolLeaders[0] {
				kept++
			} else {
				moved++
			}
		}
	}
	if kept < 60 {
		t.Errorf("%d table groups are where they were, %d elsewhere", kept, moved)
	}
}

// A remembered time that can't be true does not shed all for ever, and one that is too short does not count
// for long.
func TestHearsay(t *testing.T) {
	for _, c := range []struct {
		name     string
		best     float64
		answers  int
		wait     float64
		from, to float64
	}{
		{"no answer: it is dropped", 900, 0, restoredMaxAge + 100, 0, 0},
		{"no answer yet: it stands", 900, 0, restoredMaxAge - 100, 900, 900},
		{"answers bear it out", 90, 200, 0, 85, 100},
		{"answers are far longer", 1, 200, 0, 90, 110},
		{"answers are shorter", 900, 200, 0, 90, 110},
	} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.step(StatisticsRestored{Statistics: Statistics{Classes: []ClassStatistics{{UnloadedTime: c.best, FirstTryTimeout: 5000}}}})
		for id := range QueryID(c.answers) {
			d.step(command1(id))
			d.step(outcome(id, 0, Succeeded))
		}
		for at := 0.0; at < c.wait; at += 50 {
			d.wait(49)
		}
		if best := d.r.classes[0].bestUnitTime; best < c.from || best > c.to {
			t.Errorf("%s: best %g", c.name, best)
		}
	}
	// few answers, which tell otherwise: it is dropped by them, though none is ever far from the next
	for _, best := range []float64{1, 2000} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.step(StatisticsRestored{Statistics: Statistics{Classes: []ClassStatistics{{UnloadedTime: best}}}})
		for id := range QueryID(40) {
			d.wait(1000)
			d.step(command1(id))
			d.step(outcome(id, 0, Succeeded))
		}
		if d.r.classes[0].bestUnitTime != 0 {
			t.Errorf("%g ms are remembered of answers that take 100", best)
		}
	}
	// few answers, none for long between two: what is borne out now and then stands
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	d.step(StatisticsRestored{Statistics: Statistics{Classes: []ClassStatistics{{UnloadedTime: 90}}}})
	for id := range QueryID(5) {
		for range 120 {
			d.wait(49)
		}
		d.step(command1(id))
		d.step(outcome(id, 0, Succeeded))
	}
	if d.r.classes[0].bestUnitTime == 0 {
		t.Error("dropped though answers came")
	}
}

// No figure is taken past its bounds, and odd records do no harm.
func TestRecalledBounds(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300, 1e-300} {
		w := WeightedMean{x, x}
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1), engineAt("b", 1, "z", 1))
		d.step(StatisticsRestored{Statistics: Statistics{
			Engines: []EngineStatistics{{Engine: "a", Slowdown: w, ThreadsPerCore: x, PoolLeader: "b"}, {Engine: "a"}, {Engine: "x", PoolLeader: "a"}},
			Tables: []TableStatistics{{Tables: 1, Demand: x, MemoryTime: x, PoolLeaders: []EngineID{"b", "x", "a", "a"}}, {Tables: 1},
				{Tables: -1}},
			Classes: []ClassStatistics{{Class: 7}, {Class: -1}, {FirstTryTimeout: x, UnloadedTime: x, WorkScale: w, MemoryScale: w}},
			Traffic: []TrafficStatistics{{Share: w}, {Share: w}}}})
		e, class := d.r.engines["a"], d.r.classes[0]
		for name, y := range map[string]float64{"pace": e.slowdown.mean(d.r.now, 1, 1), "width": e.threadsPerCore,
			"best": class.bestUnitTime, "left": class.firstTryTimeout, "scale": class.workScale.mean(d.r.now, 1, 2), "need": class.memoryScale.mean(
				d.r.now, 1, 3), "part": d.r.trafficShare(), "demand": d.r.groupList[0].demand.rate(d.r.now)} {
			if math.IsNaN(y) || math.IsInf(y, 0) || y < 0 || y > 1e7 {
				t.Errorf("%g remembered: %s is %g", x, name, y)
			}
		}
		if e.threadsPerCore < minThreadsPerCore || e.threadsPerCore > maxThreadsPerCore || class.bestUnitTime > class.ClientTimeout {
			t.Errorf("%g remembered: width %g, best %g", x, e.threadsPerCore, class.bestUnitTime)
		}
		if to := sent(append(d.step(command1(1)), d.wait(100)...), 1); to == "" && d.r.engines["b"].attempts == 0 {
			t.Errorf("%g remembered: nothing is sent", x)
		}
	}
}
