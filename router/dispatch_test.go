package router

import "testing"

// Queued queries start in the order of their client timeouts. A controller with nothing in flight
// may start one attempt even on an engine of which its share is less than one thread.
func TestDispatchByClientTimeout(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 1, "z", 1))
	tr.r.engines["a"].threadsPerCore = 0.01
	if to := startedOn(tr.step(newQuery(1)), 1); to != "a" {
		t.Fatal("the first query was not started on engine a, which is idle")
	}
	early := newQuery(3)
	late := newQuery(2)
	early.TimeLeft = 4000
	if actions := tr.step(late, early); startedOn(actions, 2)+startedOn(actions, 3) != "" {
		t.Fatal("a query was started on a full engine, want both queued")
	}
	if actions := tr.step(attemptEnded(1, 0, Succeeded)); startedOn(actions, 3) != "a" ||
		startedOn(actions, 2) != "" {
		t.Error("the query with the earlier client timeout was not the only one started on engine a")
	}
}
