// Package simulation simulates random fleets in virtual time: several controllers that share a set
// of engines, with combinations of faults that no benchmark has. It drives the decision module
// through its interface only. It does not measure the quality of decisions; internal/lab/checker
// checks that they keep the rules. A simulation is deterministic: the same Spec gives the same
// breaches.
package simulation

import (
	"math/rand"

	"mintkeel/internal/lab/checker"
	"mintkeel/router"
)

// Controller is what a simulation drives: the decision module, or a variant of it that breaks a
// rule.
type Controller interface {
	Step(now float64, events []router.Event) []router.Action
	Statistics(from router.Cursor, most int) (router.Statistics, router.Cursor, bool)
}

// Memory is the kind of statistics that controllers restore when they start.
type Memory int

// The kinds of Memory.
const (
	Nothing   Memory = iota
	Persisted        // the statistics of the controller's earlier incarnation, aged as the daemon does
	Hostile          // statistics with arbitrary values, at the start and later
)

// Spec defines a simulation. Times are in ms, rates are per second.
type Spec struct {
	Seed        int64
	Controllers int
	Engines     int
	Length      float64
	Rate        float64 // queries of all controllers together
	Imbalance   float64 // of the load: 0: equal at all controllers; 1: almost none at most controllers
	Keys        int
	Tables      int
	Settings    checker.Settings
	Zones       int
	Cells       int
	MeanWork    []float64 // by class: mean work in ms on one thread
	// StepOnTicks has controllers step at multiples of the event interval only, as in the simulator;
	// without it they step as soon as an event comes.
	StepOnTicks bool

	Kills, Stops           float64 // of controllers
	Drains, Deaths, Starts float64 // of engines; starts of new ones, or again under an earlier ID
	Outages                float64 // of the endpoint list, at one controller each
	DisconnectShare        float64 // share of queries whose client disconnects
	MaxListLag             float64 // longest time until a controller receives a change of the list
	FailureShare           float64 // share of attempts that fail
	AllWarming             bool    // all engines have just started
	NarrowedQueries        bool    // queries are restricted to kinds or zones, or marked as hot
	ExtraKeys              bool    // queries have several ordering keys, and get more later
	ArrivalWaits           bool    // queries have waited before they reach a controller
	// ClientQueues has queries wait in a queue at their client, which uses up part of the time left
	// that they report.
	ClientQueues      bool
	ImpossibleReports bool // reports, progress and estimates that can't be true
	Memory            Memory
}

// Result is the result of a simulation.
type Result struct {
	*checker.Checker
	Steps, Restarts int
}

// Play runs a simulation to its end. The start function makes a controller.
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

// Module makes a controller of the unmodified decision module.
func (s Spec) Module(seed int64, place router.Identity) Controller {
	f := s.Settings
	return router.New(seed, place, f.Kinds, f.Classes, nil, f.Capabilities, f.Limits)
}
