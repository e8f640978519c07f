package router

const (
	progressTimeoutIntervals = 1.6  // progress intervals without a message until an attempt counts as silent
	progressWeight           = 0.5  // of a first progress message in an engine's slowdown; an answer's is 1
	minProgressShare         = 0.01 // share of the work that a progress message counts as, at least
	badPlanFactor            = 4.0  // times the expected time from which the plan of an attempt counts as bad
	badPlanRemaining         = 1.5  // expected times that such an attempt must have left for a retry to pay
)

// attemptEnded handles the outcome of an attempt. A query without an answer goes back into the
// queue, where it waits for another engine, or gets its final answer if no further attempt is
// allowed.
func (r *Router) attemptEnded(ev AttemptEnded) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	r.recordEnd(q, a, ev)
	r.recordReport(a.engine, ev.Load)
	switch ev.Outcome {
	case Succeeded:
		r.attemptSucceeded(q, a, ev)
	case EngineFull, NotSent:
		r.attemptRejected(q, a)
	case Errored, ConnectFailed, ConnectionReset, TimedOut:
		r.attemptFailed(q, a, ev.Outcome)
	case Cancelled, Withdrawn:
		// These say nothing about the engine.
	}
	if q.done || q.answer != unanswered || q.responseStarted || q.awaited > 0 || a.abandoned {
		return
	}
	r.enqueue(q)
	if r.now >= r.answerBy(q) {
		r.rejectOrFail(q, reasonAnswerDue)
	} else if r.attemptsExhausted(q) {
		r.rejectOrFail(q, reasonAttemptsExhausted)
	}
}

// attemptSucceeded learns from an answer. An error of the same query on another engine was that
// engine's fault, as this one could answer it.
func (r *Router) attemptSucceeded(q *query, a *attempt, ev AttemptEnded) {
	r.recordAttemptOutcome(q, a, true)
	for i := range q.attempts {
		other := &q.attempts[i]
		if other.endedInError && other.engine != a.engine {
			r.backOff(q, other)
		}
	}
	class := q.class
	objectiveAt := q.firstTriedAt + class.LatencyObjective +
		class.ObjectivePerWork*class.unloadedTime(q, r.now)
	if r.now > objectiveAt {
		r.admission.objectiveMissed = true
	}
	r.learnFromSuccess(q, a.engine, ev)
}

// attemptRejected keeps the class away from an engine that was full for a while and cuts the
// engine's concurrency limit. Attempts that went on there would be rejected too, and queries would
// use up their attempts.
func (r *Router) attemptRejected(q *query, a *attempt) {
	e := a.engine
	r.backOff(q, a)
	e.threadsPerCore = max(minThreadsPerCore, e.threadsPerCore*limitDecreaseFactor)
	r.updateBounds(e)
}

// attemptFailed handles a failure of the engine. An error may be the query's own fault: it counts
// against the engine only if another one answers the query, or if the query may not be tried
// anywhere else.
func (r *Router) attemptFailed(q *query, a *attempt, outcome Outcome) {
	a.endedInError = outcome == Errored && q.class.Effect != NonIdempotent
	if !a.endedInError {
		r.recordAttemptOutcome(q, a, false)
	}
}

// attemptProgress handles a progress message, which reports a table lock or how slow the engine is.
// An attempt with a bad plan, or on an engine that has all but stopped, is cancelled if a retry is
// expected to end sooner. The work that is cancelled is lost. A query that is truly large would be
// cancelled again and again, so only queries with an estimate are.
func (r *Router) attemptProgress(ev AttemptProgress) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	firstMessage := a.lastHeardAt == a.startedAt
	a.lastHeardAt = r.now
	if ev.Kind == ProgressWaitsForTables {
		a.engine.tablesLockedUntil[q.tables] = r.now + tableLockMessageAge
		q.tables.addLockHolder(a.engine)
	}
	if ev.Kind != ProgressDone || ev.Value < 0 || ev.Value > 1 {
		return
	}
	unloaded := q.class.unloadedTime(q, r.now)
	elapsed := r.now - a.startedAt
	total := elapsed / max(ev.Value, minProgressShare)
	expected := unloaded * max(1, a.engine.meanSlowdown(r.now))
	if firstMessage && q.class.bestUnitTime > 0 {
		slowdown := min(maxSlowdownSample, total/unloaded)
		a.engine.slowdown.add(r.now, progressWeight*slowdown, progressWeight)
		r.updateBounds(a.engine)
	}
	badPlan := total > badPlanFactor*expected && total-elapsed > badPlanRemaining*expected
	if badPlan && r.mayCancelToRetry(q) {
		q.cancelWanted = true
		r.markChanged(q)
	}
}

// mayCancelToRetry reports whether q may be cancelled in order to be retried.
func (r *Router) mayCancelToRetry(q *query) bool {
	return q.estimatedWork > 0 && !q.done && q.class.Effect == Idempotent &&
		!r.attemptsExhausted(q) && r.retryBudgetAllows()
}

// progressTimeout is the time in ms without a message after which an attempt counts as silent; +Inf
// where engines send no progress messages.
func (r *Router) progressTimeout() float64 {
	return progressTimeoutIntervals*r.capabilities.ProgressInterval + windowSlack
}

// checkQuery is what an alarm of q asks for: its final answer if that is due, and a retry for each
// attempt that has gone silent. It guards against answers that get lost and against engines that
// hang though they still answer health checks. If only progress messages were lost the query runs
// twice.
func (r *Router) checkQuery(q *query) {
	if r.now >= r.answerBy(q) {
		r.rejectOrFail(q, reasonAnswerDue)
	}
	for i := range q.attempts {
		a := &q.attempts[i]
		if q.done || q.responseStarted || q.answer != unanswered {
			return
		}
		if a.outstanding && !a.abandoned && !a.cancelled {
			r.handleSilentAttempt(q, a)
		}
	}
}

// handleSilentAttempt counts a silent attempt of q as failed (its later outcome counts too) and
// replaces it: it is cancelled where that is possible, else abandoned where a hedged attempt may
// run beside it. The retry goes through the queue as any other.
func (r *Router) handleSilentAttempt(q *query, a *attempt) {
	silentAt := a.lastHeardAt + r.progressTimeout()
	if r.now < silentAt {
		r.setAlarm(silentAt, q)
		return
	}
	if !r.repeatable(q, a) || len(q.attempts) >= r.capabilities.MaxAttempts || !r.retryBudgetAllows() {
		return
	}
	r.recordAttemptOutcome(q, a, false)
	if r.capabilities.Cancel {
		q.cancelWanted = true
		r.markChanged(q)
	} else if r.capabilities.Hedging {
		r.abandonAttempt(q, a)
		r.enqueue(q)
	}
}

// repeatable reports whether q may be repeated although an attempt may still run.
func (r *Router) repeatable(q *query, a *attempt) bool {
	switch q.class.Effect {
	case Idempotent:
		return true
	case Deduplicated:
		return r.now < q.class.repeatDeadline(a.startedAt)
	default:
		return false
	}
}
