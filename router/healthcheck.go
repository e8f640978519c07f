package router

// healthChecks are those that the module asks for.
type healthChecks struct {
	wanted []*engine // to be checked at the end of this step
	credit float64   // checks that may be made
}

const (
	healthCheckInterval    = 400.0  // ms between checks of an engine, by all controllers together
	maxHealthCheckInterval = 1000.0 // ms between checks of an engine, by one controller
	reportRefreshAge       = 1200.0 // ms; an older report is refreshed before an attempt starts on its engine
	healthChecksPerQuery   = 1.0    // credit that a query brings
	maxHealthCheckCredit   = 10.0   // credit; half of it is kept for refreshing reports
)

// checkHealth has an engine probed, in relation to commands: by time, a hundred controllers would probe all
// day.
func (r *Router) checkHealth(e *engine) bool {
	if !r.capabilities.HealthChecks || e.checkingHealth || r.healthChecks.credit < 1 {
		return false
	}
	r.healthChecks.credit, e.checkingHealth, r.healthChecks.wanted = r.healthChecks.credit-1, true,
		append(r.healthChecks.wanted, e)
	e.healthCheckAt = r.now + min(maxHealthCheckInterval,
		healthCheckInterval*r.controllers)*(0.9+0.2*r.rng.Float64())
	return true
}

func (r *Router) healthCheckEnded(ev HealthCheckEnded) {
	if e := r.engines[ev.Engine]; e != nil {
		e.checkingHealth = false
		e.recordOutcome(r.now, ev.Outcome == Succeeded)
		r.recordReport(e, ev.Load)
		r.updateBounds(e)
	}
}
