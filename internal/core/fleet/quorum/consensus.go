package quorum

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Types of the raft library.
type (
	raftReady    = raft.Ready
	raftMessage  = pb.Message
	raftProgress = tracker.Progress
)

// startConsensus starts the raft library from the last snapshot. The library knows only the members
// of that snapshot, and learns later changes when their entries are applied again.
func (r *Replica) startConsensus() {
	if snap, err := r.storage.Snapshot(); err == nil && !raft.IsEmptySnap(snap) {
		if err := r.restore(snap); err != nil {
			r.roleReason = err.Error()
			return
		}
	}
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        r.incarnation.Number(),
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.storage,
		Applied:                   r.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxReadyBytes,
		MaxUncommittedEntriesSize: maxPendingBytes,
		MaxInflightMsgs:           maxInflight,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    discardLogger{},
	})
	if err != nil {
		r.stopConsensus(err)
		return
	}
	r.node = node
	r.postponeCampaign()
}

// stopConsensus stops the raft library after an error of the storage. Operators see the error as
// the reason of this member's role.
func (r *Replica) stopConsensus(err error) {
	r.node = nil
	r.roleReason = err.Error()
}

// postponeCampaign restarts the election timeout with a random length, so that not all members
// campaign at once.
func (r *Replica) postponeCampaign() {
	r.campaignAt = r.now + electionTimeout*(1+r.rng.Float64())
}

// tickConsensus passes the ticks that are due to the raft library.
func (r *Replica) tickConsensus() {
	for n := 0; r.tickAt <= r.now; n++ {
		r.tickAt += tickInterval
		if n >= electionTicks { // the process was paused: the ticks that it missed are skipped
			r.tickAt = r.now + tickInterval
		}
		if r.isLeader {
			r.node.Tick()
		} else {
			// A quiesced tick starts no campaign. Replica.Tick starts campaigns after random timeouts of
			// its own, as those of the library can't be seeded.
			r.node.TickQuiesced()
		}
	}
}

// handleRaft handles a message of the raft library. It passes the message on at once, or when the
// serial that it carries is durable on this member.
func (r *Replica) handleRaft(m *Message) {
	if run, ok := r.requestingRuns[m.From]; ok && run != m.Run {
		return
	}
	if m.To == r.nextIncarnation() && m.To != r.incarnation && !r.newIncarnation {
		r.handleSuperseded()
		return
	}
	if r.node == nil || r.role == Unverified || m.To != r.incarnation ||
		slices.Contains(r.retired, m.From) {
		return
	}
	inner := &raftMessage{}
	if proto.Unmarshal(m.Raft, inner) != nil {
		return
	}
	if inner.GetFrom() != m.From.Number() || inner.GetTo() != r.incarnation.Number() {
		return
	}
	r.recordSender(m.From)
	if m.Serial <= r.receivedSerials[m.From] {
		r.stepConsensus(inner)
		return
	}
	if len(r.waiting) < maxWaiting {
		r.waitingSerials[m.From] = max(r.waitingSerials[m.From], m.Serial)
		r.waiting = append(r.waiting, inner)
	}
}

// recordSender records a sender that this member does not know as a member, so that it can be
// answered. The members may have changed while this one was partitioned: without its answer a new
// voter might not be elected, and a new leader would not learn which entries this one lacks.
func (r *Replica) recordSender(from Incarnation) {
	if r.incarnations[from.Number()] == from {
		return
	}
	if len(r.unknownSenders) >= maxRemembered {
		clear(r.unknownSenders) // members of the quorum will send again
	}
	r.unknownSenders[from.Number()] = from
	// A member that is being added knows only the member that sends to it.
	if len(r.incarnations) == 0 {
		r.joinContact = from
	}
}

// stepConsensus passes a message to the raft library.
func (r *Replica) stepConsensus(m *raftMessage) {
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		r.postponeCampaign()
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return // members don't send these to each other
	}
	r.node.Step(m) // on an error the library has ignored the message
}

// setLeading records whether this member leads. A change discards the pending changes of members:
// members and operators repeat their requests to the next leader.
func (r *Replica) setLeading(leading bool) {
	if leading == r.isLeader {
		return
	}
	r.isLeader = leading
	r.leaderChangedAt = r.now
	r.membership = newMembershipChanges()
}

// sendRaft enqueues a message of the raft library. If the message depends on a record, it carries
// the serial of the last durable one.
func (r *Replica) sendRaft(m *raftMessage) {
	to, ok := r.incarnations[m.GetTo()]
	if !ok {
		to, ok = r.unknownSenders[m.GetTo()]
	}
	if !ok {
		return
	}
	if data, err := proto.Marshal(m); err == nil {
		serial := uint64(0)
		if dependsOnRecord(m) {
			serial = r.serial
		}
		r.send(to, Message{Raft: data, Serial: serial})
	}
	if m.GetType() == pb.MsgSnap { // reported as received, as a lost one would block the next
		r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// dependsOnRecord reports whether a message promises something that must be durable: a vote,
// entries, or that entries were accepted. Heartbeats promise nothing. If they carried a serial,
// each side would persist a record for each heartbeat of the other, and its own next heartbeat
// would carry that record's serial, without end.
func dependsOnRecord(m *raftMessage) bool {
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return false
	case pb.MsgApp:
		return len(m.GetEntries()) > 0
	}
	return true
}

// apply applies a committed entry.
func (r *Replica) apply(entry *pb.Entry) {
	if entry.GetIndex() <= r.appliedIndex {
		return
	}
	r.appliedIndex = entry.GetIndex()
	r.appliedTerm = entry.GetTerm()
	switch entry.GetType() {
	case pb.EntryNormal:
		r.applyProposal(entry)
	case pb.EntryConfChange:
		change := &pb.ConfChange{}
		if proto.Unmarshal(entry.GetData(), change) != nil {
			return
		}
		r.applyChange(change)
		r.changedIndex = entry.GetIndex()
	}
}

// applyProposal applies a command, or a proposal about the fleet's configuration. It ignores empty
// entries, such as the first of a new leader.
func (r *Replica) applyProposal(entry *pb.Entry) {
	var p proposal
	if len(entry.GetData()) == 0 || cbor.Unmarshal(entry.GetData(), &p) != nil {
		return
	}
	if p.Config != nil {
		r.config.Apply(*p.Config)
		return
	}
	changed := r.leases.Apply(p.Command)
	if len(changed) > 0 && p.Command.ChangesHolders() {
		r.changedIndex = entry.GetIndex()
	}
	r.applied = append(r.applied, Applied{
		Command:  p.Command,
		Changed:  changed,
		Proposer: p.Proposer,
		Ref:      p.Ref,
	})
}
