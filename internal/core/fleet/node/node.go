// Package node is one controller's part in a fleet as a whole: membership, the quorum, the leases it holds and what it
// lets pass, with the messages in which they reach others. It is free of I/O and clocks, like all it puts together: a
// goroutine with sockets and a disk drives it in the daemon, a queue of events drives hundreds of it in virtual time, and
// both run the same program. It stands beside the loop, which neither waits for it nor asks it.
package node

import (
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Facts are what a controller is told at its start.
type Facts struct {
	Self     members.Member // Run is that of this start
	Seeds    []members.Member
	Founders []members.ID // of the quorum
	Leases   []lease.Name // that there are to be
	Terms    lease.Timing
	Pace     members.Config
	Disk     uint64 // drawn: of the next incarnation in the quorum
	Seed     int64
	Config   *ConfigFacts // nil: the fleet does not agree on configuration
}

const (
	offerInterval   = 1000.0
	releaseInterval = 300.0   // between two messages that tell of a release,
	releaseTimeout  = 10000.0 // for so long
	maxReleases     = 256
	maxAsked        = 4096
)

// Node is one controller's. It is for one goroutine.
type Node struct {
	facts   Facts
	now     float64
	members *members.Table
	quorum  *quorum.Replica
	leases  *lease.Manager // nil: this one does not lead
	client  *lease.Client
	fencing *lease.FencingCheck
	out     Output

	leader       members.ID // as far as this one knows
	leaderTerm   uint64     // of the quorum, in which leader leads
	rng          *rand.Rand
	voters       []members.ID
	leaseView    []lease.Lease
	viewAt       float64 // to be asked for anew
	viewChanged  uint64  // the quorum's ChangedIndex as of the view that this one has
	changed      uint64  // the highest ChangedIndex that this one has heard of
	offerAt      float64
	manageAt     float64
	nextVoter    int // the index of the voter to ask next
	heardAt      float64
	ref          uint64
	asked        map[uint64]bool // what this one proposed and is to be answered
	renewals     renewalBatch
	stopping     bool
	wholeOut     bool
	released     []releasedLease
	releaseAt    float64
	preferences  []pendingPreference
	preferenceAt float64
	config       *config.Replica // nil: off
	configSeen   configSeen
}

// New begins with what the quorum's records tell, and with the fencing tokens that the fencing check had seen, where these were kept.
func New(f Facts, kept []quorum.Record, seen map[lease.Name]lease.Token, now float64) (*Node, error) {
	quorumFacts := quorum.Config{Self: f.Self.ID, Founders: f.Founders, Run: f.Self.Run, NextDisk: f.Disk, Seed: f.Seed + 1}
	replica, err := quorum.New(quorumFacts, kept, now)
	if err != nil {
		return nil, err
	}
	n := &Node{
		facts:   f,
		now:     now,
		quorum:  replica,
		members: members.New(f.Self, f.Seeds, f.Pace, f.Seed, now),
		client:  lease.NewClient(lease.Holder{ID: f.Self.ID, Run: f.Self.Run}, f.Terms),
		fencing: lease.NewFencingCheck(seen),
		voters:  slices.Clone(f.Founders),
		viewAt:  now,
		rng:     rand.New(rand.NewSource(f.Seed + 4)),
		asked:   map[uint64]bool{},
		ref:     uint64(rand.New(rand.NewSource(f.Seed + 2)).Int63()),
	}
	if len(f.Founders) > 0 { // controllers that start together begin with different voters
		n.nextVoter = n.rng.Intn(len(f.Founders))
	}
	n.startConfig()
	return n, nil
}

// Receive takes in a message that a controller of this fleet and generation is proved to have sent.
func (n *Node) Receive(now float64, from members.ID, m *Message) {
	n.now = max(n.now, now)
	if m.Config != nil && n.config != nil {
		n.config.Receive(n.now, from, m.Config)
	}
	n.receiveLeaderHint(m.Leader)
	switch {
	case m.Members != nil:
		n.members.Receive(n.now, from, *m.Members)
	case m.Quorum != nil:
		n.quorum.Receive(n.now, from, m.Quorum)
	case m.Renew != nil:
		if m.Renew.Holder.ID == from {
			n.renew(from, m.Renew)
		}
	case m.Granted != nil:
		n.granted(m.Granted)
	case m.Offer != nil:
		if m.Offer.To == n.self() && !n.stopping {
			n.leader, n.heardAt = from, n.now // only a leader offers
			n.client.AcceptOffer(n.now, m.Offer.Grant)
		}
	case m.Release != nil:
		n.proposeOrForward(from, m, lease.Command{Release: m.Release})
	case m.Prefer != nil:
		n.proposeOrForward(from, m, lease.Command{Prefer: m.Prefer})
	case m.StoreState != nil:
		n.proposeOrForward(from, m, lease.Command{StoreState: m.StoreState})
	case m.LoadState != nil:
		n.proposeOrForward(from, m, lease.Command{LoadState: m.LoadState})
	case m.Checkpoint != nil:
		n.receiveCheckpoint(m.Checkpoint)
	case m.Replace != nil:
		if !n.forward(from, m) {
			n.quorum.Replace(m.Replace.Old, m.Replace.With)
		}
	case m.ViewRequest != nil:
		n.send(from, Message{View: n.viewOf()})
	case m.View != nil:
		n.receiveView(m.View)
	case m.Effect != nil:
		n.effect(from, m.Effect)
	case m.Verdict != nil:
		n.out.Verdicts = append(n.out.Verdicts, *m.Verdict)
	case m.JobMessage != nil:
		n.out.JobMessages = append(n.out.JobMessages, JobMessage{from, m.JobMessage})
	}
	n.turn()
}

// Tick takes in that time has passed.
func (n *Node) Tick(now float64) {
	n.now = max(n.now, now)
	n.members.Tick(n.now)
	n.quorum.Tick(n.now)
	if n.config != nil {
		n.config.Tick(n.now)
	}
	n.turn()
}

// Advance takes in that a batch is durable.
func (n *Node) Advance(now float64, b *quorum.Ready) {
	n.now = max(n.now, now)
	n.quorum.Advance(n.now, b)
	n.turn()
}

// Compacted takes in that a whole record is durable.
func (n *Node) Compacted(now float64, r *quorum.Record) {
	n.now = max(n.now, now)
	n.quorum.Compacted(r)
	n.wholeOut = false
	n.turn()
}

// Next is when Tick is to be called at the latest.
func (n *Node) Next() float64 {
	next := min(n.members.Next(), n.quorum.Next(), n.client.Next(n.now))
	if n.leases != nil {
		next = min(next, n.manageAt)
	}
	if len(n.renewals.list) > 0 {
		next = min(next, n.renewals.proposeAt)
	}
	if len(n.released) > 0 {
		next = min(next, n.releaseAt)
	}
	if len(n.preferences) > 0 {
		next = min(next, n.preferenceAt)
	}
	next = min(next, n.viewAt)
	if n.config != nil {
		next = min(next, n.config.Next())
	}
	return max(next, n.now)
}

func (n *Node) self() lease.Holder { return lease.Holder{ID: n.facts.Self.ID, Run: n.facts.Self.Run} }

// Stop gives up all leases, says that this one ends, and takes on no more.
func (n *Node) Stop(now float64) {
	n.now = max(n.now, now)
	n.stopping = true
	for _, c := range n.client.Held(n.now) {
		n.Release(n.now, c.Name, false)
	}
	n.members.Leave(n.now)
	n.turn()
}

// Trust carries out an operator's command that says that this voter's folder is the latest.
func (n *Node) Trust(now float64) bool {
	n.now = max(n.now, now)
	ok := n.quorum.TrustDisk()
	n.turn()
	return ok
}

// SetWilling says whether this one would take on leases.
func (n *Node) SetWilling(now float64, willing bool) {
	n.members.SetWilling(now, willing && !n.stopping)
}

// turn lets each part do what is to be done by now.
func (n *Node) turn() {
	for range 4 { // what one part says to another of the same controller is heard at once
		n.lead()
		n.renewLeases()
		n.proposeRenewals()
		n.sendReleases()
		n.sendPreferences()
		if n.now >= n.viewAt {
			n.requestView()
		}
		if !n.applyAgreed() {
			break
		}
	}
	n.turnConfig()
	n.sendMembership()
	for _, m := range n.quorum.TakeMessages() {
		n.send(m.To.Name, Message{Quorum: &m})
	}
	n.out.Changes = append(n.out.Changes, n.members.TakeChanges()...)
	began, ended := n.client.TakeChanges(n.now)
	n.out.Began, n.out.Ended = append(n.out.Began, began...), append(n.out.Ended, ended...)
}
