package fleet

import (
	"math"
	"math/rand"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Loss is how an owner is lost.
type Loss int

const (
	Killed    Loss = iota
	Paused         // for six leases
	CutOff         // from all others, for six leases
	CutEnds        // it is heard, and hears nobody
	Ends           // a planned end
	HandsOver      // by an operator's word
)

var lossNames = [...]string{"killed", "paused", "cut off", "deaf", "a planned end", "handed over"}

func (l Loss) String() string { return lossNames[l] }

// Losses are all.
func Losses() []Loss { return []Loss{Killed, Paused, CutOff, CutEnds, Ends, HandsOver} }

// TakeOver is the ms for which a work had nobody that acted for it, from when its owner was lost; and how many effects of
// the old owner an endpoint refused.
func TakeOver(seed int64, leaseTime float64, l Loss) (free float64, refused int) {
	return TakeOverAcross(seed, leaseTime, l, Regions{})
}

// Regions are places far from each other, over which controllers are spread in turn. The zero value is one place.
type Regions struct {
	Count   int
	Between float64 // ms that a message takes from one to another
}

// latency is the ms that a message takes at least between two controllers.
func (r Regions) latency(a, b int) float64 {
	const near = 0.3
	if r.Count <= 1 || a%r.Count == b%r.Count {
		return near
	}
	return r.Between
}

// TakeOverAcross is TakeOver in a fleet whose controllers, and among them its voters, are spread over regions.
func TakeOverAcross(seed int64, leaseTime float64, l Loss, regions Regions) (free float64, refused int) {
	p := Plan{Seed: seed, Nodes: 7, Council: 3, Works: 1, Lease: leaseTime, Pace: members.Usual(), Latency: regions.latency}
	w := NewWorld(p)
	w.Run(20000 + 2*leaseTime + rand.New(rand.NewSource(seed)).Float64()*leaseTime)
	var owner *machine
	for _, m := range w.nodes {
		if len(m.core.Held(w.local(m))) > 0 {
			owner = m
		}
	}
	if owner == nil {
		return math.Inf(1), 0
	}
	lost, until := w.now, w.now+6*leaseTime
	switch l {
	case Killed:
		w.stop(owner)
	case Paused:
		owner.paused = until
	case CutOff, CutEnds:
		for i := range w.nodes {
			if w.blocked[[2]int{i, owner.number}] = until; l == CutOff {
				w.blocked[[2]int{owner.number, i}] = until
			}
		}
	case Ends:
		w.deliver(owner, func() { owner.core.Stop(w.local(owner)) })
	case HandsOver:
		w.deliver(owner, func() { owner.core.HandOver(w.local(owner), "work-0", w.nodes[(owner.number+1)%len(w.nodes)].id) })
	}
	for w.now < lost+20*leaseTime {
		w.Run(w.now + 5)
		for _, m := range w.nodes {
			if m != owner && m.core != nil && w.now >= m.paused && len(m.core.Held(w.local(m))) > 0 {
				free = w.now - lost
				if l == CutOff || l == CutEnds { // it acted on for as long as it might
					free -= lease.Terms{Lease: leaseTime}.HoldsFor() / 2
				}
				w.Run(until + leaseTime)
				return max(0, free), w.Judge.Late
			}
		}
	}
	return math.Inf(1), w.Judge.Late
}

// LockFile is the plain baseline: a file with an owner and a time until which it owns, by the wall clocks of the machines,
// looked at and written in two steps. It plays one history with the troubles that a council's lease is played with, and
// tells how often two acted at once, and how many effects a receiver took from one after a later owner's.
func LockFile(seed int64, lease float64) (both, late int) {
	rng := rand.New(rand.NewSource(seed))
	const nodes, end = 4, 60000.0
	type one struct {
		rate, jump, paused float64
		reads              float64 // what it read of the file, at which time
		readOwner          int
		readUntil          float64
		acting             bool
		actsTo             float64 // by its own clock
	}
	all := make([]one, nodes)
	for i := range all {
		all[i].rate = 1
	}
	owner, until := -1, 0.0
	last, highest, turns := -1, 0, map[int]int{}
	for now := 0.0; now < end; now += 50 {
		if rng.Intn(200) == 0 { // a trouble each ten seconds
			i := rng.Intn(nodes)
			switch rng.Intn(3) {
			case 0:
				all[i].paused = now + lease*(0.2+2*rng.Float64())
			case 1:
				all[i].rate = 0.8 + 0.4*rng.Float64()
			case 2:
				all[i].jump += 3600e3 * float64(1-2*rng.Intn(2))
			}
		}
		acting := 0
		for i := range all {
			m := &all[i]
			if now < m.paused {
				if m.acting {
					acting++ // it has looked at its clock, and its next effect goes out when it goes on
				}
				continue
			}
			clock := now*m.rate + m.jump
			if m.acting {
				acting++
				if turns[i] < highest && last != i {
					late++
				}
				last = i
				if clock >= m.actsTo {
					m.acting = false
				}
			}
			switch {
			case m.reads > 0: // the second step: it writes by what it read
				if m.readOwner == i || clock > m.readUntil {
					if owner != i {
						highest++
						turns[i] = highest
					}
					owner, until = i, clock+lease
					m.acting, m.actsTo = true, clock+lease*0.7
				}
				m.reads = 0
			case rng.Intn(4) == 0:
				m.reads, m.readOwner, m.readUntil = now, owner, until
			}
		}
		if acting > 1 {
			both++
		}
	}
	return both, late
}
