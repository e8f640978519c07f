package router

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// Restored statistics are used where this run has learned nothing, and only for ready engines that
// still have the same process.
func TestRestoreForTheSameProcessOnly(t *testing.T) {
	old, slow := newTrainedRouter(t)
	exported, _ := exportAll(old.r, 1000)
	var endpoints []Endpoint
	want := map[string]EngineID{}
	for _, e := range old.r.engineList {
		endpoint := Endpoint{Engine: e.id, Kind: e.kind, Zone: e.zone, Cell: e.cell, StartedAt: e.startedAt}
		switch {
		case e.id == slow:
		case want["process"] == "":
			want["process"] = e.id
			endpoint.StartedAt = 5 // another process
		case want["drains"] == "":
			want["drains"] = e.id
			endpoint.State = Draining
		case want["gone"] == "":
			want["gone"] = e.id
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, endpoints...)
	tr.step(StatisticsRestored{Statistics: exported})
	for _, e := range tr.r.engineList {
		if (e.slowdown.mean(tr.r.now, 1, 1) > 2) != (e.id == slow) || e.id == want["process"] &&
			e.slowdown.weight > 0 ||
			e.id == want["drains"] && e.slowdown.weight > 0 {
			t.Errorf("engine %s, of %v: slowdown is %g, want it restored for the slow engine alone", e.id, want,
				e.slowdown.mean(tr.r.now, 1, 1))
		}
	}
	if len(tr.r.groupList) != 5 || tr.r.groupList[0].demand.rate(tr.r.now) <= 0 {
		t.Errorf("%d table groups were restored, want 5, the first with a demand above 0", len(tr.r.groupList))
	}
	if class := tr.r.classes[0]; class.bestUnitTime != exported.Classes[0].UnloadedTime ||
		class.work.weight != 0 {
		t.Errorf("unit time is %g, want it as exported; work, which slow start relies on, has weight %g, want 0",
			class.bestUnitTime, class.work.weight)
	}
	e := tr.r.engines[slow]
	tr.step(StatisticsRestored{Statistics: Statistics{Engines: []EngineStatistics{{Engine: slow,
		StartedAt: e.startedAt, Slowdown: WeightedMean{1, 50}}}}})
	if e.slowdown.mean(tr.r.now, 1, 1) < 2 {
		t.Error("a second restore replaced the slowdown that was restored before")
	}
	for k, list := range tr.r.pools.byKind { // whatever was restored, each ready engine is in one pool
		var pooled []EngineID
		for _, pool := range list {
			for _, e := range pool.engines {
				pooled = append(pooled, e.id)
			}
		}
		if slices.Sort(pooled); len(pooled) != len(tr.r.readyEngines(k)) ||
			len(slices.Compact(pooled)) != len(pooled) {
			t.Errorf("kind %d: the pools have engines %v, want each ready engine once", k, pooled)
		}
	}
}

// Table groups return to the engines that served them before the restart, if these still exist.
func TestRestoreKeepsPools(t *testing.T) {
	var endpoints []Endpoint
	for i := range 8 {
		endpoints = append(endpoints, readyEndpoint(EngineID(fmt.Sprint("e", i)), 0, "z", 1))
	}
	kept := 0
	moved := 0
	for shift := range 8 { // each shift has other engines than those of highest affinity serve the groups
		var exported Statistics
		for i := range 8 {
			id := EngineID(fmt.Sprint("e", i))
			exported.Engines = append(exported.Engines, EngineStatistics{Engine: id, ThreadsPerCore: 2, Outcomes: 0xff,
				PoolLeader: id})
			exported.Tables = append(exported.Tables, TableStatistics{Tables: TableGroup(i), Demand: 1,
				MemoryTime:  12000,
				PoolLeaders: []EngineID{EngineID(fmt.Sprint("e", (i+shift)%8))}})
		}
		tr := &testRouter{t: t, now: 100000, r: New(1, Identity{}, twoKinds, []QueryClass{lookupClass}, nil,
			cancelCapabilities, slowStartLimits)}
		tr.step(EndpointsUpdated{Complete: true, Cached: true, Endpoints: endpoints},
			StatisticsRestored{Statistics: exported})
		tr.wait(periodicInterval) // a rebalance would merge pools, as no load is known yet
		for i, g := range tr.r.groupList {
			if pool := g.pools[0]; slices.Contains(tr.r.pools.byKind[0], pool) && len(pool.engines) == 1 &&
				pool.engines[0].id == exported.Tables[i].PoolLeaders[0] {
				kept++
			} else {
				moved++
			}
		}
	}
	if kept < 60 {
		t.Errorf("%d table groups kept their engine and %d moved, want at least 60 kept", kept, moved)
	}
}

// A restored run time that is too long must not have all queries of a class shed for ever, and one
// that is too short must not be used for long.
func TestUnconfirmedEstimatesAreDiscarded(t *testing.T) {
	for _, c := range []struct {
		name     string
		best     float64
		answers  int
		wait     float64
		from, to float64
	}{
		{"no answer: it is discarded", 900, 0, restoredMaxAge + 100, 0, 0},
		{"no answer yet: it stands", 900, 0, restoredMaxAge - 100, 900, 900},
		{"answers confirm it", 90, 200, 0, 85, 100},
		{"answers are far longer", 1, 200, 0, 90, 110},
		{"answers are shorter", 900, 200, 0, 90, 110},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(StatisticsRestored{Statistics: Statistics{Classes: []ClassStatistics{{UnloadedTime: c.best,
			FirstTryTimeout: 5000}}}})
		for id := range QueryID(c.answers) {
			tr.step(newQuery(id))
			tr.step(attemptEnded(id, 0, Succeeded))
		}
		for at := 0.0; at < c.wait; at += 50 {
			tr.wait(49)
		}
		if best := tr.r.classes[0].bestUnitTime; best < c.from || best > c.to {
			t.Errorf("%s: unit time is %g, which is out of the range of the case", c.name, best)
		}
	}
	// Few answers, with gaps below restoredMaxAge, refute the restored value: it is discarded.
	for _, best := range []float64{1, 2000} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(StatisticsRestored{Statistics: Statistics{Classes: []ClassStatistics{{UnloadedTime: best}}}})
		for id := range QueryID(40) {
			tr.wait(1000)
			tr.step(newQuery(id))
			tr.step(attemptEnded(id, 0, Succeeded))
		}
		if tr.r.classes[0].bestUnitTime != 0 {
			t.Errorf("a restored unit time of %g ms was kept though answers take 100 ms", best)
		}
	}
	// Few answers, with gaps below restoredMaxAge, confirm the restored value: it is kept.
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.step(StatisticsRestored{Statistics: Statistics{Classes: []ClassStatistics{{UnloadedTime: 90}}}})
	for id := range QueryID(5) {
		for range 120 {
			tr.wait(49)
		}
		tr.step(newQuery(id))
		tr.step(attemptEnded(id, 0, Succeeded))
	}
	if tr.r.classes[0].bestUnitTime == 0 {
		t.Error("a restored unit time was discarded though answers confirm it")
	}
}

