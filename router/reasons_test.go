package router

import "testing"

// decide runs a step without its end, which turns decisions into actions and drops the queries that
// have their answer. It returns the query of an id, with the reason for its answer.
func (tr *testRouter) decide(id QueryID, events ...Event) *query {
	tr.now++
	r := tr.r
	r.now = tr.now
	r.stepCount++
	for _, event := range events {
		r.handle(event)
	}
	for q := r.popDueQuery(); q != nil; q = r.popDueQuery() {
		r.checkQuery(q)
	}
	if r.now >= r.timers.periodicAt {
		r.runPeriodic()
	}
	r.dispatch()
	return r.queries[id]
}

// Each condition for which an arriving query is rejected gives its own reason. An operator who asks
// why queries were rejected would be misled by a wrong one.
func TestReasonOfAnswerOnArrival(t *testing.T) {
	ready := []Endpoint{readyEndpoint("a", 0, "z", 1)}
	for _, c := range []answerReasonCase{
		{noReason, lookupClass, ready, func(*testRouter) Event { return newQuery(1) }},
		{reasonArrivalWaitTooLong, lookupClass, ready, func(*testRouter) Event {
			ev := newQuery(1)
			ev.ArrivalWait = 10 * maxArrivalWait
			ev.TimeLeft = 5 * maxArrivalWait
			return ev
		}},
		{reasonArrivalWaitShare, lookupClass, ready, func(tr *testRouter) Event {
			tr.r.admission.rejectShare = maxRejectShare
			return newQuery(1)
		}},
		{reasonOrderingQueueTooLong, orderedClass, ready, func(tr *testRouter) Event {
			ev := newQuery(2)
			ev.Key = "k"
			ev.EstimatedWork = 5000 // half of its time left, on two threads
			tr.step(ev)
			ev.ID = 1
			return ev
		}},
	} {
		c.check(t)
	}
}

// Each condition for which an accepted query is given up gives its own reason.
func TestReasonOfAnswerToAQueuedQuery(t *testing.T) {
	nonIdempotent := lookupClass
	nonIdempotent.Effect = NonIdempotent
	ready := []Endpoint{readyEndpoint("a", 0, "z", 1)}
	for _, c := range []answerReasonCase{
		{reasonOverQuota, lookupClass, ready, func(tr *testRouter) Event {
			tr.r.tenants = []*tenant{{
				Tenant:  Tenant{QueriesPerSecond: 1e-6},
				queries: decayedMean{halfLife: tenantHalfLife},
			}}
			tr.r.admission.overloadedUntil = tr.now + overloadDuration
			ev := newQuery(1)
			ev.Tenant = 0
			return ev
		}},
		{reasonLateInOverload, lookupClass, ready, func(tr *testRouter) Event {
			tr.step(newQuery(2)) // a first try, against which query 1 counts as a retry
			tr.r.admission.overloadedUntil = tr.now + overloadDuration
			ev := newQuery(1)
			ev.TimeLeft = 2500
			return ev
		}},
		{reasonCannotFinish, lookupClass, ready, func(*testRouter) Event {
			ev := newQuery(1)
			ev.EstimatedWork = ev.TimeLeft + 1
			return ev
		}},
		{reasonTooLarge, lookupClass, ready, func(tr *testRouter) Event {
			tr.r.classes[0].work.add(tr.now, 100*1000, 1000)
			tr.r.admission.sizeLimit = minSizeLimit
			ev := newQuery(1)
			ev.EstimatedWork = 600
			return ev
		}},
		{reasonOverdue, lookupClass, nil, func(tr *testRouter) Event {
			tr.step(newQuery(1))
			tr.now = tr.r.shedDeadline(tr.r.queries[1])
			return TimerFired{}
		}},
		{reasonAnswerDue, lookupClass, ready, func(tr *testRouter) Event {
			tr.step(newQuery(1))
			tr.now += newQuery(1).TimeLeft
			return TimerFired{}
		}},
		{reasonAttemptsExhausted, nonIdempotent, ready, func(tr *testRouter) Event {
			tr.step(newQuery(1))
			return attemptEnded(1, 0, Errored)
		}},
	} {
		c.check(t)
	}
}

// answerReasonCase is a condition for a final answer by the controller, with its reason.
type answerReasonCase struct {
	want    answerReason
	class   QueryClass
	engines []Endpoint
	// prepare sets up the router, and returns the event of the step in which query 1 has its answer.
	prepare func(tr *testRouter) Event
}

// check runs the case. noReason stands for no answer.
func (c answerReasonCase) check(t *testing.T) {
	t.Helper()
	tr := newTestRouter(t, c.class, cancelCapabilities, slowStartLimits, c.engines...)
	q := tr.decide(1, c.prepare(tr))
	if q.reason != c.want || (q.answer == unanswered) != (c.want == noReason) {
		t.Errorf("want reason %q, got %q with final answer %v", c.want, q.reason, q.answer)
	}
}

// Each condition that keeps a queued query from starting while engines are idle gives its own
// reason, for an operator who asks why it waits. startable follows from the same reason.
func TestReasonOfWait(t *testing.T) {
	class := lookupClass
	class.Ordered = true
	limits := slowStartLimits
	limits.RetryBudgeted = true
	limits.RetryBudgetWindow = 1000
	for _, c := range []struct {
		want    waitReason
		prepare func(tr *testRouter, q *query)
	}{
		{notWaiting, func(*testRouter, *query) {}},
		{waitOrdering, func(tr *testRouter, q *query) {
			tr.r.joinOrderingQueue(q, "k")
			q.queues[0].cooldownUntil = tr.r.now + 1
		}},
		{waitAnswered, func(_ *testRouter, q *query) { q.responseStarted = true }},
		{waitOutcome, func(_ *testRouter, q *query) { q.awaited = 1 }},
		{waitAnswerDue, func(tr *testRouter, q *query) { tr.r.now = tr.r.answerBy(q) }},
		{waitAttemptsExhausted, func(_ *testRouter, q *query) {
			q.attempts = make([]attempt, cancelCapabilities.MaxAttempts)
		}},
		{waitRetryBudget, func(_ *testRouter, q *query) { q.attempts = make([]attempt, 1) }},
	} {
		tr := newTestRouter(t, class, cancelCapabilities, limits)
		tr.step(newQuery(1))
		q := tr.r.queries[1]
		c.prepare(tr, q)
		if got := tr.r.whyWaiting(q); got != c.want || tr.r.startable(q) != (c.want == notWaiting) {
			t.Errorf("want reason %q, got %q with startable %v", c.want, got, tr.r.startable(q))
		}
	}
}
