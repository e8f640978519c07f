package router

import (
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Rule 4, at the margins: clocks differ by some ms, so an engine counts as warming for a little
// longer than configured, and a window as longer. A controller's part is constant within a turn.
// All parts of a turn together stay within what the rule allows.
func TestSlowStartMargins(t *testing.T) {
	checkWarmingByAge(t)
	checkSlowStartWindow(t)
	checkSlowStartAfterRestart(t)
	checkSlowStartTurns(t)
	checkSlowStartParts(t)
}

// newWarmingTestRouter returns a controller, and engine "a", which has just started.
func newWarmingTestRouter(t *testing.T) (*testRouter, Endpoint) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits)
	tr.now += 5000
	warming := readyEndpoint("a", 0, "z", 1)
	warming.StartedAt = tr.now
	tr.step(EndpointsUpdated{Endpoints: []Endpoint{warming}})
	return tr, warming
}

// usedSlowStartWork is the work in ms that all controllers together may start within a window on a
// warming engine of the first machine kind: slowStartShareUsed of what slowStartLimits allow.
func usedSlowStartWork() float64 {
	return slowStartShareUsed * slowStartLimits.SlowStartOverload * slowStartLimits.SlowStartCapacity * 8 *
		slowStartLimits.SlowStartWindow
}

// checkWarmingByAge checks up to which age an engine counts as warming.
func checkWarmingByAge(t *testing.T) {
	t.Helper()
	for _, c := range []struct {
		age     float64
		warming bool
	}{{0, true}, {slowStartLimits.SlowStartTime - 10, true},
		{slowStartLimits.SlowStartTime + windowSlack/2, true},
		{slowStartLimits.SlowStartTime + 2*windowSlack, false}} {
		tr, warming := newWarmingTestRouter(t)
		tr.r.now = warming.StartedAt + c.age
		if part := tr.r.slowStartAllowance(tr.r.engines["a"]); (part < 1e9) != c.warming {
			t.Errorf("%g ms after the start of an engine: part is %g, want it finite only while warming", c.age, part)
		}
	}
}

// checkSlowStartWindow checks for how long started work counts.
func checkSlowStartWindow(t *testing.T) {
	t.Helper()
	for _, c := range []struct {
		name    string
		ago     float64 // ms since all of the part was used
		allowed bool
	}{{"within the window", 1000, false}, {"just before the window",
		slowStartLimits.SlowStartWindow + windowSlack/2, false},
		{"well before the window", slowStartLimits.SlowStartWindow + 2*windowSlack, true}} {
		tr, warming := newWarmingTestRouter(t)
		e := tr.r.engines["a"]
		tr.r.now = warming.StartedAt + 5000
		e.slowStartWork.add(tr.r.now-c.ago, tr.r.slowStartAllowance(e))
		if tr.r.slowStartAllows(&query{class: tr.r.classes[0]}, e) != c.allowed {
			t.Errorf("%s: an attempt is allowed: %v, want the opposite", c.name, !c.allowed)
		}
	}
}

// checkSlowStartAfterRestart checks for how long a restarted controller sends nothing to a warming
// engine.
func checkSlowStartAfterRestart(t *testing.T) {
	t.Helper()
	for _, c := range []struct {
		up      float64 // ms for which this controller has been up
		allowed bool
	}{{slowStartLimits.SlowStartWindow, false}, {slowStartLimits.SlowStartWindow + windowSlack/2, false},
		{slowStartLimits.SlowStartWindow + 2*windowSlack, true}} {
		tr, warming := newWarmingTestRouter(t)
		tr.r.now = warming.StartedAt + 3000
		tr.r.startedAt = warming.StartedAt + 3000 - c.up
		if tr.r.slowStartAllows(&query{class: tr.r.classes[0]}, tr.r.engines["a"]) != c.allowed {
			t.Errorf("controller up for %g ms: an attempt is allowed: %v, want the opposite", c.up, !c.allowed)
		}
	}
}

