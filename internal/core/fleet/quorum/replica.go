package quorum

import (
	"maps"
	"math/rand"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Replica is one controller's part in the quorum. It is for one goroutine.
type Replica struct {
	facts       Facts
	rng         *rand.Rand
	now         float64
	incarnation Incarnation
	run         uint64
	role        Role
	roleReason  string // it is not voting

	// The consensus and what it has agreed on.
	node           *raft.RawNode // nil: it does not run
	storage        *raft.MemoryStorage
	voters         *pb.ConfState
	state          lease.State
	config         config.State
	incarnations   map[uint64]Incarnation // the members, by their number
	retired        []Incarnation
	removed        []members.ID // taken out by an operator's command: they don't come back by themselves
	appliedIndex   uint64
	appliedTerm    uint64 // of the entry at appliedIndex
	changedIndex   uint64 // of the last entry that changed what View tells
	snapshotIndex  uint64
	snapshotWanted bool
	leading        bool
	ledSince       float64 // ms, since leading last changed
	removedAt      float64 // ms, when this leader learnt that it was taken out; 0: it was not
	tickAt         float64
	campaignAt     float64

	// What is durable, and what waits for it.
	serial         uint64 // of the last record that is durable
	marks          map[Incarnation]uint64
	inflightMarks  map[Incarnation]uint64 // that are being made durable
	waitingMarks   map[Incarnation]uint64 // that wait for the next batch
	waiting        []*raftMessage
	batchOut       bool // a batch is being made durable
	newIncarnation bool // the next batch begins another incarnation

	// How this disk is vouched for, and the others'.
	vouched          map[members.ID]bool    // the members that have vouched for this disk
	toldMembers      map[members.ID]bool    // that others know of, and that have to vouch for it too
	othersHaveLeader bool                   // a member says that the others have a leader without this one
	askedToJoin      bool                   // it asks to join as another incarnation, and goes on as itself if all vouch for it first
	startedAt        float64                // ms
	askAt            float64                // ms
	askers           map[Incarnation]uint64 // which run of an incarnation asked last: messages of earlier runs are ignored
	contact          Incarnation            // the member that wrote last to this one while it knew no member
	replacedSince    float64                // ms, since when a leader writes to the incarnation as which this voter asked to be taken in, and none to this one
	replacedLast     float64                // ms, when one last did
	unknownSenders   map[uint64]Incarnation // senders that are no members as far as this one knows, by their number
	leaderHint       members.ID             // the member that leads, as another one told this one when it asked to join

	// Changes of the members that this leader carries out.
	answeredAt    map[uint64]float64 // ms, when members answered it last, by their number
	joins         map[members.ID]joinRequest
	changePending bool // a change of the members has been proposed
	changeAt      float64
	replacements  []replacement

	out     []Message
	applied []Applied
}

// New takes up what the records of a folder hold; none, for a folder that is new.
func New(f Facts, records []Record, now float64) (*Replica, error) {
	r := &Replica{
		facts:          f,
		rng:            rand.New(rand.NewSource(f.Seed)),
		now:            now,
		incarnation:    Incarnation{Name: f.Self},
		run:            f.Run,
		marks:          map[Incarnation]uint64{},
		waitingMarks:   map[Incarnation]uint64{},
		incarnations:   map[uint64]Incarnation{},
		vouched:        map[members.ID]bool{},
		toldMembers:    map[members.ID]bool{},
		askers:         map[Incarnation]uint64{},
		unknownSenders: map[uint64]Incarnation{},
		joins:          map[members.ID]joinRequest{},
		answeredAt:     map[uint64]float64{},
		startedAt:      now,
		tickAt:         now,
		askAt:          now,
	}
	r.reset()
	if err := r.replay(records); err != nil {
		return nil, err
	}
	if r.incarnation.Disk == 0 && !slices.Contains(f.Founders, f.Self) && len(records) == 0 {
		r.role, r.roleReason = Outside, "not one of the quorum"
		return r, nil
	}
	// A later incarnation is doubted too: a copy of its folder from before it was taken in looks like one that never was.
	r.role, r.roleReason = Doubted, "its disk has not been vouched for yet"
	if len(r.others()) == 0 {
		r.takePart()
	}
	return r, nil
}

// Tick takes in that time has passed.
func (r *Replica) Tick(now float64) {
	r.now = max(r.now, now)
	switch r.role {
	case Outside:
		return
	case Doubted:
		r.askOthers()
		return
	case Joining:
		r.askToJoin()
	}
	if r.node == nil {
		return
	}
	r.tickConsensus()
	if !r.leading && r.role == Voting && r.now >= r.campaignAt {
		r.postponeCampaign()
		r.node.Campaign()
	}
	if r.leading {
		r.changeMembers()
	}
	if r.removedAt > 0 {
		r.updateRole()
	}
}

// Next is when Tick is to be called at the latest, in ms.
func (r *Replica) Next() float64 {
	if r.role == Outside {
		return r.now + outsideInterval
	}
	if r.node == nil {
		return r.askAt
	}
	return r.tickAt
}

// Batch is the next step to be carried out, nil if there is none or one is under way.
func (r *Replica) Batch() *Batch {
	if r.batchOut {
		return nil
	}
	if r.newIncarnation {
		r.batchOut = true
		return r.beginIncarnation()
	}
	b := &Batch{Record: &Record{Serial: r.serial + 1}}
	if len(r.waiting) > 0 {
		b.marks, b.received = r.waitingMarks, r.waiting
		b.Record.Marks = sortedMarks(b.marks)
		r.inflightMarks, r.waitingMarks, r.waiting = r.waitingMarks, map[Incarnation]uint64{}, nil
	}
	if r.node != nil && r.node.HasReady() {
		ready := r.node.Ready()
		b.ready = &ready
		b.Record.fill(&ready, r.node.BasicStatus().HardState)
	}
	if b.ready == nil && b.received == nil {
		return nil
	}
	if b.Record.empty() {
		b.Record = nil
	}
	r.batchOut = true
	return b
}

// Done takes in that a batch's record is durable: its messages may now be sent and its commands are in force.
func (r *Replica) Done(now float64, b *Batch) {
	r.now = max(r.now, now)
	r.batchOut, r.inflightMarks = false, nil
	if b.Record != nil {
		r.serial = b.Record.Serial
	}
	if b.newIncarnation {
		r.newIncarnation = false
		r.incarnation = *b.Record.Incarnation
		r.reset()
		r.startConsensus()
		return
	}
	for incarnation, serial := range b.marks {
		r.marks[incarnation] = max(r.marks[incarnation], serial)
	}
	if b.ready != nil && r.node != nil && !r.newIncarnation {
		r.advance(b)
	}
	if r.node == nil || r.newIncarnation {
		return
	}
	for _, m := range b.received {
		r.stepConsensus(m)
	}
}

// Propose asks for a command to be agreed on; it is false where this member does not lead, or too much is pending.
func (r *Replica) Propose(by members.ID, ref uint64, command lease.Command) bool {
	if !r.leading || r.node == nil {
		return false
	}
	data, err := encodeProposal(proposal{By: by, Ref: ref, Command: command})
	return err == nil && r.node.Propose(data) == nil
}

// Request is a command that is to be agreed on.
type Request struct {
	By      members.ID // the member that asks for it
	Ref     uint64     // its number of it
	Command lease.Command
}

// ProposeAll asks for several commands to be agreed on in their order, with one message to each member; it is false, and
// none is proposed, where this member does not lead or too much is pending.
func (r *Replica) ProposeAll(requests []Request) bool {
	if !r.leading || r.node == nil {
		return false
	}
	if len(requests) == 0 {
		return true
	}
	entries := make([]*pb.Entry, 0, len(requests))
	for _, request := range requests {
		data, err := encodeProposal(proposal{By: request.By, Ref: request.Ref, Command: request.Command})
		if err != nil {
			return false
		}
		entries = append(entries, &pb.Entry{Data: data})
	}
	number := r.incarnation.Number()
	return r.node.Step(&raftMessage{Type: pb.MsgProp.Enum(), From: &number, Entries: entries}) == nil
}

// ProposeConfig asks for a version of the fleet's configuration to be agreed on; it is false where this member does not
// lead, or too much is pending.
func (r *Replica) ProposeConfig(by members.ID, p config.Proposal) bool {
	if !r.leading || r.node == nil {
		return false
	}
	data, err := encodeProposal(proposal{By: by, Config: &p})
	return err == nil && r.node.Propose(data) == nil
}

// ConfigState is what is agreed of the fleet's configuration, as far as this member knows.
func (r *Replica) ConfigState() *config.State { return &r.config }

// Agreed hands over the commands that have been agreed on since the last call.
func (r *Replica) Agreed() []Applied {
	applied := r.applied
	r.applied = nil
	return applied
}

// State is what is agreed, as far as this member knows. It may be late unless this member leads.
func (r *Replica) State() *lease.State { return &r.state }

// AppliedIndex is that of the last entry of the consensus that this member has applied.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// ChangedIndex is that of the last entry that changed the members, the leases or their holders: it does not rise with
// renewals. A member that was restored from a snapshot tells the snapshot's.
func (r *Replica) ChangedIndex() uint64 { return r.changedIndex }

// Leads tells whether this member leads, as far as it knows.
func (r *Replica) Leads() bool { return r.leading }

// LeadsCaughtUp tells whether this member leads and has applied an entry of its own term: only then does its state hold all
// that was agreed on before, and it can answer for the quorum.
func (r *Replica) LeadsCaughtUp() bool { return r.leading && r.appliedTerm == r.Term() }

// Leader is the member that leads, as far as this one knows; empty: none.
func (r *Replica) Leader() members.ID {
	if r.node == nil {
		return ""
	}
	return r.incarnations[r.node.BasicStatus().Lead].Name
}

// Role is what this controller is in the quorum, and the reason why it does not vote.
func (r *Replica) Role() (Role, string) { return r.role, r.roleReason }

// Members are the quorum's incarnations, with whether each votes.
func (r *Replica) Members() (list []Incarnation, votes []bool) {
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		list = append(list, r.incarnations[number])
		votes = append(votes, slices.Contains(r.voters.GetVoters(), number))
	}
	return list, votes
}

// Names are the names of the quorum's members and this controller's, sorted.
func (r *Replica) Names() []members.ID {
	names := append(r.others(), r.facts.Self)
	slices.Sort(names)
	return names
}

// Incarnation is this controller's incarnation.
func (r *Replica) Incarnation() Incarnation { return r.incarnation }

// Serial is that of the last durable record.
func (r *Replica) Serial() uint64 { return r.serial }

// Term is that of the consensus; 0: it does not run.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().GetTerm()
}
