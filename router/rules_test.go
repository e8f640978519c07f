package router

import (
	"fmt"
	"slices"
	"testing"
)

// Rule 2, with rule 7: what may follow the first send's outcome, and where.
func TestFurtherSends(t *testing.T) {
	here, sameZone := engineAt("a", 0, "z1", 1), engineAt("b", 0, "z1", 2)
	sameCell, far := engineAt("c", 0, "z2", 1), engineAt("d", 0, "z2", 2)
	with := func(e RepeatEffect, s DeduplicationScope) QueryClass {
		p := lookup
		p.Effect, p.Scope, p.DeduplicationWindow, p.LateBenefit = e, s, 2000, 1 // so late that only its rule ends it
		return p
	}
	rationed := tight
	rationed.RetryBudgeted, rationed.RetryBudgetRatio, rationed.RetryBudgetWindow = true, 0.5, 1000
	for _, c := range []struct {
		name        string
		p           QueryClass
		g           SafetyLimits
		o           Outcome
		after       float64
		others      []Endpoint
		resend      bool
		sheds, fail int
	}{
		{"replayable after a reset", with(Idempotent, ScopeAll), tight, ConnectionReset, 0, []Endpoint{far}, true, 0, 0},
		{"non-replayable that never ran", with(NonIdempotent, ScopeAll), tight, EngineFull, 0, []Endpoint{far}, true, 0, 0},
		{"non-replayable that was not taken whole", with(NonIdempotent, ScopeAll), tight, ConnectFailed, 0, []Endpoint{far}, true, 0, 0},
		{"non-replayable that was withdrawn", with(NonIdempotent, ScopeAll), tight, Withdrawn, 0, []Endpoint{far}, true, 0, 0},
		{"non-replayable that never went out", with(NonIdempotent, ScopeAll), tight, NotSent, 0, []Endpoint{far}, true, 0, 0},
		{"non-replayable after an error", with(NonIdempotent, ScopeAll), tight, Errored, 0, []Endpoint{far}, false, 0, 1},
		{"non-replayable after a time-out", with(NonIdempotent, ScopeAll), tight, TimedOut, 0, []Endpoint{far}, false, 0, 1},
		{"non-replayable after a reset", with(NonIdempotent, ScopeAll), tight, ConnectionReset, 0, []Endpoint{far}, false, 0, 1},
		{"uniqued in all", with(Deduplicated, ScopeAll), tight, ConnectionReset, 0, []Endpoint{far}, true, 0, 0},
		{"uniqued in its zone", with(Deduplicated, ScopeZone), tight, ConnectionReset, 0, []Endpoint{sameZone}, true, 0, 0},
		{"uniqued out of its zone", with(Deduplicated, ScopeZone), tight, ConnectionReset, 0, []Endpoint{sameCell, far}, false, 0, 0},
		{"uniqued in its cell", with(Deduplicated, ScopeCell), tight, ConnectionReset, 0, []Endpoint{sameCell}, true, 0, 0},
		{"uniqued out of its cell", with(Deduplicated, ScopeCell), tight, ConnectionReset, 0, []Endpoint{sameZone, far}, false, 0, 0},
		{"uniqued past its window", with(Deduplicated, ScopeAll), tight, ConnectionReset, 2100, []Endpoint{far}, false, 1, 0},
		{"zoned, past its window", with(Deduplicated, ScopeZone), tight, ConnectionReset, 2100, []Endpoint{sameZone}, false, 0, 1},
		{"no budget left", with(Idempotent, ScopeAll), rationed, ConnectionReset, 0, []Endpoint{far}, false, 0, 0},
	} {
		d := newDesk(t, c.p, loose, c.g, here)
		if to := sent(d.step(command1(1)), 1); to != "a" {
			t.Fatalf("%s: first send went to %q", c.name, to)
		}
		if b := d.r.queries[1]; d.r.eligible(b, d.r.engines["a"]) {
			t.Errorf("%s: may have two sends out", c.name)
		}
		gone := here
		gone.State = Draining
		d.step(EndpointsUpdated{Endpoints: append([]Endpoint{gone}, c.others...)})
		d.now += c.after
		actions := d.step(outcome(1, 0, c.o))
		actions = append(actions, d.wait(60)...)
		if to := sent(actions, 1); (to != "") != c.resend {
			t.Errorf("%s: resent to %q", c.name, to)
		}
		if s, f := answers(actions, 1); s != c.sheds || f != c.fail {
			t.Errorf("%s: %d shed, %d failed", c.name, s, f)
		}
	}
}