// checkSlowStartTurns checks that a part is constant within a turn, that the parts of all turns
// which a window overlaps are together within what the rule allows, and that parts have several
// sizes.
func checkSlowStartTurns(t *testing.T) {
	t.Helper()
	// All controllers whose turns overlap a window use all of their parts.
	for _, controllers := range []int{60, 150, 300, 1000} {
		tr, warming := newWarmingTestRouter(t)
		tr.r.controllers = float64(controllers)
		e := tr.r.engines["a"]
		totalAllowance := usedSlowStartWork()
		length := (slowStartLimits.SlowStartWindow + 2*windowSlack) / slowStartTurnsPerWindow
		sizes := map[float64]bool{}
		var sums []float64 // by turn
		for at := length / 2; at < slowStartLimits.SlowStartTime; at += length {
			sum := 0.0
			for n := range controllers {
				tr.r.index = n
				tr.r.now = warming.StartedAt + at
				part := tr.r.slowStartAllowance(e)
				sum += part
				for early := -0.49; early < 0.5; early += 0.49 {
					if tr.r.now = warming.StartedAt + at + early*length; tr.r.slowStartAllowance(e) != part {
						t.Fatalf("%d controllers: the part of controller %d changes within a turn", controllers, n)
					}
				}
				sizes[part] = true
			}
			sums = append(sums, sum)
		}
		for i := 2; i < len(sums); i++ { // a window, and clocks that differ by the slack, overlap three turns
			if together := sums[i-2] + sums[i-1] + sums[i]; together > totalAllowance*1.001 || together < totalAllowance/3 {
				t.Errorf("%d controllers: parts in a window add up to %g ms, want a third to all of %g", controllers, together,
					totalAllowance)
			}
		}
		if len(sizes) < 3 { // none, small and large
			t.Errorf("%d controllers: the sizes of parts are %v, want at least 3", controllers, sizes)
		}
	}
}

// checkSlowStartParts checks that the parts of all controllers in one turn add up to no more than the rule
// allows.
func checkSlowStartParts(t *testing.T) {
	t.Helper()
	for _, controllers := range []float64{1, 7, 20, 30, 60} { // all parts of a turn together
		tr, warming := newWarmingTestRouter(t)
		tr.r.controllers = controllers
		totalAllowance := usedSlowStartWork()
		sum := 0.0
		for n := range int(controllers) {
			tr.r.index = n
			tr.r.now = warming.StartedAt + 100
			sum += tr.r.slowStartAllowance(tr.r.engines["a"])
		}
		if sum > totalAllowance*1.001 || controllers < 10 && sum < totalAllowance*0.999 {
			t.Errorf("%g controllers: parts in a turn add up to %g ms, want at most %g, and all of it for fewer than 10",
				controllers, sum, totalAllowance)
		}
	}
}

// A warming engine takes what this controller's part holds in its turn, even if the pooled thread
// limit is used up and the controller's equal share of the engine is less than one thread. Another
// engine does not, nor does the warming engine outside of the controller's turn.
func TestSlowStartTurnPassesPooledLimit(t *testing.T) {
	warming := readyEndpoint("a", 0, "z", 1)
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("b", 0, "z", 1))
	tr.now += 5000
	warming.StartedAt = tr.now - 2000
	tr.step(EndpointsUpdated{Endpoints: []Endpoint{warming}})
	tr.r.controllers = 300
	tr.r.traffic.share = decayedMean{}
	tr.r.runPeriodic()
	q := &query{class: tr.r.classes[0]}
	e := tr.r.engines["a"]
	turn := func(want bool) {
		for tr.r.index = 0; tr.r.slowStartAllowance(e) > 0 != want; tr.r.index++ {
		}
		tr.r.updateAllBounds()
	}
	tr.r.concurrency.attempts = 30
	tr.r.concurrency.threads = tr.r.concurrency.pooledThreadLimit + pooledLimitTolerance + 1
	e.attempts = 2
	e.threads = 2
	turn(true)
	capacity := tr.r.capacityBound(1, tr.r.trafficShare())
	if !tr.r.hasCapacity(q, e, 1) || !capacity.mayHaveCapacity(e) || tr.r.noCapacityAnywhere(q) {
		t.Error("a warming engine has no capacity in this controller's turn")
	}
	if tr.r.hasCapacity(q, tr.r.engines["b"], 1) {
		t.Error("a warm engine has capacity though the pooled limit is used up")
	}
	if e.threads = 2 * maxThreadsPerCore * e.cores; tr.r.hasCapacity(q, e, 1) {
		t.Error("a warming engine has capacity though its own thread limit is used up")
	}
	e.threads = 2
	turn(false)
	if tr.r.slowStartAllows(q, e) {
		t.Error("an attempt is allowed on a warming engine outside of this controller's turn")
	}
	if q.uncappedEstimate = 1e5; q.slowStartCost(tr.r.now) < 1e5 {
		t.Error("an estimate of 1e5 ms counts for less on a warming engine")
	}
}

