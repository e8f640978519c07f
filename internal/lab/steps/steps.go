// Package steps measures what a step of the module costs by the size of what it decides on: engines, held commands,
// table groups. It drives a module through its interface alone, in virtual time, and takes the processor's time of each
// step. Figures are for ratios within one run.
package steps

import (
	"fmt"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"time"

	"mintkeel/router"
)

// Module is what is measured: the module, or the reference.
type Module interface {
	Step(now float64, events []router.Event) []router.Action
}

// Make makes a module.
type Make func(seed int64, place router.Identity, kinds []router.MachineKind, profiles []router.QueryClass, tenants []router.Tenant,
	allowed router.Capabilities, guards router.SafetyLimits) Module

// Busy is how full the fleet is kept.
type Busy int

// How full the fleet may be kept.
const (
	Idle Busy = iota // one command out for every engine of ten
	Half             // half of what engines take
	Full             // all that they take, and commands held
)

func (b Busy) String() string { return [...]string{"idle", "busy", "full"}[b] }

// Scene is what a module is put into.
type Scene struct {
	Engines, Held, Tables int
	Busy                  Busy
	Controllers           int // 0: one
	Keys                  int // of commands in order; 0: none is
	Seed                  int64
}

// Costs are those of the steps of a scene, in microseconds.
type Costs struct {
	Median, P99, Longest float64
	Allocations          float64 // for each step
	Held                 int     // really
	Bytes                float64 // of memory for each held command, with the books of the rig
	Start                float64 // the longest step of a start with a full list
}

const (
	cores, memory = 16.0, 64000.0
	spacing       = 2.0 // ms between steps: 500 commands a second
)

// Profiles are those of a scene: lookups, reports that one kind alone takes, loads in order that hold their tables.
func Profiles(longest float64) []router.QueryClass {
	return []router.QueryClass{
		{Effect: router.Idempotent, LatencyObjective: 2000, ClientTimeout: longest, Threads: 1, LateBenefit: 1},
		{Effect: router.Idempotent, LatencyObjective: 2000, ClientTimeout: longest, Threads: 4, LateBenefit: 1, Kinds: []router.KindID{1}},
		{Effect: router.Deduplicated, DeduplicationWindow: 60000, LatencyObjective: 2000, ClientTimeout: longest, Threads: 2, LateBenefit: 1, Ordered: true,
			LocksTables: true},
		{Effect: router.Idempotent, LatencyObjective: 2000, ClientTimeout: longest, Threads: 1, LateBenefit: 1, WaitsForTables: true}}
}

// Rig is a module in a scene, with the world's side of it.
type Rig struct {
	Scene
	m              Module
	rng            *rand.Rand
	now            float64
	serial         router.QueryID
	out            []sent
	held           map[router.QueryID]bool
	sends          map[router.QueryID]int
	loads          map[router.EngineID]int
	wake           float64
	events         []router.Event
	longest, start float64 // step so far, and until the fleet had been listed, all table groups met and packs made
	empty          uint64  // bytes of memory before commands were held
}

type sent struct {
	id     router.QueryID
	send   router.AttemptID
	engine router.EngineID
}

// New fills a scene.
func New(s Scene, newModule Make) *Rig {
	kinds := []router.MachineKind{{Cores: cores, MemoryMB: memory}, {Cores: cores, MemoryMB: memory}}
	g := &Rig{Scene: s, rng: rand.New(rand.NewSource(s.Seed + 1)), now: 1e6, held: map[router.QueryID]bool{},
		sends: map[router.QueryID]int{}, loads: map[router.EngineID]int{}, wake: math.Inf(1)}
	g.m = newModule(s.Seed, router.Identity{Controllers: max(1, s.Controllers)}, kinds, Profiles(1e7), nil,
		router.Capabilities{Cancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 500},
		router.SafetyLimits{SlowStartCapacity: 0.3, SlowStartTime: 10000, SlowStartOverload: 4, SlowStartWindow: 1500, OrderingCooldown: 300})
	g.step(router.EndpointsUpdated{Complete: true, Endpoints: g.entries()})
	for t := range s.Tables { // all are known before anything is packed
		g.arrive(router.TableGroup(t))
		if t%64 == 63 {
			g.settle(1)
		}
	}
	g.settle(2200)
	g.start = g.longest
	want := s.Engines / 10
	switch s.Busy {
	case Half:
		want = int(cores) * s.Engines
	case Full:
		want = math.MaxInt
	}
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	g.empty = before.HeapAlloc
	for range 20 { // what is held goes when engines are found to bear more
		if g.enough(want) {
			break
		}
		for n := 0; !g.enough(want) && n < 64*s.Engines+2*s.Held; n++ { // with others beside it, it may never be allowed as much
			g.arrive(-1)
			if g.serial%16 == 0 {
				g.settle(0.01)
			}
		}
		g.settle(60)
	}
	return g
}

