package router

import (
	"slices"
	"testing"
)

// Rule 2: a repeat must reach its engine before the deduplication window ends that began with the
// first attempt that may have run, although clocks differ by some ms.
func TestRepeatEndsBeforeDeduplicationWindow(t *testing.T) {
	class := lookupClass
	class.Effect = Deduplicated
	class.DeduplicationWindow = 1000
	for _, c := range []struct {
		after     float64
		exhausted bool
	}{{900, false}, {1000 - windowSlack/2, true}, {1000 + windowSlack/2, true}} {
		tr := newTestRouter(t, class, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(newQuery(1))
		q := tr.r.queries[1]
		q.unresolved = tr.r.engines["a"]
		q.unresolvedAt = tr.r.now
		tr.r.now += c.after
		if tr.r.attemptsExhausted(q) != c.exhausted {
			t.Errorf("%g ms after an attempt that may have run: attempts exhausted is %v, want the opposite", c.after,
				!c.exhausted)
		}
	}
}

// Rule 1: the final answer is due two event intervals and some ms before the client timeout and
// before a planned shutdown, so that it reaches the client in time.
func TestAnswerByLeavesTimeForTheAnswer(t *testing.T) {
	for _, interval := range []float64{0, 5, 50} {
		limits := slowStartLimits
		limits.EventInterval = interval
		tr := newTestRouter(t, lookupClass, cancelCapabilities, limits)
		tr.step(newQuery(1))
		q := tr.r.queries[1]
		if by := tr.r.answerBy(q); by > q.deadline-2*interval-5 || by < q.deadline-2*interval-10 {
			t.Errorf("interval %g: answer due %g ms before the client timeout, want two intervals and 5 to 10 ms", interval,
				q.deadline-by)
		}
		tr.r.shutdownAt = q.deadline - 1000
		if by := tr.r.answerBy(q); by > tr.r.shutdownAt-2*interval-5 {
			t.Errorf("interval %g: answer due %g ms before the planned shutdown, want two intervals and 5 ms at least",
				interval, tr.r.shutdownAt-by)
		}
	}
}

// Rule 3 with an expired endpoint list, at the margins: an engine is trusted if its last answer is
// more recent than any drain that counts as notified, and no connection to it was lost since the
// last update.
func TestEndpointTrustMargins(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered float64 // ms ago
		lost     float64 // ms ago; 0: not since it was heard of
		trusted  bool
	}{
		{"answered within", 5900, 0, true},
		{"answered before", 6000, 0, false},
		{"answered, but lost a connection since the last update", 100, 50, false},
		{"lost a connection at the last update", 100, 200, false},
		{"lost a connection before the last update", 100, 201, true},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		e := tr.r.engines["a"]
		tr.r.endpoints.expiredFor = 6000
		tr.r.endpoints.updatedAt = tr.r.now - 200
		e.answeredStartAt = tr.r.now - c.answered
		e.connectionLostAt = -1e9
		if c.lost > 0 {
			e.connectionLostAt = tr.r.now - c.lost
		}
		if tr.r.endpointTrusted(e) != c.trusted {
			t.Errorf("%s: the engine is trusted: %v, want the opposite", c.name, !c.trusted)
		}
	}
}

