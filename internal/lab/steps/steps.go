// Package steps measures the cost of a step of the decision module (package router), depending on
// the numbers of engines, queued queries and table groups. It drives a module through its interface
// alone, in virtual time, and measures the duration of each step. Only ratios of figures from the
// same run are meaningful. Type Overload simulates a controller that receives more queries than it
// can decide on.
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

// Module is the decision module to be measured, or the reference.
type Module interface {
	Step(now float64, events []router.Event) []router.Action
}

// Constructor makes a module, with the parameters of router.New.
type Constructor func(seed int64, place router.Identity, kinds []router.MachineKind,
	classes []router.QueryClass, tenants []router.Tenant,
	capabilities router.Capabilities, limits router.SafetyLimits) Module

// Busy is the level of load at which the fleet is kept.
type Busy int

// The levels of load.
const (
	Idle Busy = iota // one attempt in flight for every ten engines
	Half             // half the attempts that engines accept
	Full             // all attempts that engines accept, and further queries queued
)

func (b Busy) String() string { return [...]string{"idle", "busy", "full"}[b] }

// Scene describes the fleet and the load of a module.
type Scene struct {
	Engines, Queued, Tables int
	Busy                    Busy
	Controllers             int // 0: one
	Keys                    int // ordering keys; 0: no query has one
	Seed                    int64
}

// Costs are the costs of the steps of a scene. Durations are in microseconds.
type Costs struct {
	Median, P99, Longest float64
	Allocations          float64 // per step
	Queued               int     // actual number of queued queries
	Bytes                float64 // heap per queued query, including the state of the rig
	Start                float64 // longest step during startup, from the complete endpoint list on
}

const (
	cores, memory = 16.0, 64000.0
	spacing       = 2.0 // ms between steps: 500 queries per second
)

// Classes returns the query classes of a scene: lookups, reports that only one machine kind runs,
// ordered loads that lock their tables, and lookups that wait for locked tables. longest is the client
// timeout of all classes in ms.
func Classes(longest float64) []router.QueryClass {
	return []router.QueryClass{
		{Effect: router.Idempotent, LatencyObjective: 2000, ClientTimeout: longest, Threads: 1,
			LateBenefit: 1},
		{Effect: router.Idempotent, LatencyObjective: 2000, ClientTimeout: longest, Threads: 4,
			LateBenefit: 1, Kinds: []router.KindID{1}},
		{Effect: router.Deduplicated, DeduplicationWindow: 60000, LatencyObjective: 2000,
			ClientTimeout: longest, Threads: 2, LateBenefit: 1, Ordered: true,
			LocksTables: true},
		{Effect: router.Idempotent, LatencyObjective: 2000, ClientTimeout: longest, Threads: 1,
			LateBenefit: 1, WaitsForTables: true}}
}

// Rig drives a module in a scene, and keeps the state of its engines and queries.
type Rig struct {
	Scene
	module        Module
	rng           *rand.Rand
	now           float64
	serial        router.QueryID
	outstanding   []attempt
	queued        map[router.QueryID]bool
	attemptCounts map[router.QueryID]int
	inFlight      map[router.EngineID]int
	timerAt       float64
	events        []router.Event
	// longest step in microseconds: of all, and until all engines were listed and all table groups
	// packed
	longest, longestAtStart float64
	emptyHeap               uint64 // bytes of heap before queries were queued
}

type attempt struct {
	id     router.QueryID
	number router.AttemptID
	engine router.EngineID
}

// New makes a module, lists the engines of a scene, and adds queries until the scene's load is
// reached.
func New(s Scene, newModule Constructor) *Rig {
	kinds := []router.MachineKind{{Cores: cores, MemoryMB: memory}, {Cores: cores, MemoryMB: memory}}
	g := &Rig{Scene: s, rng: rand.New(rand.NewSource(s.Seed + 1)), now: 1e6,
		queued:        map[router.QueryID]bool{},
		attemptCounts: map[router.QueryID]int{}, inFlight: map[router.EngineID]int{},
		timerAt: math.Inf(1)}
	g.module = newModule(s.Seed, router.Identity{Controllers: max(1, s.Controllers)}, kinds,
		Classes(1e7), nil,
		router.Capabilities{Cancel: true, MaxAttempts: 4, RetryAfter: true, MaxRetryAfter: 500},
		router.SafetyLimits{SlowStartCapacity: 0.3, SlowStartTime: 10000, SlowStartOverload: 4,
			SlowStartWindow: 1500, OrderingCooldown: 300})
	g.step(router.EndpointsUpdated{Complete: true, Endpoints: g.endpoints()})
	for t := range s.Tables { // table groups must be known before they are packed
		g.arrive(router.TableGroup(t))
		if t%64 == 63 {
			g.runFor(1)
		}
	}
	g.runFor(2200)
	g.longestAtStart = g.longest
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
	g.emptyHeap = before.HeapAlloc
	for range 20 { // some queued queries start once the module raises its concurrency limits
		if g.isFull(want) {
			break
		}
		// The number of arrivals is bounded, because a controller with only a part of the fleet's
		// capacity may never have as many attempts in flight.
		for n := 0; !g.isFull(want) && n < 64*s.Engines+2*s.Queued; n++ {
			g.arrive(-1)
			if g.serial%16 == 0 {
				g.runFor(0.01)
			}
		}
		g.runFor(60)
	}
	return g
}

