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
	records       []quorum.Record // of the quorum, stored durably
	copies        []folderCopy
	rate          float64 // of its clock
	offset        float64 // ms, of its clock
	pausedUntil   float64
	diskMS        float64 // typical duration of a write
	diskFullUntil float64
	timerNumber   uint64 // of the last timer that was set; earlier ones are void
	restarts      int
	fencing       *lease.FencingCheck // of an endpoint beside the controller, which keeps its state over restarts
	effects       uint64
	stateSerials  map[lease.Name]uint64 // the latest serial of the holders' state that this run received
	config        configMachine

	stoppedAs quorum.Incarnation // its incarnation in the quorum when it stopped last
}

// folderCopy is a copy of a machine's folder.
type folderCopy struct {
	at      float64 // ms
	records []quorum.Record
	config  configDisk
}

// local returns the time in ms by a machine's clock.
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

// handleOutput carries out what a core requests after some input, and reports its effects to the checker.
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
			c.Member.Run == about.run && m.number == 0 { // counted at one node, as all learn of each suspicion
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

// save stores a batch or a compaction after the time that the disk takes, and only then reports it to the core as stored.
func (w *World) save(m *machine, run uint64, batch *quorum.Ready, compaction *quorum.Record) {
	if batch == nil && compaction == nil {
		return
	}
	duration := 0.0
	if compaction != nil || batch.Record != nil {
		duration = m.diskMS * (0.5 + w.rng.Float64())
	}
	if w.plan.Mutant == "sync" { // the record is stored 500 ms late, after the core was told that it is
		w.at(w.now+500, func() { m.write(w, run, batch, compaction) })
	}
	w.at(w.now+duration, func() {
		if m.run != run || m.core == nil {
			return
		}
		if w.now < m.diskFullUntil && (compaction != nil || batch.Record != nil) { // the daemon stops and starts again after a while
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
	data, err := cbor.Marshal(record) // encoded as the daemon does it, so that nothing is shared with the core
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

// keepCopy keeps a copy of a folder, at most one per 500 ms and the last 200.
func (w *World) keepCopy(m *machine) {
	if n := len(m.copies); n == 0 || w.now-m.copies[n-1].at > 500 {
		m.copies = append(m.copies, folderCopy{w.now, slices.Clone(m.records), m.config.disk})
		if len(m.copies) > 200 {
			m.copies = m.copies[1:]
		}
	}
}

// scheduleTick sets the timer for the core's next tick, which replaces an earlier timer.
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

// deliver runs an input of a process at once, or at the end of its pause, and then handles the output.
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
