package simulation

import (
	"math"
	"math/rand"

	"mintkeel/internal/lab/checker"
	"mintkeel/internal/lab/eventqueue"
	"mintkeel/router"
)

// simulation is a run of a Spec. All random values come from one generator, in the order of virtual
// time.
type simulation struct {
	Spec
	rng         *rand.Rand
	make        func(int64, router.Identity) Controller
	now         float64
	queue       eventqueue.Queue
	checker     *checker.Checker
	engines     map[router.EngineID]*engine
	order       []*engine // in order of their addition
	controllers []*controller
	weights     []float64 // of the controllers, for the arrival of queries
	serial      router.QueryID
	workOf      map[router.QueryID]float64
	result      *Result
}

// at schedules an event at a time, in ms.
func (sim *simulation) at(t float64, do func()) {
	sim.queue.Add(max(t, sim.now), do)
}

// after schedules an event after a delay, in ms.
func (sim *simulation) after(delay float64, do func()) { sim.at(sim.now+delay, do) }

// afterFor schedules an event of a controller after a delay, in ms. The event is dropped if the
// controller's current incarnation has ended by then.
func (sim *simulation) afterFor(c *controller, delay float64, do func()) {
	incarnation := c.incarnation
	sim.after(delay, func() {
		if c.up && c.incarnation == incarnation {
			do()
		}
	})
}

// poisson schedules events as a Poisson process with a rate per second.
func (sim *simulation) poisson(rate float64, do func()) {
	if rate <= 0 {
		return
	}
	sim.after(sim.rng.ExpFloat64()*1000/rate, func() {
		do()
		sim.poisson(rate, do)
	})
}

// pick draws an index with probabilities in proportion to weights.
func (sim *simulation) pick(weights []float64) int {
	sum := 0.0
	for _, x := range weights {
		sum += x
	}
	x := sim.rng.Float64() * sum
	for i, weight := range weights {
		if x -= weight; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// start is the time in ms at which a simulation begins: late enough that no time is near zero.
const start = 1e6

// begin starts the engines and controllers, and schedules queries and faults.
func (sim *simulation) begin() {
	sim.Length += start
	sim.now = start
	for range sim.Engines {
		since := 0.0
		if sim.AllWarming {
			since = sim.now - sim.rng.Float64()*sim.Settings.Limits.SlowStartTime/2
		}
		sim.addEngine(since)
	}
	for n := range sim.Controllers {
		c := &controller{number: n}
		sim.controllers = append(sim.controllers, c)
		sim.weights = append(sim.weights, math.Exp(-sim.Imbalance*8*float64(n)/float64(sim.Controllers)))
		sim.startController(c)
	}
	sim.scheduleFaults()
}

// randomController draws a controller.
func (sim *simulation) randomController() *controller {
	return sim.controllers[sim.rng.Intn(sim.Controllers)]
}

// scheduleFaults schedules queries and faults at the rates of the Spec.
func (sim *simulation) scheduleFaults() {
	sim.poisson(sim.Rate, sim.arriveQuery)
	sim.poisson(sim.Kills, func() { sim.killController(sim.randomController()) })
	sim.poisson(sim.Stops, func() { sim.stopController(sim.randomController()) })
	sim.poisson(sim.Drains, func() { sim.drainEngine(sim.randomEngine()) })
	sim.poisson(sim.Deaths, func() { sim.endEngine(sim.randomEngine()) })
	sim.poisson(sim.Starts, func() {
		if e := sim.randomEngine(); e != nil && e.gone && sim.rng.Intn(2) == 0 {
			sim.restartEngine(e)
		} else if len(sim.order) < 3*sim.Engines+3 {
			sim.addEngine(sim.now)
		}
	})
	sim.poisson(sim.Outages, func() { sim.interruptDiscovery(sim.randomController()) })
	if sim.ExtraKeys { // as a change of rules adds keys
		sim.poisson(3, sim.addKeys)
	}
	if sim.Memory == Persisted {
		sim.saveStatistics()
	}
	if sim.Memory == Hostile {
		sim.poisson(2, func() {
			if c := sim.randomController(); c.up {
				sim.deliver(c, router.StatisticsRestored{Statistics: sim.hostileStatistics()})
			}
		})
	}
}
