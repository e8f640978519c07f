package router

import (
	"fmt"
	"testing"
)

// Seen on the deployment tacoma-east: queries that lock a table group met on the engine with the most
// affinity for it and waited for each other.
func TestTableLockingQueriesSpread(t *testing.T) {
	class := lookupClass
	class.LocksTables = true
	tr := newTestRouter(t, class, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
		readyEndpoint("b", 0, "z", 1))
	actions := tr.step(newQuery(1), newQuery(2))
	if startedOn(actions, 1) == startedOn(actions, 2) {
		t.Error("two queries that lock a table group went to one engine while another was idle")
	}
}

// Seen on a recorded day of the deployment tacoma-east, with its traffic on two table groups: queries
// locked them on every engine, and queries that wait for the tables stood still everywhere. Once a group is
// locked on two thirds of the engines, further locks join these.
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
			t.Errorf("%s: locks are at %v", c.name, locked)
		}
		// Shrink the pool to one engine, on which the tables are locked.
		for _, pool := range tr.r.tableGroups[7].pools {
			if pool != nil {
				pool.engines = []*engine{tr.r.engines[tr.r.queries[0].attempts[0].engine.id]}
			}
		}
		ev := newQuery(100)
		ev.Class = 1
		if to := startedOn(tr.step(ev), 100); locked[to] > 0 && c.most < c.engines || to == "" {
			t.Errorf("%s: a query that waits for tables went to %q", c.name, to)
		}
	}
}

// Seen on the deployment tacoma-east-later: an engine with a load report had its load count against it, and
// one without a report counted as idle. Without a report the mean load of all engines counts.
func TestReportedEngineIsNotAtADisadvantage(t *testing.T) {
	tr := newTestRouterInFleet(t, cancelCapabilities, 100, 2)
	a := tr.r.engineList[0]
	b := tr.r.engineList[1]
	tr.r.recordReport(a, &LoadReport{Inflight: 8, Utilization: 0.8, Disk: 0.8})
	a.idHash = b.idHash
	q := &query{class: tr.r.classes[0], tables: &tableGroup{}}
	if x, y := tr.r.placementScore(q, a), tr.r.placementScore(q, b); x > y*1.1 {
		t.Errorf("an engine at the mean has score %g, one without a report %g", x, y)
	}
}
