package recorded

import (
	"fmt"
	"math/rand"

	"mintkeel/internal/lab/checker"
	"mintkeel/internal/lab/simulation"
	"mintkeel/internal/lab/steps"
	"mintkeel/router"
)

// scene is a deterministic scenario: its events are the same as long as the module's actions are.
type scene struct {
	name string
	play func(*recording)
}

// manyEngines is the number of engines from which a scene counts as one with many engines.
const manyEngines = 60

// simulations is the number of scenes with a random fleet.
const simulations = 240

// allScenes returns all scenes, with the names and in the order of the file.
func allScenes() (all []scene) {
	for seed := range simulations {
		all = append(all, scene{name: fmt.Sprintf("simulation-%03d", seed),
			play: func(r *recording) { playSimulation(r, seed) }})
	}
	for i, s := range stepScenes() {
		all = append(all, scene{name: fmt.Sprintf("steps-%02d", i),
			play: func(r *recording) { playSteps(r, s) }})
	}
	for i, p := range overloadScenes() {
		all = append(all, scene{name: fmt.Sprintf("pressed-%02d", i),
			play: func(r *recording) { playOverload(r, p) }})
	}
	for seed := range int64(20) {
		all = append(all, scene{name: fmt.Sprintf("any-events-%02d", seed),
			play: func(r *recording) { playAnyEvents(r, seed) }})
	}
	return all
}

// playSimulation plays a random fleet. Some fleets are larger, some have tenants with shares, and
// some hedge requests.
func playSimulation(r *recording, seed int) {
	s := simulation.FromSeed(seed)
	if seed%12 == 3 {
		s = s.Larger()
	}
	f := &s.Settings
	var tenants []router.Tenant
	if seed%4 == 1 {
		f.Limits.OverQuotaBenefit = 0.2
		tenants = tenantsOf(s.Rate)
	}
	if seed%6 == 4 {
		allowHedging(f)
	}
	r.counts.add(sceneWithManyEngines, s.Engines >= manyEngines)
	r.counts.add(sceneWithRetryBudget, f.Limits.RetryBudgeted)
	r.counts.add(sceneWithPolledEndpoints, f.Capabilities.PollEndpoints)
	r.counts.add(sceneWithSlowStart, s.AllWarming)
	r.counts.add(sceneWithAbsurdReports, s.ImpossibleReports)
	r.counts.add(sceneWithHostileStatistics, s.Memory == simulation.Hostile)
	simulation.Play(s, func(seed int64, place router.Identity) simulation.Controller {
		return r.module(seed, place, f.Kinds, f.Classes, tenants, f.Capabilities, f.Limits)
	})
}

// allowHedging makes attempts report progress often. Cancelling is not possible, so that an attempt
// which stops reporting stays in flight beside a hedged request.
func allowHedging(f *checker.Settings) {
	f.Capabilities.Hedging, f.Capabilities.Cancel = true, false
	f.Capabilities.ProgressInterval = 60
	f.Capabilities.MaxAttempts = max(3, f.Capabilities.MaxAttempts)
	f.Classes[0].Effect = router.Idempotent
	f.Classes[0].ClientTimeout = max(3000, f.Classes[0].ClientTimeout)
}

// tenantsOf returns three tenants, one of them without a share. The shares of the others are less
// than their parts of rate, in queries per second.
func tenantsOf(rate float64) []router.Tenant {
	return []router.Tenant{{}, {QueriesPerSecond: rate / 10}, {QueriesPerSecond: rate / 5}}
}

// stepScenes returns fleets of fixed sizes that are kept idle, busy or full.
func stepScenes() []steps.Scene {
	return []steps.Scene{
		{Engines: 10, Queued: 400, Tables: 10, Busy: steps.Full},
		{Engines: 60, Queued: 200, Tables: 30, Busy: steps.Full, Keys: 20},
		{Engines: 40, Queued: 200, Tables: 5, Busy: steps.Full, Controllers: 5},
		{Engines: 60, Tables: 20, Busy: steps.Half, Keys: 5},
		{Engines: 120, Tables: 3, Busy: steps.Idle},
		{Engines: 200, Tables: 2, Busy: steps.Idle, Controllers: 3},
		{Engines: 300, Tables: 4, Busy: steps.Half},
		{Engines: 20, Queued: 1000, Tables: 50, Busy: steps.Full, Keys: 100, Seed: 1},
		{Engines: 100, Queued: 100, Tables: 8, Busy: steps.Full, Keys: 3, Seed: 2},
		{Engines: 100, Tables: 60, Busy: steps.Half, Keys: 40, Controllers: 2, Seed: 3},
		{Engines: 500, Tables: 20, Busy: steps.Idle, Keys: 10, Seed: 4},
		{Engines: 1000, Tables: 5, Busy: steps.Idle, Seed: 5},
	}
}

