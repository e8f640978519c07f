package router

const (
	runTimeMargin        = 1.2 // factor on the expected run time in shedDeadline
	minQueueShare        = 0.5 // of the latency objective, for which a query is queued in any case
	lateBenefitThreshold = 0.5 // LateBenefit from which a query is queued past its latency objective
	lateRunTimeMargin    = 1.5 // factor on the unloaded time of queries with such a benefit
)

// latestStart is the latest time at which q can start and be worth its work, if it runs as on an
// idle engine. Started later it could only miss its latency objective or, where late answers keep
// most of their benefit, its client timeout.
func (r *Router) latestStart(q *query) float64 {
	class := q.class
	unloaded := class.unloadedTime(q, r.now)
	if class.LateBenefit >= lateBenefitThreshold {
		return r.answerBy(q) - lateRunTimeMargin*unloaded
	}
	return min(q.firstTriedAt+class.LatencyObjective+class.ObjectivePerWork*unloaded,
		r.answerBy(q)) - unloaded
}

// shedDeadline is the time at which a queued query is given up. It is latestStart, less what such
// queries lately take longer than on an idle engine: otherwise, in overload, all would start at the
// last moment and be late. For a part of its latency objective it is queued in any case, so that
// one slow answer does not shut out a class.
func (r *Router) shedDeadline(q *query) float64 {
	class := q.class
	latest := r.latestStart(q)
	slower := max(0, runTimeMargin*class.expectedRunTime(q, r.now)-class.unloadedTime(q, r.now))
	return max(latest-slower, min(latest, q.firstTriedAt+minQueueShare*class.LatencyObjective))
}

// shedOverdue gives up the queued queries that are past their shedDeadline. Only those that are on
// their client's first try make it an overload: if late retries did, shedding them would bring the
// next retries and keep it up.
func (r *Router) shedOverdue() {
	for _, q := range r.overdueQueries() {
		r.admission.objectiveMissed = true
		if q.firstTriedAt == q.arrivedAt {
			r.admission.overloadedUntil = r.now + overloadDuration
		}
		r.rejectOrFail(q, reasonOverdue)
	}
}

// rejectOrFail decides the final answer of q, which leaves with the actions of this step, for the
// reason named. A query that was given up is never held back to keep its client from retrying. It
// is rejected if a retry is harmless, else failed; attempts that run are cancelled.
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

// RetryAfterDelay is the time in ms that a rejected client should wait before it retries; 0 if
// rejections don't say. chance, from 0 to 1, spreads the retries over the second half of the
// longest wait allowed.
func (c Capabilities) RetryAfterDelay(chance float64) float64 {
	if !c.RetryAfter {
		return 0
	}
	return c.MaxRetryAfter * (0.5 + 0.5*chance)
}
