package fleet

import (
	"cmp"
	"fmt"
	"math/rand"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/lab/eventqueue"
)

// Plan is a history to be played in virtual time.
type Plan struct {
	Seed       int64
	Nodes      int
	Voters     int
	Leases     int
	Lease      float64
	Membership members.Config
	Script     Script
	Settle     float64                // ms after the last fault within which the fleet must recover
	Mutant     string                 // a fault of the program, to test that it is caught; empty: none
	Config     bool                   // the fleet agrees on a configuration
	Busy       float64                // the share of applies that fail with errBusy
	Direct     bool                   // messages are passed without encoding, which takes most of the time in large fleets
	Latency    func(a, b int) float64 // minimum latency in ms of a message from one node to another; nil: 0.3
}

// UsualPlan returns a plan whose script is drawn from a seed.
func UsualPlan(seed int64, nodes, leases, faults int) Plan {
	rng := rand.New(rand.NewSource(seed))
	p := Plan{Seed: seed, Nodes: nodes, Voters: 3, Leases: leases, Lease: 4000, Membership: members.DefaultConfig(), Settle: 90000}
	if nodes >= 5 && rng.Intn(2) == 0 {
		p.Voters = 5
	}
	p.Script = DrawScript(rng, nodes, p.Voters, faults, 40000)
	return p
}

// World is a fleet in virtual time.
type World struct {
	plan       Plan
	rng        *rand.Rand
	now        float64
	queue      eventqueue.Queue
	nodes      []*machine
	blocked    map[[2]int]float64 // until when messages from one node to another are blocked
	drop       float64
	dropUntil  float64
	delay      float64
	delayUntil float64

	config       *configWorld // nil: the plan has none
	numbers      map[members.ID]int
	majorityLost bool // a majority of the voters lost their folders: nothing more can be agreed on
	traffic      []Traffic

	Checker         *Checker
	Renewals        *Renewals
	MembershipBytes int // bytes of membership messages with their frames
	Ticks           int
	Recovery        float64 // ms from the last fault until the fleet had recovered
	FalseSuspicions int     // suspicions of nodes that ran while nothing was blocked, as n0 learned of them
	FalseDeaths     int     // the same of members declared dead
	Trace           func(string)
}

// NewWorld returns a fleet whose processes start within the first 500 ms.
func NewWorld(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewSource(p.Seed*7919 + 1)), blocked: map[[2]int]float64{}, Checker: NewChecker(), Renewals: NewRenewals(),
		numbers: map[members.ID]int{}}
	for i := range p.Nodes {
		m := &machine{number: i, id: members.ID(fmt.Sprintf("n%d", i)), rate: 1, offset: w.rng.Float64() * 1e6, diskMS: 2,
			fencing: lease.NewFencingCheck(nil)}
		m.config.applyMS = 50
		w.nodes = append(w.nodes, m)
		w.numbers[m.id] = i
	}
	if p.Config {
		w.config = newConfigWorld(w.nodes)
	}
	for _, m := range w.nodes {
		w.at(w.rng.Float64()*500, func() { w.start(m) })
	}
	for _, f := range p.Script {
		w.at(f.At, func() { w.fault(f) })
	}
	return w
}

func (w *World) at(t float64, do func()) {
	w.queue.Add(max(t, w.now), do)
}

func (w *World) trace(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%9.1f ", w.now) + fmt.Sprintf(format, args...))
	}
}

// Run plays until a time, or until the checker of leases finds a violation.
func (w *World) Run(until float64) {
	for w.queue.NextTime() <= until && w.Checker.Broken == "" {
		e := w.queue.Pop()
		w.now = e.At
		e.Run()
	}
	w.now = max(w.now, until)
}

// Play plays the whole plan and returns the first violation; empty: none. A panic of a controller's core counts as one.
func (w *World) Play() (why string) {
	defer func() {
		if x := recover(); x != nil {
			why = fmt.Sprintf("%.1f ms: a core panicked: %v", w.now, x)
		}
	}()
	return w.play()
}

// play plays the whole plan and returns the first violation; empty: none. It ends when the fleet has been healthy for some
// seconds after the last fault, and sets Recovery. Where a majority of the voters lost their folders the fleet need not
// recover, but safety must hold.
func (w *World) play() string {
	if w.config != nil {
		return w.playConfiguration()
	}
	end := w.plan.Script.End()
	w.Run(end)
	if w.majorityLost {
		return w.playWithoutMajority()
	}
	const checkInterval, stableTime = 500.0, 5000.0
	healthySince, why := 0.0, "not checked yet"
	for w.Checker.Broken == "" {
		if why = w.missing(); why != "" {
			healthySince = 0
		} else if healthySince == 0 {
			healthySince, w.Recovery = w.now, w.now-end
		}
		if healthySince > 0 && w.now >= healthySince+stableTime {
			return w.Renewals.Check()
		}
		if w.now > end+w.plan.Settle {
			return fmt.Sprintf("not recovered %.0f s after the last fault: %s", w.plan.Settle/1e3, why)
		}
		w.Run(w.now + checkInterval)
	}
	return w.Checker.Broken
}

// MajorityLost reports whether a majority of the voters lost their folders. Then nothing more can be agreed on, but safety is
// still checked.
func (w *World) MajorityLost() bool { return w.majorityLost }

// playWithoutMajority plays on for the time in Plan.Settle without a majority, and returns the first violation.
func (w *World) playWithoutMajority() string {
	w.Run(w.now + w.plan.Settle)
	return cmp.Or(w.Checker.Broken, w.Renewals.Check())
}

// missing returns what the fleet lacks to be healthy: all members alive at all nodes, all voters voting, and one holder for
// each lease; empty: nothing.
func (w *World) missing() string {
	holders := map[lease.Name]int{}
	for _, m := range w.nodes {
		if m.core == nil {
			return fmt.Sprintf("n%d does not run", m.number)
		}
		alive := 0
		for _, about := range m.core.Members() {
			if about.State == members.Alive {
				alive++
			}
		}
		if alive != len(w.nodes) {
			return fmt.Sprintf("n%d considers %d of %d members alive", m.number, alive, len(w.nodes))
		}
		for _, c := range m.core.Held(w.local(m)) {
			holders[c.Name]++
		}
		if s, why := m.core.Quorum().Role(); m.number < w.plan.Voters && s != quorum.Voter {
			return fmt.Sprintf("n%d is %v in the quorum: %s", m.number, s, why)
		}
	}
	for _, name := range w.leaseNames() {
		if holders[name] != 1 {
			return fmt.Sprintf("%s has %d holders", name, holders[name])
		}
	}
	return ""
}

func (w *World) leaseNames() (names []lease.Name) {
	for i := range w.plan.Leases {
		names = append(names, lease.Name(fmt.Sprintf("work-%d", i)))
	}
	return names
}

// withoutLeases reports whether the plan has no leases, as one with a configuration may, so that no holder has to act.
func (p *Plan) withoutLeases() bool { return p.Config && p.Leases == 0 }

// Now returns the virtual time in ms.
func (w *World) Now() float64 { return w.now }
