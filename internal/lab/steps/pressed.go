package steps

import (
	"math"
	"math/rand"

	"mintkeel/router"
)

// Pressed is a controller whose processor can decide only so much, in virtual time: commands come at some times as many,
// wait in a queue of bounded length, and are taken in steps as the loop does it.
type Pressed struct {
	Seed    int64
	Times   float64 // what comes, over what can be decided
	Decide  float64 // ms of processor time that a command takes which is sent
	Away    float64 // and one that is turned away
	Refused float64 // and one that finds the queue full
	Length  float64 // ms
	Blind   bool    // the module is not told how long commands waited: the baseline
}

// Pressure is what became of the commands.
type Pressure struct {
	Commands               int
	InTime                 int // answered within the latency target
	Late                   int // answered after it
	Shed, Refused, Failed  int
	Missed                 int // without a final answer before the client timeout
	Longest                float64
	ShedAfter, AnswerAfter float64 // ms until they were told, on average
}

const (
	pressedTarget, pressedTimeout, pressedWork = 150.0, 1000.0, 20.0
	pressedQueue, pressedStep, pressedMore     = 1024, 512, 64 // as the loop's
)

// waiting is a command that has come.
type waiting struct {
	id          router.QueryID
	came, taken float64
	over        bool
}

// pressedRun is one play.
type pressedRun struct {
	Pressed
	out    Pressure
	rng    *rand.Rand
	module Module
	now    float64 // ms
	end    float64 // after which none comes
	next   float64 // when the next command comes
	wake   float64 // when the module wants to be asked
	serial router.QueryID
	queue  []*waiting
	ends   []*waiting // that engines answer, in order, as all take as long
	open   map[router.QueryID]*waiting
	sent   int     // in the last step
	busy   float64 // ms of processor time in this turn
	took   struct{ answered, shed float64 }
}

// Play plays it.
func (p Pressed) Play(newModule Make) Pressure {
	r := p.start(newModule)
	for r.now < r.end || len(r.queue) > 0 || len(r.open) > 0 {
		r.passIdleTime()
		r.busy = 0
		r.takeArrivals()
		events := append(r.endAttempts(), r.dequeue()...)
		if r.wake <= r.now {
			r.wake = math.Inf(1)
		}
		for _, action := range r.module.Step(r.now, events) {
			r.carryOut(action)
		}
		r.now += r.busy
	}
	r.out.AnswerAfter = r.took.answered / float64(max(1, r.out.InTime+r.out.Late))
	r.out.ShedAfter = r.took.shed / float64(max(1, r.out.Shed))
	return r.out
}

func (p Pressed) start(newModule Make) *pressedRun {
	const began, engines = 1e6, 50
	profile := router.QueryClass{Effect: router.Idempotent, LatencyObjective: pressedTarget, ClientTimeout: pressedTimeout, Threads: 1, LateBenefit: 0.3}
	r := &pressedRun{Pressed: p, rng: rand.New(rand.NewSource(p.Seed)), now: began, next: began, end: began + p.Length,
		wake: math.Inf(1), open: map[router.QueryID]*waiting{}}
	r.module = newModule(p.Seed, router.Identity{Controllers: 1}, []router.MachineKind{{Cores: 64, MemoryMB: memory}}, []router.QueryClass{profile}, nil,
		router.Capabilities{Cancel: true, MaxAttempts: 3}, router.SafetyLimits{EventInterval: 1, SlowStartCapacity: 1, SlowStartOverload: 0})
	var entries []router.Endpoint
	for i := range engines {
		entries = append(entries, router.Endpoint{Engine: router.EngineID(rune('A' + i)), Zone: "z"})
	}
	r.module.Step(r.now, []router.Event{router.EndpointsUpdated{Complete: true, Endpoints: entries}})
	return r
}

// passIdleTime goes on to when something happens next, if there is nothing to do now.
func (r *pressedRun) passIdleTime() {
	idle := math.Inf(1)
	if r.next < r.end {
		idle = r.next
	}
	if len(r.ends) > 0 {
		idle = min(idle, r.ends[0].taken+pressedWork)
	}
	if idle = min(idle, r.wake); idle > r.now && len(r.queue) == 0 && r.sent < pressedMore {
		r.now = idle
	}
}

// takeArrivals puts what has come into the queue.
func (r *pressedRun) takeArrivals() {
	spacing := r.Decide / r.Times
	for ; r.next <= r.now && r.next < r.end; r.next += r.rng.ExpFloat64() * spacing {
		r.serial++
		r.out.Commands++
		if len(r.queue) >= pressedQueue {
			r.out.Refused++
			r.busy += r.Pressed.Refused
			continue
		}
		r.queue = append(r.queue, &waiting{id: r.serial, came: r.next})
	}
}

// endAttempts are the events of attempts that engines have answered.
func (r *pressedRun) endAttempts() (events []router.Event) {
	for len(r.ends) > 0 && r.ends[0].taken+pressedWork <= r.now {
		c := r.ends[0]
		r.ends = r.ends[1:]
		event := router.AttemptEnded{ID: c.id, Elapsed: pressedWork, QueryDone: true}
		if c.over { // it was given up meanwhile
			event.Outcome = router.Cancelled
		} else if r.took.answered += r.tell(c, r.now); r.now-c.came <= pressedTarget {
			r.out.InTime++
		} else {
			r.out.Late++
		}
		events = append(events, event)
	}
	return events
}

// dequeue are the events of commands that the module is told of in this step.
func (r *pressedRun) dequeue() (events []router.Event) {
	room := pressedStep
	if r.sent >= pressedMore { // the module has more to send first
		room = 0
	}
	r.sent = 0
	for range min(room, len(r.queue)) {
		c := r.queue[0]
		r.queue = r.queue[1:]
		waited := r.now - c.came
		event := router.QueryArrived{ID: c.id, Tenant: -1, TimeLeft: pressedTimeout - waited, EstimatedWork: pressedWork}
		if !r.Blind {
			event.ArrivalWait = waited
		}
		r.open[c.id] = c
		events = append(events, event)
	}
	return events
}

func (r *pressedRun) carryOut(action router.Action) {
	switch a := action.(type) {
	case router.StartAttempt:
		r.busy += r.Decide
		r.sent++
		if c := r.open[a.ID]; c != nil {
			c.taken = r.now + r.busy
			r.ends = append(r.ends, c)
		}
	case router.Reject:
		r.busy += r.Away
		if c := r.open[a.ID]; c != nil {
			r.out.Shed++
			r.took.shed += r.tell(c, r.now+r.busy)
		}
	case router.Fail:
		if c := r.open[a.ID]; c != nil {
			r.out.Failed++
			r.tell(c, r.now+r.busy)
		}
	case router.SetTimer:
		r.wake = r.now + a.After
	}
}

// tell has a client told its final answer, and returns after how long, in ms.
func (r *pressedRun) tell(c *waiting, at float64) float64 {
	c.over = true
	delete(r.open, c.id)
	if at > c.came+pressedTimeout {
		r.out.Missed++
	}
	r.out.Longest = max(r.out.Longest, at-c.came)
	return at - c.came
}
