package router

import "testing"

// An engine that loses three answers of ten stays healthy; one with next to no successes is ejected
// until it succeeds again. On a recorded day of the deployment tacoma-east the former was ejected
// too, and the other engines could not take over its work.
func TestHealthFollowsRecentOutcomes(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	e := tr.r.engines["a"]
	for i, c := range []struct{ success, healthy bool }{{false, true}, {false, true}, {false, true},
		{false, true}, {false, true}, {false, false}, {true, false}, {true, false}, {true, true}} {
		if e.recordOutcome(tr.now, c.success); e.healthy() != c.healthy {
			t.Errorf("after outcome %d: healthy is %v, want the opposite", i, e.healthy())
		}
	}
	e.resetStatistics()
	for i := range 100 {
		if e.recordOutcome(tr.now, tr.r.rng.Float64() > 0.3); !e.healthy() {
			t.Fatalf("engine was ejected after %d outcomes with seven successes in ten, want it healthy", i)
		}
	}
}

// A class that fails twice in a row on an engine backs off from it, and a class that succeeds there
// is served while the others fail. On the deployment tacoma-east on sockets, engines that lost the
// answers of one class were ejected for all classes.
func TestFailingClassBacksOffAlone(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.addClass(lookupClass)
	id := QueryID(0)
	try := func(class ClassID, outcome Outcome) bool {
		id++
		ev := newQuery(id)
		ev.Class = class
		if startedOn(tr.step(ev), id) == "" {
			tr.step(ClientDisconnected{ID: id})
			return false
		}
		tr.step(attemptEnded(id, 0, outcome), ClientDisconnected{ID: id})
		return true
	}
	try(1, Succeeded)
	for i, want := range []bool{true, true, false} {
		if got := try(0, ConnectionReset); got != want {
			t.Errorf("attempt %d of the failing class: started is %v, want true for the first two alone", i, got)
		}
	}
	for range outlierWindow {
		tr.r.engines["a"].recordOutcome(tr.now, false)
	}
	if tr.r.engines["a"].healthy() || !try(1, Succeeded) || !try(1, Succeeded) {
		t.Error("want an unhealthy engine that starts two attempts of the class that succeeds there")
	}
	if try(1, ConnectionReset); try(1, Succeeded) {
		t.Error("an attempt of the other class was started on an unhealthy engine after it failed there")
	}
}

// A class backs off from an engine that could not take its query. On the deployment trapani-sosta,
// and on tacoma-east when connections ran out, the query was sent to the same engine again at once,
// until all its attempts were used up.
func TestFullEngineBacksOff(t *testing.T) {
	for _, outcome := range []Outcome{EngineFull, NotSent} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(newQuery(1))
		if actions := tr.step(attemptEnded(1, 0, outcome)); startedOn(actions, 1) != "" {
			t.Errorf("outcome %d: retried at once, want a backoff", outcome)
		}
		if actions := append(tr.wait(minClassBackoff/2), tr.wait(minClassBackoff)...); startedOn(actions,
			1) != "a" {
			t.Errorf("outcome %d: not retried on engine a after the backoff", outcome)
		}
	}
}

// A class that an engine rejects backs off from it, alone, and returns when the engine accepts it
// again. On the deployment tacoma-east on sockets, engines rejected nine tenths of one class for
// fifteen seconds and accepted all others. They had little to do and looked idle, so the class was
// still sent to them.
func TestRejectedClassBacksOffAlone(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	tr.addClass(lookupClass)
	offer := func(id QueryID, class ClassID) bool { // a query that is dropped if it isn't started at once
		ev := newQuery(id)
		ev.Class = class
		to := startedOn(tr.step(ev), id)
		if to == "" {
			tr.step(ClientDisconnected{ID: id})
		}
		return to != ""
	}
	id := QueryID(0)
	attempts := 0
	taken := 0
	run := func(ms float64, takes bool) {
		for until := tr.now + ms; tr.now < until; tr.wait(10) {
			if id++; offer(id, 0) {
				attempts++
				if takes {
					taken++
					tr.step(attemptEnded(id, 0, Succeeded))
				} else {
					tr.step(attemptEnded(id, 0, EngineFull), ClientDisconnected{ID: id})
				}
			}
			if id++; !offer(id, 1) {
				t.Fatal("a query of the other class was not started, though its class was never rejected")
			}
			tr.step(attemptEnded(id, 0, Succeeded))
		}
	}
	if run(10000, false); attempts > 14 || attempts < 8 {
		t.Errorf("%d attempts in 10 s on an engine that rejects the class, want 8 to 14", attempts)
	}
	if run(5000, true); taken < 100 {
		t.Errorf("%d queries ran in 5 s after the engine accepts the class again, want at least 100", taken)
	}
	burst := 0 // attempts that started before the first rejection don't lengthen the backoff
	for range 5 {
		if id++; offer(id, 0) {
			burst++
		}
	}
	for i := range QueryID(5) {
		tr.step(attemptEnded(id-i, 0, EngineFull), ClientDisconnected{ID: id - i})
	}
	if wait := tr.r.engines["a"].classBackoff(tr.r.classes[0]).wait; burst != 5 || wait != minClassBackoff {
		t.Errorf("after %d rejections at once the backoff is %g ms, want 5 and minClassBackoff", burst, wait)
	}
}

// A query that failed with an error on an engine goes to another, and if that one answers it, its
// class backs off from the first. Queries on which all engines fail count against none. On the
// deployment tacoma-east on sockets, engines that answered each query of a class with an error
// looked idle and got all attempts of many queries.
func TestErrorCountsIfAnotherEngineAnswers(t *testing.T) {
	for _, c := range []struct {
		second            Outcome
		effect            RepeatEffect
		healthy, backsOff bool
	}{{Errored, Idempotent, true, false}, {Succeeded, Idempotent, true, true},
		{Errored, NonIdempotent, false, true}} {
		class := lookupClass
		class.Effect = c.effect
		tr := newTestRouter(t, class, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		for id := range QueryID(outlierWindow) {
			tr.step(newQuery(id), EndpointsUpdated{Endpoints: []Endpoint{{Engine: "b", State: Gone}}})
			b := readyEndpoint("b", 0, "z", 1)
			actions := tr.step(attemptEnded(id, 0, Errored), EndpointsUpdated{Endpoints: []Endpoint{b}},
				HealthCheckEnded{Engine: "b",
					Outcome: Succeeded, Load: &LoadReport{Inflight: 20, Utilization: 0.9, Memory: -1, Disk: -1}})
			if to := startedOn(actions, id); to != "b" && c.effect == Idempotent {
				t.Errorf("%+v: started on %q after the error of engine a, want engine b", c, to)
			}
			tr.step(attemptEnded(id, 1, c.second), ClientDisconnected{ID: id})
			tr.step(attemptEnded(id, 1, c.second), attemptEnded(id, 2, c.second))
			tr.wait(maxTrialWait)
		}
		if got := tr.r.engines["a"].classBackoff(tr.r.classes[0]).wait > 0; got != c.backsOff {
			t.Errorf("%+v: class backs off from engine a: %v, want the opposite", c, got)
		}
		if got := tr.r.engines["a"].healthy(); got != c.healthy {
			t.Errorf("%+v: engine a is healthy: %v, want the opposite", c, got)
		}
	}
}
