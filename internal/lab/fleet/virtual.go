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

// Plan is what is played in virtual time.
type Plan struct {
	Seed    int64
	Nodes   int
	Voters  int
	Leases  int
	Lease   float64
	Pace    members.Config
	Script  Script
	Settle  float64                // ms after the last fault within which all must be well again
	Mutant  string                 // a check that is left out, to see whether that is noticed; empty: none
	Config  bool                   // the fleet agrees on a configuration
	Busy    float64                // the share of versions that can not be applied at once
	Direct  bool                   // messages are handed over as they are, not encoded: for large fleets, as encoding costs most
	Latency func(a, b int) float64 // ms that a message from one to another takes at least; nil: 0.3
}

// UsualPlan is one whose script is drawn from a seed.
func UsualPlan(seed int64, nodes, leases, faults int) Plan {
	rng := rand.New(rand.NewSource(seed))
	p := Plan{Seed: seed, Nodes: nodes, Voters: 3, Leases: leases, Lease: 4000, Pace: members.DefaultConfig(), Settle: 90000}
	if nodes >= 5 && rng.Intn(2) == 0 {
		p.Voters = 5
	}
	p.Script = DrawScript(rng, nodes, p.Voters, faults, 40000)
	return p
}

// World is a fleet in virtual time.
type World struct {
	plan    Plan
	rng     *rand.Rand
	now     float64
	queue   eventqueue.Queue
	nodes   []*machine
	blocked map[[2]int]float64 // until when nothing gets from one to another
	drop    float64
	dropTo  float64
	delay   float64
	delayTo float64

	config  *configWorld // nil: the plan has none
	numbers map[members.ID]int
	lost    bool // a majority of the voters lost their folders: nothing more can be agreed on
	traffic []Traffic

	Checker   *Checker
	Promises  *Promises
	TalkBytes int // of messages of membership
	Wakes     int
	Whole     float64 // ms from the last fault until all was well
	False     int     // suspicions of one that ran and was not cut off, as n0 heard of them
	FalseGone int     // the same, taken to be gone
	Trace     func(string)
}

// NewWorld sets a fleet up.
func NewWorld(p Plan) *World {
	w := &World{plan: p, rng: rand.New(rand.NewSource(p.Seed*7919 + 1)), blocked: map[[2]int]float64{}, Checker: NewChecker(), Promises: NewPromises(),
		numbers: map[members.ID]int{}}
	for i := range p.Nodes {
		m := &machine{number: i, id: members.ID(fmt.Sprintf("n%d", i)), rate: 1, offset: w.rng.Float64() * 1e6, diskMS: 2,
			gated: lease.NewFencingCheck(nil)}
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

// Run plays until a time.
func (w *World) Run(until float64) {
	for w.queue.NextTime() <= until && w.Checker.Broken == "" {
		e := w.queue.Pop()
		w.now = e.At
		e.Run()
	}
	w.now = max(w.now, until)
}

// Play is play, of which a panic of a core counts as a break.
func (w *World) Play() (why string) {
	defer func() {
		if x := recover(); x != nil {
			why = fmt.Sprintf("%.1f ms: a core failed: %v", w.now, x)
		}
	}()
	return w.play()
}

// play plays the whole plan and tells what broke; empty: nothing. It ends when all has been well for some seconds after the
// last fault, and Whole is how long that took. Where a majority of the voters lost their folders no promise may be broken.
func (w *World) play() string {
	if w.config != nil {
		return w.playConfiguration()
	}
	end := w.plan.Script.End()
	w.Run(end)
	if w.lost {
		return w.playLost()
	}
	const look, lasting = 500.0, 5000.0
	well, why := 0.0, "it has just ended"
	for w.Checker.Broken == "" {
		if why = w.whole(); why != "" {
			well = 0
		} else if well == 0 {
			well, w.Whole = w.now, w.now-end
		}
		if well > 0 && w.now >= well+lasting {
			return w.Promises.Check()
		}
		if w.now > end+w.plan.Settle {
			return fmt.Sprintf("not whole %.0f s after the last fault: %s", w.plan.Settle/1e3, why)
		}
		w.Run(w.now + look)
	}
	return w.Checker.Broken
}

// Lost tells whether a majority of the voters lost their folders. Nothing more can be agreed on then, and what was is
// still judged.
func (w *World) Lost() bool { return w.lost }

// playLost plays on for a while without a majority, and tells what broke.
func (w *World) playLost() string {
	w.Run(w.now + w.plan.Settle)
	return cmp.Or(w.Checker.Broken, w.Promises.Check())
}

// whole tells what is missing to a fleet that is well: all known as alive by all, an owner that acts for every work.
func (w *World) whole() string {
	owners := map[lease.Name]int{}
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
			return fmt.Sprintf("n%d takes %d of %d as alive", m.number, alive, len(w.nodes))
		}
		for _, c := range m.core.Held(w.local(m)) {
			owners[c.Name]++
		}
		if s, why := m.core.Quorum().Role(); m.number < w.plan.Voters && s != quorum.Voter {
			return fmt.Sprintf("n%d is %v in the council: %s", m.number, s, why)
		}
	}
	for _, name := range w.works() {
		if owners[name] != 1 {
			return fmt.Sprintf("%s has %d owners", name, owners[name])
		}
	}
	return ""
}

func (w *World) works() (names []lease.Name) {
	for i := range w.plan.Leases {
		names = append(names, lease.Name(fmt.Sprintf("work-%d", i)))
	}
	return names
}

// idles tells that there is nothing to be done for leases, of which a plan of a configuration may have none.
func (p *Plan) idles() bool { return p.Config && p.Leases == 0 }

// Now is the time in ms.
func (w *World) Now() float64 { return w.now }
