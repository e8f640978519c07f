package router

import (
	"math"
	"math/rand"
	"testing"
)

// The margins by which windows are kept wider or narrower, against clocks and ways that differ by some ms:
// each case lies between the rule's own time and the margin.

// Rule 7: what lies up to the slack outside the window still counts as sent, and up to the slack within it
// no longer as taken.
func TestBudgetMargins(t *testing.T) {
	const window = 1000.0
	for _, c := range []struct {
		name         string
		resent, took float64 // ms ago
		share        float64
		allows       bool
	}{
		{"sent within the window", 900, 10, 0, false},
		{"sent just before the window", window + windowSlack/2, 10, 0, false},
		{"sent well before the window", window + 2*windowSlack, 10, 0, true},
		{"taken just within the window", 10, window - windowSlack/2, 2, false},
		{"taken well within the window", 10, window - 2*windowSlack, 2, true},
	} {
		g := tight
		g.RetryBudgeted, g.RetryBudgetMin, g.RetryBudgetRatio, g.RetryBudgetWindow = true, 1, c.share, window
		d := newDesk(t, lookup, loose, g)
		if c.share > 0 {
			g.RetryBudgetMin, d.r.limits.RetryBudgetMin = 0, 0
		}
		d.r.retryBudget.retries.add(d.r.now-c.resent, 1)
		d.r.retryBudget.queries.add(d.r.now-c.took, 1)
		if d.r.retryBudgetAllows() != c.allows {
			t.Errorf("%s: allowed is %v", c.name, !c.allows)
		}
	}
}

// Rule 2: a repeat must reach its engine before the window of the first doubtful send ends.
func TestRepeatWindowMargin(t *testing.T) {
	p := lookup
	p.Effect, p.DeduplicationWindow = Deduplicated, 1000
	for _, c := range []struct {
		after float64
		spent bool
	}{{900, false}, {1000 - windowSlack/2, true}, {1000 + windowSlack/2, true}} {
		d := newDesk(t, p, loose, tight, engineAt("a", 0, "z", 1))
		d.step(command1(1))
		cmd := d.r.queries[1]
		cmd.unresolved, cmd.unresolvedAt = d.r.engines["a"], d.r.now
		d.r.now += c.after
		if d.r.attemptsExhausted(cmd) != c.spent {
			t.Errorf("%g ms after a doubtful send: spent is %v", c.after, !c.spent)
		}
	}
}

// Rule 2: a send that has gone quiet is not followed by another so late that this would reach its engine
// after the window.
func TestQuietWindowMargin(t *testing.T) {
	for _, c := range []struct {
		window float64
		again  bool
	}{{2000, true}, {880, false}} {
		p, a := lookup, Capabilities{MaxAttempts: 6, Hedging: true, ProgressInterval: 500}
		p.Effect, p.DeduplicationWindow = Deduplicated, c.window
		d := newDesk(t, p, a, tight, engineAt("a", 0, "z", 1), engineAt("b", 0, "z", 1))
		d.step(command1(1))
		actions := d.wait(d.r.silenceLimit() + 5)
		if (sent(actions, 1) != "") != c.again {
			t.Errorf("window %g: sent again to %q", c.window, sent(actions, 1))
		}
	}
}

// Rule 1: the end leaves two rounds and some ms for the answer to be in time.
func TestEndMargin(t *testing.T) {
	for _, round := range []float64{0, 5, 50} {
		g := tight
		g.EventInterval = round
		d := newDesk(t, lookup, loose, g)
		d.step(command1(1))
		q := d.r.queries[1]
		if by := d.r.answerBy(q); by > q.deadline-2*round-5 || by < q.deadline-2*round-10 {
			t.Errorf("round %g: ended %g ms before its timeout", round, q.deadline-by)
		}
		d.r.shutdownAt = q.deadline - 1000
		if by := d.r.answerBy(q); by > d.r.shutdownAt-2*round-5 {
			t.Errorf("round %g: ended %g ms before the planned end", round, d.r.shutdownAt-by)
		}
	}
}