// What allows a send by time must still do so when it goes out, however late its connection comes up.
func TestBeginsInTime(t *testing.T) {
	here, far := engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1)
	uniqued, rationed := lookup, tight
	uniqued.Effect, uniqued.DeduplicationWindow, uniqued.LateBenefit = Deduplicated, 2000, 1
	rationed.RetryBudgeted, rationed.RetryBudgetMin, rationed.RetryBudgetWindow = true, 5, 1000
	atAnyTime := func(_, _ float64) float64 { return 0 }
	atOnce := func(_, now float64) float64 { return now + windowSlack }
	for _, c := range []struct {
		name  string
		p     QueryClass
		g     SafetyLimits
		event func(d *desk) Event // ahead of the send that is looked at
		begin func(first, now float64) float64
	}{
		{"a first one", lookup, tight, nil, atAnyTime},
		{"replayable, again", lookup, tight, func(*desk) Event { return outcome(1, 0, ConnectionReset) }, atAnyTime},
		{"uniqued, never ran", uniqued, tight, func(*desk) Event { return outcome(1, 0, EngineFull) }, atAnyTime},
		{"uniqued, may have run", uniqued, tight, func(*desk) Event { return outcome(1, 0, ConnectionReset) },
			func(first, _ float64) float64 { return first + 2000 - windowSlack }},
		{"again, out of a budget", lookup, rationed, func(*desk) Event { return outcome(1, 0, ConnectionReset) }, atOnce},
		{"while the list has expired", lookup, tight, func(d *desk) Event {
			d.step(outcome(1, 0, Succeeded), command1(2)) // which may take over the second engine
			d.r.engines["b"].answeredStartAt = d.r.engines["a"].answeredStartAt
			d.step(outcome(2, 0, Succeeded), EndpointsUpdated{ExpiredFor: 3000})
			d.r.engines["a"].answeredStartAt, d.r.engines["b"].answeredStartAt = d.r.startedAt, d.r.startedAt
			return command1(3)
		}, func(first, _ float64) float64 { return first - 1 + 3000 }},
		{"to a cold engine", lookup, tight, func(d *desk) Event {
			d.step(outcome(1, 0, Succeeded))
			cold := far
			cold.StartedAt = d.now
			d.step(EndpointsUpdated{Complete: true, Endpoints: []Endpoint{cold}})
			d.now += tight.SlowStartWindow + 2*windowSlack // this controller's own first window
			return command1(2)
		}, atOnce},
	} {
		d := newDesk(t, c.p, loose, c.g, here, far)
		actions := d.step(command1(1))
		first := d.now
		if c.event != nil {
			actions = d.step(c.event(d))
			for range 5 { // what was turned away rests
				if len(actions) == 0 || !slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(StartAttempt); return ok }) {
					actions = d.wait(60)
				}
			}
		}
		at := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(StartAttempt); return ok })
		if at < 0 {
			t.Errorf("%s: not sent", c.name)
		} else if got, want := actions[at].(StartAttempt).StartBy, c.begin(first, d.now); got != want {
			t.Errorf("%s: to begin by %g, not %g (first %g, now %g)", c.name, got, want, first, d.now)
		}
	}
}

