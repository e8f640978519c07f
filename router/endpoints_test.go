package router

import "testing"

// An endpoint list that must be polled is polled again after each failure, well within the time that the
// rules allow.
func TestFailedPollIsRepeated(t *testing.T) {
	capabilities := cancelCapabilities
	limits := slowStartLimits
	capabilities.PollEndpoints = true
	limits.PollWithin = 10000
	tr := newTestRouter(t, lookupClass, capabilities, limits)
	last := tr.now
	asked := 0
	for range 400 {
		for _, action := range tr.wait(99) {
			if _, ok := action.(Subscribe); ok {
				if tr.now-last >= limits.PollWithin {
					t.Fatalf("nothing was asked for %g ms", tr.now-last)
				}
				last = tr.now
				asked++
				tr.step(EndpointsUpdated{Failed: true})
			}
		}
	}
	if asked < 4 {
		t.Errorf("asked %d times in 40 s", asked)
	}
}