// Rule 4: an engine counts as cold a little longer than stated, a window as longer, and its stretches
// outlast it.
func TestColdMargins(t *testing.T) {
	cold := engineAt("a", 0, "z", 1)
	desk := func() *desk {
		d := newDesk(t, lookup, loose, tight)
		d.now += 5000
		cold.StartedAt = d.now
		d.step(EndpointsUpdated{Endpoints: []Endpoint{cold}})
		return d
	}
	for _, c := range []struct {
		age  float64
		cold bool
	}{{0, true}, {tight.SlowStartTime - 10, true}, {tight.SlowStartTime + windowSlack/2, true}, {tight.SlowStartTime + 2*windowSlack, false}} {
		d := desk()
		d.r.now = cold.StartedAt + c.age
		if part := d.r.slowStartAllowance(d.r.engines["a"]); (part < 1e9) != c.cold {
			t.Errorf("%g ms after its start: part %g", c.age, part)
		}
	}
	for _, c := range []struct {
		name string
		ago  float64 // since all of its part was sent
		may  bool
	}{{"within the window", 1000, false}, {"just before the window", tight.SlowStartWindow + windowSlack/2, false},
		{"well before the window", tight.SlowStartWindow + 2*windowSlack, true}} {
		d := desk()
		e := d.r.engines["a"]
		d.r.now = cold.StartedAt + 5000
		e.slowStartWork.add(d.r.now-c.ago, d.r.slowStartAllowance(e))
		if d.r.slowStartAllows(&query{class: d.r.classes[0]}, e) != c.may {
			t.Errorf("%s: may is %v", c.name, !c.may)
		}
	}
	for _, c := range []struct {
		up  float64 // ms for which this controller has been up
		may bool
	}{{tight.SlowStartWindow, false}, {tight.SlowStartWindow + windowSlack/2, false}, {tight.SlowStartWindow + 2*windowSlack, true}} {
		d := desk()
		d.r.now, d.r.startedAt = cold.StartedAt+3000, cold.StartedAt+3000-c.up
		if d.r.slowStartAllows(&query{class: d.r.classes[0]}, d.r.engines["a"]) != c.may {
			t.Errorf("up for %g ms: may is %v", c.up, !c.may)
		}
	}
	for _, controllers := range []int{60, 150, 300, 1000} { // whoever has a turn that touches a window uses all of it
		d := desk()
		d.r.controllers = float64(controllers)
		e, whole := d.r.engines["a"], slowStartShareUsed*tight.SlowStartOverload*tight.SlowStartCapacity*8*tight.SlowStartWindow
		length, sizes := (tight.SlowStartWindow+2*windowSlack)/slowStartTurnsPerWindow, map[float64]bool{}
		var sums []float64 // by stretch
		for at := length / 2; at < tight.SlowStartTime; at += length {
			sum := 0.0
			for n := range controllers {
				d.r.index, d.r.now = n, cold.StartedAt+at
				part := d.r.slowStartAllowance(e)
				sum += part
				for early := -0.49; early < 0.5; early += 0.49 {
					if d.r.now = cold.StartedAt + at + early*length; d.r.slowStartAllowance(e) != part {
						t.Fatalf("%d controllers: the part of %d changes within a stretch", controllers, n)
					}
				}
				sizes[part] = true
			}
			sums = append(sums, sum)
		}
		for i := 2; i < len(sums); i++ { // a window, and clocks that differ by the slack, touch three
			if together := sums[i-2] + sums[i-1] + sums[i]; together > whole*1.001 || together < whole/3 {
				t.Errorf("%d controllers: %g ms of %g are handed out in a window", controllers, together, whole)
			}
		}
		if len(sizes) < 3 { // none, small and large
			t.Errorf("%d controllers: parts of %v alone", controllers, sizes)
		}
	}
	for _, controllers := range []float64{1, 7, 20, 30, 60} { // all parts of a stretch together
		d := desk()
		d.r.controllers = controllers
		whole := slowStartShareUsed * tight.SlowStartOverload * tight.SlowStartCapacity * 8 * tight.SlowStartWindow
		sum := 0.0
		for n := range int(controllers) {
			d.r.index, d.r.now = n, cold.StartedAt+100
			sum += d.r.slowStartAllowance(d.r.engines["a"])
		}
		if sum > whole*1.001 || controllers < 10 && sum < whole*0.999 {
			t.Errorf("%g controllers: %g ms of %g are handed out", controllers, sum, whole)
		}
	}
}

// Rule 3 by an expired list, at the margins: what was told of must be older than the answer, and the engine
// unbroken.
func TestExpiredMargins(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  float64 // ms ago
		broke float64 // ms ago; 0: not since it was heard of
		holds bool
	}{
		{"answered within", 5900, 0, true},
		{"answered before", 6000, 0, false},
		{"answered, but broke since the last news", 100, 50, false},
		{"broke when the last news came", 100, 200, false},
		{"broke before the last news", 100, 201, true},
	} {
		d := newDesk(t, lookup, loose, tight, engineAt("a", 0, "z", 1))
		e := d.r.engines["a"]
		d.r.endpoints.expiredFor, d.r.endpoints.updatedAt, e.answeredStartAt, e.connectionLostAt = 6000, d.r.now-200, d.r.now-c.took, -1e9
		if c.broke > 0 {
			e.connectionLostAt = d.r.now - c.broke
		}
		if d.r.endpointTrusted(e) != c.holds {
			t.Errorf("%s: holds is %v", c.name, !c.holds)
		}
	}
}

