package quorum

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

type (
	raftReady    = raft.Ready
	raftMessage  = pb.Message
	raftProgress = tracker.Progress
)

// proposal is a command on its way through the consensus.
type proposal struct {
	By      members.ID       `cbor:"1,keyasint"`
	Ref     uint64           `cbor:"2,keyasint"`
	Command lease.Command    `cbor:"3,keyasint"`
	Config  *config.Proposal `cbor:"4,keyasint,omitempty"` // set: the proposal is of the fleet's configuration, and Command is empty
}

func encodeProposal(p proposal) ([]byte, error) { return cbor.Marshal(p) }

// startConsensus runs the consensus from the last snapshot on: it knows the members of that one alone, and learns the
// changes since by applying them again.
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
		Logger:                    quietLogger{},
	})
	if err != nil {
		r.node, r.roleReason = nil, err.Error()
		return
	}
	r.node = node
	r.postponeCampaign()
}

// postponeCampaign puts off the next election, by a draw, so that not all members campaign at once.
func (r *Replica) postponeCampaign() {
	r.campaignAt = r.now + electionTimeout*(1+r.rng.Float64())
}

// tickConsensus gives the consensus the ticks that are due.
func (r *Replica) tickConsensus() {
	for n := 0; r.tickAt <= r.now; n++ {
		r.tickAt += tickInterval
		if n >= electionTicks { // the process stood still: the ticks that it missed are not made up for
			r.tickAt = r.now + tickInterval
		}
		if r.leading {
			r.node.Tick()
		} else {
			r.node.TickQuiesced() // elections go by this member's own draws: the library's are not by a seed
		}
	}
}

// receiveRaft takes in a message of the consensus: at once, or when the serial that it carries is durable here.
func (r *Replica) receiveRaft(m *Message) {
	if run, ok := r.askers[m.From]; ok && run != m.Run {
		return
	}
	if m.To == r.nextIncarnation() && m.To != r.incarnation && !r.newIncarnation {
		if r.keepsVote() {
			return
		}
		r.endIncarnation("taken in as another incarnation, as not all others could vouch for its disk")
		return
	}
	if r.node == nil || r.role == Doubted || m.To != r.incarnation || slices.Contains(r.retired, m.From) {
		return
	}
	inner := &raftMessage{}
	if proto.Unmarshal(m.Raft, inner) != nil || inner.GetFrom() != m.From.Number() || inner.GetTo() != r.incarnation.Number() {
		return
	}
	r.rememberSender(m.From)
	if m.Serial > r.marks[m.From] {
		if len(r.waiting) < maxWaiting {
			r.waitingMarks[m.From] = max(r.waitingMarks[m.From], m.Serial)
			r.waiting = append(r.waiting, inner)
		}
		return
	}
	r.stepConsensus(inner)
}

// keepsVote tells whether this incarnation stays, though a leader writes to the one as which it asked to be taken in: its
// disk was vouched for meanwhile. If it hears from no leader for a while, the quorum goes on without it.
func (r *Replica) keepsVote() bool {
	if r.role != Voting || r.node == nil {
		return false
	}
	if r.node.BasicStatus().Lead != raft.None || r.now > r.replacedLast+settleTime {
		r.replacedSince = r.now
	}
	r.replacedLast = r.now
	return r.now < r.replacedSince+settleTime
}

// rememberSender has a sender be answered that is no member as this one knows them. The members may have changed while
// this one was cut off: without its answer a new voter is not elected, and a new leader does not learn what it lacks.
func (r *Replica) rememberSender(from Incarnation) {
	if r.incarnations[from.Number()] == from {
		return
	}
	if len(r.unknownSenders) >= maxRetired {
		clear(r.unknownSenders) // those that are of the quorum write again
	}
	r.unknownSenders[from.Number()] = from
	if len(r.incarnations) == 0 { // a member that is being taken in knows only the one that writes to it
		r.contact = from
	}
}

// stepConsensus hands a message to the consensus.
func (r *Replica) stepConsensus(m *raftMessage) {
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		r.postponeCampaign()
	case pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader:
		return // no member asks another for these
	}
	r.node.Step(m) // it returns an error for a message that it can't use and ignores
}

// advance carries out what the consensus asked for, after its record became durable.
func (r *Replica) advance(b *Batch) {
	ready := b.ready
	if b.Record != nil {
		if err := r.store(b.Record); err != nil {
			r.node, r.roleReason = nil, err.Error()
			return
		}
	}
	if ready.SoftState != nil {
		r.setLeading(ready.SoftState.RaftState == raft.StateLeader)
	}
	for _, m := range ready.Messages {
		r.sendRaft(m)
	}
	for _, entry := range ready.CommittedEntries {
		r.apply(entry)
	}
	r.node.Advance(*ready)
	r.updateRole()
	if r.appliedIndex >= r.snapshotIndex+snapshotEntries {
		r.snapshotWanted = true
	}
}

// setLeading takes in whether this member leads. What a former leader was asked for is forgotten: an operator asks the
// next leader again.
func (r *Replica) setLeading(leading bool) {
	if leading == r.leading {
		return
	}
	r.leading, r.changePending, r.ledSince = leading, false, r.now
	r.joins, r.replacements, r.answeredAt = map[members.ID]joinRequest{}, nil, map[uint64]float64{}
}

// sendRaft enqueues a message of the consensus, with the serial of the last durable record if it depends on one.
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
	if m.GetType() == pb.MsgSnap { // if it is lost, the next one is not held up
		r.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
}

// dependsOnRecord tells whether a message promises something by what is durable: a vote, entries, or that they have been
// accepted. Heartbeats do not, or each would have the other side persist a record, whose serial its own messages would
// carry, without end.
func dependsOnRecord(m *raftMessage) bool {
	switch m.GetType() {
	case pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgPreVote, pb.MsgPreVoteResp:
		return false
	case pb.MsgApp:
		return len(m.GetEntries()) > 0
	}
	return true
}

// apply takes in an entry that has been agreed on.
func (r *Replica) apply(entry *pb.Entry) {
	if entry.GetIndex() <= r.appliedIndex {
		return
	}
	r.appliedIndex = entry.GetIndex()
	r.appliedTerm = entry.GetTerm()
	switch entry.GetType() {
	case pb.EntryNormal:
		var p proposal
		if len(entry.GetData()) == 0 || cbor.Unmarshal(entry.GetData(), &p) != nil {
			return
		}
		if p.Config != nil {
			r.config.Apply(*p.Config)
			return
		}
		changed := r.state.Apply(p.Command)
		if len(changed) > 0 && p.Command.ChangesHolders() {
			r.changedIndex = entry.GetIndex()
		}
		r.applied = append(r.applied, Applied{p.Command, changed, p.By, p.Ref})
	case pb.EntryConfChange:
		change := &pb.ConfChange{}
		if proto.Unmarshal(entry.GetData(), change) != nil {
			return
		}
		r.applyChange(change)
		r.changedIndex = entry.GetIndex()
	}
}
