package router

import "testing"

// Clients name table groups without end. What is kept of their affinities stays bounded, and a group that is
// searched for often still has its order.
func TestAffinityOrdersAreBounded(t *testing.T) {
	tr := newTestRouterInFleet(t, cancelCapabilities, 1, 2*minEnginesForAffinityOrder)
	for id := range QueryID(20000) {
		g := &tableGroup{id: TableGroup(id)}
		tr.r.affinityOrderOf(&tr.r.search.candidates, g, tr.r.engineList)
		if n := len(tr.r.search.candidates.affinityOrders); n > maxAffinityEntries/affinityEntriesPerGroup+1 {
			t.Fatalf("%d groups are kept", n)
		}
	}
	g := &tableGroup{id: 7}
	for range minUsesForAffinityOrder {
		tr.r.affinityOrderOf(&tr.r.search.candidates, g, tr.r.engineList)
	}
	if order := tr.r.affinityOrderOf(&tr.r.search.candidates, g,
		tr.r.engineList); len(order) != len(tr.r.engineList) {
		t.Errorf("a group that is searched for often has an order of %d", len(order))
	}
}
