package router

import "testing"

// After each failure an endpoint list that must be polled is polled again, within the time that the
// rules allow between polls.
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
					t.Fatalf("%g ms between polls, want less than 10 s", tr.now-last)
				}
				last = tr.now
				asked++
				tr.step(EndpointsUpdated{Failed: true})
			}
		}
	}
	if asked < 4 {
		t.Errorf("%d polls in 40 s, want at least 4", asked)
	}
}