// isFull reports whether the wanted number of attempts is in flight or, if the fleet is kept full,
// enough queries are queued.
func (g *Rig) isFull(want int) bool {
	if g.Busy == Full {
		return len(g.queued) >= g.Queued
	}
	return len(g.outstanding) >= want
}

func (g *Rig) endpoints() (list []router.Endpoint) {
	for i := range g.Engines {
		list = append(list, router.Endpoint{Engine: router.EngineID(fmt.Sprintf("e%05d", i)), Zone: "z",
			Kind: router.KindID(i % 2)})
	}
	return list
}

// arrive adds the arrival of a random query to the next step. A negative table group is replaced by
// a random one.
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
	ev := router.QueryArrived{ID: g.serial, Tenant: -1, Class: p, Tables: tables,
		TimeLeft:      1e7 - g.rng.Float64()*1e6,
		EstimatedWork: 20 + 60*g.rng.Float64(), EstimatedMemoryMB: 10 + 50*g.rng.Float64()}
	if g.Keys > 0 {
		ev.Key = router.OrderingKey(fmt.Sprint("k", g.rng.Intn(g.Keys)))
	}
	g.queued[g.serial] = true
	g.events = append(g.events, ev)
}

// answerOne adds the successful end of a random attempt in flight, with a load report, to the next
// step.
func (g *Rig) answerOne() {
	if len(g.outstanding) == 0 {
		return
	}
	i := g.rng.Intn(len(g.outstanding))
	s := g.outstanding[i]
	g.outstanding[i] = g.outstanding[len(g.outstanding)-1]
	g.outstanding = g.outstanding[:len(g.outstanding)-1]
	g.inFlight[s.engine]--
	delete(g.attemptCounts, s.id)
	g.events = append(g.events,
		router.AttemptEnded{ID: s.id, Attempt: s.number, QueryDone: true,
			Elapsed: 20 + 40*g.rng.Float64(),
			Load: &router.LoadReport{Inflight: float64(g.inFlight[s.engine]),
				Utilization: min(1, float64(g.inFlight[s.engine])/cores), Memory: 0.5, Disk: 0.1}})
}

// step has the module handle the pending and the given events, and returns its duration in
// microseconds.
func (g *Rig) step(events ...router.Event) float64 {
	g.events = append(g.events, events...)
	began := time.Now()
	actions := g.module.Step(g.now, g.events)
	took := time.Since(began)
	g.events = g.events[:0]
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			g.outstanding = append(g.outstanding,
				attempt{a.ID, router.AttemptID(g.attemptCounts[a.ID]), a.Engine})
			g.attemptCounts[a.ID]++
			g.inFlight[a.Engine]++
			delete(g.queued, a.ID)
		case router.Reject:
			delete(g.queued, a.ID)
		case router.Fail:
			delete(g.queued, a.ID)
		case router.SetTimer:
			g.timerAt = g.now + a.After
		}
	}
	cost := float64(took) / 1e3
	g.longest = max(g.longest, cost)
	return cost
}

// runFor advances the time by some ms, with steps at the times for which the module sets its timer.
func (g *Rig) runFor(ms float64) {
	for end := g.now + ms; g.now < end; {
		g.now = min(end, max(g.now+0.001, g.timerAt))
		g.timerAt = math.Inf(1)
		g.step()
	}
}

// Run takes n steps, each with one arrival and one answer, and returns their costs.
func (g *Rig) Run(n int) Costs {
	costs := make([]float64, 0, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	bytes := float64(before.HeapAlloc-min(before.HeapAlloc, g.emptyHeap)) / float64(max(1,
		len(g.queued)))
	for range n {
		g.Advance()
		costs = append(costs, g.StepOnce())
	}
	runtime.ReadMemStats(&after)
	slices.Sort(costs)
	return Costs{Median: costs[n/2], P99: costs[n*99/100], Longest: costs[n-1],
		Allocations: float64(after.Mallocs-before.Mallocs) / float64(n), Queued: len(g.queued),
		Bytes: bytes, Start: g.longestAtStart}
}

// Advance advances the time by the interval between two steps.
func (g *Rig) Advance() { g.now += spacing }

// StepOnce takes one step with one arrival and one answer, and returns its duration in microseconds.
func (g *Rig) StepOnce() float64 {
	g.answerOne()
	g.arrive(-1)
	if g.Busy == Full && len(g.queued) <= g.Queued { // replaces a queued query that has started
		g.arrive(-1)
	}
	return g.step()
}