// enough tells whether so many are out or, where all engines are to be full, enough are held.
func (g *Rig) enough(want int) bool {
	if g.Busy == Full {
		return len(g.held) >= g.Held
	}
	return len(g.out) >= want
}

func (g *Rig) entries() (list []router.Endpoint) {
	for i := range g.Engines {
		list = append(list, router.Endpoint{Engine: router.EngineID(fmt.Sprintf("e%05d", i)), Zone: "z", Kind: router.KindID(i % 2)})
	}
	return list
}

func (g *Rig) arrive(tables router.TableGroup) {
	if tables < 0 {
		tables = router.TableGroup(g.rng.Intn(max(1, g.Tables)))
	}
	g.serial++
	p := router.ClassID(0)
	switch x := g.rng.Intn(20); {
	case x == 0:
		p = 1
	case x == 1:
		p = 2
	case x < 7:
		p = 3
	}
	ev := router.QueryArrived{ID: g.serial, Tenant: -1, Class: p, Tables: tables, TimeLeft: 1e7 - g.rng.Float64()*1e6,
		EstimatedWork: 20 + 60*g.rng.Float64(), EstimatedMemoryMB: 10 + 50*g.rng.Float64()}
	if g.Keys > 0 {
		ev.Key = router.OrderingKey(fmt.Sprint("k", g.rng.Intn(g.Keys)))
	}
	g.held[g.serial] = true
	g.events = append(g.events, ev)
}

// end has a command that is out answered, with a report.
func (g *Rig) end() {
	if len(g.out) == 0 {
		return
	}
	i := g.rng.Intn(len(g.out))
	s := g.out[i]
	g.out[i] = g.out[len(g.out)-1]
	g.out = g.out[:len(g.out)-1]
	g.loads[s.engine]--
	delete(g.sends, s.id)
	g.events = append(g.events, router.AttemptEnded{ID: s.id, Attempt: s.send, QueryDone: true, Elapsed: 20 + 40*g.rng.Float64(),
		Load: &router.LoadReport{Inflight: float64(g.loads[s.engine]), Utilization: min(1, float64(g.loads[s.engine])/cores), Memory: 0.5, Disk: 0.1}})
}

// step hands events over and returns what the step cost, in microseconds.
func (g *Rig) step(events ...router.Event) float64 {
	g.events = append(g.events, events...)
	began := time.Now()
	actions := g.m.Step(g.now, g.events)
	took := time.Since(began)
	g.events = g.events[:0]
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			g.out = append(g.out, sent{a.ID, router.AttemptID(g.sends[a.ID]), a.Engine})
			g.sends[a.ID]++
			g.loads[a.Engine]++
			delete(g.held, a.ID)
		case router.Reject:
			delete(g.held, a.ID)
		case router.Fail:
			delete(g.held, a.ID)
		case router.SetTimer:
			g.wake = g.now + a.After
		}
	}
	cost := float64(took) / 1e3
	g.longest = max(g.longest, cost)
	return cost
}

// settle lets time pass, with the steps that the module asks for.
func (g *Rig) settle(ms float64) {
	for end := g.now + ms; g.now < end; {
		g.now = min(end, max(g.now+0.001, g.wake))
		g.wake = math.Inf(1)
		g.step()
	}
}

// Run takes n steps, of one arrival and one answer each, and tells their costs.
func (g *Rig) Run(n int) Costs {
	costs := make([]float64, 0, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bytes := float64(before.HeapAlloc-min(before.HeapAlloc, g.empty)) / float64(max(1, len(g.held)))
	for range n {
		g.Advance()
		costs = append(costs, g.One())
	}
	runtime.ReadMemStats(&after)
	slices.Sort(costs)
	return Costs{Median: costs[n/2], P99: costs[n*99/100], Longest: costs[n-1],
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(n), Held: len(g.held), Bytes: bytes, Start: g.start}
}

// Advance lets the usual time between two steps pass.
func (g *Rig) Advance() { g.now += spacing }

// One is one step of one arrival and one answer.
func (g *Rig) One() float64 {
	g.end()
	g.arrive(-1)
	if g.Busy == Full && len(g.held) <= g.Held { // engines bear more by now
		g.arrive(-1)
	}
	return g.step()
}
