package fleet

import (
	"math"
	"math/rand"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Loss is how an owner is lost.
type Loss int

// The losses that are measured.
const (
	Killed     Loss = iota
	Paused          // for six leases
	CutOff          // from all others, for six leases
	InboundCut      // it is heard, and hears nobody
	Stopped         // a planned end
	HandedOver      // by an operator's word
)

var lossNames = [...]string{"killed", "paused", "cut off", "deaf", "a planned end", "handed over"}

func (l Loss) String() string { return lossNames[l] }

// Losses are all.
func Losses() []Loss { return []Loss{Killed, Paused, CutOff, InboundCut, Stopped, HandedOver} }

// TakeOver is the ms for which a work had nobody that acted for it, from when its owner was lost; and how many effects of
// the old owner an endpoint refused.
func TakeOver(seed int64, leaseTime float64, l Loss) (vacancy float64, refused int) {
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
func TakeOverAcross(seed int64, leaseTime float64, l Loss, regions Regions) (vacancy float64, refused int) {
	p := Plan{Seed: seed, Nodes: 7, Voters: 3, Leases: 1, Lease: leaseTime, Membership: members.DefaultConfig(), Latency: regions.latency}
	w := NewWorld(p)
	w.Run(20000 + 2*leaseTime + rand.New(rand.NewSource(seed)).Float64()*leaseTime)
	var holder *machine
	for _, m := range w.nodes {
		if len(m.core.Held(w.local(m))) > 0 {
			holder = m
		}
	}
	if holder == nil {
		return math.Inf(1), 0
	}
	lost, until := w.now, w.now+6*leaseTime
	switch l {
	case Killed:
		w.stop(holder)
	case Paused:
		holder.pausedUntil = until
	case CutOff, InboundCut:
		for i := range w.nodes {
			if w.blocked[[2]int{i, holder.number}] = until; l == CutOff {
				w.blocked[[2]int{holder.number, i}] = until
			}
		}
	case Stopped:
		w.deliver(holder, func() { holder.core.Stop(w.local(holder)) })
	case HandedOver:
		w.deliver(holder, func() { holder.core.HandOver(w.local(holder), "work-0", w.nodes[(holder.number+1)%len(w.nodes)].id) })
	}
	for w.now < lost+20*leaseTime {
		w.Run(w.now + 5)
		for _, m := range w.nodes {
			if m != holder && m.core != nil && w.now >= m.pausedUntil && len(m.core.Held(w.local(m))) > 0 {
				vacancy = w.now - lost
				if l == CutOff || l == InboundCut { // it acted on for as long as it might
					vacancy -= lease.Timing{Duration: leaseTime}.HoldTime() / 2
				}
				w.Run(until + leaseTime)
				return max(0, vacancy), w.Checker.LateEffects
			}
		}
	}
	return math.Inf(1), w.Checker.LateEffects
}

// LockFile is the plain baseline: a file with an owner and a time until which it owns, by the wall clocks of the machines,
// looked at and written in two steps. It plays one history with the troubles that a quorum's lease is played with, and
// tells how often two acted at once, and how many effects a receiver took from one after a later owner's.
func LockFile(seed int64, leaseTime float64) (both, late int) {
	const end, interval = 60000.0, 50.0 // ms
	f := newLockFile(seed, leaseTime)
	for now := 0.0; now < end; now += interval {
		f.injectFault(now)
		acting := 0
		for i := range f.machines {
			if f.step(i, now) {
				acting++
			}
		}
		if acting > 1 {
			both++
		}
	}
	return both, f.late
}

// lockFile is the file, and the machines that want to own it.
type lockFile struct {
	rng      *rand.Rand
	lease    float64 // ms
	machines []lockMachine
	owner    int
	until    float64
	last     int         // the machine whose effect the receiver took last
	terms    map[int]int // the number of each machine's last ownership
	newest   int         // of ownerships
	late     int         // effects that came after one of a later ownership
}

// lockMachine is one of the machines.
type lockMachine struct {
	rate, jump, paused float64
	readAt             float64 // when it read the file; 0: it has not
	readOwner          int
	readUntil          float64
	acting             bool
	actsUntil          float64 // by its own clock
}

func newLockFile(seed int64, leaseTime float64) *lockFile {
	const machines = 4
	f := &lockFile{rng: rand.New(rand.NewSource(seed)), lease: leaseTime, machines: make([]lockMachine, machines), owner: -1, last: -1,
		terms: map[int]int{}}
	for i := range f.machines {
		f.machines[i].rate = 1
	}
	return f
}

// injectFault has a machine pause, run fast or slow, or its clock jump by an hour: one of these each ten seconds.
func (f *lockFile) injectFault(now float64) {
	if f.rng.Intn(200) != 0 {
		return
	}
	m := &f.machines[f.rng.Intn(len(f.machines))]
	switch f.rng.Intn(3) {
	case 0:
		m.paused = now + f.lease*(0.2+2*f.rng.Float64())
	case 1:
		m.rate = 0.8 + 0.4*f.rng.Float64()
	case 2:
		m.jump += 3600e3 * float64(1-2*f.rng.Intn(2))
	}
}

// step has a machine do its next step, and tells whether it acts.
func (f *lockFile) step(i int, now float64) (acts bool) {
	m := &f.machines[i]
	if now < m.paused {
		return m.acting // it has looked at its clock, and its next effect goes out when it goes on
	}
	clock := now*m.rate + m.jump
	if m.acting {
		acts = true
		if f.terms[i] < f.newest && f.last != i {
			f.late++
		}
		f.last = i
		if clock >= m.actsUntil {
			m.acting = false
		}
	}
	switch {
	case m.readAt > 0:
		f.write(i, clock)
	case f.rng.Intn(4) == 0:
		m.readAt, m.readOwner, m.readUntil = now, f.owner, f.until
	}
	return acts
}

// write is the second step: a machine writes the file by what it read.
func (f *lockFile) write(i int, clock float64) {
	m := &f.machines[i]
	m.readAt = 0
	if m.readOwner != i && clock <= m.readUntil {
		return
	}
	if f.owner != i {
		f.newest++
		f.terms[i] = f.newest
	}
	f.owner, f.until = i, clock+f.lease
	m.acting, m.actsUntil = true, clock+f.lease*0.7
}
