package router

import "math/bits"

const (
	outlierWindow       = 8      // number of last outcomes by which an engine is healthy or not
	outlierMinSuccesses = 3      // successes among them that a healthy engine needs
	minTrialWait        = 250.0  // ms from the first of consecutive failures until a trial attempt
	maxTrialWait        = 2000.0 // ms; each further failure doubles the wait up to this
	recentSuccessFor    = 5000.0 // ms for which a class's success lets it use an unhealthy engine
)

const (
	minClassBackoff = 200.0  // ms that a class avoids an engine, after two failures or a rejection
	maxClassBackoff = 1000.0 // ms; each further one doubles the wait up to this
)

// healthy reports whether enough of the last attempts and health checks of an engine succeeded. It
// is the outlier detection for engines that have crashed or hang. A short burst of failures ejects
// a good engine for a while.
func (e *engine) healthy() bool {
	return bits.OnesCount64(e.outcomes<<(64-outlierWindow)) >= outlierMinSuccesses
}

// recordOutcome records the outcome of an attempt or a health check, and schedules a trial after a
// failure.
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

// usable reports whether a class may use an engine: the engine is healthy, or the class itself
// succeeded there recently, or a trial is due and the engine has no other attempt.
func (r *Router) usable(class *queryClass, e *engine) bool {
	return e.healthy() ||
		e.classBackoff(class).succeededSince(r.now-recentSuccessFor) ||
		e.attempts == 0 && r.now >= e.trialAt
}

// recordAttemptOutcome records the success or failure of an attempt for its engine and for its
// class there. Two consecutive failures make the class back off from the engine, and a success lets
// the class use the engine while others fail. Otherwise an engine that fails one class alone would
// be ejected for all classes, or for none.
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

// backOff makes the class of q back off from the engine of one of its attempts.
func (r *Router) backOff(q *query, a *attempt) {
	a.engine.classBackoff(q.class).increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
}

// classBackoff is the backoff state of a class on an engine.
func (e *engine) classBackoff(class *queryClass) *backoff {
	return &e.classBackoffs[class.index]
}
