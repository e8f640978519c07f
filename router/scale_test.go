package router

import (
	"slices"
	"testing"
)

// Found on trapani-sosta-later: each of a hundred controllers had one command out on every engine.
func TestPoolBindsManyControllers(t *testing.T) {
	for _, c := range []struct {
		controllers int
		inflight    float64
		least, most int
	}{{100, -1, 1, 7}, {100, 4, 8, 11}, {100, 16, 1, 7}, {1000, -1, 1, 1}, {1, -1, 60, 60}} {
		d, n := crowd(t, loose, c.controllers, 40), 0
		for id := range QueryID(60) {
			for _, e := range d.r.engineList {
				if c.inflight >= 0 {
					d.r.recordReport(e, &LoadReport{Inflight: c.inflight + float64(e.attempts), Utilization: 0.5, Disk: 0.5})
				}
			}
			d.r.traffic.share = decayedMean{halfLife: shareHalfLife}
			ev := command1(id)
			if ev.Tables = TableGroup(id); sent(d.step(ev), id) != "" {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("%+v: %d of 60 commands out", c, n)
		}
	}
}

// Found on dundee-main-later: paced by time alone, a hundred controllers probed six times for each command.
func TestProbesFollowCommands(t *testing.T) {
	a, probes := loose, 0
	a.HealthChecks = true
	d := crowd(t, a, 100, 40)
	for id := range QueryID(100) {
		for _, action := range append(d.step(command1(id)), d.wait(500)...) {
			if p, ok := action.(CheckHealth); ok {
				probes++
				d.step(HealthCheckEnded{Engine: p.Engine, Outcome: Succeeded, Load: &LoadReport{Inflight: 3}})
			}
		}
		d.step(outcome(id, 0, Succeeded))
	}
	if probes < 20 || probes > 100 {
		t.Errorf("%d probes for 100 commands", probes)
	}
}

// Found on the grown deployments: sends whose answer was lost were waited for until the client timeout.
func TestQuietSend(t *testing.T) {
	with := func(e RepeatEffect, window float64) QueryClass {
		p := lookup
		p.Effect, p.DeduplicationWindow = e, window
		return p
	}
	mayCancel, copies, neither := loose, Capabilities{MaxAttempts: 6, Hedging: true}, Capabilities{MaxAttempts: 6}
	for _, c := range []struct {
		name           string
		p              QueryClass
		a              Capabilities
		pace           float64
		notes          bool
		cancel, resent bool
	}{
		{"cancelled", lookup, mayCancel, 500, false, true, false},
		{"a second copy", lookup, copies, 500, false, false, true},
		{"neither is allowed", lookup, neither, 500, false, false, false},
		{"notes still come", lookup, mayCancel, 500, true, false, false},
		{"there are no notes", lookup, mayCancel, 0, false, false, false},
		{"non-replayable", with(NonIdempotent, 0), mayCancel, 500, false, false, false},
		{"uniqued", with(Deduplicated, 5000), copies, 500, false, false, true},
		{"uniqued, past its window", with(Deduplicated, 500), copies, 500, false, false, false},
	} {
		c.a.ProgressInterval = c.pace
		d := newDesk(t, c.p, c.a, tight, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
		d.step(command1(1))
		var actions []Action
		for range 20 {
			if actions = append(actions, d.wait(48)...); c.notes {
				d.step(AttemptProgress{ID: 1, Kind: ProgressDone, Value: 0.5})
			}
		}
		if cancels(actions) != c.cancel || (sent(actions, 1) != "") != c.resent {
			t.Errorf("%s: sent again to %q; %v", c.name, sent(actions, 1), actions)
		}
	}
}

// Found in a random world: a command whose answer had begun was sent again when notes of it stayed out.
func TestBegunIsLeftAlone(t *testing.T) {
	for _, a := range []Capabilities{{MaxAttempts: 6, Hedging: true, ProgressInterval: 500},
		{MaxAttempts: 6, Cancel: true, ProgressInterval: 500}} {
		d := newDesk(t, lookup, a, tight, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
		d.step(command1(1))
		actions := d.step(ResponseStarted{ID: 1})
		for range 120 {
			actions = append(actions, d.wait(50)...)
		}
		sheds, fails := answers(actions, 1)
		if sent(actions, 1) != "" || cancels(actions) || sheds+fails > 0 {
			t.Errorf("%+v: something was done about an answer that has begun: %v", a, actions)
		}
	}
}

// A send no longer waited for still holds its key's order, and is counted as out no longer.
func TestLostSendKeepsItsKey(t *testing.T) {
	p, a := lookup, Capabilities{MaxAttempts: 6, Hedging: true, ProgressInterval: 500}
	p.Ordered, p.LateBenefit = true, 1
	d := newDesk(t, p, a, tight, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
	keyed := func(id QueryID) QueryArrived { ev := command1(id); ev.Key = "k"; return ev }
	d.step(keyed(1), keyed(2))
	d.wait(900)
	if actions := append(d.step(outcome(1, 1, Succeeded)), d.wait(500)...); sent(actions, 2) != "" {
		t.Error("the next of the key was sent while a lost send had no outcome")
	}
	actions := append(d.step(outcome(1, 0, TimedOut)), d.wait(500)...)
	if sent(actions, 2) == "" || d.r.concurrency.threads != 1 || d.r.concurrency.attempts != 1 {
		t.Errorf("%g threads of %d sends are counted, not the next of the key alone", d.r.concurrency.threads, d.r.concurrency.attempts)
	}
}

// Found on trapani-sosta-later: engines past their memory ran at a sixth of their pace and were sent more.
func TestNoMemoryByReport(t *testing.T) {
	for _, c := range []struct {
		memory, age float64
		goes        bool
	}{{0.95, 0, false}, {0.5, 0, true}, {0.95, reportMaxAge + 100, true}} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		d.step(command1(1))
		d.r.recordReport(d.r.engines["a"], &LoadReport{Inflight: 1, Memory: c.memory})
		d.wait(c.age)
		if to := sent(d.step(command1(2)), 2); (to != "") != c.goes {
			t.Errorf("%+v: sent to %q", c, to)
		}
	}
}

// Found on tacoma-east-later: an engine heard of paid for its load in the choice, one not heard of did not.
func TestNewsIsNoDrawback(t *testing.T) {
	d := crowd(t, loose, 100, 2)
	a, b := d.r.engineList[0], d.r.engineList[1]
	d.r.recordReport(a, &LoadReport{Inflight: 8, Utilization: 0.8, Disk: 0.8})
	a.idHash = b.idHash
	cmd := &query{class: d.r.classes[0], tables: &tableGroup{}}
	if x, y := d.r.placementScore(cmd, a), d.r.placementScore(cmd, b); x > y*1.1 {
		t.Errorf("an engine at the mean presses %g, one not heard of %g", x, y)
	}
}

// Found on dundee-main-later: cold engines that may get nothing made the pool larger, so warm ones filled.
func TestColdEngineIsNoRoom(t *testing.T) {
	for _, c := range []struct{ controllers, more int }{{1, 1}, {100, 0}} {
		d := crowd(t, loose, c.controllers, 2)
		before, cold := d.r.concurrency.threadLimit, engineAt("x", 0, "z", 9)
		cold.StartedAt = d.now
		d.step(EndpointsUpdated{Endpoints: []Endpoint{cold}})
		if d.wait(periodicInterval); (d.r.concurrency.threadLimit > before) != (c.more > 0) {
			t.Errorf("%d controllers: the pool went from %g to %g", c.controllers, before, d.r.concurrency.threadLimit)
		}
	}
}

// Rule 4 at size: in any window all controllers together stay under the allowance, and some may send.
func TestColdTurns(t *testing.T) {
	const controllers = 150
	var parts [controllers][]float64 // of each controller, every 10 ms
	whole := tight.SlowStartOverload * tight.SlowStartCapacity * 8 * tight.SlowStartWindow
	d := crowd(t, loose, controllers, 1)
	e := d.r.engineList[0]
	e.startedAt = d.now
	for range 600 {
		for n := range controllers {
			d.r.index = n
			parts[n] = append(parts[n], d.r.slowStartAllowance(e))
		}
		d.r.now += 10
	}
	window, used := int(tight.SlowStartWindow/10), 0.0
	for from := range 600 - window {
		sum := 0.0
		for n := range controllers { // each may use its part once within a window, and again in a later turn
			sum += slices.Max(parts[n][from : from+window])
		}
		if used = max(used, sum); sum > slowStartShareUsed*whole*1.001 {
			t.Fatalf("%g ms of work may be sent within a window, of %g", sum, slowStartShareUsed*whole)
		}
	}
	if used < whole/4 {
		t.Errorf("only %g ms of work of %g may be sent", used, whole)
	}
}
