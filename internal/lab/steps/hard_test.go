package steps

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"mintkeel/router"
)

// front is a module with the books of what it ordered.
type front struct {
	t      *testing.T
	m      Module
	now    float64
	serial router.QueryID
	out    map[router.QueryID]router.EngineID // by its only send
	finals map[router.QueryID]int
	sends  []router.StartAttempt // in order
}

func newFront(t *testing.T, newModule Make, profiles []router.QueryClass, guards router.SafetyLimits) *front {
	kinds := []router.MachineKind{{Cores: cores, MemoryMB: memory}, {Cores: cores, MemoryMB: memory}}
	return &front{t: t, now: 1e6, out: map[router.QueryID]router.EngineID{}, finals: map[router.QueryID]int{},
		m: newModule(1, router.Identity{Controllers: 1}, kinds, profiles, nil, router.Capabilities{Cancel: true, MaxAttempts: 3, RetryAfter: true,
			MaxRetryAfter: 100}, guards)}
}

func (f *front) step(after float64, events ...router.Event) {
	f.now += after
	for _, action := range f.m.Step(f.now, events) {
		switch a := action.(type) {
		case router.StartAttempt:
			f.out[a.ID] = a.Engine
			f.sends = append(f.sends, a)
		case router.Reject:
			f.finals[a.ID]++
		case router.Fail:
			f.finals[a.ID]++
		}
	}
}

// answer ends a send well.
func (f *front) answer(id router.QueryID) router.AttemptEnded {
	delete(f.out, id)
	f.finals[id]++
	return router.AttemptEnded{ID: id, QueryDone: true, Elapsed: 30, Load: &router.LoadReport{Inflight: 3, Utilization: 0.4, Memory: 0.3, Disk: 0.1}}
}

func (f *front) command(p router.ClassID, tables int, left float64, key string) router.QueryArrived {
	f.serial++
	return router.QueryArrived{ID: f.serial, Tenant: -1, Class: p, Tables: router.TableGroup(tables), TimeLeft: left, EstimatedWork: 20,
		Key: router.OrderingKey(key)}
}

// once checks that each command had one final answer, and no more.
func (f *front) once() {
	f.t.Helper()
	wrong := 0
	for id := router.QueryID(1); id <= f.serial; id++ {
		if f.finals[id] != 1 {
			wrong++
		}
	}
	if wrong > 0 {
		f.t.Errorf("%d of %d commands did not get one final answer", wrong, f.serial)
	}
}

// list is so many engines of two kinds.
func list(prefix string, n int, since float64, state router.EngineState) (l []router.Endpoint) {
	for i := range n {
		l = append(l, router.Endpoint{Engine: router.EngineID(fmt.Sprintf("%s%04d", prefix, i)), Zone: "z", Kind: router.KindID(i % 2),
			StartedAt: since, State: state})
	}
	return l
}

var guards = router.SafetyLimits{SlowStartCapacity: 0.3, SlowStartTime: 3000, SlowStartOverload: 4, SlowStartWindow: 1000, OrderingCooldown: 100}

// All engines drain at once and come back under new ids, cold, while many are held; before and after module and reference
// order the same, nothing new goes to an engine that drains, and everybody is answered once.
func TestAllComeBackCold(t *testing.T) {
	const engines, held = 60, 4000
	f := newFront(t, twin(t), Profiles(3000), guards)
	f.step(0, router.EndpointsUpdated{Complete: true, Endpoints: list("a", engines, 0, router.Ready)})
	for range held / 50 {
		var events []router.Event
		for i := range 50 {
			events = append(events, f.command(router.ClassID(i%4), i%20, 3000, ""))
		}
		f.step(2, events...)
	}
	f.step(1, router.EndpointsUpdated{Endpoints: list("a", engines, 0, router.Draining)})
	before := len(f.sends)
	f.step(200, router.EndpointsUpdated{Endpoints: list("b", engines, f.now, router.Ready)})
	for len(f.finals) < int(f.serial) && f.now < 1.02e6 {
		var events []router.Event
		for _, s := range f.sends[max(0, len(f.sends)-300):] { // the latest are answered
			if _, out := f.out[s.ID]; out && f.finals[s.ID] == 0 {
				events = append(events, f.answer(s.ID))
			}
		}
		f.step(20, events...)
		for id, e := range f.out { // the old ones never are: they are given up
			if e[0] == 'a' && f.finals[id] == 1 {
				delete(f.out, id)
			}
		}
	}
	for _, s := range f.sends[before:] {
		if s.Engine[0] != 'b' {
			t.Fatalf("%v was sent to an engine that drains", s)
		}
	}
	if len(f.sends) == before {
		t.Error("nothing was sent to the new engines")
	}
	f.once()
}

