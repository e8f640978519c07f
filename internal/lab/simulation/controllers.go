package simulation

import (
	"math"

	"mintkeel/internal/core/restore"
	"mintkeel/router"
)

// controller is a module with what its host does for it: events, wake-ups, queries, the endpoint list.
type controller struct {
	number      int
	incarnation int
	module      Controller
	up          bool
	stopping    bool
	events      []router.Event
	due         bool // a step is scheduled
	wake        int  // number of the last wake-up; earlier ones are void
	queries     map[router.CommandID]*query
	listed      map[router.EngineID]router.Entry // as far as it has received the list
	process     map[router.EngineID]int          // of each engine it talked to last
	cutOff      bool                             // it receives nothing of the list
	missed      []router.Entry
	expired     bool
	listener    bool // it has asked for the list, or need not
	saved       router.Learned
}

// startController starts a controller: it receives the list, and what its earlier incarnation had learned.
func (sim *simulation) startController(c *controller) {
	c.incarnation++
	c.up, c.stopping, c.cutOff, c.expired = true, false, false, false
	c.queries, c.events, c.missed = map[router.CommandID]*query{}, nil, nil
	c.listed, c.process = map[router.EngineID]router.Entry{}, map[router.EngineID]int{}
	c.listener = !sim.Facts.Allowed.MustAsk
	c.module = sim.make(sim.rng.Int63(), router.Place{Controllers: sim.Controllers, Number: c.number, Zone: "z0"})
	sim.checker.Up(c.number, sim.now)
	var entries []router.Entry
	for _, e := range sim.order {
		if !e.gone {
			entries = append(entries, e.Entry)
			c.listed[e.Engine] = e.Entry
		}
	}
	sim.deliver(c, router.Listed{Whole: true, Cached: true, Entries: entries})
	if sim.Memory == Persisted && c.incarnation > 1 {
		m := &restore.Snapshot{Learned: c.saved}
		learned, _ := restore.Select(m, restore.Identity{}, entries, sim.now, restore.DefaultHalfLives())
		sim.deliver(c, router.Recalled{Learned: learned})
	}
	if sim.Memory == Hostile {
		sim.deliver(c, router.Recalled{Learned: sim.hostileLearned()})
	}
}

// killController kills a controller; it comes back after a while.
func (sim *simulation) killController(c *controller) {
	if !c.up {
		return
	}
	sim.checker.Killed(c.number)
	sim.takeDown(c)
}

// takeDown ends an incarnation; the next one starts after a while.
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

// stopController has a controller end by itself within a time.
func (sim *simulation) stopController(c *controller) {
	if !c.up || c.stopping {
		return
	}
	c.stopping = true
	within := 100 + sim.rng.Float64()*2000
	sim.deliver(c, router.Stopping{Within: within})
	sim.afterFor(c, within+2*sim.Facts.Guards.Round+10, func() {
		sim.checker.Ended(c.number, sim.now)
		sim.takeDown(c)
	})
}

// saveLearned takes out what the controllers have learned, again and again.
func (sim *simulation) saveLearned() {
	sim.after(300, func() {
		for _, c := range sim.controllers {
			if !c.up {
				continue
			}
			var all router.Learned
			for from, more := (router.Cursor{}), true; more; {
				var part router.Learned
				part, from, more = c.module.Learned(from, 1+sim.rng.Intn(50))
				all.Add(part)
			}
			c.saved = all
		}
		sim.saveLearned()
	})
}

// deliver hands an event to a controller, which steps at once or at the next tick.
func (sim *simulation) deliver(c *controller, ev router.Event) {
	c.events = append(c.events, ev)
	if c.due {
		return
	}
	c.due = true
	at := sim.now
	if round := sim.Facts.Guards.Round; sim.Ticks && round > 0 {
		at = math.Ceil(sim.now/round) * round
	}
	sim.at(at, func() {
		if c.due = false; c.up && len(c.events) > 0 {
			sim.step(c)
		}
	})
}

// step has a controller decide on the events that have come, and carries out its actions.
func (sim *simulation) step(c *controller) {
	events := c.events
	c.events = nil
	sim.result.Steps++
	sim.checker.Told(c.number, sim.now, events, func(id router.CommandID) float64 { return sim.works[id] })
	actions := c.module.Step(sim.now, events)
	sim.checker.Ordered(c.number, sim.now, actions)
	for _, action := range actions {
		sim.carryOut(c, action)
	}
}

// carryOut does what a controller ordered.
func (sim *simulation) carryOut(c *controller, action router.Action) {
	switch a := action.(type) {
	case router.Send:
		if q := c.queries[a.ID]; q != nil {
			sim.startAttempt(c, q, a)
		}
	case router.Cancel:
		if q := c.queries[a.ID]; q != nil && int(a.Send) < len(q.attempts) && !q.attempts[a.Send].ended {
			sim.scheduleOutcome(c, q, int(a.Send), 1+sim.rng.Float64()*20, router.Cancelled)
		}
	case router.Shed:
		sim.finish(c, a.ID)
	case router.Fail:
		sim.finish(c, a.ID)
	case router.Probe:
		sim.probe(c, a.Engine)
	case router.Wake:
		sim.scheduleWake(c, a.After)
	case router.Subscribe:
		sim.subscribe(c)
	}
}

// probe has a probe of an engine end after a while, well or not.
func (sim *simulation) probe(c *controller, id router.EngineID) {
	e := sim.engines[id]
	sim.afterFor(c, 1+sim.rng.Float64()*5, func() {
		probed := router.Probed{Engine: id, Outcome: router.Answered, Load: sim.loadReport(e)}
		if e == nil || e.gone || sim.rng.Float64() < 0.1 {
			probed.Outcome, probed.Load = router.TimedOut, nil
		}
		sim.deliver(c, probed)
	})
}

// scheduleWake wakes a controller after a delay, in ms, unless it orders another wake-up before.
func (sim *simulation) scheduleWake(c *controller, delay float64) {
	c.wake++
	wake := c.wake
	sim.afterFor(c, delay, func() {
		if c.wake == wake {
			sim.deliver(c, router.Woke{})
		}
	})
}

// subscribe has a subscription to the endpoint list come about after a while, or fail.
func (sim *simulation) subscribe(c *controller) {
	sim.afterFor(c, sim.rng.Float64()*100, func() {
		if sim.rng.Intn(3) == 0 {
			sim.deliver(c, router.Listed{Failed: true})
			return
		}
		c.listener = true
		missed := c.missed
		c.missed = nil
		sim.receiveEntries(c, missed...)
	})
}
