package fleet

import (
	"fmt"
	"slices"

	"mintkeel/internal/core/fleet/lease"
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
		ok, _ := at.gated.Pass(c.Name, c.Token)
		if ok || w.plan.Mutant == "gate" {
			w.Judge.took(fmt.Sprintf("endpoint of n%d", at.number), m.number, node.Effect{Claim: c, ID: id}, w.now)
		}
		w.Judge.struck(run, c, w.now)
	})
}

// fault has something break.
func (w *World) fault(f Fault) {
	w.trace("FAULT %v", f)
	m := w.nodes[f.A%len(w.nodes)]
	until := w.now + f.For
	block := func(a, b int) {
		if a != b {
			w.blocked[[2]int{a, b}] = max(w.blocked[[2]int{a, b}], until)
		}
	}
	again := w.restart
	if f.Kind == Empty || f.Kind == OldCopy {
		w.lost = w.lost || w.losesMajority(m)
		defer func() { m.stoppedAs = quorum.Incarnation{} }()
	}
	switch f.Kind {
	case Kill:
		again(m, f.For)
	case Empty:
		again(m, f.For)
		m.kept, m.copies = nil, nil
		m.config.disk = configDisk{}
		m.config.folder++
	case OldCopy:
		again(m, f.For)
		for i := len(m.copies) - 1; i >= 0; i-- {
			if m.copies[i].at <= w.now-f.Amount {
				m.kept = slices.Clone(m.copies[i].kept)
				m.config.disk = m.copies[i].config
				m.config.folder++
				break
			}
		}
	case Pause:
		m.paused = max(m.paused, until)
	case Cut:
		block(f.A, f.B)
	case CutBoth:
		block(f.A, f.B)
		block(f.B, f.A)
	case Isolate, Deaf, Mute:
		for i := range w.nodes {
			if f.Kind != Mute {
				block(i, f.A)
			}
			if f.Kind != Deaf {
				block(f.A, i)
			}
		}
	case Split:
		for i := range w.nodes {
			for j := range w.nodes {
				if (i < f.N) != (j < f.N) {
					block(i, j)
				}
			}
		}
	case Drop:
		w.drop, w.dropTo = f.Amount, until
	case Delay:
		w.delay, w.delayTo = f.Amount, until
	case Full:
		m.full = max(m.full, until)
	case Slow:
		m.diskMS = f.Amount
		w.at(until, func() { m.diskMS = 2 })
	case Clock:
		m.offset += w.now * (m.rate - f.Amount)
		m.rate = f.Amount
		if m.core != nil {
			w.plan_(m)
		}
	case KillAll:
		for _, m := range w.nodes {
			if m.number != f.N {
				again(m, f.For*(0.8+0.4*w.rng.Float64()))
			}
		}
	case HandOver:
		if m.core != nil && w.now >= m.paused {
			w.deliver(m, func() {
				m.core.HandOver(w.local(m), w.works()[w.rng.Intn(w.plan.Works)], w.nodes[f.B].id)
			})
		}
	case Loop:
		for at := 0.0; at < f.For; at += 1000 {
			w.at(w.now+at, func() { w.restart(m, 300) })
		}
	default:
		w.configFault(f)
	}
}

// restart ends a process, and begins it anew some ms later.
func (w *World) restart(m *machine, after float64) {
	w.stop(m)
	m.run = 0
	w.at(w.now+after, func() { w.start(m) })
}
