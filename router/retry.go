package router

const (
	silenceIntervals = 1.6 // progress intervals without a message after which an attempt counts as silent
	progressWeight   = 0.5 // weight of a first progress message in an engine's slowdown; an answer's is 1
	badPlanFactor    = 4.0 // times the expected run time from which a plan counts as bad
	badPlanRemaining = 1.5 // expected run times that such an attempt must have left for a cancel to pay
)

func (r *Router) attemptEnded(ev AttemptEnded) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	r.recordEnd(q, a, ev)
	r.recordReport(a.engine, ev.Load)
	switch ev.Outcome {
	case Succeeded:
		r.recordAttemptOutcome(q, a, true)
		for _, o := range q.attempts {
			if o.endedInError && o.engine != a.engine { // on what another can do
				o.engine.classBackoff(q.class).increase(r.now, o.startedAt, minClassBackoff, maxClassBackoff)
			}
		}
		r.admission.objectiveMissed = r.admission.objectiveMissed ||
			r.now > q.firstTriedAt+q.class.LatencyObjective+q.class.ObjectivePerWork*q.class.unloadedTime(q, r.now)
		r.learnFromSuccess(q, a.engine, ev)
	case EngineFull, NotSent: // sending on would use up the sends of commands, and others may fare well there
		a.engine.classBackoff(q.class).increase(r.now, a.startedAt, minClassBackoff, maxClassBackoff)
		a.engine.threadsPerCore = max(minThreadsPerCore, a.engine.threadsPerCore*limitCutFactor)
		r.updateBounds(a.engine)
	// an error may be the command's own fault, unless another answers it
	case Errored, ConnectFailed, ConnectionReset, TimedOut:
		if a.endedInError = ev.Outcome == Errored && q.class.Effect != NonIdempotent; !a.endedInError {
			r.recordAttemptOutcome(q, a, false)
		}
	}
	if q.done || q.answer != unanswered || q.responseStarted || q.awaited > 0 || a.abandoned {
		return
	}
	if r.enqueue(q); r.now >= r.answerBy(q) || r.attemptsExhausted(q) {
		r.rejectOrFail(q)
	}
}

// attemptProgress cancels a plan drawn badly, or a send on an engine that has all but stopped. Harm: work
// is lost of a command that is truly large, so it acts only with an estimate.
func (r *Router) attemptProgress(ev AttemptProgress) {
	q, a := r.outstandingAttempt(ev.ID, ev.Attempt)
	if a == nil {
		return
	}
	first := a.lastHeardAt == a.startedAt
	if a.lastHeardAt = r.now; ev.Kind == ProgressWaitsForTables {
		a.engine.tablesLockedUntil[q.tables] = r.now + tableLockNoteLife
		q.tables.addLockHolder(a.engine)
	}
	alone, passed := q.class.unloadedTime(q, r.now), r.now-a.startedAt
	total, should := passed/max(ev.Value, 0.01), alone*max(1, a.engine.slowdown.mean(r.now, 1, 1))
	if ev.Kind != ProgressDone || ev.Value < 0 || ev.Value > 1 { // or no share that an engine can mean
		return
	}
	if q.class.bestUnitTime > 0 && first {
		a.engine.slowdown.add(r.now, progressWeight*min(20, total/alone), progressWeight)
		r.updateBounds(a.engine)
	}
	if q.estimatedWork > 0 && !q.done && q.class.Effect == Idempotent && !r.attemptsExhausted(q) &&
		r.retryBudgetAllows() &&
		total > badPlanFactor*should && total-passed > badPlanRemaining*should {
		q.cancelWanted = true
		r.markChanged(q)
	}
}

func (r *Router) silenceLimit() float64 {
	return silenceIntervals*r.capabilities.ProgressInterval + windowSlack
}

// checkQuery is what a command's alarm asks for: its end or, if a send has gone quiet, another. Against
// answers that are lost and engines that hang, though they answer probes. Harm: if only notes are lost it
// runs twice.
func (r *Router) checkQuery(q *query) {
	if r.now >= r.answerBy(q) {
		r.rejectOrFail(q)
	}
	for i := range q.attempts {
		a, class := &q.attempts[i], q.class
		if q.done || q.responseStarted || q.answer != unanswered || !a.outstanding || a.abandoned || a.cancelled {
			continue
		}
		again := class.Effect == Idempotent || class.Effect == Deduplicated &&
			r.now < class.repeatDeadline(a.startedAt)
		if quiet := a.lastHeardAt + r.silenceLimit(); r.now < quiet {
			r.setAlarm(quiet, q)
		} else if again && len(q.attempts) < r.capabilities.MaxAttempts && r.retryBudgetAllows() {
			r.recordAttemptOutcome(q, a, false)
			if r.capabilities.Cancel {
				q.cancelWanted = true
				r.markChanged(q)
			} else if r.capabilities.Hedging {
				r.abandonAttempt(q, a)
				r.enqueue(q)
			}
		}
	}
}
