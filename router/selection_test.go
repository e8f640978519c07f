package router

import (
	"fmt"
	"testing"
)

// Queries that lock a table group go to different engines. On the deployment tacoma-east they met
// on the engine with the highest affinity for the group and waited for each other.
func TestTableLockingQueriesSpread(t *testing.T) {
	class := lookupClass
	class.LocksTables = true
	tr := newTestRouter(t, class, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
		readyEndpoint("b", 0, "z", 1))
	actions := tr.step(newQuery(1), newQuery(2))
	if startedOn(actions, 1) == startedOn(actions, 2) {
		t.Error("two queries that lock a table group were started on one engine, want two engines")
	}
}

// Once a table group is locked on two thirds of the engines, further locks join these. On a
// recorded day of the deployment tacoma-east, with its traffic on two table groups, queries locked
// them on every engine, and queries that wait for the tables were blocked everywhere.
func TestTableLocksLeaveEnginesFree(t *testing.T) {
	locks := lookupClass
	waits := lookupClass
	locks.LocksTables = true
	waits.WaitsForTables = true
	for _, c := range []struct {
		name    string
		engines int
		most    int // engines on which the tables are locked
	}{{"two thirds", 6, 4}, {"one engine", 1, 1}} {
		var endpoints []Endpoint
		for i := range c.engines {
			endpoints = append(endpoints, readyEndpoint(EngineID(fmt.Sprint("e", i)), 0, "z", 1))
		}
		tr := newTestRouter(t, locks, cancelCapabilities, slowStartLimits, endpoints...)
		tr.addClass(waits)
		locked := map[EngineID]int{}
		for id := range QueryID(2 * c.engines) {
			locked[startedOn(tr.step(newQuery(id)), id)]++
		}
		if len(locked) != c.most || locked[""] > 0 {
			t.Errorf("%s: attempts that lock tables, by engine: %v; want as many engines as in the case", c.name, locked)
		}
		// Only an engine on which the tables are locked is left in the pool.
		for _, pool := range tr.r.tableGroups[7].pools {
			if pool != nil {
				pool.engines = []*engine{tr.r.engines[tr.r.queries[0].attempts[0].engine.id]}
			}
		}
		ev := newQuery(100)
		ev.Class = 1
		if to := startedOn(tr.step(ev), 100); locked[to] > 0 && c.most < c.engines || to == "" {
			t.Errorf("%s: a query that waits for tables was started on %q, want an engine without locks if there is one",
				c.name, to)
		}
	}
}

// An engine without a load report counts with the mean load of all engines. On the deployment
// tacoma-east-later it counted as idle, which put engines with a report at a disadvantage.
func TestReportedEngineIsNotAtADisadvantage(t *testing.T) {
	tr := newTestRouterInFleet(t, cancelCapabilities, 100, 2)
	a := tr.r.engineList[0]
	b := tr.r.engineList[1]
	tr.r.recordReport(a, &LoadReport{Inflight: 8, Utilization: 0.8, Disk: 0.8})
	a.idHash = b.idHash
	q := &query{class: tr.r.classes[0], tables: &tableGroup{}}
	if x, y := tr.r.placementScore(q, a), tr.r.placementScore(q, b); x > y*1.1 {
		t.Errorf("an engine with the mean load has placement score %g, one without a report %g, want a ratio up to 1.1",
			x, y)
	}
}
