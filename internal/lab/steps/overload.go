package steps

import (
	"math"
	"math/rand"

	"mintkeel/router"
)

// Overload simulates, in virtual time, a controller whose processor can decide a limited number of
// queries per second. Arriving queries wait in a bounded queue, from which they are taken in steps
// by the same rules as in the loop of internal/controller.
type Overload struct {
	Seed               int64
	LoadFactor         float64 // rate of arrivals, over the rate of queries that can be decided
	AttemptTime        float64 // ms of processor time for a query with an attempt
	RejectionTime      float64 // ms of processor time for a rejected query
	RefusalTime        float64 // ms of processor time for a query refused because the queue is full
	Length             float64 // ms during which queries arrive
	WithoutArrivalWait bool    // the module is not told how long queries waited: the baseline
}

// OverloadResult counts the queries by their answers.
type OverloadResult struct {
	Queries       int
	InTime        int // answered within the latency objective
	Late          int // answered after it
	Rejected      int // by the module
	Refused       int // because the queue was full
	Failed        int
	Missed        int     // final answer after the client timeout; counted in addition
	LongestWait   float64 // ms until a final answer
	RejectedAfter float64 // ms until a rejection, on average
	AnsweredAfter float64 // ms until an answer, on average
}

const (
	overloadObjective = 150.0  // ms, latency objective
	overloadTimeout   = 1000.0 // ms, client timeout
	overloadWork      = 20.0   // ms from the start of an attempt to its end

	// The values of the loop of internal/controller.
	overloadQueue      = 1024 // maximum length of the queue
	overloadPerStep    = 512  // maximum number of arrivals in one step
	overloadYieldAfter = 64   // after a step with this many attempts, the next step has no arrivals
)

// pendingQuery is a query that has arrived.
type pendingQuery struct {
	id        router.QueryID
	arrivedAt float64 // ms
	startedAt float64 // ms, start of its attempt
	done      bool    // has its final answer
}

// overloadRun is the state of one simulation.
type overloadRun struct {
	Overload
	result          OverloadResult
	rng             *rand.Rand
	module          Module
	now             float64        // ms
	end             float64        // ms, time after which no query arrives
	nextArrival     float64        // ms, time of the next arrival
	timerAt         float64        // ms, when the module's timer fires
	serial          router.QueryID // of the latest query
	queue           []*pendingQuery
	running         []*pendingQuery // queries with an attempt in flight, in the order of its end: all attempts take equally long
	unanswered      map[router.QueryID]*pendingQuery
	attemptsStarted int     // in the last step
	cpuTime         float64 // ms of processor time used in this iteration of Play
	answeredWait    float64 // ms, sum over answered queries
	rejectedWait    float64 // ms, sum over rejected queries
}

// Play runs the simulation, on a module made by newModule, until all queries have a final answer.
func (p Overload) Play(newModule Constructor) OverloadResult {
	r := p.start(newModule)
	for r.now < r.end || len(r.queue) > 0 || len(r.unanswered) > 0 {
		r.skipIdleTime()
		r.cpuTime = 0
		r.enqueueArrivals()
		events := append(r.endAttempts(), r.dequeue()...)
		if r.timerAt <= r.now {
			r.timerAt = math.Inf(1)
		}
		for _, action := range r.module.Step(r.now, events) {
			r.execute(action)
		}
		r.now += r.cpuTime
	}
	r.result.AnsweredAfter = r.answeredWait / float64(max(1, r.result.InTime+r.result.Late))
	r.result.RejectedAfter = r.rejectedWait / float64(max(1, r.result.Rejected))
	return r.result
}

func (p Overload) start(newModule Constructor) *overloadRun {
	const began, engines = 1e6, 50
	class := router.QueryClass{Effect: router.Idempotent, LatencyObjective: overloadObjective,
		ClientTimeout: overloadTimeout, Threads: 1, LateBenefit: 0.3}
	r := &overloadRun{Overload: p, rng: rand.New(rand.NewSource(p.Seed)), now: began,
		nextArrival: began, end: began + p.Length, timerAt: math.Inf(1), unanswered: map[router.QueryID]*pendingQuery{}}
	r.module = newModule(p.Seed, router.Identity{Controllers: 1},
		[]router.MachineKind{{Cores: 64, MemoryMB: memory}}, []router.QueryClass{class}, nil,
		router.Capabilities{Cancel: true, MaxAttempts: 3},
		router.SafetyLimits{EventInterval: 1, SlowStartCapacity: 1, SlowStartOverload: 0})
	var entries []router.Endpoint
	for i := range engines {
		entries = append(entries, router.Endpoint{Engine: router.EngineID(rune('A' + i)), Zone: "z"})
	}
	r.module.Step(r.now, []router.Event{router.EndpointsUpdated{Complete: true, Endpoints: entries}})
	return r
}