// A client that leaves meets a send in the same step: nothing goes out, first or again, whichever is told
// first, and what is out is given up.
func TestLeftInTheSameStep(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		sends  bool // one is out when they come
	}{
		{"as it arrives", []Event{command1(1), ClientDisconnected{1}}, false},
		{"as its send ends unsent", []Event{outcome(1, 0, NotSent), ClientDisconnected{1}}, true},
		{"ahead of the end of its send", []Event{ClientDisconnected{1}, outcome(1, 0, NotSent)}, true},
		{"as its engine is turned away", []Event{outcome(1, 0, EngineFull), ClientDisconnected{1}, EndpointsUpdated{Endpoints: []Endpoint{engineAt("c", 0, "z", 1)}}}, true},
	} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
		if c.sends && sent(d.step(command1(1)), 1) == "" {
			t.Fatalf("%s: not sent", c.name)
		}
		actions := append(d.step(c.events...), d.wait(1000)...)
		if s, f := answers(actions, 1); sent(actions, 1) != "" || s+f > 0 || len(d.r.queries) > 0 {
			t.Errorf("%s: %+v, and %d commands are kept", c.name, actions, len(d.r.queries))
		}
	}
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	d.step(command1(1))
	if !cancels(d.step(ClientDisconnected{1})) {
		t.Error("what is out is not given up")
	}
}

// Rule 1: one final answer, before the client timeout, whatever became of the send; and nothing after it.
func TestOneAnswerInTime(t *testing.T) {
	for _, c := range []struct {
		name    string
		effect  RepeatEffect
		engines []Endpoint
		sheds   int
		fails   int
	}{
		{"never sent", NonIdempotent, nil, 1, 0},
		{"replayable, out", Idempotent, []Endpoint{engineAt("a", 0, "z", 1)}, 1, 0},
		{"non-replayable, out", NonIdempotent, []Endpoint{engineAt("a", 0, "z", 1)}, 0, 1},
	} {
		p := lookup
		p.Effect = c.effect
		d := newDesk(t, p, loose, tight, c.engines...)
		actions := d.step(command1(1))
		for range 99 {
			actions = append(actions, d.wait(49.4)...)
		}
		if s, f := answers(actions, 1); s != c.sheds || f != c.fails {
			t.Errorf("%s: %d shed and %d failed by its client timeout", c.name, s, f)
		}
		actions = append(d.step(outcome(1, 0, TimedOut)), d.wait(500)...)
		if s, f := answers(actions, 1); s+f > 0 || sent(actions, 1) != "" || len(d.r.queries) > 0 {
			t.Errorf("%s: something was done after the end: %v", c.name, actions)
		}
	}
}

// Rules 3 and 6: where a first send may go.
func TestPlacement(t *testing.T) {
	bound, zoned := lookup, lookup
	bound.Kinds, zoned.Zones = []KindID{1}, []Zone{"z2"}
	draining := engineAt("a", 1, "z2", 1)
	draining.State = Draining
	for i, c := range []struct {
		p    QueryClass
		e    Endpoint
		want EngineID
	}{
		{lookup, draining, ""},
		{bound, engineAt("a", 0, "z2", 1), ""},
		{bound, engineAt("a", 1, "z2", 1), "a"},
		{zoned, engineAt("a", 0, "z1", 1), ""},
		{zoned, engineAt("a", 0, "z2", 1), "a"},
		{lookup, engineAt("a", -1, "z1", 1), "a"},
	} {
		if to := sent(newDesk(t, c.p, loose, tight, c.e).step(command1(1)), 1); to != c.want {
			t.Errorf("case %d: sent to %q, not %q", i, to, c.want)
		}
	}
}