// playSteps takes steps in a fleet of a fixed size. Some fleets have tenants, most of which exceed
// their shares.
func playSteps(r *recording, s steps.Scene) {
	const taken = 400
	var tenants []router.Tenant
	if s.Seed%3 == 1 {
		tenants = tenantsOf(500)
	}
	r.counts.add(sceneWithManyEngines, s.Engines >= manyEngines)
	steps.New(s, func(seed int64, place router.Identity, kinds []router.MachineKind,
		classes []router.QueryClass, _ []router.Tenant,
		capabilities router.Capabilities, limits router.SafetyLimits) steps.Module {
		return r.module(seed, place, kinds, classes, tenants, capabilities, limits)
	}).Run(taken)
}

// overloadScenes returns controllers that receive queries at rates below and above what they can
// decide on.
func overloadScenes() []steps.Overload {
	return []steps.Overload{
		{Seed: 1, LoadFactor: 0.5, AttemptTime: 0.05, RejectionTime: 0.005, RefusalTime: 0.001, Length: 300},
		{Seed: 2, LoadFactor: 2, AttemptTime: 0.05, RejectionTime: 0.005, RefusalTime: 0.001, Length: 300},
		{Seed: 3, LoadFactor: 1.2, AttemptTime: 0.2, RejectionTime: 0.02, RefusalTime: 0.004, Length: 1500},
		{Seed: 4, LoadFactor: 5, AttemptTime: 0.2, RejectionTime: 0.02, RefusalTime: 0.004, Length: 1000},
	}
}

func playOverload(r *recording, p steps.Overload) {
	p.Play(func(seed int64, place router.Identity, kinds []router.MachineKind,
		classes []router.QueryClass, tenants []router.Tenant,
		capabilities router.Capabilities, limits router.SafetyLimits) steps.Module {
		return r.module(seed, place, kinds, classes, tenants, capabilities, limits)
	})
}

// anyEventsRun generates random events of all kinds in any order, some of them about queries and
// engines that the module does not know.
type anyEventsRun struct {
	rng    *rand.Rand
	now    float64        // ms
	serial router.QueryID // of the latest query
}

// playAnyEvents steps a module with random events; the outcomes refer to attempts that may not exist.
func playAnyEvents(r *recording, seed int64) {
	const taken = 400
	run := &anyEventsRun{rng: rand.New(rand.NewSource(seed)), now: 1e6}
	capabilities := router.Capabilities{Cancel: true, HealthChecks: true, Hedging: true,
		RetryAfter: true, MaxAttempts: 4,
		MaxRetryAfter: 300, ProgressInterval: 50, PollEndpoints: seed%2 == 1}
	limits := router.SafetyLimits{SlowStartCapacity: 0.3, SlowStartTime: 3000, SlowStartOverload: 4,
		SlowStartWindow: 1000, OrderingCooldown: 100, RetryBudgeted: true,
		RetryBudgetMin: 3, RetryBudgetRatio: 0.2, RetryBudgetWindow: 1000, PollWithin: 7000,
		OverQuotaBenefit: 0.2}
	r.counts.add(sceneWithRetryBudget, limits.RetryBudgeted)
	r.counts.add(sceneWithPolledEndpoints, capabilities.PollEndpoints)
	m := r.module(seed, router.Identity{Controllers: 1},
		[]router.MachineKind{{Cores: 8, MemoryMB: 16000}, {Cores: 16, MemoryMB: 64000}},
		steps.Classes(2000), tenantsOf(200), capabilities, limits)
	m.Step(run.now, []router.Event{router.EndpointsUpdated{Complete: true,
		Endpoints: run.entries(16, router.Ready)}})
	for range taken {
		run.now += 10 * run.rng.Float64()
		var events []router.Event
		for range run.rng.Intn(12) {
			events = append(events, run.event())
		}
		m.Step(run.now, events)
	}
	m.Step(run.now, []router.Event{router.ShutdownStarted{Within: 100}})
	m.Step(run.now+110, nil)
}