// skipIdleTime advances the time to the next event, if there is nothing to do before it.
func (r *overloadRun) skipIdleTime() {
	idle := math.Inf(1)
	if r.nextArrival < r.end {
		idle = r.nextArrival
	}
	if len(r.running) > 0 {
		idle = min(idle, r.running[0].startedAt+overloadWork)
	}
	idle = min(idle, r.timerAt)
	nothingToDo := len(r.queue) == 0 && r.attemptsStarted < overloadYieldAfter
	if idle > r.now && nothingToDo {
		r.now = idle
	}
}

// enqueueArrivals adds the queries that have arrived by now to the queue, or refuses them if it is
// full.
func (r *overloadRun) enqueueArrivals() {
	spacing := r.AttemptTime / r.LoadFactor
	for r.nextArrival <= r.now && r.nextArrival < r.end {
		r.serial++
		r.result.Queries++
		if len(r.queue) >= overloadQueue {
			r.result.Refused++
			r.cpuTime += r.RefusalTime
		} else {
			r.queue = append(r.queue, &pendingQuery{id: r.serial, arrivedAt: r.nextArrival})
		}
		r.nextArrival += r.rng.ExpFloat64() * spacing
	}
}

// endAttempts returns the events of the attempts that have ended by now.
func (r *overloadRun) endAttempts() (events []router.Event) {
	for len(r.running) > 0 && r.running[0].startedAt+overloadWork <= r.now {
		c := r.running[0]
		r.running = r.running[1:]
		event := router.AttemptEnded{ID: c.id, Elapsed: overloadWork, QueryDone: true}
		if c.done { // the query had its final answer before
			event.Outcome = router.Cancelled
		} else {
			r.countAnswer(c)
		}
		events = append(events, event)
	}
	return events
}

// countAnswer answers a query with the result of its attempt, and counts it as in time or late.
func (r *overloadRun) countAnswer(c *pendingQuery) {
	r.answeredWait += r.finish(c, r.now)
	if r.now-c.arrivedAt <= overloadObjective {
		r.result.InTime++
	} else {
		r.result.Late++
	}
}

// dequeue takes the queries of this step from the queue, and returns the events of their arrival.
func (r *overloadRun) dequeue() (events []router.Event) {
	room := overloadPerStep
	if r.attemptsStarted >= overloadYieldAfter { // the module may have more attempts to start first
		room = 0
	}
	r.attemptsStarted = 0
	for range min(room, len(r.queue)) {
		c := r.queue[0]
		r.queue = r.queue[1:]
		waited := r.now - c.arrivedAt
		event := router.QueryArrived{ID: c.id, Tenant: -1, TimeLeft: overloadTimeout - waited,
			EstimatedWork: overloadWork}
		if !r.WithoutArrivalWait {
			event.ArrivalWait = waited
		}
		r.unanswered[c.id] = c
		events = append(events, event)
	}
	return events
}

// execute carries out an action of the module, and adds its processor time.
func (r *overloadRun) execute(action router.Action) {
	switch a := action.(type) {
	case router.StartAttempt:
		r.cpuTime += r.AttemptTime
		r.attemptsStarted++
		if c := r.unanswered[a.ID]; c != nil {
			c.startedAt = r.now + r.cpuTime
			r.running = append(r.running, c)
		}
	case router.Reject:
		r.cpuTime += r.RejectionTime
		if c := r.unanswered[a.ID]; c != nil {
			r.result.Rejected++
			r.rejectedWait += r.finish(c, r.now+r.cpuTime)
		}
	case router.Fail:
		if c := r.unanswered[a.ID]; c != nil {
			r.result.Failed++
			r.finish(c, r.now+r.cpuTime)
		}
	case router.SetTimer:
		r.timerAt = r.now + a.After
	}
}

// finish gives a query its final answer at a time, and returns the query's latency in ms.
func (r *overloadRun) finish(c *pendingQuery, at float64) float64 {
	c.done = true
	delete(r.unanswered, c.id)
	if at > c.arrivedAt+overloadTimeout {
		r.result.Missed++
	}
	r.result.LongestWait = max(r.result.LongestWait, at-c.arrivedAt)
	return at - c.arrivedAt
}
