// Package simulation simulates random fleets in virtual time: several controllers at once on one fleet, with the module driven
// by its interface alone, through troubles that no bench draws together. It asks for no quality, only for the rules,
// which internal/lab/checker checks. One spec is one history: the same spec gives the same breaches.
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
	Persisted        // what the earlier incarnation had learned, aged as in service
	Hostile          // anything, at any time
)

// Spec is a simulation by its settings. Times are ms, rates are for each second.
type Spec struct {
	Seed        int64
	Controllers int
	Engines     int
	Length      float64
	Rate        float64 // queries of all controllers together
	Unequal     float64 // 0: all controllers get as much; 1: most get next to nothing
	Keys        int
	Tables      int
	Settings    checker.Settings
	Zones       int
	Cells       int
	Work        []float64 // by profile: mean work on one thread
	Ticks       bool      // steps come on the ticks of a round, as in the simulator, else as things happen

	Kills, Stops           float64 // of controllers
	Drains, Deaths, Starts float64 // of engines; starts of new ones, or anew under an old id
	Outages                float64 // of the list, at one controller
	Leaves                 float64 // share of queries whose client leaves
	ListLag                float64 // the longest until a controller receives a change
	Bad                    float64 // share of attempts that fail
	Young                  bool    // all engines have just started
	Narrowed               bool    // queries come narrowed to kinds or zones, or said to be hot
	Rekeyed                bool    // queries have several order keys, and are given more
	Pressed                bool    // queries have waited before a controller looks at them
	Lined                  bool    // or in a line at their client, which eats of the time that they name
	Absurd                 bool    // reports, notes and estimates that can't be
	Memory                 Memory
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
		works:   map[router.QueryID]float64{},
		result:  &Result{},
	}
	sim.result.Checker = sim.checker
	sim.begin()
	for sim.queue.Next() <= sim.Length {
		e := sim.queue.Take()
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
