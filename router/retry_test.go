package router

import "testing"

// An attempt that has a bad plan, by its progress and the estimate of its query, is cancelled in
// order to be retried. One that is truly large, nearly done or without an estimate runs on.
func TestBadPlanIsCancelled(t *testing.T) {
	for _, c := range []struct {
		estimate, done float64
		cancels        bool
	}{{200, 0.05, true}, {200, 0.8, false}, {3000, 0.15, false}, {0, 0.05, false}} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		ev := newQuery(1)
		ev.EstimatedWork = c.estimate
		tr.step(ev)
		tr.wait(500)
		actions := tr.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: c.done})
		if got := hasCancel(actions); got != c.cancels {
			t.Errorf("%+v: cancelled is %v, want the opposite", c, got)
		}
	}
}

// Rule 2: a silent attempt is not followed by a repeat that would reach its engine after the
// deduplication window, where it could run a second time.
func TestSilentAttemptIsNotRepeatedTooLate(t *testing.T) {
	for _, c := range []struct {
		window   float64
		repeated bool
	}{{2000, true}, {880, false}} {
		class := lookupClass
		capabilities := Capabilities{MaxAttempts: 6, Hedging: true, ProgressInterval: 500}
		class.Effect = Deduplicated
		class.DeduplicationWindow = c.window
		tr := newTestRouter(t, class, capabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
			readyEndpoint("b", 0, "z", 1))
		tr.step(newQuery(1))
		actions := tr.wait(tr.r.progressTimeout() + 5)
		if (startedOn(actions, 1) != "") != c.repeated {
			t.Errorf("window %g: retried on %q, want a retry only within the window", c.window, startedOn(actions, 1))
		}
	}
}

// Rules 2 and 7: the outcome of the first attempt, the repeat effect of the class and the retry budget
// decide whether a query is retried, on which engines, and what its answer is if not.
func TestRetryByOutcomeAndRepeatEffect(t *testing.T) {
	here := readyEndpoint("a", 0, "z1", 1)
	sameZone := readyEndpoint("b", 0, "z1", 2)
	sameCell := readyEndpoint("c", 0, "z2", 1)
	far := readyEndpoint("d", 0, "z2", 2)
	with := func(effect RepeatEffect, scope DeduplicationScope) QueryClass {
		class := lookupClass
		class.Effect = effect
		class.Scope = scope
		class.DeduplicationWindow = 2000
		class.LateBenefit = 1 // so that it is not shed as late
		return class
	}
	budgeted := slowStartLimits
	budgeted.RetryBudgeted = true
	budgeted.RetryBudgetRatio = 0.5
	budgeted.RetryBudgetWindow = 1000
	for _, c := range []retryCase{
		{"idempotent after a reset", with(Idempotent, ScopeAll), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{far}, true, 0, 0},
		{"non-idempotent that never ran", with(NonIdempotent, ScopeAll), slowStartLimits, EngineFull, 0,
			[]Endpoint{far}, true, 0, 0},
		{"non-idempotent that was not sent whole", with(NonIdempotent, ScopeAll), slowStartLimits, ConnectFailed,
			0, []Endpoint{far}, true, 0, 0},
		{"non-idempotent that was withdrawn", with(NonIdempotent, ScopeAll), slowStartLimits, Withdrawn, 0,
			[]Endpoint{far}, true, 0, 0},
		{"non-idempotent that was never sent", with(NonIdempotent, ScopeAll), slowStartLimits, NotSent, 0,
			[]Endpoint{far}, true, 0, 0},
		{"non-idempotent after an error", with(NonIdempotent, ScopeAll), slowStartLimits, Errored, 0,
			[]Endpoint{far}, false, 0, 1},
		{"non-idempotent after a timeout", with(NonIdempotent, ScopeAll), slowStartLimits, TimedOut, 0,
			[]Endpoint{far}, false, 0, 1},
		{"non-idempotent after a reset", with(NonIdempotent, ScopeAll), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{far}, false, 0, 1},
		{"deduplicated in all", with(Deduplicated, ScopeAll), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{far}, true, 0, 0},
		{"deduplicated in its zone", with(Deduplicated, ScopeZone), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{sameZone}, true, 0, 0},
		{"deduplicated out of its zone", with(Deduplicated, ScopeZone), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{sameCell, far}, false, 0, 0},
		{"deduplicated in its cell", with(Deduplicated, ScopeCell), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{sameCell}, true, 0, 0},
		{"deduplicated out of its cell", with(Deduplicated, ScopeCell), slowStartLimits, ConnectionReset, 0,
			[]Endpoint{sameZone, far}, false, 0, 0},
		{"deduplicated past its window", with(Deduplicated, ScopeAll), slowStartLimits, ConnectionReset, 2100,
			[]Endpoint{far}, false, 1, 0},
		{"deduplicated in its zone, past its window", with(Deduplicated, ScopeZone), slowStartLimits,
			ConnectionReset, 2100, []Endpoint{sameZone}, false, 0, 1},
		{"no budget left", with(Idempotent, ScopeAll), budgeted, ConnectionReset, 0, []Endpoint{far}, false, 0, 0},
	} {
		c.check(t, here)
	}
}

