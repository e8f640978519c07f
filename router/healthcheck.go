package router

// healthChecks is the state of this controller's health checks. Each check uses up credit that
// queries bring, because hundreds of controllers that check by time alone would keep the engines
// busy.
type healthChecks struct {
	wanted []*engine // engines to be checked at the end of this step
	credit float64   // number of checks that may be made
}

const (
	healthCheckInterval    = 400.0  // ms between checks of an engine, by all controllers together
	maxHealthCheckInterval = 1000.0 // ms between checks of an engine, by one controller, at most
	healthCheckJitter      = 0.2    // share of the interval by which it is randomized
	reportRefreshAge       = 1200.0 // ms; an older load report is refreshed before an attempt
	healthChecksPerQuery   = 1.0    // credit that each arriving query adds
	maxHealthCheckCredit   = 10.0   // upper bound of the credit
	reservedCredit         = 5.0    // credit that only checks which refresh load reports may use
)

// checkHealth requests a health check of e, and reports whether it did. It does not if health
// checks are not allowed, the credit is used up, or a check of e is outstanding.
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

// waitForFreshReport reports whether an attempt on e has to wait for a health check, because the
// last load report is too old, and requests a check if none is outstanding. If no check can be
// made, the attempt does not wait.
func (r *Router) waitForFreshReport(e *engine) bool {
	if r.now-e.reportedAt <= reportRefreshAge {
		return false
	}
	if e.checkingHealth {
		return true
	}
	return r.now > e.healthCheckAt && r.checkHealth(e)
}

// healthCheckEnded records the result of a health check.
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