// Many keys with a line each, and one key with a long line: the lines are kept, and what waits in them is not looked
// through at each step.
func TestLongLines(t *testing.T) {
	for _, c := range []struct {
		keys, commands, steps int
		newModule             Make
	}{{300, 1500, 400, twin(t)}, {1, 400, 400, twin(t)}, {20000, 20000, 300, module}, {1, 20000, 300, module}} {
		profiles := []router.QueryClass{{Effect: router.Idempotent, LatencyObjective: 1e6, ClientTimeout: 1e6, Threads: 1, LateBenefit: 1, Ordered: true}}
		f := newFront(t, c.newModule, profiles, guards)
		f.step(0, router.EndpointsUpdated{Complete: true, Endpoints: list("a", 20, 0, router.Ready)})
		keyOf := map[router.QueryID]int{}
		for n := 0; n < c.commands; {
			var events []router.Event
			for range min(100, c.commands-n) {
				key := n % c.keys
				events = append(events, f.command(0, n%7, 1e6, fmt.Sprint("k", key)))
				keyOf[f.serial] = key
				n++
			}
			f.step(1, events...)
		}
		last := map[int]router.QueryID{}
		check := func(s router.StartAttempt) {
			if key := keyOf[s.ID]; s.ID < last[key] {
				t.Fatalf("%+v: %d of key %d went after %d", c, s.ID, key, last[key])
			} else {
				last[key] = s.ID
			}
		}
		seen, rng := 0, rand.New(rand.NewSource(1))
		for range c.steps {
			for ; seen < len(f.sends); seen++ {
				check(f.sends[seen])
			}
			running := map[int]bool{}
			var ids []router.QueryID
			for id := range f.out {
				if running[keyOf[id]] {
					t.Fatalf("%+v: two of key %d are out", c, keyOf[id])
				}
				running[keyOf[id]] = true
				ids = append(ids, id)
			}
			slices.Sort(ids)
			if len(ids) > 0 {
				f.step(1, f.answer(ids[rng.Intn(len(ids))]))
			}
			f.step(1) // who is next in a line goes once the one before is forgotten
		}
		if len(f.sends) < c.steps {
			t.Errorf("%+v: %d sends", c, len(f.sends))
		}
	}
}

// Commands that no engine may run, with the earliest client timeouts, keep no others from going.
func TestNowhereToGo(t *testing.T) {
	profiles := Profiles(5000)
	profiles[1].Kinds = []router.KindID{1}
	f := newFront(t, twin(t), profiles, guards)
	only := list("a", 20, 0, router.Ready)
	for i := range only {
		only[i].Kind = 0
	}
	f.step(0, router.EndpointsUpdated{Complete: true, Endpoints: only})
	for range 40 {
		f.step(1, f.command(1, 0, 1000, ""), f.command(1, 1, 1000, ""))
	}
	for range 300 {
		c := f.command(0, int(f.serial)%5, 5000, "")
		f.step(1, c)
		if _, out := f.out[c.ID]; !out {
			t.Fatalf("%d was held behind what can't go anywhere", c.ID)
		}
		f.step(1, f.answer(c.ID))
	}
	f.step(5000)
	f.step(100)
	f.once()
}

// A hundred thousand client timeouts in one moment, with no engine there: all are answered in the step that is due.
func TestManyTimeouts(t *testing.T) {
	f := newFront(t, module, Profiles(2000), guards)
	for range 100 {
		var events []router.Event
		for i := range 1000 {
			events = append(events, f.command(router.ClassID(i%4), i%50, 2000-(f.now-1e6), fmt.Sprint("k", i%100)))
		}
		f.step(0.1, events...)
	}
	f.step(2000 - (f.now - 1e6) - 4) // the last moment before a client gives up
	f.once()
}

// All kinds of events in one step, in any order: the same as the reference, and as another of the same order.
func TestAnyOrder(t *testing.T) {
	play := func(newModule Make, seed int64) (all []router.StartAttempt) {
		rng := rand.New(rand.NewSource(seed))
		f := newFront(t, newModule, Profiles(4000), guards)
		f.step(0, router.EndpointsUpdated{Complete: true, Endpoints: list("a", 30, 0, router.Ready)})
		for range 40 {
			var events []router.Event
			for i := range rng.Intn(60) {
				events = append(events, f.command(router.ClassID(rng.Intn(4)), rng.Intn(12), 500+3500*rng.Float64(), fmt.Sprint("k", i%9)))
			}
			for id := range router.QueryID(300) { // of some that were never sent, too
				id = f.serial - id
				if _, out := f.out[id]; out && rng.Intn(3) == 0 {
					events = append(events, f.answer(id))
				} else if rng.Intn(40) == 0 {
					events = append(events, router.AttemptProgress{ID: id, Kind: router.ProgressKind(rng.Intn(5)), Value: rng.Float64()})
				} else if rng.Intn(200) == 0 && f.finals[id] == 0 {
					events = append(events, router.ClientDisconnected{ID: id})
					f.finals[id]++
					delete(f.out, id)
				}
			}
			if rng.Intn(3) == 0 {
				states := []router.EngineState{router.Ready, router.Draining, router.Gone}
				events = append(events, router.EndpointsUpdated{Endpoints: list("a", rng.Intn(30), 0, states[rng.Intn(3)])})
			}
			rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
			f.step(10*rng.Float64(), events...)
		}
		return f.sends
	}
	for seed := range int64(20) {
		if a, b := play(twin(t), seed), play(module, seed); !slices.Equal(a, b) {
			t.Errorf("seed %d: not the same twice", seed)
		}
	}
}
