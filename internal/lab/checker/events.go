package checker

import "mintkeel/router"

// EventsDelivered records the events that a controller receives in one step, before it decides.
// The work function returns the work that a query really needs, in ms on one thread.
func (ch *Checker) EventsDelivered(
	controller int, now float64, events []router.Event, work func(router.QueryID) float64,
) {
	inc := ch.incarnations[controller]
	for _, event := range events {
		switch ev := event.(type) {
		case router.EndpointsUpdated:
			inc.updateEndpoints(now, ev)
		case router.QueryArrived:
			ch.queryArrived(now, inc, ev, work(ev.ID))
		case router.OrderingKeyAdded:
			if q := inc.queries[ev.ID]; q != nil {
				inc.addKey(q, ev.Key)
			}
		case router.ResponseStarted:
			if q := inc.queries[ev.ID]; q != nil {
				q.responseStarted = true
			}
		case router.AttemptEnded:
			ch.attemptEnded(controller, now, inc, ev)
		case router.ClientDisconnected:
			if q := inc.queries[ev.ID]; q != nil {
				q.done = true
				inc.forgetIfDone(q)
			}
		case router.ShutdownStarted:
			inc.shutdownAt = now + ev.Within
		}
	}
	ch.checkDue(controller, now, inc)
}

func (ch *Checker) queryArrived(now float64, inc *incarnation, ev router.QueryArrived, work float64) {
	q := &query{
		QueryArrived: ev,
		class:        &ch.settings.Classes[ev.Class],
		arrivedAt:    now,
		arrivalOrder: ch.Queries,
		deadline:     now + ev.TimeLeft - ev.ClientQueueTime,
		work:         work,
	}
	ch.Queries++
	inc.queries[ev.ID] = q
	inc.arrivedAt = append(inc.arrivedAt, now)
	inc.addKey(q, ev.Key)
	for _, key := range ev.MoreKeys {
		inc.addKey(q, key)
	}
}

func (ch *Checker) attemptEnded(
	controller int, now float64, inc *incarnation, ev router.AttemptEnded,
) {
	q := inc.queries[ev.ID]
	if q == nil || int(ev.Attempt) >= len(q.attempts) {
		return
	}
	a := &q.attempts[ev.Attempt]
	a.ended = true
	a.outcome = ev.Outcome
	limits := &ch.settings.Limits
	if ev.QueryDone && !q.done {
		if now > q.deadline+limits.EventInterval+tolerance && !q.responseStarted {
			ch.breach(FinalAnswer, now, controller, "query %d answered %.1f ms after its timeout",
				ev.ID, now-q.deadline)
		}
		q.done = true
	}
	if ev.Outcome.MayStillRun() {
		q.cooldownUntil = max(q.cooldownUntil, now+limits.OrderingCooldown)
	}
	for _, key := range q.keys {
		inc.cooldownUntil[key] = max(inc.cooldownUntil[key], q.cooldownUntil)
	}
	inc.forgetIfDone(q)
}

// checkDue checks that no query is overdue for its final answer, and that the endpoint list is
// polled in time. It runs before the controller decides in this step, so answers have one event
// interval more than the timeout.
func (ch *Checker) checkDue(controller int, now float64, inc *incarnation) {
	limits := &ch.settings.Limits
	for _, q := range inc.queries {
		by := inc.answerBy(q)
		if q.done || q.responseStarted || now <= by+limits.EventInterval+tolerance {
			continue
		}
		ch.breach(FinalAnswer, now, controller, "query %d has no answer %.1f ms after its timeout",
			q.ID, now-by)
		q.done = true
		inc.forgetIfDone(q)
	}
	polls := ch.settings.Capabilities.PollEndpoints && !inc.subscribed
	if polls && now-inc.polledAt > limits.PollWithin {
		ch.breach(Draining, now, controller, "has not polled the endpoint list for %.1f ms",
			now-inc.polledAt)
		inc.polledAt = now
	}
}
