package steps

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"mintkeel/router"
)

// driver steps a module in virtual time and records its actions.
type driver struct {
	t           *testing.T
	module      Module
	now         float64                            // ms
	serial      router.QueryID                     // of the latest query
	outstanding map[router.QueryID]router.EngineID // engine of the query's only attempt
	finals      map[router.QueryID]int             // number of final answers
	attempts    []router.StartAttempt              // in order
}

func newDriver(t *testing.T, newModule Constructor, classes []router.QueryClass,
	limits router.SafetyLimits) *driver {
	kinds := []router.MachineKind{{Cores: cores, MemoryMB: memory}, {Cores: cores, MemoryMB: memory}}
	return &driver{t: t, now: 1e6, outstanding: map[router.QueryID]router.EngineID{},
		finals: map[router.QueryID]int{},
		module: newModule(1, router.Identity{Controllers: 1}, kinds, classes, nil,
			router.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true,
				MaxRetryAfter: 100}, limits)}
}

// step advances the time by a duration in ms, and has the module handle events.
func (f *driver) step(after float64, events ...router.Event) {
	f.now += after
	for _, action := range f.module.Step(f.now, events) {
		switch a := action.(type) {
		case router.StartAttempt:
			f.outstanding[a.ID] = a.Engine
			f.attempts = append(f.attempts, a)
		case router.Reject:
			f.finals[a.ID]++
		case router.Fail:
			f.finals[a.ID]++
		}
	}
}

// answerQuery returns the event of a successful attempt, which gives the query its final answer.
func (f *driver) answerQuery(id router.QueryID) router.AttemptEnded {
	delete(f.outstanding, id)
	f.finals[id]++
	return router.AttemptEnded{ID: id, QueryDone: true, Elapsed: 30,
		Load: &router.LoadReport{Inflight: 3, Utilization: 0.4, Memory: 0.3, Disk: 0.1}}
}

func (f *driver) newQuery(p router.ClassID, tables int, left float64,
	key string) router.QueryArrived {
	f.serial++
	return router.QueryArrived{ID: f.serial, Tenant: -1, Class: p, Tables: router.TableGroup(tables),
		TimeLeft: left, EstimatedWork: 20,
		Key: router.OrderingKey(key)}
}

// checkAnsweredOnce checks that each query had exactly one final answer.
func (f *driver) checkAnsweredOnce() {
	f.t.Helper()
	wrong := 0
	for id := router.QueryID(1); id <= f.serial; id++ {
		if f.finals[id] != 1 {
			wrong++
		}
	}
	if wrong > 0 {
		f.t.Errorf("%d of %d queries have no or several final answers, want one for each", wrong, f.serial)
	}
}

// newEndpoints returns n endpoints in one state, alternately of two machine kinds. since is the time
// of their start in ms, 0 if it is not known.
func newEndpoints(prefix string, n int, since float64,
	state router.EngineState) (l []router.Endpoint) {
	for i := range n {
		l = append(l, router.Endpoint{Engine: router.EngineID(fmt.Sprintf("%s%04d", prefix, i)),
			Zone: "z", Kind: router.KindID(i % 2),
			StartedAt: since, State: state})
	}
	return l
}

var limits = router.SafetyLimits{SlowStartCapacity: 0.3, SlowStartTime: 3000, SlowStartOverload: 4,
	SlowStartWindow: 1000, OrderingCooldown: 100}

