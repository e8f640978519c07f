package quorum

import (
	"go.etcd.io/raft/v3"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Ready is the next step of a replica. The caller first makes Record durable, if there is one, and
// then passes the Ready to Advance.
type Ready struct {
	Record *Record // nil if nothing has to be durable

	raft            *raftReady
	receivedSerials map[Incarnation]uint64 // those that Record makes durable
	waiting         []*raftMessage         // messages that waited for receivedSerials
	newIncarnation  bool                   // Record begins a new incarnation, and raft is nil
}

// Applied is a command that was committed and applied.
type Applied struct {
	Command  lease.Command
	Changed  []lease.Name // the leases that it changed, renewed or read
	Proposer members.ID
	Ref      uint64 // as proposed
}

// Ready returns the next step, or nil if there is none or one is pending.
func (r *Replica) Ready() *Ready {
	if r.readyPending {
		return nil
	}
	if r.newIncarnation {
		r.readyPending = true
		return r.beginIncarnation()
	}
	ready := &Ready{Record: &Record{Serial: r.serial + 1}}
	if len(r.waiting) > 0 {
		r.moveWaiting(ready)
	}
	if r.node != nil && r.node.HasReady() {
		raftReady := r.node.Ready()
		ready.raft = &raftReady
		ready.Record.setRaftState(&raftReady, r.node.BasicStatus().HardState)
	}
	if ready.raft == nil && ready.waiting == nil {
		return nil
	}
	if ready.Record.empty() {
		ready.Record = nil
	}
	r.readyPending = true
	return ready
}

// moveWaiting moves the waiting messages and their serials to a Ready, whose record makes the
// serials durable.
func (r *Replica) moveWaiting(ready *Ready) {
	ready.receivedSerials = r.waitingSerials
	ready.waiting = r.waiting
	ready.Record.ReceivedSerials = sortedSerials(r.waitingSerials)
	r.inflightSerials = r.waitingSerials
	r.waitingSerials = map[Incarnation]uint64{}
	r.waiting = nil
}

// Advance continues after the record of a Ready became durable: the messages of the Ready may now
// be sent, its committed entries are applied, and the received messages that waited for its record
// are passed to the raft library.
func (r *Replica) Advance(now float64, ready *Ready) {
	r.now = max(r.now, now)
	r.readyPending = false
	r.inflightSerials = nil
	if ready.Record != nil {
		r.serial = ready.Record.Serial
	}
	if ready.newIncarnation {
		r.newIncarnation = false
		r.incarnation = *ready.Record.Incarnation
		r.reset()
		r.startConsensus()
		return
	}
	for incarnation, serial := range ready.receivedSerials {
		r.receivedSerials[incarnation] = max(r.receivedSerials[incarnation], serial)
	}
	if ready.raft != nil && r.node != nil && !r.newIncarnation {
		r.applyReady(ready)
	}
	if r.node == nil || r.newIncarnation {
		return
	}
	for _, m := range ready.waiting {
		r.stepConsensus(m)
	}
}

// applyReady carries out a Ready of the raft library, after its record became durable.
func (r *Replica) applyReady(ready *Ready) {
	if ready.Record != nil {
		if err := r.store(ready.Record); err != nil {
			r.stopConsensus(err)
			return
		}
	}
	if state := ready.raft.SoftState; state != nil {
		r.setLeading(state.RaftState == raft.StateLeader)
	}
	for _, m := range ready.raft.Messages {
		r.sendRaft(m)
	}
	for _, entry := range ready.raft.CommittedEntries {
		r.apply(entry)
	}
	r.node.Advance(*ready.raft)
	r.updateRole()
	if r.appliedIndex >= r.snapshotIndex+snapshotEntries {
		r.snapshotWanted = true
	}
}

// TakeApplied returns the commands that were applied since the last call.
func (r *Replica) TakeApplied() []Applied {
	applied := r.applied
	r.applied = nil
	return applied
}
