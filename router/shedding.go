package router

const (
	runTimeMargin = 1.2 // on the expected run time, when it is decided whether a query is given up
	minQueueShare = 0.5 // of the latency objective for which a query is always queued
	// a class that keeps this share of its benefit when late is queued past its objective
	lateBenefitThreshold = 0.5
)

// latestStart is the latest that c may start and be worth its work, if it runs as alone: later it could
// only miss its latency target or, where late answers keep most of their benefit, its client timeout.
func (r *Router) latestStart(q *query) float64 {
	class, alone := q.class, q.class.unloadedTime(q, r.now)
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - 1.5*alone
	}
	return min(q.firstTriedAt+class.LatencyObjective+class.ObjectivePerWork*alone, r.answerBy(q)) - alone
}

// shedDeadline is when a held command is given up: as startBy, but by how long such commands run lately, or
// overload would send all at the last moment. A part of its target is waited: one slow answer shuts none out.
func (r *Router) shedDeadline(q *query) float64 {
	class, by := q.class, r.latestStart(q)
	return max(by-max(0, runTimeMargin*class.expectedRunTime(q, r.now)-class.unloadedTime(q, r.now)), min(by,
		q.firstTriedAt+minQueueShare*class.LatencyObjective))
}

// rejectOrFail gives c its final answer at once: it is never parked to keep its client from asking again.
func (r *Router) rejectOrFail(q *query) {
	if q.done || q.responseStarted || q.answer != unanswered {
		return
	}
	q.answer, q.cancelWanted = failedFinally, true
	if r.mayReject(q) {
		q.answer = rejected
	}
	r.markChanged(q)
}

// RetryAfterDelay is how long a client that is shed should stay away, in ms: long, and not all together, by
// chance.
func (a Capabilities) RetryAfterDelay(chance float64) float64 {
	if !a.RetryAfter {
		return 0
	}
	return a.MaxRetryAfter * (0.5 + 0.5*chance)
}

// shedOverdue gives up the queued queries that can't be worth their work any more. Overload is taken from
// those alone that are on their client's first try: shedding for late retries would keep an overload up by
// their next retries.
func (r *Router) shedOverdue() {
	for _, q := range r.overdueQueries() {
		r.admission.objectiveMissed = true
		if q.firstTriedAt == q.arrivedAt {
			r.admission.overloadedUntil = r.now + overloadDuration
		}
		r.rejectOrFail(q)
	}
}
