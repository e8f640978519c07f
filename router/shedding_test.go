package router

import "testing"

// Seen on the deployment dundee-main: one slow answer raised the expected run time of a class so far that
// all its queries were shed, and no answer could lower it again.
func TestOneSlowAnswerDoesNotShedAClass(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.r.classes[0].bestUnitTime = 100
	tr.r.classes[0].logSlowdown.add(tr.now, 3, 1)
	q := &query{class: tr.r.classes[0], arrivedAt: tr.now, firstTriedAt: tr.now, deadline: tr.now + 5000}
	if by := tr.r.shedDeadline(q); by < tr.now+minQueueShare*lookupClass.LatencyObjective {
		t.Errorf("given up %g ms after it arrived", by-tr.now)
	}
}
