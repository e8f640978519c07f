package router

// healthChecks are the checks that this controller makes. Each takes from a credit that queries
// bring, because hundreds of controllers that check by time alone would keep the engines busy.
type healthChecks struct {
	wanted []*engine // to be checked at the end of this step
	credit float64   // checks that may be made
}

const (
	healthCheckInterval    = 400.0  // ms between checks of an engine, by all controllers together
	maxHealthCheckInterval = 1000.0 // ms between checks of an engine, by one controller, at most
	healthCheckJitter      = 0.2    // share of the interval by which it varies
	reportRefreshAge       = 1200.0 // ms; an older report is refreshed before an attempt on its engine
	healthChecksPerQuery   = 1.0    // credit that a query brings
	maxHealthCheckCredit   = 10.0   // credit that is saved at most
	reservedCredit         = 5.0    // part of it that is kept for refreshing reports
)

// checkHealth asks an engine for its health and load, and reports whether it does. It does not
// where checks are not allowed, the credit is used up, or a check of the engine runs.
func (r *Router) checkHealth(e *engine) bool {
	if !r.capabilities.HealthChecks || e.checkingHealth || r.healthChecks.credit < 1 {
		return false
	}
	r.healthChecks.credit--
	r.healthChecks.wanted = append(r.healthChecks.wanted, e)
	e.checkingHealth = true
	interval := min(maxHealthCheckInterval, healthCheckInterval*r.controllers)
	e.healthCheckAt = r.now + interval*(1-healthCheckJitter/2+healthCheckJitter*r.rng.Float64())
	return true
}

// waitForFreshReport reports whether an attempt on e has to wait for a health check, and asks for
// one if none runs. If no check can be made the attempt need not wait.
func (r *Router) waitForFreshReport(e *engine) bool {
	if r.now-e.reportedAt <= reportRefreshAge {
		return false
	}
	if e.checkingHealth {
		return true
	}
	return r.now > e.healthCheckAt && r.checkHealth(e)
}

// healthCheckEnded handles the result of a health check.
func (r *Router) healthCheckEnded(ev HealthCheckEnded) {
	e := r.engines[ev.Engine]
	if e == nil {
		return
	}
	e.checkingHealth = false
	e.recordOutcome(r.now, ev.Outcome == Succeeded)
	r.recordReport(e, ev.Load)
	r.updateBounds(e)
}
