package router

const (
	progressTimeoutIntervals = 1.6  // progress intervals in progressTimeout
	progressWeight           = 0.5  // of a first progress message in an engine's slowdown; answers: 1
	minProgressShare         = 0.01 // lower bound of the share of the work that a message reports
	badPlanFactor            = 4.0  // projected over expected run time, above which a plan is bad
	badPlanRemaining         = 1.5  // expected run times that must remain for a retry to pay
)

// attemptEnded handles the outcome of an attempt. A query without an answer goes back into the
// queue, where it waits for an engine, or gets its final answer if no further attempt is allowed.
func (r *Router) attemptEnded(ev AttemptEnded) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	r.recordAttemptEnd(q, a, ev)
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

// attemptSucceeded learns from an answer. If the same query failed with an error on another engine,
// its class backs off from that engine: the error was the engine's fault, as this one could answer
// the query.
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

// attemptRejected makes the class back off from an engine that was full, and decreases the engine's
// concurrency limit. Otherwise attempts would go on there, be rejected too, and use up the attempts
// of their queries.
func (r *Router) attemptRejected(q *query, a *attempt) {
	e := a.engine
	r.backOff(q, a)
	e.threadsPerCore = max(minThreadsPerCore, e.threadsPerCore*limitDecreaseFactor)
	r.updateBounds(e)
}

// attemptFailed handles a failed attempt. An error may be the query's own fault: it counts against
// the engine only if another engine answers the query, or if the query may not be tried anywhere
// else.
func (r *Router) attemptFailed(q *query, a *attempt, outcome Outcome) {
	a.endedInError = outcome == Errored && q.class.Effect != NonIdempotent
	if !a.endedInError {
		r.recordAttemptOutcome(q, a, false)
	}
}

// attemptProgress handles a progress message, which may report a table lock or the share of the
// work that is done. An attempt with a bad plan, or on an engine that has almost stopped, is
// cancelled if a retry is expected to finish sooner. Its work is lost. Only queries with an
// estimate are cancelled, because a query that is truly large would be cancelled again and again.
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

// mayCancelToRetry reports whether an attempt of q may be cancelled in order to retry q.
func (r *Router) mayCancelToRetry(q *query) bool {
	return q.estimatedWork > 0 && !q.done && q.class.Effect == Idempotent &&
		!r.attemptsExhausted(q) && r.retryBudgetAllows()
}

// progressTimeout is the time in ms without a message after which an attempt counts as silent; +Inf
// if engines send no progress messages.
func (r *Router) progressTimeout() float64 {
	return progressTimeoutIntervals*r.capabilities.ProgressInterval + windowSlack
}

// checkQuery handles an alarm of q: it decides the final answer if that is due, and has silent
// attempts replaced. This guards against answers that get lost, and against engines that hang but
// still answer health checks. If only progress messages were lost, the query runs twice.
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

// handleSilentAttempt replaces an attempt of q if it is silent and may be repeated; if it is not
// silent yet, an alarm is set for when it will be. A silent attempt counts as failed, and its later
// outcome counts as well. It is cancelled where that is possible; otherwise, where hedging is
// allowed, it is abandoned and a second attempt may run beside it. The retry goes through the queue
// like any other.
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

// repeatable reports whether q may be repeated while an attempt may still be running.
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
