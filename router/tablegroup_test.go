package router

import "testing"

// Table groups are removed when they get no more queries. Those on which no query ever succeeded are removed
// soon, because clients can name any number of them.
func TestUnusedTableGroupsAreForgotten(t *testing.T) {
	locks := lookupClass
	locks.LocksTables = true
	tr := newTestRouter(t, locks, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.step(newQuery(1))
	tr.step(AttemptProgress{ID: 1, Kind: ProgressWaitsForTables}, attemptEnded(1, 0, Succeeded))
	for id := range QueryID(500) {
		ev := newQuery(1000 + id)
		ev.Tables = TableGroup(1000 + id)
		tr.step(ev)
		tr.step(AttemptProgress{ID: ev.ID, Kind: ProgressWaitsForTables}, attemptEnded(ev.ID, 0, Errored),
			ClientDisconnected{ID: ev.ID})
		tr.step(attemptEnded(ev.ID, 1, Errored))
	}
	for _, c := range []struct {
		after float64
		least int
	}{{0, 1}, {2 * rebalanceInterval, 1}, {tableGroupMaxIdle, 0}} {
		tr.wait(c.after)
		tr.wait(rebalanceInterval)
		packed := 0
		for _, pool := range tr.r.pools.byKind[0] {
			packed += len(pool.tableGroups())
		}
		if n := len(tr.r.tableGroups); n < c.least || c.after > 0 && n > c.least || len(tr.r.groupList) != n ||
			packed != n {
			t.Errorf("after %g ms: %d groups, %d in groupList, %d in pools; want the same count without unused ones",
				c.after, n, len(tr.r.groupList), packed)
		}
	}
	if e := tr.r.engines["a"]; len(e.tablesLockedUntil)+len(e.tableLocks) > 0 || len(tr.r.queries) > 0 {
		t.Errorf("%d reported locks, %d own locks and %d queries are left, want none", len(e.tablesLockedUntil),
			len(e.tableLocks), len(tr.r.queries))
	}
}
