// Package simulation simulates random fleets in virtual time: several controllers at once with one
// set of engines, the module driven by its interface alone, through faults that no bench combines.
// It asks for no quality, only for the rules, which internal/lab/checker checks. One spec is one
// history: the same spec gives the same breaches.
package simulation

import (
	"math/rand"

	"mintkeel/internal/lab/checker"
	"mintkeel/router"
)

// Controller is what a simulation drives: the module, or one made to break a rule.
type Controller interface {
	Step(now float64, events []router.Event) []router.Action
	Statistics(from router.Cursor, most int) (router.Statistics, router.Cursor, bool)
}

// Memory is what controllers restore when they start again.
type Memory int

// What there may be to restore.
const (
	Nothing   Memory = iota
	Persisted        // the statistics of the earlier incarnation, aged as in service
	Hostile          // any values, at any time
)

// Spec is a simulation by its settings. Times are ms, rates are for each second.
type Spec struct {
	Seed        int64
	Controllers int
	Engines     int
	Length      float64
	Rate        float64 // queries of all controllers together
	Imbalance   float64 // 0: all controllers get as much; 1: most get next to nothing
	Keys        int
	Tables      int
	Settings    checker.Settings
	Zones       int
	Cells       int
	MeanWork    []float64 // by class: mean work in ms on one thread
	// steps come at multiples of the event interval, as in the simulator, else as things happen
	StepOnTicks bool

	Kills, Stops           float64 // of controllers
	Drains, Deaths, Starts float64 // of engines; starts of new ones, or anew under an old id
	Outages                float64 // of the list, at one controller
	DisconnectShare        float64 // share of queries whose client leaves
	MaxListLag             float64 // the longest until a controller receives a change
	FailureShare           float64 // share of attempts that fail
	AllWarming             bool    // all engines have just started
	NarrowedQueries        bool    // queries come narrowed to kinds or zones, or said to be hot
	ExtraKeys              bool    // queries have several ordering keys, and are given more
	ArrivalWaits           bool    // queries have waited before a controller looks at them
	// or in a queue at their client, which takes part of the time that they name
	ClientQueues      bool
	ImpossibleReports bool // reports, progress and estimates that can't be true
	Memory            Memory
}

// Result is what came of a simulation.
type Result struct {
	*checker.Checker
	Steps, Restarts int
}

// Play runs a simulation to its end. start makes a controller.
func Play(s Spec, start func(seed int64, place router.Identity) Controller) *Result {
	sim := &simulation{
		Spec:    s,
		rng:     rand.New(rand.NewSource(s.Seed)),
		make:    start,
		checker: checker.New(s.Settings),
		engines: map[router.EngineID]*engine{},
		workOf:  map[router.QueryID]float64{},
		result:  &Result{},
	}
	sim.result.Checker = sim.checker
	sim.begin()
	for sim.queue.NextTime() <= sim.Length {
		e := sim.queue.Pop()
		sim.now = max(sim.now, e.At)
		e.Run()
	}
	return sim.result
}

// Module makes controllers of the module as it is.
func (s Spec) Module(seed int64, place router.Identity) Controller {
	f := s.Settings
	return router.New(seed, place, f.Kinds, f.Classes, nil, f.Capabilities, f.Limits)
}