// A connection may be established late. What allows an attempt only for a time, such as a
// deduplication window, must still allow it when it is sent, so the action has the time by which it
// must be.
func TestAttemptStartBy(t *testing.T) {
	here := readyEndpoint("a", 0, "z", 1)
	far := readyEndpoint("b", 0, "z", 1)
	deduplicated := lookupClass
	deduplicated.Effect = Deduplicated
	deduplicated.DeduplicationWindow = 2000
	deduplicated.LateBenefit = 1
	budgeted := slowStartLimits
	budgeted.RetryBudgeted = true
	budgeted.RetryBudgetMin = 5
	budgeted.RetryBudgetWindow = 1000
	afterOutcome := func(outcome Outcome) func(*testRouter) Event {
		return func(*testRouter) Event { return attemptEnded(1, 0, outcome) }
	}
	atAnyTime := func(_, _ float64) float64 { return 0 }
	atOnce := func(_, now float64) float64 { return now + windowSlack }
	for _, c := range []struct {
		name    string
		class   QueryClass
		limits  SafetyLimits
		event   func(tr *testRouter) Event // before the attempt that is examined
		startBy func(first, now float64) float64
	}{
		{"a first one", lookupClass, slowStartLimits, nil, atAnyTime},
		{"idempotent, again", lookupClass, slowStartLimits, afterOutcome(ConnectionReset), atAnyTime},
		{"deduplicated, never ran", deduplicated, slowStartLimits, afterOutcome(EngineFull), atAnyTime},
		{"deduplicated, may have run", deduplicated, slowStartLimits,
			afterOutcome(ConnectionReset), func(first, _ float64) float64 { return first + 2000 - windowSlack }},
		{"again, within a retry budget", lookupClass, budgeted, afterOutcome(ConnectionReset), atOnce},
		{"while the list has expired", lookupClass, slowStartLimits, expireEndpointList,
			func(first, _ float64) float64 { return first - 1 + 3000 }},
		{"to a warming engine", lookupClass, slowStartLimits, replaceByWarmingEngine, atOnce},
	} {
		tr := newTestRouter(t, c.class, cancelCapabilities, c.limits, here, far)
		actions := tr.step(newQuery(1))
		first := tr.now
		if c.event != nil {
			actions = tr.step(c.event(tr))
			for range 5 { // a class that was rejected backs off
				if !slices.ContainsFunc(actions, isStart) {
					actions = tr.wait(60)
				}
			}
		}
		at := slices.IndexFunc(actions, isStart)
		if at < 0 {
			t.Errorf("%s: no attempt was started", c.name)
		} else if got, want := actions[at].(StartAttempt).StartBy, c.startBy(first, tr.now); got != want {
			t.Errorf("%s: StartBy is %g, want %g (first attempt at %g, now %g)", c.name, got, want, first, tr.now)
		}
	}
}

// expireEndpointList has the endpoint list expire after both engines have answered an attempt that
// started with the router. The query that it returns is examined.
func expireEndpointList(tr *testRouter) Event {
	tr.step(attemptEnded(1, 0, Succeeded), newQuery(2)) // query 2 may go to the second engine
	tr.r.engines["b"].answeredStartAt = tr.r.engines["a"].answeredStartAt
	tr.step(attemptEnded(2, 0, Succeeded), EndpointsUpdated{ExpiredFor: 3000})
	tr.r.engines["a"].answeredStartAt = tr.r.startedAt
	tr.r.engines["b"].answeredStartAt = tr.r.startedAt
	return newQuery(3)
}

// replaceByWarmingEngine replaces both engines by one that has just started.
func replaceByWarmingEngine(tr *testRouter) Event {
	tr.step(attemptEnded(1, 0, Succeeded))
	warming := readyEndpoint("b", 0, "z", 1)
	warming.StartedAt = tr.now
	tr.step(EndpointsUpdated{Complete: true, Endpoints: []Endpoint{warming}})
	tr.now += slowStartLimits.SlowStartWindow + 2*windowSlack // past this controller's own first window
	return newQuery(2)
}

// Rule 1: a query has one final answer before its client timeout, whatever becomes of its attempt,
// and nothing is done for it afterwards.
func TestOneFinalAnswerInTime(t *testing.T) {
	for _, c := range []struct {
		name       string
		effect     RepeatEffect
		engines    []Endpoint
		rejections int
		failures   int
	}{
		{"never started", NonIdempotent, nil, 1, 0},
		{"idempotent, in flight", Idempotent, []Endpoint{readyEndpoint("a", 0, "z", 1)}, 1, 0},
		{"non-idempotent, in flight", NonIdempotent, []Endpoint{readyEndpoint("a", 0, "z", 1)}, 0, 1},
	} {
		class := lookupClass
		class.Effect = c.effect
		tr := newTestRouter(t, class, cancelCapabilities, slowStartLimits, c.engines...)
		actions := tr.step(newQuery(1))
		for range 99 {
			actions = append(actions, tr.wait(49.4)...)
		}
		if s, f := finalAnswers(actions, 1); s != c.rejections || f != c.failures {
			t.Errorf("%s: %d rejections and %d failures by the client timeout, want the one answer of the case", c.name, s, f)
		}
		actions = append(tr.step(attemptEnded(1, 0, TimedOut)), tr.wait(500)...)
		if s, f := finalAnswers(actions, 1); s+f > 0 || startedOn(actions, 1) != "" || len(tr.r.queries) > 0 {
			t.Errorf("%s: after the final answer the query was kept, started or answered: %v", c.name, actions)
		}
	}
}