// Rule 4: what a cold engine is sent within the window stays under this controller's part.
func TestColdEngine(t *testing.T) {
	for _, c := range []struct{ controllers, born, least, most float64 }{
		{1, 5000, 1, 20}, {4, 5000, 0, 5}, {1, 500, 0, 0},
	} {
		d := newDesk(t, lookup, loose, tight)
		d.r.controllers = c.controllers
		d.r.classes[0].work.add(d.now, 100*1000, 100)
		d.now += c.born
		cold := engineAt("a", 0, "z", 1)
		cold.StartedAt = d.now
		d.step(EndpointsUpdated{Endpoints: []Endpoint{cold}})
		n := 0.0
		for id := range QueryID(60) {
			if sent(d.step(command1(id)), id) != "" {
				n++
				d.step(outcome(id, 0, Succeeded))
			}
		}
		if whole := tight.SlowStartOverload * tight.SlowStartCapacity * 8 * tight.SlowStartWindow / c.controllers; n*1000 > whole ||
			n < c.least || n > c.most {
			t.Errorf("%g controllers, up for %g ms: %g commands of 1000 ms to a cold engine", c.controllers, c.born, n)
		}
	}
}

// Rule 5: one key runs one at a time in the order taken, and rests after a doubtful outcome.
func TestOrder(t *testing.T) {
	p, g := lookup, tight
	p.Ordered, g.OrderingCooldown = true, 300
	for _, c := range []struct {
		o     Outcome
		rests bool
	}{{Succeeded, false}, {Errored, false}, {ConnectionReset, true}, {TimedOut, true}} {
		d := newDesk(t, p, Capabilities{MaxAttempts: 1}, g, engineAt("a", 0, "z", 1))
		keyed := func(id QueryID) QueryArrived { ev := command1(id); ev.Key = "k"; return ev }
		if to := sent(d.step(keyed(1), keyed(2), command1(3)), 2); to != "" {
			t.Errorf("%d: the second of a key was sent beside the first", c.o)
		}
		now := d.step(outcome(1, 0, c.o))
		if rested := sent(now, 2) == "" && sent(d.wait(250), 2) == ""; rested != c.rests {
			t.Errorf("outcome %d: key rested: %v", c.o, rested)
		}
		if later := d.wait(100); c.rests && sent(later, 2) == "" {
			t.Errorf("outcome %d: the key rests for ever", c.o)
		}
		d.step(outcome(2, 0, Succeeded), outcome(3, 0, Succeeded))
		if d.wait(500); len(d.r.ordering.queues) > 0 || len(d.r.ordering.cooling) > 0 {
			t.Errorf("outcome %d: the line was not forgotten", c.o)
		}
	}
}

// A list that must be asked for is asked for again after each failure, well within the stated time.
func TestAskAgain(t *testing.T) {
	a, g := loose, tight
	a.PollEndpoints, g.PollWithin = true, 10000
	d := newDesk(t, lookup, a, g)
	last, asked := d.now, 0
	for range 400 {
		for _, action := range d.wait(99) {
			if _, ok := action.(Subscribe); ok {
				if d.now-last >= g.PollWithin {
					t.Fatalf("nothing was asked for %g ms", d.now-last)
				}
				last = d.now
				asked++
				d.step(EndpointsUpdated{Failed: true})
			}
		}
	}
	if asked < 4 {
		t.Errorf("asked %d times in 40 s", asked)
	}
}

// Same events, same actions, and odd but legal ones do no harm.
func TestOddEvents(t *testing.T) {
	run := func() string {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1), engineAt("b", 1, "z", 2),
			engineAt("c", -1, "z", 2))
		log := ""
		for i := range QueryID(200) {
			ev := command1(i)
			ev.Tables, ev.TimeLeft = TableGroup(i%13), float64(i%7)*100-100
			log += fmt.Sprint(d.step(ev, ClientDisconnected{ID: i / 2}, outcome(i/3, 0, Outcome(i%8)), outcome(i, 5, Succeeded),
				AttemptProgress{ID: i, Kind: ProgressDone}, HealthCheckEnded{Engine: "x"}, ResponseStarted{ID: i / 5}, EndpointsUpdated{Complete: i%50 == 49}))
		}
		return log
	}
	if first, again := run(), run(); first != again {
		t.Errorf("the same events led to other actions:\n%s\n%s", first, again)
	}
}

