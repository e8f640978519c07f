package router

import "testing"

// Health checks are limited by the number of queries. On the deployment dundee-main-later they were
// paced by time alone, and a hundred controllers made six of them for each query.
func TestHealthChecksFollowQueries(t *testing.T) {
	capabilities := cancelCapabilities
	checks := 0
	capabilities.HealthChecks = true
	tr := newTestRouterInFleet(t, capabilities, 100, 40)
	for id := range QueryID(100) {
		for _, action := range append(tr.step(newQuery(id)), tr.wait(500)...) {
			if check, ok := action.(CheckHealth); ok {
				checks++
				tr.step(HealthCheckEnded{Engine: check.Engine, Outcome: Succeeded, Load: &LoadReport{Inflight: 3}})
			}
		}
		tr.step(attemptEnded(id, 0, Succeeded))
	}
	if checks < 20 || checks > 100 {
		t.Errorf("%d health checks for 100 queries, want 20 to 100", checks)
	}
}