// entries returns endpoints of the first n engines, all in one state.
func (run *anyEventsRun) entries(n int, state router.EngineState) (list []router.Endpoint) {
	for i := range n {
		since := 0.0
		if run.rng.Intn(4) == 0 {
			since = run.now - 100*run.rng.Float64()
		}
		list = append(list, router.Endpoint{Engine: engineID(i), State: state, Zone: "z",
			Kind: router.KindID(i % 2), StartedAt: since})
	}
	return list
}

func engineID(i int) router.EngineID { return router.EngineID(fmt.Sprintf("e%02d", i)) }

// recent returns the id of a recent query, which may have ended already.
func (run *anyEventsRun) recent() router.QueryID {
	return run.serial - router.QueryID(run.rng.Intn(20))
}

func (run *anyEventsRun) key() router.OrderingKey {
	return router.OrderingKey(fmt.Sprint("k", run.rng.Intn(9)))
}

// event returns a random event.
func (run *anyEventsRun) event() router.Event {
	rng := run.rng
	attempt := router.AttemptID(rng.Intn(2) * rng.Intn(3))
	switch x := rng.Intn(100); {
	case x < 45:
		return run.arrival()
	case x < 80:
		outcome := router.Succeeded
		if rng.Intn(3) == 0 {
			outcome = router.Outcome(rng.Intn(int(router.Withdrawn) + 1))
		}
		return router.AttemptEnded{ID: run.recent(), Attempt: attempt, Outcome: outcome,
			QueryDone: outcome == router.Succeeded,
			Elapsed:   50 * rng.Float64(), Work: 30 * rng.Float64(), Load: run.load()}
	case x < 84:
		return router.AttemptProgress{ID: run.recent(), Attempt: attempt,
			Kind: router.ProgressKind(rng.Intn(5)), Value: rng.Float64()}
	case x < 87:
		return router.ClientDisconnected{ID: run.recent()}
	case x < 89:
		return router.OrderingKeyAdded{ID: run.recent(), Key: run.key()}
	case x < 91:
		return router.ResponseStarted{ID: run.recent(), Attempt: attempt}
	case x < 94:
		return router.HealthCheckEnded{Engine: engineID(rng.Intn(20)),
			Outcome: router.Outcome(4 * rng.Intn(2)), Load: run.load()}
	case x < 98:
		states := []router.EngineState{router.Ready, router.Ready, router.Draining, router.Gone}
		return router.EndpointsUpdated{Endpoints: run.entries(1+rng.Intn(12),
			states[rng.Intn(len(states))])}
	case x < 99:
		return router.EndpointsUpdated{Failed: true}
	default:
		return router.EndpointsUpdated{ExpiredFor: 1000}
	}
}

// arrival returns the arrival of a random query.
func (run *anyEventsRun) arrival() router.Event {
	rng := run.rng
	run.serial++
	ev := router.QueryArrived{ID: run.serial, Tenant: -1, Class: router.ClassID(rng.Intn(4)),
		Tables: router.TableGroup(rng.Intn(12)), TimeLeft: 300 + 1700*rng.Float64(),
		EstimatedWork:     60 * rng.Float64(),
		EstimatedMemoryMB: 2000 * rng.Float64(), Hot: rng.Intn(20) == 0}
	if rng.Intn(2) == 0 {
		ev.Key = run.key()
	}
	if rng.Intn(10) == 0 {
		ev.EstimateCap = 20 * rng.Float64()
	}
	return ev
}

// load returns a random load report or, half of the time, none.
func (run *anyEventsRun) load() *router.LoadReport {
	rng := run.rng
	if rng.Intn(2) == 0 {
		return nil
	}
	return &router.LoadReport{Inflight: 10 * rng.Float64(), Utilization: rng.Float64(),
		Memory: rng.Float64(), Disk: rng.Float64()}
}
