package fleet

import (
	"fmt"
	"slices"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/fleet/quorum"
)

// busy has a node do its works: a look at whether it may, and an effect at another controller and at an endpoint that
// lasts. Between the look and the effect anything may happen to the process.
func (w *World) busy(m *machine, run uint64) {
	w.at(w.now+100+w.rng.Float64()*200, func() {
		if m.run != run || m.core == nil {
			return
		}
		w.deliver(m, func() {
			for _, c := range m.core.Held(w.local(m)) {
				m.effects++
				to := w.nodes[w.rng.Intn(len(w.nodes))]
				m.core.TryEffect(w.local(m), c.Name, to.id, m.effects, nil)
				w.strike(m, c, w.nodes[w.rng.Intn(len(w.nodes))])
				if serial, known := m.handed[c.Name]; !known {
					m.core.RequestState(w.local(m), c.Name)
				} else {
					m.core.ProposeState(w.local(m), c.Name, serial+1, fmt.Appendf(nil, "%d by %x", serial+1, m.run))
				}
			}
		})
		w.busy(m, run)
	})
}

// strike is an effect at an endpoint, which has passed its own check when the process stops, and gets there later.
func (w *World) strike(m *machine, c lease.Grant, at *machine) {
	took := 0.5 + w.rng.Float64()
	if w.rng.Intn(50) == 0 {
		took += 3 * w.plan.Lease * w.rng.Float64()
	}
	run := m.run
	id := m.effects
	w.at(w.now+took, func() {
		ok, _ := at.gated.Admit(c.Name, c.Token)
		if ok || w.plan.Mutant == "gate" {
			w.Checker.effectAccepted(fmt.Sprintf("endpoint of n%d", at.number), m.number, node.Effect{Grant: c, ID: id}, w.now)
		}
		w.Checker.effectBegun(run, c, w.now)
	})
}

// Times of faults, in ms.
const (
	usualDisk = 2.0 // that a write takes
	loopEach  = 1000.0
	loopDown  = 300.0
)

// fault has something break.
func (w *World) fault(f Fault) {
	w.trace("FAULT %v", f)
	m := w.nodes[f.A%len(w.nodes)]
	until := w.now + f.For
	switch f.Kind {
	case Kill:
		w.restart(m, f.For)
	case Empty, OldCopy:
		w.loseFolder(m, f)
	case Pause:
		m.paused = max(m.paused, until)
	case Full:
		m.full = max(m.full, until)
	case Slow:
		m.diskMS = f.Amount
		w.at(until, func() { m.diskMS = usualDisk })
	case Clock:
		w.changeRate(m, f.Amount)
	case KillAll:
		w.restartAll(f.N, f.For)
	case HandOver:
		w.handOver(m, w.nodes[f.B].id)
	case Loop:
		for at := 0.0; at < f.For; at += loopEach {
			w.at(w.now+at, func() { w.restart(m, loopDown) })
		}
	default:
		if !w.networkFault(f, until) {
			w.configFault(f)
		}
	}
}

// loseFolder has a process end and start again with an empty folder, or an older copy of it if there is one.
func (w *World) loseFolder(m *machine, f Fault) {
	loses := w.losesMajority(m)
	w.restart(m, f.For)
	if f.Kind == Empty {
		m.kept, m.copies, m.config.disk = nil, nil, configDisk{}
	} else if !m.putBack(w.now - f.Amount) {
		return
	}
	m.config.folder++
	m.stoppedAs = quorum.Incarnation{}
	w.lost = w.lost || loses
}

// putBack has the folder be the latest copy of before a time; false: there is none.
func (m *machine) putBack(before float64) bool {
	for i := len(m.copies) - 1; i >= 0; i-- {
		if m.copies[i].at <= before {
			m.kept = slices.Clone(m.copies[i].kept)
			m.config.disk = m.copies[i].config
			return true
		}
	}
	return false
}

// changeRate has a clock run faster or slower from now on.
func (w *World) changeRate(m *machine, rate float64) {
	m.offset += w.now * (m.rate - rate)
	m.rate = rate
	if m.core != nil {
		w.scheduleTick(m)
	}
}

// restartAll ends all processes but one, which start again at about the same time.
func (w *World) restartAll(spared int, after float64) {
	for _, m := range w.nodes {
		if m.number != spared {
			w.restart(m, after*(0.8+0.4*w.rng.Float64()))
		}
	}
}

// handOver has an operator at a controller ask for a lease to be handed over.
func (w *World) handOver(m *machine, to members.ID) {
	if m.core == nil || w.now < m.paused {
		return
	}
	w.deliver(m, func() { m.core.HandOver(w.local(m), w.works()[w.rng.Intn(w.plan.Leases)], to) })
}

// networkFault has the network do something until a time, and tells whether the fault is one of the network.
func (w *World) networkFault(f Fault, until float64) bool {
	switch f.Kind {
	case Cut:
		w.block(f.A, f.B, until)
	case CutBoth:
		w.block(f.A, f.B, until)
		w.block(f.B, f.A, until)
	case Isolate, Deaf, Mute:
		w.isolate(f, until)
	case Split:
		w.split(f.N, until)
	case Drop:
		w.drop, w.dropTo = f.Amount, until
	case Delay:
		w.delay, w.delayTo = f.Amount, until
	default:
		return false
	}
	return true
}

// block has nothing get from one to another until a time.
func (w *World) block(from, to int, until float64) {
	if from != to {
		w.blocked[[2]int{from, to}] = max(w.blocked[[2]int{from, to}], until)
	}
}

// isolate has one neither hear nor be heard, or only one of both.
func (w *World) isolate(f Fault, until float64) {
	for i := range w.nodes {
		if f.Kind != Mute {
			w.block(i, f.A, until)
		}
		if f.Kind != Deaf {
			w.block(f.A, i, until)
		}
	}
}

// split parts the first ones from the rest.
func (w *World) split(first int, until float64) {
	for i := range w.nodes {
		for j := range w.nodes {
			if (i < first) != (j < first) {
				w.block(i, j, until)
			}
		}
	}
}

// restart ends a process, and begins it anew some ms later.
func (w *World) restart(m *machine, after float64) {
	w.stop(m)
	m.run = 0
	w.at(w.now+after, func() { w.start(m) })
}