// Rule 1 at a planned end: all is answered by then, and who can't be done by then is told at once.
func TestStopping(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	if to := sent(d.step(command1(1)), 1); to != "a" {
		t.Fatal("not sent")
	}
	if s, f := answers(d.step(ShutdownStarted{Within: 1000}), 1); s+f != 0 {
		t.Fatal("answered when told to stop, though there is time")
	}
	late := command1(2)
	late.EstimatedWork = 2000
	if s, _ := answers(append(d.step(late), d.wait(periodicInterval)...), 2); s != 1 {
		t.Error("a command that can't be done by then is not shed at once")
	}
	if s, _ := answers(d.wait(900), 1); s != 0 {
		t.Error("shed too early")
	}
	if s, _ := answers(d.wait(50), 1); s != 1 {
		t.Error("not answered by the end")
	}
}

// A send that is withdrawn ahead of its first byte tells nothing of its engine: it is sent again at once,
// also by a list that has expired since, as when that is what withdrew it.
func TestWithdrawn(t *testing.T) {
	for _, expired := range []float64{0, 6000} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.step(command1(1))
		d.step(outcome(1, 0, Succeeded))
		d.step(command1(2))
		if to := sent(d.step(EndpointsUpdated{ExpiredFor: expired}, outcome(2, 0, Withdrawn)), 2); to != "a" {
			t.Errorf("expired %g: sent to %q", expired, to)
		}
	}
}

// Rule 3 while the feed is out of reach: what counts as told is not known, so nothing goes but to engines
// that show by their answers that they did not drain so long ago.
func TestExpiredList(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome // of a send before the list expires
		wait    float64 // from then until the next command
		sent    bool
	}{
		{"no word of the engine", NotSent, minClassBackoff, false},
		{"it answered just now", Succeeded, 10, true},
		{"it answered too long ago", Succeeded, 7000, false},
		{"it turned the send away", EngineFull, 500, false},
		{"it broke", ConnectionReset, 500, false},
	} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.step(command1(1))
		d.step(outcome(1, 0, c.outcome), ClientDisconnected{ID: 1})
		d.step(EndpointsUpdated{ExpiredFor: 6000})
		d.wait(c.wait)
		if to := sent(append(d.step(command1(2)), d.wait(periodicInterval)...), 2); (to != "") != c.sent {
			t.Errorf("%s: sent to %q by an expired list", c.name, to)
		}
		d.step(ClientDisconnected{ID: 2})
		if to := sent(append(d.step(EndpointsUpdated{}, command1(3)), d.wait(periodicInterval)...), 3); to != "a" {
			t.Errorf("%s: not sent when news came", c.name)
		}
	}
}

// Rule 6 for commands that come narrowed: they go where both they and their profile may, and nowhere if
// that is nothing.
func TestNarrowed(t *testing.T) {
	bound := lookup
	bound.Kinds, bound.Zones = []KindID{1}, []Zone{"z1", "z2"}
	entries := []Endpoint{engineAt("a", 0, "z1", 1), engineAt("b", 1, "z1", 1), engineAt("c", 1, "z2", 1), engineAt("d", 1, "z3", 1)}
	for i, c := range []struct {
		p     QueryClass
		kinds []KindID
		zones []Zone
		want  EngineID
	}{
		{lookup, []KindID{0}, nil, "a"},
		{lookup, nil, []Zone{"z2"}, "c"},
		{lookup, []KindID{1}, []Zone{"z3"}, "d"},
		{bound, nil, []Zone{"z2"}, "c"},
		{bound, []KindID{0}, nil, ""},
		{bound, []KindID{0, 1}, []Zone{"z1"}, "b"},
		{bound, nil, []Zone{"z3"}, ""},
		{lookup, []KindID{}, nil, ""},
	} {
		d := newDesk(t, c.p, loose, tight, entries...)
		ev := command1(1)
		ev.Kinds, ev.Zones = c.kinds, c.zones
		if to := sent(append(d.step(ev), d.wait(periodicInterval)...), 1); to != c.want {
			t.Errorf("case %d: sent to %q, not %q", i, to, c.want)
		}
	}
}

