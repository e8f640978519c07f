package fleet

import (
	"fmt"
	"slices"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/fleet/quorum"
)

// runHolder has a node act at intervals for the leases that it holds: after it checks that it holds a lease, it causes an
// effect at another controller and one at an endpoint, and proposes the next state. Between the check and the effects the
// process may be paused or killed.
func (w *World) runHolder(m *machine, run uint64) {
	w.at(w.now+100+w.rng.Float64()*200, func() {
		if m.run != run || m.core == nil {
			return
		}
		w.deliver(m, func() {
			for _, c := range m.core.Held(w.local(m)) {
				m.effects++
				to := w.nodes[w.rng.Intn(len(w.nodes))]
				m.core.TryEffect(w.local(m), c.Name, to.id, m.effects, nil)
				w.scheduleEffect(m, c, w.nodes[w.rng.Intn(len(w.nodes))])
				if serial, known := m.stateSerials[c.Name]; !known {
					m.core.RequestState(w.local(m), c.Name)
				} else {
					m.core.ProposeState(w.local(m), c.Name, serial+1, fmt.Appendf(nil, "%d by %x", serial+1, m.run))
				}
			}
		})
		w.runHolder(m, run)
	})
}

// scheduleEffect has an effect reach an endpoint after a delay, at times a long one. It is on its way already if the process
// stops meanwhile.
func (w *World) scheduleEffect(m *machine, grant lease.Grant, endpoint *machine) {
	delay := 0.5 + w.rng.Float64()
	if w.rng.Intn(50) == 0 {
		delay += 3 * w.plan.Lease * w.rng.Float64()
	}
	run := m.run
	id := m.effects
	w.at(w.now+delay, func() {
		ok, _ := endpoint.fencing.Admit(grant.Name, grant.Token)
		if ok || w.plan.Mutant == "gate" {
			w.Checker.effectAccepted(fmt.Sprintf("endpoint of n%d", endpoint.number), m.number, node.Effect{Grant: grant, ID: id}, w.now)
		}
		w.Checker.effectArrived(run, grant, w.now)
	})
}

// Times of faults, in ms.
const (
	defaultDiskMS   = 2.0 // typical duration of a write
	restartInterval = 1000.0
	restartDowntime = 300.0
)

// fault causes a fault, and schedules its end.
func (w *World) fault(f Fault) {
	w.trace("FAULT %v", f)
	m := w.nodes[f.A%len(w.nodes)]
	until := w.now + f.For
	switch f.Kind {
	case Kill:
		w.restart(m, f.For)
	case EmptyFolder, OldCopy:
		w.loseFolder(m, f)
	case Pause:
		m.pausedUntil = max(m.pausedUntil, until)
	case DiskFull:
		m.diskFullUntil = max(m.diskFullUntil, until)
	case SlowDisk:
		m.diskMS = f.Amount
		w.at(until, func() { m.diskMS = defaultDiskMS })
	case ClockRate:
		w.changeRate(m, f.Amount)
	case KillAll:
		w.restartAll(f.N, f.For)
	case HandOver:
		w.handOver(m, w.nodes[f.B].id)
	case RestartLoop:
		for at := 0.0; at < f.For; at += restartInterval {
			w.at(w.now+at, func() { w.restart(m, restartDowntime) })
		}
	default:
		if !w.networkFault(f, until) {
			w.configFault(f)
		}
	}
}

// loseFolder restarts a process with an empty folder, or with an older copy of its folder if there is one.
func (w *World) loseFolder(m *machine, f Fault) {
	loses := w.losesMajority(m)
	w.restart(m, f.For)
	if f.Kind == EmptyFolder {
		m.records, m.copies, m.config.disk = nil, nil, configDisk{}
	} else if !m.putBack(w.now - f.Amount) {
		return
	}
	m.config.folderGeneration++
	m.stoppedAs = quorum.Incarnation{}
	w.majorityLost = w.majorityLost || loses
}

// putBack replaces the folder by its latest copy from before a time; it reports false if there is none.
func (m *machine) putBack(before float64) bool {
	for i := len(m.copies) - 1; i >= 0; i-- {
		if m.copies[i].at <= before {
			m.records = slices.Clone(m.copies[i].records)
			m.config.disk = m.copies[i].config
			return true
		}
	}
	return false
}

// changeRate changes the rate of a clock from now on.
func (w *World) changeRate(m *machine, rate float64) {
	m.offset += w.now * (m.rate - rate)
	m.rate = rate
	if m.core != nil {
		w.scheduleTick(m)
	}
}

// restartAll ends all processes but one; they start again at about the same time.
func (w *World) restartAll(spared int, after float64) {
	for _, m := range w.nodes {
		if m.number != spared {
			w.restart(m, after*(0.8+0.4*w.rng.Float64()))
		}
	}
}

// handOver has an operator at a controller request the handover of a lease.
func (w *World) handOver(m *machine, to members.ID) {
	if m.core == nil || w.now < m.pausedUntil {
		return
	}
	w.deliver(m, func() { m.core.HandOver(w.local(m), w.leaseNames()[w.rng.Intn(w.plan.Leases)], to) })
}

// networkFault causes a fault of the network until a time; it reports false for other faults.
func (w *World) networkFault(f Fault, until float64) bool {
	switch f.Kind {
	case Cut:
		w.block(f.A, f.B, until)
	case CutBoth:
		w.block(f.A, f.B, until)
		w.block(f.B, f.A, until)
	case Isolate, CutInbound, CutOutbound:
		w.isolate(f, until)
	case Split:
		w.split(f.N, until)
	case Drop:
		w.drop, w.dropUntil = f.Amount, until
	case Delay:
		w.delay, w.delayUntil = f.Amount, until
	default:
		return false
	}
	return true
}

// block blocks the messages from one node to another until a time.
func (w *World) block(from, to int, until float64) {
	if from != to {
		w.blocked[[2]int{from, to}] = max(w.blocked[[2]int{from, to}], until)
	}
}

// isolate blocks a node's inbound messages, its outbound messages, or both, by the kind of fault.
func (w *World) isolate(f Fault, until float64) {
	for i := range w.nodes {
		if f.Kind != CutOutbound {
			w.block(i, f.A, until)
		}
		if f.Kind != CutInbound {
			w.block(f.A, i, until)
		}
	}
}

// split partitions the nodes below a number from the others.
func (w *World) split(first int, until float64) {
	for i := range w.nodes {
		for j := range w.nodes {
			if (i < first) != (j < first) {
				w.block(i, j, until)
			}
		}
	}
}

// restart ends a process, and starts it again after some ms.
func (w *World) restart(m *machine, after float64) {
	w.stop(m)
	m.run = 0
	w.at(w.now+after, func() { w.start(m) })
}