// TestAllEnginesRestart drains all engines at once while many queries are queued, and lists new
// engines, which warm up. Module and reference must take the same actions throughout, no attempt may
// start on a draining engine, and each query must be answered once.
func TestAllEnginesRestart(t *testing.T) {
	const engines, queued = 60, 4000
	f := newDriver(t, twin(t), Classes(3000), limits)
	f.step(0, router.EndpointsUpdated{Complete: true,
		Endpoints: newEndpoints("a", engines, 0, router.Ready)})
	for range queued / 50 {
		var events []router.Event
		for i := range 50 {
			events = append(events, f.newQuery(router.ClassID(i%4), i%20, 3000, ""))
		}
		f.step(2, events...)
	}
	f.step(1, router.EndpointsUpdated{Endpoints: newEndpoints("a", engines, 0, router.Draining)})
	before := len(f.attempts)
	f.step(200, router.EndpointsUpdated{Endpoints: newEndpoints("b", engines, f.now, router.Ready)})
	for len(f.finals) < int(f.serial) && f.now < 1.02e6 {
		var events []router.Event
		for _, s := range f.attempts[max(0, len(f.attempts)-300):] { // the latest attempts are answered
			if _, out := f.outstanding[s.ID]; out && f.finals[s.ID] == 0 {
				events = append(events, f.answerQuery(s.ID))
			}
		}
		f.step(20, events...)
		for id, e := range f.outstanding { // attempts on drained engines never end: stop tracking them
			if e[0] == 'a' && f.finals[id] == 1 {
				delete(f.outstanding, id)
			}
		}
	}
	for _, s := range f.attempts[before:] {
		if s.Engine[0] != 'b' {
			t.Fatalf("attempt %+v started after all engines a... began to drain, want engines b... only", s)
		}
	}
	if len(f.attempts) == before {
		t.Error("no attempts started on the new engines, want some")
	}
	f.checkAnsweredOnce()
}

// TestLongOrderingQueues checks that queries with an ordering key run one at a time in order of
// arrival, with many keys and with one key that has a long queue. A module that scans these queues in
// each step makes the test very slow.
func TestLongOrderingQueues(t *testing.T) {
	for _, c := range []struct {
		keys, queries, steps int
		newModule            Constructor
	}{{300, 1500, 400, twin(t)}, {1, 400, 400, twin(t)}, {20000, 20000, 300, module},
		{1, 20000, 300, module}} {
		classes := []router.QueryClass{{Effect: router.Idempotent, LatencyObjective: 1e6,
			ClientTimeout: 1e6, Threads: 1, LateBenefit: 1, Ordered: true}}
		f := newDriver(t, c.newModule, classes, limits)
		f.step(0, router.EndpointsUpdated{Complete: true,
			Endpoints: newEndpoints("a", 20, 0, router.Ready)})
		keyOf := map[router.QueryID]int{}
		for n := 0; n < c.queries; {
			var events []router.Event
			for range min(100, c.queries-n) {
				key := n % c.keys
				events = append(events, f.newQuery(0, n%7, 1e6, fmt.Sprint("k", key)))
				keyOf[f.serial] = key
				n++
			}
			f.step(1, events...)
		}
		last := map[int]router.QueryID{}
		check := func(s router.StartAttempt) {
			if key := keyOf[s.ID]; s.ID < last[key] {
				t.Fatalf("%+v: query %d of key %d started after query %d, want the order of arrival", c, s.ID, key,
					last[key])
			} else {
				last[key] = s.ID
			}
		}
		seen, rng := 0, rand.New(rand.NewSource(1))
		for range c.steps {
			for ; seen < len(f.attempts); seen++ {
				check(f.attempts[seen])
			}
			running := map[int]bool{}
			var ids []router.QueryID
			for id := range f.outstanding {
				if running[keyOf[id]] {
					t.Fatalf("%+v: two queries of key %d have attempts in flight, want at most one", c, keyOf[id])
				}
				running[keyOf[id]] = true
				ids = append(ids, id)
			}
			slices.Sort(ids)
			if len(ids) > 0 {
				f.step(1, f.answerQuery(ids[rng.Intn(len(ids))]))
			}
			f.step(1) // the next query of a queue starts once the module has removed the one before it
		}
		if len(f.attempts) < c.steps {
			t.Errorf("%+v: %d attempts started, want at least one per step", c, len(f.attempts))
		}
	}
}

