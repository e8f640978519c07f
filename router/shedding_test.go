package router

import "testing"

// One slow answer does not have all queries of its class shed. On the deployment dundee-main it
// raised the expected run time of the class so far that all were shed, and no answer could lower it
// again.
func TestOneSlowAnswerDoesNotShedAClass(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.r.classes[0].bestUnitTime = 100
	tr.r.classes[0].logSlowdown.add(tr.now, 3, 1)
	q := &query{class: tr.r.classes[0], arrivedAt: tr.now, firstTriedAt: tr.now, deadline: tr.now + 5000}
	if by := tr.r.shedDeadline(q); by < tr.now+minQueueShare*lookupClass.LatencyObjective {
		t.Errorf("a query is shed %g ms after its arrival, want half of its latency objective at least", by-tr.now)
	}
}