// Rules 3 and 6: a first attempt goes to no draining engine, and only to the machine kinds and
// zones of its class.
func TestPlacement(t *testing.T) {
	limited := lookupClass
	zoned := lookupClass
	limited.Kinds = []KindID{1}
	zoned.Zones = []Zone{"z2"}
	draining := readyEndpoint("a", 1, "z2", 1)
	draining.State = Draining
	for i, c := range []struct {
		class    QueryClass
		endpoint Endpoint
		want     EngineID
	}{
		{lookupClass, draining, ""},
		{limited, readyEndpoint("a", 0, "z2", 1), ""},
		{limited, readyEndpoint("a", 1, "z2", 1), "a"},
		{zoned, readyEndpoint("a", 0, "z1", 1), ""},
		{zoned, readyEndpoint("a", 0, "z2", 1), "a"},
		{lookupClass, readyEndpoint("a", -1, "z1", 1), "a"},
	} {
		if to := startedOn(newTestRouter(t, c.class, cancelCapabilities, slowStartLimits,
			c.endpoint).step(newQuery(1)), 1); to != c.want {
			t.Errorf("case %d: started on %q, want %q", i, to, c.want)
		}
	}
}

// Rule 3 while the endpoint list can't be updated: an engine may have begun to drain without
// notice. Until the next update, attempts start only on engines that answered one which started
// recently enough.
func TestExpiredEndpointList(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome // of an attempt before the list expires
		wait    float64 // from then until the next query
		starts  bool
	}{
		{"the engine has not answered", NotSent, minClassBackoff, false},
		{"it answered just now", Succeeded, 10, true},
		{"it answered too long ago", Succeeded, 7000, false},
		{"it rejected the attempt", EngineFull, 500, false},
		{"it lost the connection", ConnectionReset, 500, false},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(newQuery(1))
		tr.step(attemptEnded(1, 0, c.outcome), ClientDisconnected{ID: 1})
		tr.step(EndpointsUpdated{ExpiredFor: 6000})
		tr.wait(c.wait)
		if to := startedOn(append(tr.step(newQuery(2)), tr.wait(periodicInterval)...), 2); (to != "") != c.starts {
			t.Errorf("%s: started on %q by an expired list, want it started only after a recent answer", c.name, to)
		}
		tr.step(ClientDisconnected{ID: 2})
		if to := startedOn(append(tr.step(EndpointsUpdated{}, newQuery(3)), tr.wait(periodicInterval)...),
			3); to != "a" {
			t.Errorf("%s: not started on engine a after an update of the list", c.name)
		}
	}
}

// Rule 6 for queries that an operator's rule restricts further: they run where both their class and
// the rule allow it, and nowhere if nothing is allowed by both.
func TestPlacementNarrowedByARule(t *testing.T) {
	limited := lookupClass
	limited.Kinds = []KindID{1}
	limited.Zones = []Zone{"z1", "z2"}
	endpoints := []Endpoint{readyEndpoint("a", 0, "z1", 1), readyEndpoint("b", 1, "z1", 1),
		readyEndpoint("c", 1, "z2", 1), readyEndpoint("d", 1, "z3", 1)}
	for i, c := range []struct {
		class QueryClass
		kinds []KindID
		zones []Zone
		want  EngineID
	}{
		{lookupClass, []KindID{0}, nil, "a"},
		{lookupClass, nil, []Zone{"z2"}, "c"},
		{lookupClass, []KindID{1}, []Zone{"z3"}, "d"},
		{limited, nil, []Zone{"z2"}, "c"},
		{limited, []KindID{0}, nil, ""},
		{limited, []KindID{0, 1}, []Zone{"z1"}, "b"},
		{limited, nil, []Zone{"z3"}, ""},
		{lookupClass, []KindID{}, nil, ""},
	} {
		tr := newTestRouter(t, c.class, cancelCapabilities, slowStartLimits, endpoints...)
		ev := newQuery(1)
		ev.Kinds = c.kinds
		ev.Zones = c.zones
		if to := startedOn(append(tr.step(ev), tr.wait(periodicInterval)...), 1); to != c.want {
			t.Errorf("case %d: started on %q, want %q", i, to, c.want)
		}
	}
}
