package fleet

import (
	"math"
	"math/rand"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Loss is the way in which a lease loses its holder.
type Loss int

// The losses that are measured.
const (
	Killed     Loss = iota
	Paused          // for six lease durations
	CutOff          // partitioned from all others for six lease durations
	InboundCut      // messages to the holder are blocked for six lease durations
	Stopped         // shut down as planned
	HandedOver      // on an operator's request
)

var lossNames = [...]string{"killed", "paused", "cut off", "cut inbound", "planned shutdown", "handed over"}

func (l Loss) String() string { return lossNames[l] }

// Losses returns all losses.
func Losses() []Loss { return []Loss{Killed, Paused, CutOff, InboundCut, Stopped, HandedOver} }

// TakeOver returns the ms for which nobody acted as the holder of a lease, from the loss of its holder on (+Inf: for longer
// than 20 lease durations), and the number of the old holder's effects that reached an endpoint after it had stopped acting.
func TakeOver(seed int64, leaseTime float64, l Loss) (vacancy float64, late int) {
	return TakeOverAcross(seed, leaseTime, l, Regions{})
}

// Regions are distant regions over which controllers are spread in turn. The zero value is a single region.
type Regions struct {
	Count   int
	Between float64 // latency in ms of a message between two regions
}

// latency returns the minimum latency in ms of a message between two controllers.
func (r Regions) latency(a, b int) float64 {
	const near = 0.3
	if r.Count <= 1 || a%r.Count == b%r.Count {
		return near
	}
	return r.Between
}

// TakeOverAcross is TakeOver in a fleet whose controllers, and among them its voters, are spread over regions.
func TakeOverAcross(seed int64, leaseTime float64, l Loss, regions Regions) (vacancy float64, late int) {
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
				if l == CutOff || l == InboundCut { // a holder that is cut off acts for a while, which is subtracted
					vacancy -= lease.Timing{Duration: leaseTime}.HoldTime() / 2
				}
				w.Run(until + leaseTime)
				return max(0, vacancy), w.Checker.LateEffects
			}
		}
	}
	return math.Inf(1), w.Checker.LateEffects
}

// LockFile plays one history of a plain baseline, with faults like those that leases are tested with: a file with an owner
// and the time until which it owns, by the machines' wall clocks, which machines read and write in two steps. It returns how
// often two machines acted at once, and how many effects a receiver accepted after one of a later owner.
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

// lockFile is the file, and the machines that try to own it.
type lockFile struct {
	rng      *rand.Rand
	lease    float64 // ms
	machines []lockMachine
	owner    int
	until    float64
	last     int         // the machine whose effect the receiver accepted last
	terms    map[int]int // by machine: the number of its last ownership
	newest   int         // the number of the newest ownership
	late     int         // effects that were accepted after one of a later ownership
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

// injectFault pauses a machine, changes the rate of its clock, or has the clock jump by an hour; on average one of these
// happens every ten seconds.
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

// step advances a machine by one step, and reports whether it acts as the owner.
func (f *lockFile) step(i int, now float64) (acts bool) {
	m := &f.machines[i]
	if now < m.paused {
		return m.acting // it has checked its clock already, so it sends its next effect when it continues
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

// write is the second step of taking the file: a machine writes it based on what it read.
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