// A cold engine that this controller has a turn at takes what its part holds, though the pool of threads is
// used up and its equal part of the engine's threads is under one; another engine does not, nor the cold
// one without a turn.
func TestColdTurnIsTheGuard(t *testing.T) {
	cold := engineAt("a", 0, "z", 1)
	d := newDesk(t, lookup, loose, tight, engineAt("b", 0, "z", 1))
	d.now += 5000
	cold.StartedAt = d.now - 2000
	d.step(EndpointsUpdated{Endpoints: []Endpoint{cold}})
	d.r.controllers, d.r.traffic.share = 300, decayedMean{}
	d.r.runPeriodic()
	q := &query{class: d.r.classes[0]}
	e := d.r.engines["a"]
	turn := func(want bool) {
		for d.r.index = 0; d.r.slowStartAllowance(e) > 0 != want; d.r.index++ {
		}
		d.r.updateAllBounds()
	}
	d.r.concurrency.attempts, d.r.concurrency.threads, e.attempts, e.threads = 30, d.r.concurrency.threadLimit+poolOverhang+1, 2, 2
	turn(true)
	capacity := d.r.capacityBound(1, d.r.trafficShare())
	if !d.r.hasCapacity(q, e, 1) || !capacity.mayHold(e) || d.r.noCapacityAnywhere(q) {
		t.Error("a cold engine whose turn it is has no room")
	}
	if d.r.hasCapacity(q, d.r.engines["b"], 1) {
		t.Error("a warm engine has room though the pool is used up")
	}
	if e.threads = 2 * maxThreadsPerCore * e.cores; d.r.hasCapacity(q, e, 1) {
		t.Error("a cold engine takes more threads than it is wide")
	}
	e.threads = 2
	turn(false)
	if d.r.slowStartAllows(q, e) {
		t.Error("a cold engine takes something out of turn")
	}
	if q.uncappedEstimate = 1e5; q.slowStartCost(d.r.now) < 1e5 {
		t.Error("a large estimate does not count at a cold engine")
	}
}

// What twenty or thirty controllers together send a cold engine that all of them want, command by command:
// of N calls of usual work that the rule allows in a window, chance may add 2 roots of N and 2, and they
// stay under N.
func TestColdSum(t *testing.T) {
	p := QueryClass{LatencyObjective: 60000, ClientTimeout: 60000, Threads: 1, LateBenefit: 1}
	const usual, stepMS, each = 300.0, 10.0, 3
	for _, controllers := range []int{3, 20, 30} {
		rng := rand.New(rand.NewSource(int64(controllers)))
		cold := Endpoint{Engine: "a", StartedAt: 100000}
		type out struct {
			ended AttemptEnded
			at    float64
		}
		var fleet []*Router
		for n := range controllers {
			r := New(int64(n), Identity{Controllers: controllers, Index: n}, twoKinds, []QueryClass{p}, nil, loose, tight)
			r.Step(cold.StartedAt-10000, []Event{EndpointsUpdated{Complete: true, Cached: true, Endpoints: []Endpoint{cold}}})
			r.classes[0].work.add(cold.StartedAt, 100*usual, 100) // what they usually are is known
			fleet = append(fleet, r)
		}
		var sends []float64 // when, in order
		pending, work, id := make([][]out, controllers), map[QueryID]float64{}, QueryID(0)
		for now := cold.StartedAt; now < cold.StartedAt+tight.SlowStartTime; now += stepMS {
			for n, r := range fleet {
				events := []Event{TimerFired{}}
				for len(pending[n]) > 0 && pending[n][0].at <= now {
					events, pending[n] = append(events, pending[n][0].ended), pending[n][1:]
				}
				for range each * (1 + rng.Intn(2)) / 3 {
					id++
					work[id] = usual * math.Exp(rng.NormFloat64()-0.5) // of this mean, widely spread
					events = append(events, QueryArrived{ID: id, Tenant: -1, TimeLeft: 60000, Tables: 7, EstimatedWork: work[id]})
				}
				for _, a := range r.Step(now, events) {
					if s, ok := a.(StartAttempt); ok {
						sends = append(sends, now)
						pending[n] = append(pending[n], out{AttemptEnded{ID: s.ID, QueryDone: true, Elapsed: 50}, now + 50})
					}
				}
			}
		}
		allowed := tight.SlowStartOverload * tight.SlowStartCapacity * 8 * tight.SlowStartWindow / usual
		most := 0
		for from := range sends {
			within := 0
			for _, at := range sends[from:] {
				if at <= sends[from]+tight.SlowStartWindow {
					within++
				}
			}
			most = max(most, within)
		}
		if float64(most) > allowed {
			t.Errorf("%d controllers: %d calls in a window, of %.0f, where chance may add %.0f", controllers, most, allowed, 2*math.Sqrt(allowed)+2)
		}
		if float64(most) < allowed/6 {
			t.Errorf("%d controllers: only %d calls in a window, of %.0f: the test asks for too little", controllers, most, allowed)
		}
		t.Logf("%d controllers: at most %d calls in a window, of %.0f", controllers, most, allowed)
	}
}
