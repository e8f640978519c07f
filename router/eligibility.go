package router

import (
	"math"
	"slices"
)

const (
	// windowSlack is the time in ms by which the time windows of the rules are kept wider than
	// configured, or narrower where that is the safe side: engines' clocks differ from this
	// controller's, and messages take time.
	windowSlack = 60.0
	// answerLeadIntervals is the number of event intervals before its client timeout by which a query
	// must have its final answer.
	answerLeadIntervals = 2.0
	// answerLead is additional time in ms for the answer to reach the client.
	answerLead = 5.0
)

// eligible reports whether an attempt of q may start on e now. Every attempt, first or retry,
// passes this check. It enforces rules 2 (repeats), 3 (drains), 4 (slow start), 5 (order), 6
// (placement) and 7 (retry budget).
func (r *Router) eligible(q *query, e *engine) bool {
	return e.state == Ready &&
		r.endpointTrusted(e) &&
		q.placementAllows(e.kind, e.zone) &&
		r.startable(q) &&
		q.repeatAllowedOn(e) &&
		r.slowStartAllows(q, e)
}

// startable is the part of eligible that does not depend on the engine.
func (r *Router) startable(q *query) bool { return r.whyWaiting(q) == notWaiting }

// whyWaiting returns the first reason for which no attempt of q may start on any engine now, or
// notWaiting.
func (r *Router) whyWaiting(q *query) waitReason {
	switch {
	case !r.headOfQueues(q):
		return waitOrdering
	case q.done || q.responseStarted || q.answer != unanswered:
		return waitAnswered
	case q.awaited > 0:
		return waitOutcome
	case r.now >= r.answerBy(q):
		return waitAnswerDue
	case r.attemptsExhausted(q):
		return waitAttemptsExhausted
	case len(q.attempts) > 0 && !r.retryBudgetAllows():
		return waitRetryBudget
	default:
		return notWaiting
	}
}

// repeatAllowedOn is rule 2 for one engine: a query with an attempt that may have run may be
// repeated only if it is idempotent, or on an engine that recognizes the repeat and drops it.
func (q *query) repeatAllowedOn(e *engine) bool {
	return q.unresolved == nil ||
		q.class.Effect == Idempotent ||
		q.class.Scope.covers(q.unresolved, e)
}

// placementAllows is rule 6: it reports whether q may run on engines of a kind in a zone, by the
// configuration of its class and by the operator's rules that narrow it.
func (q *query) placementAllows(kind KindID, zone Zone) bool {
	return permits(q.class.Kinds, kind) && permits(q.class.Zones, zone) &&
		permits(q.kinds, kind) && permits(q.zones, zone)
}

// permits reports whether a list of allowed values contains x; a nil list allows all values.
func permits[T comparable](list []T, x T) bool { return list == nil || slices.Contains(list, x) }

// endpointTrusted is rule 3 while the endpoint list has expired and e may have begun to drain
// without notice. A draining engine rejects new work, so an answer proves that e was not draining
// when the attempt started. e is trusted if that was less than expiredFor ago: a drain that began
// later does not count as notified yet.
//
// e is not trusted if a connection to it was lost since the last update and since its last answer:
// its process may have been replaced by one that is warming up, or another engine may have its
// address.
func (r *Router) endpointTrusted(e *engine) bool {
	if r.endpoints.expiredFor == 0 {
		return true
	}
	return e.connectionLostAt < r.endpoints.updatedAt &&
		r.now-e.answeredStartAt < r.endpoints.expiredFor
}

// headOfQueues is rule 5: it reports whether q is at the head of the queue of each of its ordering
// keys, no query behind it has an attempt outstanding, and no key is in cooldown. All queues are
// ordered by arrival, so the query that arrived first is at the head of all its queues, and queries
// can't deadlock. A retry does not wait for cooldowns: those of its keys began with its own
// attempt, except for a key that was added since.
func (r *Router) headOfQueues(q *query) bool {
	for _, queue := range q.queues {
		if queue.queries[0] != q || queue.followerOutstanding() {
			return false
		}
		if len(q.attempts) == 0 && r.now < queue.cooldownUntil {
			return false
		}
	}
	return true
}

// cooldownEnd is the end of a cooldown that begins now, after an attempt that may still be running:
// the configured time plus one event interval, because the outcome may have been handed over that
// late.
func (r *Router) cooldownEnd() float64 {
	return r.now + r.limits.OrderingCooldown + r.limits.EventInterval
}

// answerBy is the time by which q must have its final answer (rule 1): before its client timeout,
// and before a planned shutdown, so that the client of a query that can't be done by then learns it
// at once and can turn to another controller.
func (r *Router) answerBy(q *query) float64 {
	return min(q.deadline, r.shutdownAt) - answerLeadIntervals*r.limits.EventInterval - answerLead
}

// attemptsExhausted reports whether no further attempt of q can ever be allowed: MaxAttempts is
// reached, or an attempt may have run and rule 2 forbids a repeat on any engine.
func (r *Router) attemptsExhausted(q *query) bool {
	if len(q.attempts) >= r.capabilities.MaxAttempts {
		return true
	}
	if q.unresolved == nil {
		return false
	}
	switch q.class.Effect {
	case NonIdempotent:
		return true
	case Deduplicated:
		return r.now > q.class.repeatDeadline(q.unresolvedAt)
	default:
		return false
	}
}

// repeatDeadline is the latest time at which a repeat may be sent of a deduplicated query that was
// first sent at the given time. Later, engines may have forgotten its idempotency key.
func (class *queryClass) repeatDeadline(firstSent float64) float64 {
	return firstSent + class.DeduplicationWindow - windowSlack
}

// attemptStartBy is the time by which an attempt of q on e must be sent; 0: no limit. A connection
// may be established late, and the attempt may not be eligible any more when it is sent: a repeat
// could be past its deduplication window, a drain could count as notified, and an attempt on a
// warming engine or a retry could fall into the next window of its limit. An attempt that is not
// sent by then is withdrawn and decided again, although some of these would have been harmless.
func (r *Router) attemptStartBy(q *query, e *engine) float64 {
	by := math.Inf(1)
	if q.unresolved != nil && q.class.Effect == Deduplicated {
		by = q.class.repeatDeadline(q.unresolvedAt)
	}
	if r.endpoints.expiredFor > 0 {
		by = min(by, e.answeredStartAt+r.endpoints.expiredFor)
	}
	budgeted := len(q.attempts) > 0 && r.limits.RetryBudgeted
	warming := !math.IsInf(r.slowStartAllowance(e), 1)
	if budgeted || warming {
		by = min(by, r.now+windowSlack)
	}
	if math.IsInf(by, 1) {
		return 0
	}
	return by
}

// mayReject is rule 2 for the answer: it reports whether q may be rejected, which promises that a
// retry is harmless. It is if no attempt can have run, or if a repeat has no further effect on any
// engine.
func (r *Router) mayReject(q *query) bool {
	mayHaveRun := q.unresolved != nil || q.awaited > 0
	if !mayHaveRun || q.class.Effect == Idempotent {
		return true
	}
	return q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
}