// Restored records may contain any figures, and ids that don't exist. No figure is used beyond its
// bounds, and queries still run.
func TestRestoredFiguresAreClamped(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300, 1e-300} {
		w := WeightedMean{x, x}
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
			readyEndpoint("b", 1, "z", 1))
		tr.step(StatisticsRestored{Statistics: Statistics{
			Engines: []EngineStatistics{{Engine: "a", Slowdown: w, ThreadsPerCore: x, PoolLeader: "b"},
				{Engine: "a"}, {Engine: "x", PoolLeader: "a"}},
			Tables: []TableStatistics{{Tables: 1, Demand: x, MemoryTime: x,
				PoolLeaders: []EngineID{"b", "x", "a", "a"}}, {Tables: 1},
				{Tables: -1}},
			Classes: []ClassStatistics{{Class: 7}, {Class: -1}, {FirstTryTimeout: x, UnloadedTime: x, WorkScale: w,
				MemoryScale: w}},
			Traffic: []TrafficStatistics{{Share: w}, {Share: w}}}})
		e := tr.r.engines["a"]
		class := tr.r.classes[0]
		for name, y := range map[string]float64{"slowdown": e.slowdown.mean(tr.r.now, 1, 1),
			"thread limit": e.threadsPerCore,
			"unit time":    class.bestUnitTime, "first try timeout": class.firstTryTimeout,
			"work scale":   class.workScale.mean(tr.r.now, 1, 2),
			"memory scale": class.memoryScale.mean(tr.r.now, 1, 3), "traffic share": tr.r.trafficShare(),
			"demand": tr.r.groupList[0].demand.rate(tr.r.now)} {
			if math.IsNaN(y) || math.IsInf(y, 0) || y < 0 || y > 1e7 {
				t.Errorf("%g restored: %s is %g, want 0 to 1e7", x, name, y)
			}
		}
		if e.threadsPerCore < minThreadsPerCore || e.threadsPerCore > maxThreadsPerCore ||
			class.bestUnitTime > class.ClientTimeout {
			t.Errorf("%g restored: thread limit %g or unit time %g is out of its bounds", x, e.threadsPerCore,
				class.bestUnitTime)
		}
		if to := startedOn(append(tr.step(newQuery(1)), tr.wait(100)...), 1); to == "" &&
			tr.r.engines["b"].attempts == 0 {
			t.Errorf("%g restored: a query was started on no engine", x)
		}
	}
}
