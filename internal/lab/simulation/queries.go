package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"mintkeel/router"
)

// query is a query that a controller has to answer, or that has an attempt without an outcome.
type query struct {
	id              router.QueryID
	class           router.ClassID
	work            float64 // ms on one thread that it really needs
	done            bool    // its client has an answer, or has disconnected
	responseStarted bool
	attempts        []*attempt
	needMB          float64 // estimate of its memory
	estimate        float64 // of its work, in ms on one thread; 0: none
}

// attempt is one attempt of a query at an engine.
type attempt struct {
	engine *engine
	ended  bool
	at     float64 // ms, when it started
}

// openQueries returns a controller's queries, sorted by ID.
func (sim *simulation) openQueries(c *controller) []*query {
	var list []*query
	for _, q := range c.queries {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *query) int { return cmp.Compare(a.id, b.id) })
	return list
}

// randomKey draws an ordering key.
func (sim *simulation) randomKey() router.OrderingKey {
	return router.OrderingKey(fmt.Sprint("k", sim.rng.Intn(sim.Keys)))
}

// arriveQuery has a query arrive at a controller; its client may disconnect before the answer.
func (sim *simulation) arriveQuery() {
	c := sim.controllers[sim.pick(sim.weights)]
	if !c.up {
		return
	}
	class := router.ClassID(sim.rng.Intn(len(sim.Settings.Classes)))
	sim.serial++
	q := &query{id: sim.serial, class: class,
		work: sim.MeanWork[class] * (0.75 + 0.5*sim.rng.Float64())}
	ev, left := sim.drawArrival(q)
	q.estimate, q.needMB = ev.EstimatedWork, ev.EstimatedMemoryMB
	if sim.ExtraKeys && sim.rng.Intn(3) == 0 {
		ev.MoreKeys = []router.OrderingKey{sim.randomKey()}
	}
	c.queries[q.id], sim.workOf[q.id] = q, q.work
	sim.deliver(c, ev)
	if sim.rng.Float64() >= sim.DisconnectShare {
		return
	}
	sim.afterFor(c, sim.rng.Float64()*left, func() {
		if q.done {
			return
		}
		q.done = true
		sim.deliver(c, router.ClientDisconnected{ID: q.id})
		sim.forgetIfDone(c, q)
	})
}

// drawArrival draws the arrival event of a query, and the time in ms until its client's timeout.
func (sim *simulation) drawArrival(q *query) (ev router.QueryArrived, left float64) {
	f := &sim.Settings
	left = f.Classes[q.class].ClientTimeout * (0.2 + 0.8*sim.rng.Float64())
	if sim.rng.Intn(4) > 0 {
		left = f.Classes[q.class].ClientTimeout
	}
	left = max(left, 2*f.Limits.EventInterval+10)
	tables := router.TableGroup(sim.rng.Intn(sim.Tables))
	ev = router.QueryArrived{ID: q.id, Tenant: -1, Class: q.class, Tables: tables, TimeLeft: left}
	if sim.rng.Intn(2) == 0 {
		ev.Key = sim.randomKey()
	}
	if sim.rng.Intn(2) == 0 {
		ev.EstimatedWork = q.work * (0.85 + 0.3*sim.rng.Float64())
		ev.EstimatedMemoryMB = 10 + sim.rng.Float64()*100
		if sim.ImpossibleReports && sim.rng.Intn(3) == 0 {
			ev.EstimatedWork, ev.EstimatedMemoryMB = q.work*math.Exp(3*sim.rng.Float64()),
				sim.rng.Float64()*1e6
		}
	}
	if sim.NarrowedQueries && sim.rng.Intn(3) == 0 { // as an operator's rules may do
		ev.EstimateCap = q.work * sim.rng.Float64() / 20
		ev.Hot, ev.Kinds = sim.rng.Intn(2) == 0,
			[]router.KindID{router.KindID(sim.rng.Intn(len(f.Kinds)))}
		if sim.rng.Intn(3) == 0 {
			ev.Kinds, ev.Zones = nil, []router.Zone{router.Zone(fmt.Sprint("z", sim.rng.Intn(sim.Zones)))}
		}
	}
	if sim.ArrivalWaits {
		ev.ArrivalWait = 40 * sim.rng.ExpFloat64()
	}
	if sim.ClientQueues && sim.rng.Intn(2) == 0 {
		ev.ClientQueueTime = sim.rng.Float64() * 0.7 * left
		left -= ev.ClientQueueTime * sim.rng.Float64()
	}
	return ev, left
}

// addKeys gives most open queries of a controller one more ordering key each.
func (sim *simulation) addKeys() {
	c := sim.randomController()
	if !c.up {
		return
	}
	for _, q := range sim.openQueries(c) {
		if sim.rng.Intn(3) > 0 {
			sim.deliver(c, router.OrderingKeyAdded{ID: q.id, Key: sim.randomKey()})
		}
	}
}

