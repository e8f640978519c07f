package checker

import (
	"math"

	"mintkeel/router"
)

// ActionsTaken checks and records the actions that a controller takes in one step, in their order.
func (ch *Checker) ActionsTaken(controller int, now float64, actions []router.Action) {
	inc := ch.incarnations[controller]
	for _, action := range actions {
		ch.checkAction(controller, now, inc, action)
	}
	// Queries are dropped only after all actions of the step are checked, so that a second final
	// answer to a query in the same step is found.
	for _, action := range actions {
		switch a := action.(type) {
		case router.Reject:
			inc.forgetByID(a.ID)
		case router.Fail:
			inc.forgetByID(a.ID)
		}
	}
}

func (inc *incarnation) forgetByID(id router.QueryID) {
	if q := inc.queries[id]; q != nil {
		inc.forgetIfDone(q)
	}
}

func (ch *Checker) checkAction(controller int, now float64, inc *incarnation, action router.Action) {
	capabilities := &ch.settings.Capabilities
	switch a := action.(type) {
	case router.StartAttempt:
		ch.checkAttempt(controller, now, inc, a)
	case router.Reject:
		ch.checkRejection(controller, now, inc, a)
	case router.Fail:
		ch.Failures++
		ch.checkFinalAnswer(controller, now, inc, a.ID, "failed")
	case router.CancelAttempt:
		q := inc.queries[a.ID]
		if !capabilities.Cancel || q != nil && int(a.Attempt) >= len(q.attempts) {
			ch.breach(Contract, now, controller, "attempt %d of query %d cancelled", a.Attempt, a.ID)
		}
	case router.CheckHealth:
		if _, known := inc.endpoints[a.Engine]; !known || !capabilities.HealthChecks {
			ch.breach(Contract, now, controller, "health of engine %s checked", a.Engine)
		}
	case router.Subscribe:
		inc.polledAt = now
	case router.SetTimer:
		if !(a.After > 0) { // NaN is refused too
			ch.breach(Contract, now, controller, "timer set to %v ms", a.After)
		}
	}
}

// checkRejection checks a rejection. It tells the client that a retry is safe, so a query whose
// effect may happen only once must have no attempt that may have run.
func (ch *Checker) checkRejection(
	controller int, now float64, inc *incarnation, a router.Reject,
) {
	ch.Rejections++
	ch.checkFinalAnswer(controller, now, inc, a.ID, "rejected")
	if q := inc.queries[a.ID]; q != nil && q.unresolved() != nil {
		class := q.class
		onceOnly := class.Effect == router.NonIdempotent ||
			class.Effect == router.Deduplicated && class.Scope != router.ScopeAll
		if onceOnly {
			ch.breach(SingleEffect, now, controller, "query %d rejected though it may have run", a.ID)
		}
	}
	maxRetryAfter := ch.settings.Capabilities.MaxRetryAfter
	if a.RetryAfter < 0 || a.RetryAfter > maxRetryAfter+tolerance || math.IsNaN(a.RetryAfter) {
		ch.breach(Contract, now, controller, "query %d rejected for %v ms", a.ID, a.RetryAfter)
	}
}

// checkFinalAnswer checks that a final answer is the only one of its query and is given in time.
func (ch *Checker) checkFinalAnswer(
	controller int, now float64, inc *incarnation, id router.QueryID, how string,
) {
	q := inc.queries[id]
	if q == nil {
		ch.breach(Contract, now, controller, "query %d, which is not known, %s", id, how)
		return
	}
	by := inc.answerBy(q)
	switch {
	case q.done:
		ch.breach(FinalAnswer, now, controller, "query %d %s after its end", id, how)
	case q.responseStarted:
		ch.breach(FinalAnswer, now, controller, "query %d %s though its response has started", id, how)
	case now > by+ch.settings.Limits.EventInterval+tolerance:
		ch.breach(FinalAnswer, now, controller, "query %d %s %.1f ms after its timeout", id, how, now-by)
	}
	q.done = true
}
