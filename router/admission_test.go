package router

import "testing"

// Queries arrive faster than the controller handles them, and each waits longer for its step. Those
// that can't be in time after such a wait are rejected, and a growing share of the others. None is
// rejected while waits are short, or once they are short again.
func TestSlowInboxRejectsQueries(t *testing.T) {
	for _, c := range []struct {
		name        string
		arrivalWait float64
		timeLeft    float64 // ms, of 5000
		least, most int     // of 400 queries that are rejected
	}{
		{"no wait", 0, 5000, 0, 0},
		{"as long as is allowed", maxArrivalWait, 5000, 0, 0},
		{"longer", 3 * maxArrivalWait, 5000, 40, 300},
		{"far longer", 30 * maxArrivalWait, 5000, 300, 400},
		{"those that can't be in time go first", 3 * maxArrivalWait, 150, 390, 400},
	} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		rejected := 0
		id := QueryID(0)
		arrive := func(arrivalWait float64) {
			id++
			ev := newQuery(id)
			ev.ArrivalWait = arrivalWait
			ev.TimeLeft = c.timeLeft
			actions := tr.step(ev)
			rejections, failures := finalAnswers(actions, id)
			if failures > 0 || rejections > 0 && startedOn(actions, id) != "" {
				t.Fatalf("%s: the query was failed, or rejected and started: %v", c.name, actions)
			}
			if rejected += rejections; rejections == 0 {
				tr.step(attemptEnded(id, 0, Succeeded))
			}
		}
		for range 400 {
			arrive(c.arrivalWait)
		}
		if rejected < c.least || rejected > c.most {
			t.Errorf("%s: %d of 400 queries were rejected, which is out of the range of the case", c.name, rejected)
		}
		for range 4000 { // waits are short again
			arrive(0)
		}
		if rejected = 0; c.timeLeft == 5000 {
			for range 50 {
				if arrive(0); rejected > 0 {
					t.Fatalf("%s: a query was rejected though waits are short again", c.name)
				}
			}
		}
	}
}

// A query beyond the size limit is rejected. On the deployment tacoma-east a few very large queries
// took the engines that many usual ones needed.
func TestTooLargeQueryIsRejected(t *testing.T) {
	for _, c := range []struct {
		estimate, sizeLimit float64
		rejections          int
	}{{100, minSizeLimit, 0}, {600, minSizeLimit, 1}, {600, maxSizeLimit, 0}, {6000, maxSizeLimit, 1}} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.r.classes[0].work.add(tr.now, 100*1000, 1000)
		tr.r.admission.sizeLimit = c.sizeLimit
		ev := newQuery(1)
		ev.EstimatedWork = c.estimate
		if s, _ := finalAnswers(tr.step(ev), 1); s != c.rejections {
			t.Errorf("%+v: %d rejections, want as many as the case has", c, s)
		}
	}
}

// In overload a client's retry that can only be late is rejected. On the deployment dundee-main
// such retries, which are nearer to their client timeout, started before first tries and made these
// late.
func TestLateRetryIsRejectedInOverload(t *testing.T) {
	for _, c := range []struct {
		name       string
		timeLeft   float64
		overload   bool
		rejections int
	}{{"a first try in overload", 4000, true, 0}, {"a late retry in overload", 2500, true, 1},
		{"no overload", 2500, false, 0}} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		first := newQuery(1)
		retry := newQuery(2)
		first.TimeLeft = 4000
		retry.TimeLeft = c.timeLeft
		tr.step(first)
		if tr.r.admission.overloadedUntil = 0; c.overload {
			tr.r.admission.overloadedUntil = tr.now + overloadDuration
		}
		if s, _ := finalAnswers(tr.step(retry), 2); s != c.rejections {
			t.Errorf("%s: %d rejections, want 1 for a late retry in overload, else 0", c.name, s)
		}
	}
}

// Clients that shorten their timeout are not rejected by idle engines. On the deployment
// dundee-main all clients did so, and their queries were treated as retries and rejected.
func TestShorterClientTimeoutIsNoOverload(t *testing.T) {
	tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
	rejections := 0
	for id := range QueryID(1000) {
		ev := newQuery(id)
		if id > 200 {
			ev.TimeLeft = 2500
		}
		s, _ := finalAnswers(append(tr.step(ev), tr.step(attemptEnded(id, 0, Succeeded))...), id)
		rejections += s
	}
	if rejections > 0 {
		t.Errorf("%d queries were rejected while the engine was idle, want 0", rejections)
	}
}

// In overload, and only then, as many queries of a tenant are rejected as are over its quota. On
// the deployment tacoma-east the surge of one tenant over its quota took the engines from the
// others.
func TestTenantOverQuotaIsRejectedInOverload(t *testing.T) {
	for _, c := range []struct {
		perSecond   float64
		overload    bool
		least, most int
	}{{100, true, 60, 120}, {100, false, 0, 0}, {5000, true, 0, 0}, {0, true, 0, 0}} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.r.tenants = []*tenant{{Tenant: Tenant{QueriesPerSecond: c.perSecond},
			queries: decayedMean{halfLife: tenantHalfLife}}}
		rejections := 0
		for id := range QueryID(3000) { // 500 a second, of which the last 100 count
			ev := newQuery(id)
			ev.Tenant = 0
			if c.overload {
				tr.r.admission.overloadedUntil = tr.now + overloadDuration
			}
			s, _ := finalAnswers(append(tr.step(ev), tr.step(attemptEnded(id, 0, Succeeded))...), id)
			if id >= 2900 {
				rejections += s
			}
		}
		if rejections < c.least || rejections > c.most {
			t.Errorf("%+v: %d of the last 100 queries were rejected, want from least to most", c, rejections)
		}
	}
}

// A client counts the time that a query waited in its own queue as part of the timeout. The query
// has its final answer before the client gives up, whether it runs or is queued. Without such a
// wait it has the whole time.
func TestClientQueueTimeCountsAgainstTheTimeout(t *testing.T) {
	for _, c := range []struct{ clientQueueTime, answerBefore float64 }{{0, 13000}, {3000, 10000}, {9000, 4000},
		{40000, 13000 * 0.25}} {
		tr := newTestRouter(t, orderedClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 0))
		first := QueryArrived{ID: 1, Tenant: -1, TimeLeft: 13000, ClientQueueTime: c.clientQueueTime, Tables: 7,
			Key: "k"}
		tr.step(first)
		second := first
		second.ID = 2
		tr.step(second) // it is queued behind the first
		arrivedAt := tr.now
		answeredAfter := map[QueryID]float64{} // ms
		for tr.now < arrivedAt+13000 && len(answeredAfter) < 2 {
			actions := tr.wait(20)
			for id := range QueryID(3) {
				if rejections, failures := finalAnswers(actions, id); rejections+failures > 0 {
					answeredAfter[id] = tr.now - arrivedAt
				}
			}
		}
		for id := QueryID(1); id <= 2; id++ {
			if at := answeredAfter[id]; at == 0 || at > c.answerBefore || id == 1 && at < c.answerBefore-200 {
				t.Errorf("%v ms in the client's queue: query %d had its answer after %v ms, want just before %v ms",
					c.clientQueueTime, id, at, c.answerBefore)
			}
		}
	}
}
