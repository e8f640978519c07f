package simulation

import (
	"math"

	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

// controller is a decision module with the state of its host: events, timers, queries and the
// endpoint list.
type controller struct {
	number          int
	incarnation     int
	module          Controller
	up              bool
	stopping        bool
	events          []router.Event
	due             bool // a step is scheduled
	timerNumber     int  // of the last timer that was set; earlier ones are void
	queries         map[router.QueryID]*query
	listed          map[router.EngineID]router.Endpoint // the entries of the list that it has received
	process         map[router.EngineID]int             // the engine process to which it last had a connection
	cutOff          bool                                // it receives no changes of the list
	missed          []router.Endpoint                   // changes that it did not receive
	expired         bool
	subscribed      bool // it gets the list without polling
	savedStatistics router.Statistics
}

// startController starts an incarnation of a controller, which receives the endpoint list and the
// statistics that the simulation's Memory stands for.
func (sim *simulation) startController(c *controller) {
	c.incarnation++
	c.up, c.stopping, c.cutOff, c.expired = true, false, false, false
	c.queries, c.events, c.missed = map[router.QueryID]*query{}, nil, nil
	c.listed, c.process = map[router.EngineID]router.Endpoint{}, map[router.EngineID]int{}
	c.subscribed = !sim.Settings.Capabilities.PollEndpoints
	c.module = sim.make(sim.rng.Int63(),
		router.Identity{Controllers: sim.Controllers, Index: c.number, Zone: "z0"})
	sim.checker.ControllerStarted(c.number, sim.now)
	var entries []router.Endpoint
	for _, e := range sim.order {
		if !e.gone {
			entries = append(entries, e.Endpoint)
			c.listed[e.Engine] = e.Endpoint
		}
	}
	sim.deliver(c, router.EndpointsUpdated{Complete: true, Cached: true, Endpoints: entries})
	if sim.Memory == Persisted && c.incarnation > 1 {
		m := &restore.Snapshot{Statistics: c.savedStatistics}
		learned, _ := restore.Select(m, restore.Identity{}, entries, sim.now, restore.DefaultHalfLives())
		sim.deliver(c, router.StatisticsRestored{Statistics: learned})
	}
	if sim.Memory == Hostile {
		sim.deliver(c, router.StatisticsRestored{Statistics: sim.hostileStatistics()})
	}
}

// killController kills a controller; it starts again after a while.
func (sim *simulation) killController(c *controller) {
	if !c.up {
		return
	}
	sim.checker.ControllerKilled(c.number)
	sim.takeDown(c)
}

// takeDown ends an incarnation of a controller; the next one starts after a while.
func (sim *simulation) takeDown(c *controller) {
	c.up = false
	c.incarnation++
	sim.result.Restarts++
	sim.after(sim.rng.Float64()*1500, func() {
		if !c.up {
			sim.startController(c)
		}
	})
}

// stopController shuts a controller down as planned, within a random time.
func (sim *simulation) stopController(c *controller) {
	if !c.up || c.stopping {
		return
	}
	c.stopping = true
	within := 100 + sim.rng.Float64()*2000
	sim.deliver(c, router.ShutdownStarted{Within: within})
	sim.afterFor(c, within+2*sim.Settings.Limits.EventInterval+10, func() {
		sim.checker.ControllerStopped(c.number, sim.now)
		sim.takeDown(c)
	})
}

// saveStatistics exports the statistics of all running controllers at intervals.
func (sim *simulation) saveStatistics() {
	sim.after(300, func() {
		for _, c := range sim.controllers {
			if !c.up {
				continue
			}
			var all router.Statistics
			for from, more := (router.Cursor{}), true; more; {
				var part router.Statistics
				part, from, more = c.module.Statistics(from, 1+sim.rng.Intn(50))
				all.Add(part)
			}
			c.savedStatistics = all
		}
		sim.saveStatistics()
	})
}

// deliver queues an event for a controller, which steps at the current time or at the next tick.
func (sim *simulation) deliver(c *controller, ev router.Event) {
	c.events = append(c.events, ev)
	if c.due {
		return
	}
	c.due = true
	at := sim.now
	if interval := sim.Settings.Limits.EventInterval; sim.StepOnTicks && interval > 0 {
		at = math.Ceil(sim.now/interval) * interval
	}
	sim.at(at, func() {
		if c.due = false; c.up && len(c.events) > 0 {
			sim.step(c)
		}
	})
}

// step has a controller decide on the queued events, and carries out its actions.
func (sim *simulation) step(c *controller) {
	events := c.events
	c.events = nil
	sim.result.Steps++
	sim.checker.EventsDelivered(c.number, sim.now, events, func(id router.QueryID) float64 {
		return sim.workOf[id]
	})
	actions := c.module.Step(sim.now, events)
	sim.checker.ActionsTaken(c.number, sim.now, actions)
	for _, action := range actions {
		sim.carryOut(c, action)
	}
}

// carryOut carries out an action of a controller.
func (sim *simulation) carryOut(c *controller, action router.Action) {
	switch a := action.(type) {
	case router.StartAttempt:
		if q := c.queries[a.ID]; q != nil {
			sim.startAttempt(c, q, a)
		}
	case router.CancelAttempt:
		if q := c.queries[a.ID]; q != nil && int(a.Attempt) < len(q.attempts) &&
			!q.attempts[a.Attempt].ended {
			sim.scheduleOutcome(c, q, int(a.Attempt), 1+sim.rng.Float64()*20, router.Cancelled)
		}
	case router.Reject:
		sim.finish(c, a.ID)
	case router.Fail:
		sim.finish(c, a.ID)
	case router.CheckHealth:
		sim.checkHealth(c, a.Engine)
	case router.SetTimer:
		sim.setTimer(c, a.After)
	case router.Subscribe:
		sim.subscribe(c)
	}
}

// checkHealth has a health check of an engine end after a while, at times with a timeout.
func (sim *simulation) checkHealth(c *controller, id router.EngineID) {
	e := sim.engines[id]
	sim.afterFor(c, 1+sim.rng.Float64()*5, func() {
		ended := router.HealthCheckEnded{Engine: id, Outcome: router.Succeeded, Load: sim.loadReport(e)}
		if e == nil || e.gone || sim.rng.Float64() < 0.1 {
			ended.Outcome, ended.Load = router.TimedOut, nil
		}
		sim.deliver(c, ended)
	})
}

// setTimer delivers TimerFired to a controller after a delay in ms, unless it sets another timer
// before.
func (sim *simulation) setTimer(c *controller, delay float64) {
	c.timerNumber++
	timer := c.timerNumber
	sim.afterFor(c, delay, func() {
		if c.timerNumber == timer {
			sim.deliver(c, router.TimerFired{})
		}
	})
}

// subscribe has a subscription to the endpoint list succeed or fail after a while.
func (sim *simulation) subscribe(c *controller) {
	sim.afterFor(c, sim.rng.Float64()*100, func() {
		if sim.rng.Intn(3) == 0 {
			sim.deliver(c, router.EndpointsUpdated{Failed: true})
			return
		}
		c.subscribed = true
		missed := c.missed
		c.missed = nil
		sim.receiveEntries(c, missed...)
	})
}