// Rule 5 for commands with several keys: each waits for all that came before it under any of them, also if
// they are given it while held or out, and nobody waits for ever.
func TestSeveralKeys(t *testing.T) {
	p := lookup
	p.Ordered = true
	d := newDesk(t, p, Capabilities{MaxAttempts: 1}, tight, engineAt("a", 0, "z", 1))
	keyed := func(id QueryID, key OrderingKey, also ...OrderingKey) QueryArrived {
		ev := command1(id)
		ev.Key, ev.MoreKeys = key, also
		return ev
	}
	out := func(actions []Action) (ids []QueryID) {
		for id := range QueryID(10) {
			if sent(actions, id) != "" {
				ids = append(ids, id)
			}
		}
		return ids
	}
	expect := func(what string, actions []Action, want ...QueryID) {
		t.Helper()
		if got := out(append(actions, d.wait(periodicInterval)...)); !slices.Equal(got, want) {
			t.Errorf("%s: sent %v, not %v", what, got, want)
		}
	}
	expect("old keys", d.step(keyed(1, "x"), keyed(2, "y")), 1, 2)
	expect("new ones, in both turns", d.step(keyed(3, "m", "x"), keyed(4, "m", "y"), keyed(5, "n", "y")))
	expect("those before under one key alone are over", d.step(outcome(2, 0, Succeeded)))
	expect("first of all its keys", d.step(outcome(1, 0, Succeeded)), 3)
	expect("next under the new key", d.step(outcome(3, 0, Succeeded)), 4)
	expect("next under the old key", d.step(outcome(4, 0, Succeeded)), 5)
	d.step(outcome(5, 0, Succeeded))
	// given a key while out: one that came before waits for it
	expect("two keys", d.step(keyed(6, "p"), keyed(7, "p"), keyed(8, "q")), 6, 8)
	expect("8 is out under p too", d.step(OrderingKeyAdded{7, "q"}, OrderingKeyAdded{8, "p"}, outcome(6, 0, Succeeded)))
	expect("nothing is out any more", d.step(outcome(8, 0, Succeeded)), 7)
	d.step(outcome(7, 0, Succeeded))
	if d.wait(500); len(d.r.ordering.queues) > 0 || len(d.r.ordering.cooling) > 0 || len(d.r.queries) > 0 {
		t.Errorf("%d lines are left", len(d.r.ordering.queues))
	}
}

// Rule 4: a rule that cuts estimates does not make work look small to what guards cold engines.
func TestCutEstimate(t *testing.T) {
	d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
	for id := range QueryID(50) {
		ev := command1(id)
		ev.EstimatedWork, ev.EstimateCap = 400, 1
		d.step(ev)
		d.step(outcome(id, 0, Succeeded))
	}
	if w := d.r.classes[0].usualWork(d.now); w < 300 {
		t.Errorf("commands of 400 ms are taken to need %g", w)
	}
}

// Rule 5: a key that a command is given after a doubtful outcome rests by it, as the earlier send may still
// run.
func TestRestComesAlong(t *testing.T) {
	p, g := lookup, tight
	p.Ordered, g.OrderingCooldown = true, 300
	d := newDesk(t, p, Capabilities{MaxAttempts: 2}, g, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
	ev := command1(1)
	ev.Key = "x"
	d.step(ev)
	d.step(outcome(1, 0, ConnectionReset))
	d.step(OrderingKeyAdded{1, "y"}, outcome(1, 1, Succeeded))
	ev.ID, ev.Key = 2, "y"
	if sent(append(d.step(ev), d.wait(periodicInterval)...), 2) != "" {
		t.Error("sent while a send that was reset may still run under its key")
	}
	if sent(d.wait(400), 2) == "" {
		t.Error("the key rests for ever")
	}
}
