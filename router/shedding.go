package router

const (
	runTimeMargin        = 1.2 // factor on the expected run time in shedDeadline
	minQueueShare        = 0.5 // of the latency objective, for which a query stays queued in any case
	lateBenefitThreshold = 0.5 // LateBenefit from which queries stay queued past the objective
	lateRunTimeMargin    = 1.5 // factor on the unloaded time of these queries in latestStart
)

// latestStart is the latest time at which q can start and still be worth running, if it takes as
// long as on an idle engine. After that it could only miss its latency objective or, where late
// answers keep most of their benefit, its client timeout.
func (r *Router) latestStart(q *query) float64 {
	class := q.class
	unloaded := class.unloadedTime(q, r.now)
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - lateRunTimeMargin*unloaded
	}
	return min(q.firstTriedAt+class.LatencyObjective+class.ObjectivePerWork*unloaded,
		r.answerBy(q)) - unloaded
}

// shedDeadline is the time at which a queued query is shed: latestStart, less the time by which
// such queries recently run longer than on an idle engine. Without that reserve, in overload all
// queries would start at the last moment and be late. For minQueueShare of its latency objective a
// query stays queued in any case, so that one slow answer does not exclude a class.
func (r *Router) shedDeadline(q *query) float64 {
	class := q.class
	latest := r.latestStart(q)
	slower := max(0, runTimeMargin*class.expectedRunTime(q, r.now)-class.unloadedTime(q, r.now))
	return max(latest-slower, min(latest, q.firstTriedAt+minQueueShare*class.LatencyObjective))
}

// shedOverdue sheds the queued queries that are past their shedDeadline. Only those on their
// client's first try count as a sign of overload: if late retries did, shedding them would bring
// the next retries and sustain the overload.
func (r *Router) shedOverdue() {
	for _, q := range r.overdueQueries() {
		r.admission.objectiveMissed = true
		if q.firstTriedAt == q.arrivedAt {
			r.admission.overloadedUntil = r.now + overloadDuration
		}
		r.rejectOrFail(q, reasonOverdue)
	}
}

// rejectOrFail decides the final answer of q, for the given reason: it is rejected if a retry is
// harmless, and failed otherwise. The answer leaves with the actions of this step; it is never held
// back to keep the client from retrying. Attempts that run are cancelled.
func (r *Router) rejectOrFail(q *query, reason answerReason) {
	if q.done || q.responseStarted || q.answer != unanswered {
		return
	}
	q.answer = failedFinally
	if r.mayReject(q) {
		q.answer = rejected
	}
	q.reason = reason
	q.cancelWanted = true
	r.markChanged(q)
}

// RetryAfterDelay is the time in ms that a rejected client is asked to wait before it retries; 0 if
// rejections carry no such time. chance, from 0 to 1, spreads the retries over the second half of
// the longest wait allowed.
func (c Capabilities) RetryAfterDelay(chance float64) float64 {
	if !c.RetryAfter {
		return 0
	}
	return c.MaxRetryAfter * (0.5 + 0.5*chance)
}
