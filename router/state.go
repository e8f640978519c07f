package router

import (
	"math"
	"math/rand"
	"slices"
)

// This file holds what a controller remembers and the bookkeeping that keeps it whole. It decides nothing.

// Router is the decision module of one controller.
type Router struct {
	rng         *rand.Rand
	controllers float64
	number      int
	kinds       []MachineKind
	profiles    []*profile
	tenants     []*tenant
	allowed     Capabilities
	guards      SafetyLimits

	now, born, firstAt float64
	cmds               map[QueryID]*command
	held               heldBooks
	spare              spare  // of all engines, filled up to roomy
	steps              uint64 // taken
	lines              map[OrderingKey]*line
	turns              uint64        // commands taken
	resting            []OrderingKey // of empty lines that may not be forgotten yet
	resends, taken     stamps
	engines            map[EngineID]*engine
	order              []*engine // by id
	share              decay     // own commands over all, by reports
	out                int       // own sends out, on all engines,
	rate               decay     // commands taken
	threads, pool      float64   // their threads, and the bound on these
	cores              float64   // of the engines that are ready
	tables             map[TableGroup]*tableGroup
	groups             []*tableGroup // by id
	owners             [][]*owner    // by kind
	touched            []*command
	alarms             heap[alarm]
	subscribed         bool
	wantList           bool
	asked              []*engine // to be probed
	credit             float64   // probes that may be made
	busy               decay     // commands a core that others hold, by all reports
	looked             int       // at how many engines' bounds, ever
	airy, colds        int       // engines that may have room where the pool has none; looks at cold ones since all were
	floor              []float64 // of the engines of one choice, kept for its room
	homed              *owner    // whose engines are marked,
	homedEngines       []*engine
	leastFilled        float64 // of all engines' bounds,
	mostCapacity       float64
	fleet              int     // counts the changes of engines and of who has them
	busyLeast          float64 // the least that it may be for engines' bounds to hold
	shareWas           decay   // by which portion was last reckoned,
	shareAt, part      float64 // when, and what it was
	askAt, tendAt      float64
	moveAt             float64
	packed             bool // by learned footprints
	wakeAt             float64
	sizeCap            float64 // the largest command taken, in usual work of its profile
	missed             bool    // a latency target, since it was last looked at
	jamUntil           float64 // by the last fresh command given up while held
	stopAt             float64 // when this controller ends
	waits              decay   // of commands that came, until they were looked at
	away, awayAt       float64 // share that is turned away unseen, and when it last moved
	heardAt            float64 // when there was last news of the list
	expired            float64 // it has expired: drains older than this count as told; 0: it has not
}

// New makes the module of a controller that has just started.
func New(seed int64, place Identity, kinds []MachineKind, profiles []QueryClass, tenants []Tenant, allowed Capabilities,
	guards SafetyLimits) *Router {
	r := &Router{rng: rand.New(rand.NewSource(seed)), controllers: max(1, float64(place.Controllers)),
		number: place.Index,
		kinds:  kinds, allowed: allowed, guards: guards, born: -1, stopAt: math.Inf(1), sizeCap: mostSize,
		share: decay{life: shareLife}, waits: decay{life: waitLife}, busy: decay{life: shareLife}, rate: decay{life: shareLife},
		cmds: map[QueryID]*command{}, lines: map[OrderingKey]*line{},
		engines: map[EngineID]*engine{},
		tables:  map[TableGroup]*tableGroup{}, owners: make([][]*owner, len(kinds))}
	r.held.fresh, r.held.again = newHeldTree(), newHeldTree()
	r.alarms.less = earlier
	for i, p := range profiles {
		scale := decay{life: scaleLife}
		r.profiles = append(r.profiles, &profile{QueryClass: p, number: i, watches: watches{heap: heap[alarm]{less: earlier}}, unit: decay{life: unitLife},
			run:  decay{life: runLife},
			work: decay{life: workLife}, workScale: scale, needScale: scale})
	}
	for _, t := range tenants {
		r.tenants = append(r.tenants, &tenant{Tenant: t, took: decay{life: tenantLife}})
	}
	if allowed.ProgressInterval == 0 {
		r.allowed.ProgressInterval = math.Inf(1)
	}
	return r
}

