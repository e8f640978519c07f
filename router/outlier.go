package router

import "math/bits"

const (
	outlierWindow       = 8      // last outcomes by which an engine counts as healthy or not
	outlierMinSuccesses = 3      // of these; with fewer successes it is not healthy
	minTrialWait        = 250.0  // ms until a trial attempt, after the first of a row of failures
	maxTrialWait        = 2000.0 // ms; each further failure doubles the wait up to this
	recentSuccessFor    = 5000.0 // ms for which a class's own success counts on an unhealthy engine
)

const (
	minClassBackoff = 200.0  // ms that a class avoids an engine after two failures or a rejection
	maxClassBackoff = 1000.0 // ms; each further one doubles the wait up to this
)

// healthy reports whether enough of the last attempts and health checks of an engine succeeded. It
// is the outlier detection for engines that died or hang. A short spell of failures takes a good
// engine out for a while.
func (e *engine) healthy() bool {
	return bits.OnesCount64(e.outcomes<<(64-outlierWindow)) >= outlierMinSuccesses
}

// recordOutcome records the outcome of an attempt or a health check.
func (e *engine) recordOutcome(now float64, success bool) {
	e.outcomes <<= 1
	if success {
		e.outcomes |= 1
		e.trialWait = minTrialWait
		return
	}
	e.trialAt = now + e.trialWait
	e.trialWait = min(maxTrialWait, 2*e.trialWait)
}

// usable reports whether a class may use an engine: it is healthy, or it is unhealthy for others
// but this class succeeded there lately, or it is due for a trial and has no other attempt.
func (r *Router) usable(class *queryClass, e *engine) bool {
	return e.healthy() ||
		e.classBackoff(class).succeededSince(r.now-recentSuccessFor) ||
		e.attempts == 0 && r.now >= e.trialAt
}

// recordAttemptOutcome records how an attempt did, for its engine and for its class there. Two
// failures of a class in a row keep that class away from the engine, and its success lets it stay
// where others fail: an engine that fails one class alone would else be ejected for all, or for
// none.
func (r *Router) recordAttemptOutcome(q *query, a *attempt, success bool) {
	e := a.engine
	backoff := e.classBackoff(q.class)
	e.recordOutcome(r.now, success)
	if success {
		backoff.decrease(r.now, a.startedAt, minClassBackoff)
		e.succeededAt = r.now
	} else if backoff.lastFailed {
		backoff.increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
	}
	backoff.lastFailed = !success
	a.failed = a.failed || !success
	r.updateBounds(e)
}

// backOff keeps the class of q away from the engine of one of its attempts for a while.
func (r *Router) backOff(q *query, a *attempt) {
	a.engine.classBackoff(q.class).increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
}

// classBackoff is the backoff of a class on an engine.
func (e *engine) classBackoff(class *queryClass) *backoff {
	return &e.classBackoffs[class.index]
}
