package simulation

import (
	"fmt"
	"math"

	"mintkeel/router"
)

// engine is the real state of an engine, which controllers may not know yet.
type engine struct {
	router.Endpoint
	serial      int     // number of its current process
	slowness    float64 // factor of the usual duration of an attempt
	errorFactor float64 // factor of the usual share of failures
	gone        bool
}

// randomEngine draws an engine, which may be gone; nil: there is none.
func (sim *simulation) randomEngine() *engine {
	if len(sim.order) == 0 {
		return nil
	}
	return sim.order[sim.rng.Intn(len(sim.order))]
}

// addEngine adds an engine that started at since, in ms; 0 stands for a start long ago.
func (sim *simulation) addEngine(since float64) {
	kind := router.KindID(sim.rng.Intn(len(sim.Settings.Kinds)))
	if sim.rng.Intn(20) == 0 {
		kind = -1
	}
	e := &engine{Endpoint: router.Endpoint{
		Engine:    router.EngineID(fmt.Sprintf("e%02d", len(sim.order))),
		StartedAt: since,
		Zone:      router.Zone(fmt.Sprint("z", sim.rng.Intn(sim.Zones))),
		Kind:      kind,
		Cell:      router.CellID(sim.rng.Intn(sim.Cells)),
	}}
	sim.order = append(sim.order, e)
	sim.engines[e.Engine] = e
	sim.startProcess(e)
	sim.publish(e)
}

// startProcess starts a process of an engine, at times a slow one or one with another error rate.
func (sim *simulation) startProcess(e *engine) {
	e.serial++
	e.slowness, e.errorFactor = 1, 1
	switch sim.rng.Intn(6) {
	case 0:
		e.slowness = 1 + 8*sim.rng.Float64()
	case 1:
		e.errorFactor = 6 * sim.rng.Float64()
	}
	sim.checker.EngineStarted(e.Engine, sim.now)
}

// restartEngine brings an engine back under its old id.
func (sim *simulation) restartEngine(e *engine) {
	e.gone, e.State, e.StartedAt = false, router.Ready, sim.now
	sim.startProcess(e)
	sim.publish(e)
}

// drainEngine begins to drain an engine and publishes it; the engine ends after a while.
func (sim *simulation) drainEngine(e *engine) {
	if e == nil || e.gone || e.State != router.Ready {
		return
	}
	e.State = router.Draining
	sim.checker.EngineDraining(e.Engine, sim.now)
	sim.publish(e)
	serial := e.serial
	sim.after(sim.rng.Float64()*3000, func() {
		if e.serial == serial && !e.gone {
			sim.endEngine(e)
		}
	})
}

// endEngine ends the process of an engine, whose attempts get no answer any more, and publishes it.
func (sim *simulation) endEngine(e *engine) {
	if e == nil || e.gone {
		return
	}
	if e.State == router.Ready {
		sim.checker.EngineDraining(e.Engine, sim.now)
	}
	e.gone, e.State = true, router.Gone
	for _, c := range sim.controllers {
		for _, q := range sim.openQueries(c) {
			for i, s := range q.attempts {
				if s.engine == e && !s.ended && sim.rng.Intn(3) > 0 { // some connections are not reset
					sim.scheduleOutcome(c, q, i, 0.5+sim.rng.Float64(), router.ConnectionReset)
				}
			}
		}
	}
	sim.publish(e)
}

// loadReport returns the load report of an answer, at times one with impossible values; nil: the
// answer has none.
func (sim *simulation) loadReport(e *engine) *router.LoadReport {
	if e == nil || sim.rng.Intn(3) == 0 {
		return nil
	}
	if sim.ImpossibleReports && sim.rng.Intn(2) == 0 {
		x := []float64{0, -1, 1e12, math.Inf(1), math.NaN()}
		return &router.LoadReport{Inflight: x[sim.rng.Intn(5)], Utilization: x[sim.rng.Intn(5)],
			Memory: x[sim.rng.Intn(5)], Disk: x[sim.rng.Intn(5)]}
	}
	return &router.LoadReport{Inflight: sim.rng.Float64() * 20, Utilization: sim.rng.Float64(),
		Memory: sim.rng.Float64(), Disk: sim.rng.Float64()}
}
