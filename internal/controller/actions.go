package controller

import (
	"time"

	"mintkeel/internal/request"
	"mintkeel/router"
)

// perform carries out one action of the step at the time now, in ms.
func (l *Loop) perform(action router.Action, now float64) {
	switch a := action.(type) {
	case router.StartAttempt:
		l.startAttempt(a, now)
	case router.CancelAttempt:
		l.cancelAttempt(a)
	case router.Reject:
		rejection := request.Answer{Verdict: request.Rejected, RetryAfter: duration(a.RetryAfter)}
		l.finishQuery(a.ID, rejection)
	case router.Fail:
		l.finishQuery(a.ID, request.Answer{Verdict: request.Failed})
	case router.CheckHealth:
		l.counts.HealthChecks++
		l.engines.CheckHealth(a.Engine)
	case router.SetTimer:
		l.timer.Reset(max(0, duration(a.After)))
	case router.Subscribe:
		// Nothing to do: the discovery watcher always runs.
	}
}

// startAttempt starts the next attempt of a query. The module starts attempts only for queries that
// are in flight.
func (l *Loop) startAttempt(a router.StartAttempt, now float64) {
	q := l.queries[a.ID]
	attempt := router.AttemptID(len(q.attempts))
	q.attempts = append(q.attempts, a.Engine)
	q.outstanding++
	l.counts.Attempts++
	startWithin := time.Duration(0) // no limit
	if a.StartBy > 0 {
		// A time in the past must remain a limit; 0 would mean none.
		startWithin = max(1, duration(a.StartBy-now))
	}
	l.engines.StartAttempt(q.Query, attempt, a.Engine, duration(a.Deadline-now), startWithin)
}

// cancelAttempt cancels an attempt, unless its query is no longer in flight.
func (l *Loop) cancelAttempt(a router.CancelAttempt) {
	q := l.queries[a.ID]
	if q == nil || int(a.Attempt) >= len(q.attempts) {
		return
	}
	l.counts.Cancels++
	l.engines.CancelAttempt(q.Query, a.Attempt, q.attempts[a.Attempt])
}

// finishQuery gives a query the module's final answer. Its state is kept until all of its attempts
// have an outcome, as later actions may still cancel them.
func (l *Loop) finishQuery(id router.QueryID, answer request.Answer) {
	if q := l.queries[id]; q != nil && !q.answered {
		l.answerQuery(q, answer)
		l.removeIfDone(q)
	}
}