// TestUnplaceableQueriesBlockNoOthers guards against head-of-line blocking: queries that no engine
// may run, with the earliest client timeouts, must not delay others.
func TestUnplaceableQueriesBlockNoOthers(t *testing.T) {
	classes := Classes(5000)
	classes[1].Kinds = []router.KindID{1}
	f := newDriver(t, twin(t), classes, limits)
	only := newEndpoints("a", 20, 0, router.Ready)
	for i := range only {
		only[i].Kind = 0
	}
	f.step(0, router.EndpointsUpdated{Complete: true, Endpoints: only})
	for range 40 {
		f.step(1, f.newQuery(1, 0, 1000, ""), f.newQuery(1, 1, 1000, ""))
	}
	for range 300 {
		c := f.newQuery(0, int(f.serial)%5, 5000, "")
		f.step(1, c)
		if _, out := f.outstanding[c.ID]; !out {
			t.Fatalf("query %d is queued behind queries that no engine may run, want it started at once", c.ID)
		}
		f.step(1, f.answerQuery(c.ID))
	}
	f.step(5000)
	f.step(100)
	f.checkAnsweredOnce()
}

// TestManyTimeouts checks that a hundred thousand queries whose client timeouts coincide, while there
// is no engine, are all answered in one step, 4 ms before the timeout.
func TestManyTimeouts(t *testing.T) {
	f := newDriver(t, module, Classes(2000), limits)
	for range 100 {
		var events []router.Event
		for i := range 1000 {
			events = append(events,
				f.newQuery(router.ClassID(i%4), i%50, 2000-(f.now-1e6), fmt.Sprint("k", i%100)))
		}
		f.step(0.1, events...)
	}
	f.step(2000 - (f.now - 1e6) - 4) // shortly before the clients give up
	f.checkAnsweredOnce()
}

// TestAnyOrder has steps with all kinds of events in random order. The module must take the actions of
// the reference, and start the same attempts when the same events are played again.
func TestAnyOrder(t *testing.T) {
	play := func(newModule Constructor, seed int64) (all []router.StartAttempt) {
		rng := rand.New(rand.NewSource(seed))
		f := newDriver(t, newModule, Classes(4000), limits)
		f.step(0, router.EndpointsUpdated{Complete: true,
			Endpoints: newEndpoints("a", 30, 0, router.Ready)})
		for range 40 {
			var events []router.Event
			for i := range rng.Intn(60) {
				events = append(events,
					f.newQuery(router.ClassID(rng.Intn(4)), rng.Intn(12), 500+3500*rng.Float64(),
						fmt.Sprint("k", i%9)))
			}
			for id := range router.QueryID(300) { // also queries without an attempt
				id = f.serial - id
				if _, out := f.outstanding[id]; out && rng.Intn(3) == 0 {
					events = append(events, f.answerQuery(id))
				} else if rng.Intn(40) == 0 {
					events = append(events,
						router.AttemptProgress{ID: id, Kind: router.ProgressKind(rng.Intn(5)), Value: rng.Float64()})
				} else if rng.Intn(200) == 0 && f.finals[id] == 0 {
					events = append(events, router.ClientDisconnected{ID: id})
					f.finals[id]++
					delete(f.outstanding, id)
				}
			}
			if rng.Intn(3) == 0 {
				states := []router.EngineState{router.Ready, router.Draining, router.Gone}
				events = append(events,
					router.EndpointsUpdated{Endpoints: newEndpoints("a", rng.Intn(30), 0, states[rng.Intn(3)])})
			}
			rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
			f.step(10*rng.Float64(), events...)
		}
		return f.attempts
	}
	for seed := range int64(20) {
		if a, b := play(twin(t), seed), play(module, seed); !slices.Equal(a, b) {
			t.Errorf("seed %d: two runs start different attempts, want the same ones", seed)
		}
	}
}