// startAttempt starts an attempt on an engine, and schedules its progress and outcome.
func (sim *simulation) startAttempt(c *controller, q *query, a router.StartAttempt) {
	e := sim.engines[a.Engine]
	q.attempts = append(q.attempts, &attempt{engine: e, at: sim.now})
	n := len(q.attempts) - 1
	latency := 0.2 + sim.rng.Float64()*2
	known, talked := c.process[e.Engine]
	switch {
	// With an expired list no connection may be opened, and none to this process is open.
	case c.expired && (!talked || known != e.serial):
		sim.scheduleOutcome(c, q, n, latency, router.NotSent)
		return
	case e.gone:
		delete(c.process, e.Engine)
		sim.scheduleOutcome(c, q, n, latency, router.ConnectFailed)
		return
	}
	c.process[e.Engine] = e.serial
	if e.State != router.Ready {
		sim.scheduleOutcome(c, q, n, latency, router.EngineFull)
		return
	}
	took := q.work / sim.Settings.Classes[q.class].Threads * e.slowness *
		(1 + sim.rng.ExpFloat64()*0.3)
	outcome := router.Succeeded
	if sim.rng.Float64() < sim.FailureShare*e.errorFactor {
		outcome = []router.Outcome{router.Errored, router.EngineFull, router.TimedOut,
			router.ConnectFailed, router.ConnectionReset,
			router.NotSent}[sim.rng.Intn(6)]
		took *= sim.rng.Float64() * 2
	}
	if outcome == router.TimedOut { // the answer is lost, so the attempt lasts until its deadline
		took = math.Inf(1)
	}
	if sim.rng.Intn(20) == 0 {
		sim.scheduleResponseStart(c, q, n, latency+min(took, a.Deadline-sim.now)*sim.rng.Float64())
	}
	if late := a.Deadline - sim.now; latency+took > late {
		sim.scheduleOutcome(c, q, n, max(0, late), router.TimedOut)
	} else {
		sim.scheduleOutcome(c, q, n, latency+took, outcome)
	}
	if interval := sim.Settings.Capabilities.ProgressInterval; interval > 0 && sim.rng.Intn(4) > 0 {
		sim.scheduleProgress(c, q, n, interval)
	}
}

// scheduleResponseStart has the response of an attempt start after a delay in ms, if the query is
// still open and has no other attempt. After that the query may have no further attempt.
func (sim *simulation) scheduleResponseStart(c *controller, q *query, n int, delay float64) {
	sim.afterFor(c, delay, func() {
		if !q.done && !q.attempts[n].ended && len(q.attempts) == 1 && !q.responseStarted {
			q.responseStarted = true
			sim.deliver(c, router.ResponseStarted{ID: q.id, Attempt: router.AttemptID(n)})
		}
	})
}

// scheduleProgress reports progress of an attempt at random intervals around one in ms, until the
// attempt ends.
func (sim *simulation) scheduleProgress(c *controller, q *query, n int, interval float64) {
	sim.afterFor(c, interval*(0.5+sim.rng.Float64()), func() {
		if q.attempts[n].ended {
			return
		}
		what, level := router.ProgressKind(sim.rng.Intn(5)), sim.rng.Float64()
		if sim.ImpossibleReports {
			level = []float64{level, -1, 1e9, 0, 1e-9}[sim.rng.Intn(5)]
		}
		sim.deliver(c, router.AttemptProgress{ID: q.id, Attempt: router.AttemptID(n), Kind: what,
			Value: level})
		sim.scheduleProgress(c, q, n, interval)
	})
}

// scheduleOutcome ends an attempt with an outcome after a delay in ms, unless it has ended by then.
func (sim *simulation) scheduleOutcome(c *controller, q *query, n int, delay float64,
	outcome router.Outcome) {
	sim.afterFor(c, delay, func() {
		a := q.attempts[n]
		if a.ended {
			return
		}
		if outcome == router.TimedOut && q.responseStarted { // a response that has started has no timeout
			sim.scheduleOutcome(c, q, n, sim.rng.Float64()*1000,
				[]router.Outcome{router.Succeeded, router.ConnectionReset}[sim.rng.Intn(2)])
			return
		}
		a.ended = true
		if outcome == router.Succeeded || q.responseStarted {
			q.done = true // the client has received the whole answer, or a part of it
		}
		ev := router.AttemptEnded{ID: q.id, Attempt: router.AttemptID(n), Outcome: outcome,
			QueryDone: q.done, Elapsed: sim.now - a.at}
		if sim.rng.Intn(2) == 0 {
			ev.Load = sim.loadReport(a.engine)
		}
		if outcome == router.Succeeded && q.estimate > 0 && sim.rng.Intn(2) == 0 {
			ev.Work, ev.MemoryMB = q.work, q.needMB*(0.5+sim.rng.Float64())
		}
		sim.deliver(c, ev)
		sim.forgetIfDone(c, q)
	})
}

// finish records that a controller has given the final answer to a query.
func (sim *simulation) finish(c *controller, id router.QueryID) {
	if q := c.queries[id]; q != nil {
		q.done = true
		sim.forgetIfDone(c, q)
	}
}

// forgetIfDone drops a query that is done and whose attempts have all ended.
func (sim *simulation) forgetIfDone(c *controller, q *query) {
	if q.done && !slices.ContainsFunc(q.attempts, func(a *attempt) bool { return !a.ended }) {
		delete(c.queries, q.id)
	}
}
