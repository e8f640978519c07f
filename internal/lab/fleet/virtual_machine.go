package fleet

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/fleet/quorum"
)

// machine is one controller with its process, disk, clock and part of the network.
type machine struct {
	number        int
	id            members.ID
	core          *node.Node // nil: the process does not run
	run           uint64
	records       []quorum.Record // durable
	copies        []folderCopy
	rate          float64 // of its clock
	offset        float64
	pausedUntil   float64 // until when it stands still
	diskMS        float64
	diskFullUntil float64 // until when its disk takes nothing
	timerNumber   uint64  // of the timer that counts
	restarts      int
	fencing       *lease.FencingCheck // an endpoint beside the controller, that lasts
	effects       uint64
	stateSerials  map[lease.Name]uint64 // the serial of what was handed on, as this run was told
	config        configMachine

	stoppedAs quorum.Incarnation // of the quorum, when it stopped last
}

type folderCopy struct {
	at      float64
	records []quorum.Record
	config  configDisk
}

func (w *World) local(m *machine) float64 { return m.offset + w.now*m.rate }

func (w *World) start(m *machine) {
	if m.core != nil {
		return
	}
	var seeds []members.Member
	var founders []members.ID
	for i := range w.plan.Voters {
		founders = append(founders, w.nodes[i].id)
		seeds = append(seeds, members.Member{ID: w.nodes[i].id, Addr: string(w.nodes[i].id)})
	}
	m.run = w.rng.Uint64()
	core, err := node.New(node.Config{Self: members.Member{ID: m.id, Addr: string(m.id), Willing: true, Run: m.run}, Seeds: seeds,
		Founders: founders, Leases: w.leaseNames(), LeaseTiming: lease.Timing{Duration: w.plan.Lease}, Membership: w.plan.Membership, NextDisk: w.rng.Uint64() | 1,
		Seed: w.rng.Int63(), FleetConfig: w.loadConfig(m)}, slices.Clone(m.records), nil, w.local(m))
	if err != nil {
		w.Checker.fail(w.now, "n%d can't start: %v", m.number, err)
		return
	}
	m.core, m.stateSerials = core, map[lease.Name]uint64{}
	m.restarts++
	w.trace("n%d starts, run %x, %d records", m.number, m.run, len(m.records))
	w.configStarted(m)
	w.handleOutput(m)
	if !w.plan.withoutLeases() {
		w.runHolder(m, m.run)
	}
}

func (w *World) stop(m *machine) {
	if m.core == nil {
		return
	}
	w.trace("n%d ends", m.number)
	w.Checker.runEnded(m.run, w.now)
	w.configEnded(m)
	m.stoppedAs = m.core.Quorum().Incarnation()
	m.core = nil
	m.timerNumber++
}

// handleOutput does what a core asks for after some input.
func (w *World) handleOutput(m *machine) {
	if m.core == nil {
		return
	}
	if w.killLeaderDue(m) {
		return
	}
	run := m.run
	out := m.core.Take()
	for _, s := range out.Messages {
		w.send(m, s)
	}
	for _, c := range out.Began {
		w.trace("n%d holds %s, token %d", m.number, c.Name, c.Token)
		w.Checker.holderStarted(m.run, c, w.now)
	}
	for _, c := range out.Ended {
		w.trace("n%d holds %s no more, token %d", m.number, c.Name, c.Token)
		w.Checker.holderStopped(m.run, c, w.now)
	}
	for _, t := range out.Effects {
		from := w.number(t.From)
		w.Checker.effectAccepted(fmt.Sprintf("n%d/%x", m.number, m.run), from, t.Effect, w.now)
	}
	for _, h := range out.Checkpoints {
		w.Checker.checkpointReceived(h, w.now)
		m.stateSerials[h.Grant.Name] = h.Serial
	}
	for _, c := range out.Changes {
		if about := w.nodes[w.number(c.Member.ID)]; about.core != nil && w.now >= about.pausedUntil && !c.New && len(w.blocked) == 0 &&
			c.Member.Run == about.run && m.number == 0 { // as one of them sees it: what one suspects all hear of
			if c.Member.State == members.Suspect && c.Previous == members.Alive {
				w.FalseSuspicions++
			} else if c.Member.State == members.Dead {
				w.FalseDeaths++
			}
		}
	}
	w.save(m, run, out.Ready, out.Compaction)
	w.handleConfigOutput(m, out.Config)
	w.scheduleTick(m)
}

// save makes a batch durable after the time that the disk takes; what it asks for holds only then.
func (w *World) save(m *machine, run uint64, batch *quorum.Ready, compaction *quorum.Record) {
	if batch == nil && compaction == nil {
		return
	}
	duration := 0.0
	if compaction != nil || batch.Record != nil {
		duration = m.diskMS * (0.5 + w.rng.Float64())
	}
	if w.plan.Mutant == "sync" { // what is to be durable is so a little after it is made use of
		w.at(w.now+500, func() { m.write(w, run, batch, compaction) })
	}
	w.at(w.now+duration, func() {
		if m.run != run || m.core == nil {
			return
		}
		if w.now < m.diskFullUntil && (compaction != nil || batch.Record != nil) { // the daemon takes no part for a while, and begins anew
			w.stop(m)
			m.run = 0
			w.at(w.now+1000+w.rng.Float64()*2000, func() { w.start(m) })
			return
		}
		if w.plan.Mutant != "sync" {
			m.write(w, run, batch, compaction)
		}
		w.deliver(m, func() {
			if compaction != nil {
				m.core.Compacted(w.local(m), compaction)
			} else {
				m.core.Advance(w.local(m), batch)
			}
		})
	})
}

func (m *machine) write(w *World, run uint64, batch *quorum.Ready, compaction *quorum.Record) {
	if m.run != run || m.core == nil {
		return
	}
	record := compaction
	if compaction == nil {
		record = batch.Record
	}
	if record == nil {
		return
	}
	data, err := cbor.Marshal(record) // as the daemon does: nothing is shared with the core
	var kept quorum.Record
	if err == nil {
		err = cbor.Unmarshal(data, &kept)
	}
	if err != nil {
		w.Checker.fail(w.now, "record: %v", err)
		return
	}
	if kept.Full {
		m.records = nil
	}
	m.records = append(m.records, kept)
	w.keepCopy(m)
}

// keepCopy keeps a copy of a folder, at most each half second.
func (w *World) keepCopy(m *machine) {
	if n := len(m.copies); n == 0 || w.now-m.copies[n-1].at > 500 {
		m.copies = append(m.copies, folderCopy{w.now, slices.Clone(m.records), m.config.disk})
		if len(m.copies) > 200 {
			m.copies = m.copies[1:]
		}
	}
}

// scheduleTick sets the timer for the core's next look at the clock.
func (w *World) scheduleTick(m *machine) {
	m.timerNumber++
	timer := m.timerNumber
	next := (m.core.Next() - m.offset) / m.rate
	w.at(max(next, w.now+0.5), func() {
		if m.timerNumber == timer && m.core != nil {
			w.Ticks++
			w.deliver(m, func() { m.core.Tick(w.local(m)) })
		}
	})
}

// deliver has a process take something in: at once, or when it no longer stands still.
func (w *World) deliver(m *machine, do func()) {
	if w.now < m.pausedUntil {
		run := m.run
		w.at(m.pausedUntil, func() {
			if m.run == run && m.core != nil {
				w.deliver(m, do)
			}
		})
		return
	}
	if m.core != nil {
		do()
		w.handleOutput(m)
	}
}