// Rule 4: several controllers, which know nothing of each other, send queries to one warming
// engine. Of N queries of average work that the rule allows in a window, chance may add 2 square
// roots of N and 2; together they stay within N.
func TestSlowStartSumOverControllers(t *testing.T) {
	class := QueryClass{LatencyObjective: 60000, ClientTimeout: 60000, Threads: 1, LateBenefit: 1}
	const meanWork, stepMS, arrivalsPerTwoSteps = 300.0, 10.0, 3
	for _, controllers := range []int{3, 20, 30} {
		rng := rand.New(rand.NewSource(int64(controllers)))
		warming := Endpoint{Engine: "a", StartedAt: 100000}
		type scheduledEnd struct {
			ended AttemptEnded
			at    float64
		}
		fleet := newFleet(controllers, class, warming, meanWork)
		var starts []float64 // ms, in order
		pending := make([][]scheduledEnd, controllers)
		work := map[QueryID]float64{}
		id := QueryID(0)
		for now := warming.StartedAt; now < warming.StartedAt+slowStartLimits.SlowStartTime; now += stepMS {
			for n, r := range fleet {
				events := []Event{TimerFired{}}
				for len(pending[n]) > 0 && pending[n][0].at <= now {
					events = append(events, pending[n][0].ended)
					pending[n] = pending[n][1:]
				}
				for range arrivalsPerTwoSteps * (1 + rng.Intn(2)) / 3 {
					id++
					work[id] = meanWork * math.Exp(rng.NormFloat64()-0.5) // log-normal, with mean meanWork
					events = append(events, QueryArrived{ID: id, Tenant: -1, TimeLeft: 60000, Tables: 7,
						EstimatedWork: work[id]})
				}
				for _, a := range r.Step(now, events) {
					if s, ok := a.(StartAttempt); ok {
						starts = append(starts, now)
						pending[n] = append(pending[n], scheduledEnd{AttemptEnded{ID: s.ID, QueryDone: true, Elapsed: 50}, now + 50})
					}
				}
			}
		}
		allowed := slowStartLimits.SlowStartOverload * slowStartLimits.SlowStartCapacity * 8 *
			slowStartLimits.SlowStartWindow / meanWork
		most := mostWithin(starts, slowStartLimits.SlowStartWindow)
		if float64(most) > allowed {
			t.Errorf("%d controllers: %d queries in a window, want at most %.0f, where chance may add %.0f", controllers, most,
				allowed, 2*math.Sqrt(allowed)+2)
		}
		if float64(most) < allowed/6 {
			t.Errorf("%d controllers: at most %d queries in a window, of %.0f: the test sends too few",
				controllers, most, allowed)
		}
		t.Logf("%d controllers: at most %d queries in a window, of %.0f", controllers, most, allowed)
	}
}