// take hands an event to who decides by it, or files it.
func (r *Router) take(event Event) {
	switch ev := event.(type) {
	case EndpointsUpdated:
		r.listed(ev)
	case QueryArrived:
		r.arrived(ev)
	case AttemptEnded:
		r.ended(ev)
	case AttemptProgress:
		r.noted(ev)
	case ResponseStarted:
		r.begun(ev.ID)
	case ClientDisconnected:
		r.left(ev.ID)
	case HealthCheckEnded:
		r.probed(ev)
	case OrderingKeyAdded:
		if c := r.cmds[ev.ID]; c != nil {
			r.stand(c, ev.Key)
		}
	case StatisticsRestored:
		r.recalled(ev.Statistics)
	case ShutdownStarted:
		r.stopping(ev.Within)
	}
}

func (r *Router) setClock(now float64) {
	if r.now = now; r.born < 0 {
		r.born = now
	}
}

// stopping has every command looked at by the time that this controller ends.
func (r *Router) stopping(within float64) {
	r.stopAt = r.now + within
	for _, c := range r.cmds { // alarms have an order of their own
		r.setAlarm(r.endBy(c), c)
	}
	r.rewatch()
}

// setAlarm has c looked at when its time has come.
func (r *Router) setAlarm(at float64, c *command) {
	if !math.IsInf(at, 1) {
		r.alarms.push(alarm{at, c})
	}
}

// due is the next command whose time has come, or nil.
func (r *Router) due() *command {
	if len(r.alarms.list) == 0 || r.alarms.list[0].at > r.now {
		return nil
	}
	return r.alarms.pop().cmd
}

func (r *Router) nextAlarm() float64 {
	if len(r.alarms.list) == 0 {
		return math.Inf(1)
	}
	return r.alarms.list[0].at
}

// forgetOld drops what no rule needs any more.
func (r *Router) forgetOld() {
	r.forgetLines()
	r.forgetEngines()
}

// insert keeps list ordered by compare, which must tell all its members apart.
func insert[T any](list []T, x T, compare func(a, b T) int) []T {
	at, _ := slices.BinarySearchFunc(list, x, compare)
	return slices.Insert(list, at, x)
}

// allows tells whether a list, of which nil is all, holds something.
func allows[T comparable](list []T, x T) bool { return list == nil || slices.Contains(list, x) }

// emit is the one place where the wanted state meets the present.
func (r *Router) emit() (actions []Action) {
	for _, c := range r.touched {
		c.touched = false
		if c.wantEngine != nil {
			actions = append(actions, StartAttempt{c.id, c.wantEngine.id, c.timeout, c.wantBegin})
			c.wantEngine = nil
		}
		if c.wantEnd == shed && !c.over {
			actions = append(actions, Reject{c.id, r.allowed.RetryAfterDelay(r.rng.Float64())})
		} else if c.wantEnd == failed && !c.over {
			actions = append(actions, Fail{c.id})
		}
		c.over = c.over || c.wantEnd != open
		for i := range c.sends {
			if s := &c.sends[i]; c.wantCancel && r.allowed.Cancel && s.out && !s.cancelled {
				s.cancelled = true
				actions = append(actions, CancelAttempt{c.id, AttemptID(i)})
			}
		}
		if c.wantCancel = false; c.over && c.pending == 0 {
			r.forget(c)
		}
	}
	for _, e := range r.asked {
		actions = append(actions, CheckHealth{e.id})
	}
	if r.wantList {
		r.wantList = false
		actions = append(actions, Subscribe{})
	}
	r.asked, r.touched = r.asked[:0], r.touched[:0]
	wake := min(r.tendAt, r.nextAlarm())
	if r.wakeAt <= r.now || wake < r.wakeAt {
		r.wakeAt = wake
		actions = append(actions, SetTimer{max(0.001, wake-r.now)})
	}
	return actions
}
