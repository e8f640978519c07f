package quorum

import (
	"go.etcd.io/raft/v3"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Ready is the next step of a replica: first Record is made durable, if there is one; then the
// Ready is passed to Advance.
type Ready struct {
	Record *Record // nil: nothing has to be durable

	raft            *raftReady
	receivedSerials map[Incarnation]uint64 // those that Record makes durable
	waiting         []*raftMessage         // messages that waited for receivedSerials
	newIncarnation  bool                   // Record begins a new incarnation, and raft is nil
}

// Applied is a command that was agreed on and applied.
type Applied struct {
	Command  lease.Command
	Changed  []lease.Name // the leases that it changed, renewed or read
	Proposer members.ID
	Ref      uint64 // the proposer's number of the command
}

// Ready returns the next step; nil: there is none, or one is pending.
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

// moveWaiting moves the messages that wait for durable serials, and these serials, to a Ready.
func (r *Replica) moveWaiting(ready *Ready) {
	ready.receivedSerials = r.waitingSerials
	ready.waiting = r.waiting
	ready.Record.ReceivedSerials = sortedSerials(r.waitingSerials)
	r.inflightSerials = r.waitingSerials
	r.waitingSerials = map[Incarnation]uint64{}
	r.waiting = nil
}

// Advance continues after a Ready when its record is durable: its messages may now be sent, its
// committed entries are applied, and the messages that waited for its record are used.
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

// applyReady carries out what the raft library asked for, after its record became durable.
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

// TakeApplied returns the commands that have been agreed on and applied since the last call.
func (r *Replica) TakeApplied() []Applied {
	applied := r.applied
	r.applied = nil
	return applied
}