// Rule 4: the work that a warming engine is sent within a window stays within this controller's
// part, and a controller that has just started sends it nothing.
func TestWarmingEngineGetsItsPartAtMost(t *testing.T) {
	for _, c := range []struct{ controllers, uptime, least, most float64 }{
		{1, 5000, 1, 20}, {4, 5000, 0, 5}, {1, 500, 0, 0},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits)
		tr.r.controllers = c.controllers
		tr.r.classes[0].work.add(tr.now, 100*1000, 100)
		tr.now += c.uptime
		warming := readyEndpoint("a", 0, "z", 1)
		warming.StartedAt = tr.now
		tr.step(EndpointsUpdated{Endpoints: []Endpoint{warming}})
		n := 0.0
		for id := range QueryID(60) {
			if startedOn(tr.step(newQuery(id)), id) != "" {
				n++
				tr.step(attemptEnded(id, 0, Succeeded))
			}
		}
		if totalAllowance := slowStartLimits.SlowStartOverload * slowStartLimits.SlowStartCapacity * 8 *
			slowStartLimits.SlowStartWindow / c.controllers; n*1000 > totalAllowance ||
			n < c.least || n > c.most {
			t.Errorf("%g controllers, up for %g ms: %g queries of 1000 ms to a warming engine, want from least to most",
				c.controllers, c.uptime, n)
		}
	}
}

// Rule 4: a rule that caps estimates must not make work look small to slow start.
func TestCappedEstimateCountsInFull(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	for id := range QueryID(50) {
		ev := newQuery(id)
		ev.EstimatedWork = 400
		ev.EstimateCap = 1
		tr.step(ev)
		tr.step(attemptEnded(id, 0, Succeeded))
	}
	if w := tr.r.classes[0].meanWork(tr.now); w < 300 {
		t.Errorf("mean work is %g ms for queries with an estimate of 400 ms, want at least 300", w)
	}
}

// Rule 4 with many controllers: in any window all of them together stay within the limit, and some
// of them may start attempts.
func TestSlowStartTurnsStayWithinTheLimit(t *testing.T) {
	const controllers = 150
	var parts [controllers][]float64 // of each controller, every 10 ms
	totalAllowance := slowStartLimits.SlowStartOverload * slowStartLimits.SlowStartCapacity * 8 *
		slowStartLimits.SlowStartWindow
	tr := newTestRouterInFleet(t, cancelCapabilities, controllers, 1)
	e := tr.r.engineList[0]
	e.startedAt = tr.now
	for range 600 {
		for n := range controllers {
			tr.r.index = n
			parts[n] = append(parts[n], tr.r.slowStartAllowance(e))
		}
		tr.r.now += 10
	}
	window := int(slowStartLimits.SlowStartWindow / 10)
	used := 0.0
	for from := range 600 - window {
		sum := 0.0
		for n := range controllers { // each may use its part once within a window, and again in a later turn
			sum += slices.Max(parts[n][from : from+window])
		}
		if used = max(used, sum); sum > slowStartShareUsed*totalAllowance*1.001 {
			t.Fatalf("%g ms of work may be sent within a window, want at most %g", sum, slowStartShareUsed*totalAllowance)
		}
	}
	if used < totalAllowance/4 {
		t.Errorf("at most %g ms of work may be sent within a window, want a quarter of %g at least", used, totalAllowance)
	}
}

// newFleet returns controllers that know of one warming engine and have learned the given mean work
// (ms) of the queries of their class.
func newFleet(controllers int, class QueryClass, warming Endpoint, meanWork float64) []*Router {
	var fleet []*Router
	for n := range controllers {
		r := New(int64(n), Identity{Controllers: controllers, Index: n}, twoKinds, []QueryClass{class}, nil,
			cancelCapabilities, slowStartLimits)
		r.Step(warming.StartedAt-10000, []Event{EndpointsUpdated{Complete: true, Cached: true,
			Endpoints: []Endpoint{warming}}})
		r.classes[0].work.add(warming.StartedAt, 100*meanWork, 100)
		fleet = append(fleet, r)
	}
	return fleet
}

// mostWithin is the largest number of the ascending times that lie within any window (ms).
func mostWithin(times []float64, window float64) int {
	most := 0
	for from := range times {
		within := 0
		for _, at := range times[from:] {
			if at <= times[from]+window {
				within++
			}
		}
		most = max(most, within)
	}
	return most
}
