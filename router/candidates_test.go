package router

import "testing"

// Clients can name any number of table groups. The cache of affinity orders stays bounded, and a group that
// is searched for often still gets its order.
func TestAffinityOrdersAreBounded(t *testing.T) {
	tr := newTestRouterInFleet(t, cancelCapabilities, 1, 2*minEnginesForAffinityOrder)
	for id := range QueryID(20000) {
		g := &tableGroup{id: TableGroup(id)}
		tr.r.affinityOrderOf(&tr.r.search.candidates, g, tr.r.engineList)
		if n := len(tr.r.search.candidates.affinityOrders); n > maxAffinityEntries/affinityEntriesPerGroup+1 {
			t.Fatalf("affinity orders of %d groups are cached, more than the limit", n)
		}
	}
	g := &tableGroup{id: 7}
	for range minUsesForAffinityOrder {
		tr.r.affinityOrderOf(&tr.r.search.candidates, g, tr.r.engineList)
	}
	if order := tr.r.affinityOrderOf(&tr.r.search.candidates, g,
		tr.r.engineList); len(order) != len(tr.r.engineList) {
		t.Errorf("the affinity order of a group that is searched for often has %d engines, want all", len(order))
	}
}
