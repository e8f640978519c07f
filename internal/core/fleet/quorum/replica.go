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

// Replica is one controller's part in the quorum. It is not safe for concurrent use.
type Replica struct {
	cfg         Config
	rng         *rand.Rand
	now         float64 // ms, the latest time passed in
	incarnation Incarnation
	run         uint64
	role        Role
	roleReason  string // why this member does not vote; empty for a voter

	// The raft library.
	node            *raft.RawNode // nil if the library does not run
	storage         *raft.MemoryStorage
	isLeader        bool
	leaderChangedAt float64 // ms, when isLeader last changed
	tickAt          float64 // ms, when the library's next tick is due
	campaignAt      float64 // ms, when this voter campaigns unless it hears from a leader

	// The replicated state, as far as this member has applied the log.
	voters         *pb.ConfState
	leases         lease.State
	config         config.State
	incarnations   map[uint64]Incarnation // the members by their number
	retired        []Incarnation          // incarnations that have ended: their messages are ignored
	removed        []members.ID           // by an operator's command: they can't join by themselves
	appliedIndex   uint64
	appliedTerm    uint64 // of the entry at appliedIndex
	changedIndex   uint64 // see ChangedIndex
	snapshotIndex  uint64
	snapshotWanted bool
	applied        []Applied // since the last TakeApplied

	// Durable serials, and messages that wait for serials to become durable.
	serial          uint64                 // of the last durable record
	receivedSerials map[Incarnation]uint64 // the highest durable serials of other incarnations
	inflightSerials map[Incarnation]uint64 // serials that the pending Ready makes durable
	waitingSerials  map[Incarnation]uint64 // serials that the next Ready makes durable
	waiting         []*raftMessage         // received messages that wait for waitingSerials
	readyPending    bool                   // a Ready waits for Advance
	newIncarnation  bool                   // the next Ready begins another incarnation

	// Verification of this disk, and joining as another incarnation.
	verification  verification
	nextRequestAt float64     // ms, when the next request to vouch or to join is due
	joinContact   Incarnation // a member that sent to this controller while it knew no members
	leaderHint    members.ID  // the leader that another member named in a Redirect

	// Messages to the next incarnation while this one has no leader (keepsVote).
	supersededSince float64 // ms, since when they have arrived
	supersededAt    float64 // ms, when one last arrived

	// Other members.
	requestingRuns map[Incarnation]uint64 // the last run that sent a VouchRequest; others have ended
	unknownSenders map[uint64]Incarnation // senders that this controller does not know as members

	membership membershipChanges // used while this member leads
	removedAt  float64           // ms, when this leader learned that it was removed; 0: it was not

	outgoing []Message // since the last TakeMessages
}

// New returns a replica that continues from the records of its folder; a new folder has none. It
// fails if the records are not in order (ErrRecordOrder) or can't be decoded.
func New(cfg Config, records []Record, now float64) (*Replica, error) {
	r := &Replica{
		cfg:             cfg,
		rng:             rand.New(rand.NewSource(cfg.Seed)),
		now:             now,
		incarnation:     Incarnation{Name: cfg.Self},
		run:             cfg.Run,
		incarnations:    map[uint64]Incarnation{},
		receivedSerials: map[Incarnation]uint64{},
		waitingSerials:  map[Incarnation]uint64{},
		requestingRuns:  map[Incarnation]uint64{},
		unknownSenders:  map[uint64]Incarnation{},
		verification:    newVerification(now),
		membership:      newMembershipChanges(),
		tickAt:          now,
		nextRequestAt:   now,
	}
	r.reset()
	if err := r.replay(records); err != nil {
		return nil, err
	}
	if r.incarnation.Disk == 0 && !slices.Contains(cfg.Founders, cfg.Self) && len(records) == 0 {
		r.setRole(NonMember, "not a member of the quorum")
		return r, nil
	}
	// A later incarnation is unverified too: a copy of its folder from before it was added looks like
	// the folder of one that was never added.
	r.setRole(Unverified, "its disk has not been vouched for yet")
	if len(r.others()) == 0 {
		r.participate()
	}
	return r, nil
}

// setRole sets the role, and the reason why this member does not vote, which is empty for a voter.
func (r *Replica) setRole(role Role, reason string) {
	r.role = role
	r.roleReason = reason
}

// Tick advances the time and carries out what is due.
func (r *Replica) Tick(now float64) {
	r.now = max(r.now, now)
	switch r.role {
	case NonMember:
		return
	case Unverified:
		r.requestVouching()
		return
	case Joining:
		r.requestJoin()
	}
	if r.node == nil {
		return
	}
	r.tickConsensus()
	if !r.isLeader && r.role == Voter && r.now >= r.campaignAt {
		r.postponeCampaign()
		r.node.Campaign()
	}
	if r.isLeader {
		r.changeMembers()
	}
	if r.removedAt > 0 { // a removed leader steps down after stepDownDelay
		r.updateRole()
	}
}

// Next returns the latest time at which Tick has to be called, in ms.
func (r *Replica) Next() float64 {
	if r.role == NonMember {
		return r.now + nonMemberInterval
	}
	if r.node == nil {
		return r.nextRequestAt
	}
	return r.tickAt
}

// State returns the replicated state of the leases, as far as this member has applied the log. It
// may be stale unless this member leads.
func (r *Replica) State() *lease.State { return &r.leases }

// ConfigState returns the replicated state of the fleet's configuration, as far as this member has
// applied the log.
func (r *Replica) ConfigState() *config.State { return &r.config }

// AppliedIndex returns the log index of the last entry that this member has applied.
func (r *Replica) AppliedIndex() uint64 { return r.appliedIndex }

// ChangedIndex returns the log index of the last entry that changed the members, the leases or
// their holders; renewals don't raise it. After a snapshot was restored it is the snapshot's index.
func (r *Replica) ChangedIndex() uint64 { return r.changedIndex }

// Leads reports whether this member leads, as far as it knows.
func (r *Replica) Leads() bool { return r.isLeader }

// LeadsCaughtUp reports whether this member leads and has applied an entry of its own term. Only
// then does its state include all that was committed before, so that it can answer for the quorum.
func (r *Replica) LeadsCaughtUp() bool { return r.isLeader && r.appliedTerm == r.Term() }

// Leader returns the leader as far as this member knows, or empty if it knows none.
func (r *Replica) Leader() members.ID {
	if r.node == nil {
		return ""
	}
	return r.incarnations[r.node.BasicStatus().Lead].Name
}

// Role returns this controller's role, and the reason why it does not vote.
func (r *Replica) Role() (Role, string) { return r.role, r.roleReason }

// Members returns the incarnations that are members of the quorum, and whether each has a vote.
func (r *Replica) Members() (list []Incarnation, votes []bool) {
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		list = append(list, r.incarnations[number])
		votes = append(votes, slices.Contains(r.voters.GetVoters(), number))
	}
	return list, votes
}

// MemberNames returns the names of the quorum's members and of this controller, sorted.
func (r *Replica) MemberNames() []members.ID {
	names := append(r.others(), r.cfg.Self)
	slices.Sort(names)
	return names
}

// Incarnation returns this controller's incarnation.
func (r *Replica) Incarnation() Incarnation { return r.incarnation }

// Serial returns the serial of the last durable record.
func (r *Replica) Serial() uint64 { return r.serial }

// Term returns the raft term; 0: the raft library does not run.
func (r *Replica) Term() uint64 {
	if r.node == nil {
		return 0
	}
	return r.node.BasicStatus().GetTerm()
}
