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

// startConsensus starts the raft library from the last snapshot. It knows the members of that
// alone, and learns of later changes by applying their entries again.
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

// stopConsensus stops this member's part after an error of its storage. Operators see the error as
// the reason of its role.
func (r *Replica) stopConsensus(err error) {
	r.node = nil
	r.roleReason = err.Error()
}

// postponeCampaign sets the next election timeout by a random draw, so that not all members
// campaign at once.
func (r *Replica) postponeCampaign() {
	r.campaignAt = r.now + electionTimeout*(1+r.rng.Float64())
}

// tickConsensus gives the raft library the ticks that are due.
func (r *Replica) tickConsensus() {
	for n := 0; r.tickAt <= r.now; n++ {
		r.tickAt += tickInterval
		if n >= electionTicks { // the process was paused: the ticks that it missed are skipped
			r.tickAt = r.now + tickInterval
		}
		if r.isLeader {
			r.node.Tick()
		} else {
			// A quiesced tick starts no campaign: Tick of this Replica starts them by its own draws, as
			// those of the library have no seed.
			r.node.TickQuiesced()
		}
	}
}

// handleRaft handles a message of the raft library: at once, or when the serial that it carries is
// durable here.
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

// recordSender has a sender answered that is no member as far as this one knows. The members may
// have changed while this one was partitioned: without its answer a new voter is not elected, and a
// new leader does not learn which entries it lacks.
func (r *Replica) recordSender(from Incarnation) {
	if r.incarnations[from.Number()] == from {
		return
	}
	if len(r.unknownSenders) >= maxRemembered {
		clear(r.unknownSenders) // members of the quorum write again
	}
	r.unknownSenders[from.Number()] = from
	// a member that is being taken in knows only the one that writes to it
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
		return // no member asks another for these
	}
	r.node.Step(m) // the error is of a message that the library ignores
}

// setLeading records whether this member leads. A former leader forgets what it was asked for: the
// members and operators ask the next leader again.
func (r *Replica) setLeading(leading bool) {
	if leading == r.isLeader {
		return
	}
	r.isLeader = leading
	r.leaderChangedAt = r.now
	r.membership = newMembershipChanges()
}

// sendRaft enqueues a message of the raft library, with the serial of the last durable record if it
// depends on one.
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
	if m.GetType() == pb.MsgSnap { // reported as received, or a lost one would hold up the next
		r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// dependsOnRecord reports whether a message promises what must be durable: a vote, entries, or that
// entries were accepted. Heartbeats promise nothing. If they carried a serial, each side would
// persist a record for each heartbeat, and its own heartbeats would carry that record's serial,
// without end.
func dependsOnRecord(m *raftMessage) bool {
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return false
	case pb.MsgApp:
		return len(m.GetEntries()) > 0
	}
	return true
}

// apply applies an entry that was agreed on.
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

// applyProposal applies a command, or a proposal about the fleet's configuration. A new leader's
// first entry is empty.
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
