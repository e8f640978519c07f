package router

import "testing"

// The thread limit of an engine increases while queries run nearly as fast as on an idle engine,
// decreases when they are much slower, and is constant in between.
func TestThreadLimitFollowsSlowdown(t *testing.T) {
	for _, c := range []struct {
		name      string
		took      float64
		increased bool
		decreased bool
	}{{"nearly as fast as idle", 110, true, false}, {"between", 240, false, false},
		{"far slower", 900, false, true}} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		e := tr.r.engines["a"]
		class := tr.r.classes[0]
		class.bestUnitTime = 100
		q := &query{class: class}
		e.slowdown.add(tr.r.now, 20*c.took/100, 20)
		for range 40 {
			e.threads = tr.r.threadLimit(e)
			tr.r.now += 100
			tr.r.learnFromSuccess(q, e, AttemptEnded{Outcome: Succeeded, Elapsed: c.took})
		}
		if (e.threadsPerCore > initialThreadsPerCore) != c.increased ||
			(e.threadsPerCore < initialThreadsPerCore) != c.decreased || e.threadsPerCore > maxThreadsPerCore {
			t.Errorf("%s: the limit became %g threads per core, which is not the change of the case", c.name, e.threadsPerCore)
		}
	}
}

// The limit pooled over all engines holds for each controller. On the deployment
// trapani-sosta-later each of a hundred controllers had one attempt on every engine, and together
// these overloaded all engines.
func TestPooledThreadLimitOfManyControllers(t *testing.T) {
	for _, c := range []struct {
		controllers int
		inflight    float64
		least, most int
	}{{100, -1, 1, 7}, {100, 4, 8, 11}, {100, 16, 1, 7}, {1000, -1, 1, 1}, {1, -1, 60, 60}} {
		tr := newTestRouterInFleet(t, cancelCapabilities, c.controllers, 40)
		n := 0
		for id := range QueryID(60) {
			for _, e := range tr.r.engineList {
				if c.inflight >= 0 {
					tr.r.recordReport(e, &LoadReport{Inflight: c.inflight + float64(e.attempts), Utilization: 0.5,
						Disk: 0.5})
				}
			}
			tr.r.traffic.share = decayedMean{halfLife: shareHalfLife}
			ev := newQuery(id)
			if ev.Tables = TableGroup(id); startedOn(tr.step(ev), id) != "" {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("%+v: %d of 60 queries are in flight, want from least to most", c, n)
		}
	}
}

// Nothing starts on an engine that has recently reported its memory as used up. On the deployment
// trapani-sosta-later engines out of memory ran at a sixth of their speed and were sent more
// queries.
func TestNothingStartsWhereMemoryIsUsedUp(t *testing.T) {
	for _, c := range []struct {
		memory, age float64
		starts      bool
	}{{0.95, 0, false}, {0.5, 0, true}, {0.95, reportMaxAge + 100, true}} {
		tr := newTestRouter(t, lookupClass, cancelCapabilities, slowStartLimits, readyEndpoint("a", 0, "z", 1))
		tr.step(newQuery(1))
		tr.r.recordReport(tr.r.engines["a"], &LoadReport{Inflight: 1, Memory: c.memory})
		tr.wait(c.age)
		if to := startedOn(tr.step(newQuery(2)), 2); (to != "") != c.starts {
			t.Errorf("%+v: started on %q, want it started only if starts is true", c, to)
		}
	}
}

// A warming engine that a controller may send nothing to does not increase the controller's pooled
// limit. On the deployment dundee-main-later it did, and the warm engines were overloaded.
func TestWarmingEngineAddsNoPooledLimit(t *testing.T) {
	for _, c := range []struct{ controllers, more int }{{1, 1}, {100, 0}} {
		tr := newTestRouterInFleet(t, cancelCapabilities, c.controllers, 2)
		before := tr.r.concurrency.pooledThreadLimit
		warming := readyEndpoint("x", 0, "z", 9)
		warming.StartedAt = tr.now
		tr.step(EndpointsUpdated{Endpoints: []Endpoint{warming}})
		if tr.wait(periodicInterval); (tr.r.concurrency.pooledThreadLimit > before) != (c.more > 0) {
			t.Errorf("%d controllers: the pooled limit went from %g to %g, want an increase for one controller alone",
				c.controllers, before, tr.r.concurrency.pooledThreadLimit)
		}
	}
}
