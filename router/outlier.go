package router

import (
	"math/bits"
)

const (
	outlierWindow       = 8      // last outcomes by which an engine is called healthy or not
	outlierMinSuccesses = 3      // of these; with fewer successes it is not healthy
	minTrialWait        = 250.0  // ms until an unhealthy engine gets a trial attempt, after its first failure
	maxTrialWait        = 2000.0 // ms; each further failure doubles the wait up to this
	recentSuccessFor    = 5000.0 // ms for which a class's own success counts on an engine that is not healthy
)

func (e *engine) healthy() bool {
	return bits.OnesCount64(e.outcomes<<(64-outlierWindow)) >= outlierMinSuccesses
}

// recordOutcome takes in an outcome, of probes too, against engines that died or hang. Harm: a short spell
// idles one.
func (e *engine) recordOutcome(now float64, good bool) {
	if e.outcomes <<= 1; good {
		e.outcomes, e.trialWait = e.outcomes|1, minTrialWait
	} else {
		e.trialAt, e.trialWait = now+e.trialWait, min(maxTrialWait, 2*e.trialWait)
	}
}

// recordAttemptOutcome takes in how a send did. Two failures of a profile in a row rest it there, its
// success speaks for it where others fail: against engines that fail one profile alone, and were left out
// by all, or by none.
func (r *Router) recordAttemptOutcome(q *query, a *attempt, good bool) {
	t := a.engine.classBackoff(q.class)
	if a.engine.recordOutcome(r.now, good); good {
		t.decrease(r.now, a.startedAt, minClassBackoff)
		a.engine.succeededAt = r.now
	} else if t.lastFailed {
		t.increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
	}
	t.lastFailed, a.failed = !good, a.failed || !good
	r.updateBounds(a.engine)
}

// classBackoff is the rest of a profile at an engine.
func (e *engine) classBackoff(class *queryClass) *backoff {
	return &e.classBackoffs[class.index]
}