// retryCase is an outcome of the first attempt of a query, on an engine that drains before the
// outcome arrives, and what follows from it.
type retryCase struct {
	name                 string
	class                QueryClass
	limits               SafetyLimits
	outcome              Outcome
	delay                float64    // ms
	otherEndpoints       []Endpoint // in the endpoint list when the attempt ends
	retried              bool
	rejections, failures int
}

// check runs the case with the engine of the first attempt.
func (c retryCase) check(t *testing.T, first Endpoint) {
	t.Helper()
	tr := newTestRouter(t, c.class, cancelCapabilities, c.limits, first)
	if to := startedOn(tr.step(newQuery(1)), 1); to != "a" {
		t.Fatalf("%s: first attempt was started on %q, want engine a", c.name, to)
	}
	if q := tr.r.queries[1]; tr.r.eligible(q, tr.r.engines["a"]) {
		t.Errorf("%s: a second attempt is eligible while the first is in flight", c.name)
	}
	draining := first
	draining.State = Draining
	tr.step(EndpointsUpdated{Endpoints: append([]Endpoint{draining}, c.otherEndpoints...)})
	tr.now += c.delay
	actions := tr.step(attemptEnded(1, 0, c.outcome))
	actions = append(actions, tr.wait(60)...)
	if to := startedOn(actions, 1); (to != "") != c.retried {
		t.Errorf("%s: retried on %q, want a retry only if the case has one", c.name, to)
	}
	if s, f := finalAnswers(actions, 1); s != c.rejections || f != c.failures {
		t.Errorf("%s: %d rejections and %d failures, which are not those of the case", c.name, s, f)
	}
}

// An attempt that is withdrawn before its first byte is sent says nothing about its engine. The
// query is retried there at once, even if the endpoint list has expired in the meantime, which may
// be why the attempt was withdrawn.
func TestWithdrawnAttemptIsRetriedAtOnce(t *testing.T) {
	for _, expired := range []float64{0, 6000} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(newQuery(1))
		tr.step(attemptEnded(1, 0, Succeeded))
		tr.step(newQuery(2))
		if to := startedOn(tr.step(EndpointsUpdated{ExpiredFor: expired}, attemptEnded(2, 0, Withdrawn)),
			2); to != "a" {
			t.Errorf("ExpiredFor %g: retried on %q, want engine a", expired, to)
		}
	}
}

// An attempt without progress messages is cancelled, or gets a hedged attempt beside it, if the
// query may be repeated. On large deployments attempts with a lost answer were waited for until the
// client timeout.
func TestSilentAttemptIsReplaced(t *testing.T) {
	with := func(effect RepeatEffect, window float64) QueryClass {
		class := lookupClass
		class.Effect = effect
		class.DeduplicationWindow = window
		return class
	}
	mayCancel := cancelCapabilities
	mayHedge := Capabilities{MaxAttempts: 6, Hedging: true}
	neither := Capabilities{MaxAttempts: 6}
	for _, c := range []struct {
		name               string
		class              QueryClass
		capabilities       Capabilities
		progressInterval   float64
		progress           bool
		cancelled, retried bool
	}{
		{"cancelled", lookupClass, mayCancel, 500, false, true, false},
		{"hedged", lookupClass, mayHedge, 500, false, false, true},
		{"neither is allowed", lookupClass, neither, 500, false, false, false},
		{"progress messages still come", lookupClass, mayCancel, 500, true, false, false},
		{"there are no progress messages", lookupClass, mayCancel, 0, false, false, false},
		{"non-idempotent", with(NonIdempotent, 0), mayCancel, 500, false, false, false},
		{"deduplicated", with(Deduplicated, 5000), mayHedge, 500, false, false, true},
		{"deduplicated, past its window", with(Deduplicated, 500), mayHedge, 500, false, false, false},
	} {
		c.capabilities.ProgressInterval = c.progressInterval
		tr := newTestRouter(t, c.class, c.capabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
			readyEndpoint("b", 0, "z", 1))
		tr.step(newQuery(1))
		var actions []Action
		for range 20 {
			if actions = append(actions, tr.wait(48)...); c.progress {
				tr.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: 0.5})
			}
		}
		if hasCancel(actions) != c.cancelled || (startedOn(actions, 1) != "") != c.retried {
			t.Errorf("%s: retried on %q, or not cancelled as in the case: %v", c.name, startedOn(actions, 1), actions)
		}
	}
}

// A query whose response has started is neither retried nor answered otherwise. In a simulation one
// was retried when its progress messages stopped, and its client would have got parts of two
// responses.
func TestStartedResponseIsLeftAlone(t *testing.T) {
	for _, capabilities := range []Capabilities{{MaxAttempts: 6, Hedging: true, ProgressInterval: 500},
		{MaxAttempts: 6, Cancel: true, ProgressInterval: 500}} {
		tr := newTestRouter(t, lookupClass, capabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1),
			readyEndpoint("b", 0, "z", 1))
		tr.step(newQuery(1))
		actions := tr.step(ResponseStarted{ID: 1})
		for range 120 {
			actions = append(actions, tr.wait(50)...)
		}
		rejections, failures := finalAnswers(actions, 1)
		if startedOn(actions, 1) != "" || hasCancel(actions) || rejections+failures > 0 {
			t.Errorf("%+v: a query whose response has started was retried, cancelled or answered: %v", capabilities,
				actions)
		}
	}
}
