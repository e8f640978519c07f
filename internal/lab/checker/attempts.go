package checker

import (
	"slices"

	"mintkeel/router"
)

// checkAttempt checks one attempt against every rule that it can break, and records it.
func (ch *Checker) checkAttempt(
	controller int, now float64, inc *incarnation, a router.StartAttempt,
) {
	q := inc.queries[a.ID]
	if q == nil || q.done {
		ch.breach(FinalAnswer, now, controller, "query %d started after its end", a.ID)
		return
	}
	ch.Attempts++
	if q.responseStarted {
		ch.breach(FinalAnswer, now, controller, "query %d started though its response has started", a.ID)
	}
	e, known := inc.endpoints[a.Engine]
	if !known {
		ch.breach(Contract, now, controller, "query %d started on %s, which was never listed",
			a.ID, a.Engine)
		return
	}
	ch.checkDraining(controller, now, inc, q, e)
	ch.checkPlacement(controller, now, q, e)
	ch.checkRepeat(controller, now, q, e)
	ch.checkOrdering(controller, now, inc, q)
	ch.checkRetryBudget(controller, now, inc, q)
	ch.checkSlowStart(controller, now, q, e)
	q.attempts = append(q.attempts, attempt{startedAt: now, engine: e})
}

// checkDraining checks that the engine was last listed as ready. While the endpoint list is
// expired, it also checks that no drain of the engine is old enough to count as notified.
func (ch *Checker) checkDraining(
	controller int, now float64, inc *incarnation, q *query, e router.Endpoint,
) {
	if e.State != router.Ready {
		ch.breach(Draining, now, controller, "query %d started on %s, listed in state %d",
			q.ID, e.Engine, e.State)
	}
	if inc.expiredFor == 0 {
		return
	}
	for _, at := range ch.drainedAt[e.Engine] {
		notified := at >= e.StartedAt && now-at > inc.expiredFor
		if notified && !ch.engineStartedSince(e.Engine, at) {
			ch.breach(Draining, now, controller,
				"query %d started on %s, the drain of which counts as notified for %.1f ms",
				q.ID, e.Engine, now-at)
		}
	}
}

func (ch *Checker) checkPlacement(controller int, now float64, q *query, e router.Endpoint) {
	allowed := permits(q.class.Kinds, e.Kind) && permits(q.class.Zones, e.Zone) &&
		permits(q.Kinds, e.Kind) && permits(q.Zones, e.Zone)
	if !allowed {
		ch.breach(Placement, now, controller, "query %d started on kind %d, zone %q",
			q.ID, e.Kind, e.Zone)
	}
}

// permits reports whether a list of allowed values contains x; a nil list allows every value.
func permits[T comparable](list []T, x T) bool { return list == nil || slices.Contains(list, x) }

// checkRepeat checks a retry or a hedged request: that the settings allow it, and that it can't
// cause the query's effect a second time.
func (ch *Checker) checkRepeat(controller int, now float64, q *query, e router.Endpoint) {
	if len(q.attempts) == 0 {
		return
	}
	ch.Retries++
	capabilities := &ch.settings.Capabilities
	if len(q.attempts) >= capabilities.MaxAttempts {
		ch.breach(Contract, now, controller, "query %d started %d times", q.ID, len(q.attempts)+1)
	}
	if q.outstanding() && !capabilities.Hedging {
		ch.breach(SingleEffect, now, controller, "query %d started while an attempt is outstanding", q.ID)
	}
	class := q.class
	unresolved := q.unresolved()
	switch {
	case unresolved == nil || class.Effect == router.Idempotent:
	case class.Effect == router.NonIdempotent:
		ch.breach(SingleEffect, now, controller, "query %d started again though it may have run", q.ID)
	case !sameScope(class.Scope, unresolved.engine, e):
		ch.breach(SingleEffect, now, controller,
			"query %d started outside of the engines that drop its repeats", q.ID)
	case now > unresolved.startedAt+class.DeduplicationWindow+tolerance:
		ch.breach(SingleEffect, now, controller, "query %d started %.1f ms after its window",
			q.ID, now-unresolved.startedAt-class.DeduplicationWindow)
	}
}

// sameScope reports whether two engines share the record by which repeats are deduplicated.
func sameScope(scope router.DeduplicationScope, a, b router.Endpoint) bool {
	switch scope {
	case router.ScopeAll:
		return true
	case router.ScopeZone:
		return a.Zone == b.Zone
	default:
		return a.Cell == b.Cell
	}
}

// checkOrdering checks for each ordering key of a query that no earlier query is unfinished, that
// no later one has an outstanding attempt, and that the key is not in cooldown.
func (ch *Checker) checkOrdering(controller int, now float64, inc *incarnation, q *query) {
	for _, key := range q.keys {
		ahead := true
		for _, other := range inc.orderingQueues[key] {
			if other == q {
				ahead = false
			} else if ahead || other.outstanding() {
				ch.breach(Ordering, now, controller,
					"query %d started while %d of key %q is ahead or outstanding", q.ID, other.ID, key)
			}
		}
		cooldown := inc.cooldownUntil[key]
		if len(q.attempts) == 0 && now < cooldown-tolerance {
			ch.breach(Ordering, now, controller, "query %d started in the cooldown of key %q, %.1f ms early",
				q.ID, key, cooldown-now)
		}
	}
}

func (ch *Checker) checkRetryBudget(controller int, now float64, inc *incarnation, q *query) {
	limits := &ch.settings.Limits
	if !limits.RetryBudgeted || len(q.attempts) == 0 {
		return
	}
	inc.retriedAt = append(inc.retriedAt, now)
	from := now - limits.RetryBudgetWindow
	retries := countWithin(inc.retriedAt, from, now)
	queries := countWithin(inc.arrivedAt, from, now)
	allowed := limits.RetryBudgetMin + limits.RetryBudgetRatio*float64(queries)
	if float64(retries) > allowed+tolerance {
		ch.breach(RetryBudget, now, controller, "%d retries in the window, %.2f allowed", retries, allowed)
	}
}

// countWithin counts the times in (from, to]; times are in ascending order.
func countWithin(times []float64, from, to float64) int {
	count := 0
	for i := len(times) - 1; i >= 0 && times[i] > from; i-- {
		if times[i] <= to {
			count++
		}
	}
	return count
}

// checkSlowStart bounds the work that all controllers together start on a warming engine within
// the window. It assumes the lowest capacity of the slow start throughout.
func (ch *Checker) checkSlowStart(controller int, now float64, q *query, e router.Endpoint) {
	limits := &ch.settings.Limits
	warming := e.StartedAt != 0 && now <= e.StartedAt+limits.SlowStartTime
	if limits.SlowStartOverload <= 0 || !warming {
		return
	}
	cores := defaultCores
	if e.Kind >= 0 {
		cores = ch.settings.Kinds[e.Kind].Cores
	}
	ch.SlowStartAttempts++
	process := engineProcess{e.Engine, e.StartedAt}
	started := append(ch.startWork[process], timedWork{now, q.work})
	ch.startWork[process] = started
	allowed := limits.SlowStartOverload * limits.SlowStartCapacity * cores * limits.SlowStartWindow
	sum := 0.0
	for i := len(started) - 1; i >= 0 && started[i].at > now-limits.SlowStartWindow; i-- {
		sum += started[i].work
	}
	if sum > allowed {
		ch.breach(SlowStart, now, controller, "%s was given %.0f ms of work in the window, of %.0f",
			e.Engine, sum, allowed)
	}
}
