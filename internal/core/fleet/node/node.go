package node

import (
	"math/rand"
	"slices"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Node is one controller of a fleet. It is not safe for concurrent use.
type Node struct {
	cfg Config
	rng *rand.Rand
	now float64 // ms, the latest time passed in
	out Output

	members      *members.Table
	quorum       *quorum.Replica
	leaseManager *lease.Manager // nil if this controller does not lead
	leaseClient  *lease.Client
	fencing      *lease.FencingCheck
	config       *config.Replica // nil if the fleet has no replicated configuration

	// What this controller knows of the quorum from messages, if it is no member of it.
	leader knownLeader
	view   quorumView

	// State as the leader.
	manageAt       float64         // ms, when it next checks the leases
	offerAt        float64         // ms, when it next repeats offers
	lastRef        uint64          // number of this controller's last proposal
	unansweredRefs map[uint64]bool // proposals to answer when they are applied
	renewals       renewalBatch

	// State as a holder.
	stopping            bool // Stop was called
	unconfirmedReleases []unconfirmedRelease
	sendReleasesAt      float64 // ms

	// Operators' commands.
	pendingPreferences []pendingPreference
	sendPreferencesAt  float64 // ms

	compactionPending bool        // a Compaction waits for Compacted
	lastQuorumState   quorumState // of which config was last notified
}

// New returns a node that continues from the quorum's records of its folder, and from the stored
// fencing tokens, which may be nil. It fails if quorum.New fails.
func New(
	cfg Config, records []quorum.Record, tokens map[lease.Name]lease.Token, now float64,
) (*Node, error) {
	replica, err := quorum.New(cfg.quorumConfig(), records, now)
	if err != nil {
		return nil, err
	}
	self := lease.Holder{ID: cfg.Self.ID, Run: cfg.Self.Run}
	n := &Node{
		cfg:            cfg,
		now:            now,
		rng:            rand.New(rand.NewSource(cfg.Seed + viewSeedOffset)),
		members:        members.New(cfg.Self, cfg.Seeds, cfg.Membership, cfg.Seed, now),
		quorum:         replica,
		leaseClient:    lease.NewClient(self, cfg.LeaseTiming),
		fencing:        lease.NewFencingCheck(tokens),
		view:           quorumView{voters: slices.Clone(cfg.Founders), requestAt: now},
		lastRef:        uint64(rand.New(rand.NewSource(cfg.Seed + refSeedOffset)).Int63()),
		unansweredRefs: map[uint64]bool{},
	}
	if len(cfg.Founders) > 0 { // controllers that start together contact different voters first
		n.view.nextVoter = n.rng.Intn(len(cfg.Founders))
	}
	n.startConfig()
	return n, nil
}

// Receive handles a message. The transport must have authenticated from as a controller of this
// fleet and generation.
func (n *Node) Receive(now float64, from members.ID, m *Message) {
	n.now = max(n.now, now)
	if m.Config != nil && n.config != nil {
		n.config.Receive(n.now, from, m.Config)
	}
	n.handleLeaderHint(m.Leader)
	n.dispatch(from, m)
	n.process()
}

// dispatch passes a message from another controller to its handler.
func (n *Node) dispatch(from members.ID, m *Message) {
	switch {
	case m.Members != nil:
		n.members.Receive(n.now, from, *m.Members)
	case m.Quorum != nil:
		n.quorum.Receive(n.now, from, m.Quorum)
	case m.Renew != nil:
		if m.Renew.Holder.ID == from {
			n.handleRenew(from, m.Renew)
		}
	case m.RenewResponse != nil:
		n.handleRenewResponse(m.RenewResponse)
	case m.Offer != nil:
		if n.handleOffer(m.Offer) {
			n.leader.recordContact(from, n.now) // only a leader sends offers
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
		n.handleCheckpoint(m.Checkpoint)
	case m.Replace != nil:
		if !n.forward(from, m) {
			n.quorum.Replace(m.Replace.Old, m.Replace.Successor)
		}
	case m.ViewRequest != nil:
		n.send(from, Message{View: n.ownView()})
	case m.View != nil:
		n.handleView(m.View)
	case m.Effect != nil:
		n.handleEffect(from, m.Effect)
	case m.EffectResponse != nil:
		n.out.EffectResponses = append(n.out.EffectResponses, *m.EffectResponse)
	case m.JobMessage != nil:
		n.out.JobMessages = append(n.out.JobMessages, JobMessage{From: from, Data: m.JobMessage})
	}
}

// Tick advances the time and carries out what is due.
func (n *Node) Tick(now float64) {
	n.now = max(n.now, now)
	n.members.Tick(n.now)
	n.quorum.Tick(n.now)
	if n.config != nil {
		n.config.Tick(n.now)
	}
	n.process()
}

// Next returns the latest time at which Tick has to be called, in ms.
func (n *Node) Next() float64 {
	next := min(n.members.Next(), n.quorum.Next(), n.leaseClient.Next(n.now))
	if n.leaseManager != nil {
		next = min(next, n.manageAt)
	}
	if len(n.renewals.list) > 0 {
		next = min(next, n.renewals.proposeAt)
	}
	if len(n.unconfirmedReleases) > 0 {
		next = min(next, n.sendReleasesAt)
	}
	if len(n.pendingPreferences) > 0 {
		next = min(next, n.sendPreferencesAt)
	}
	next = min(next, n.view.requestAt)
	if n.config != nil {
		next = min(next, n.config.Next())
	}
	return max(next, n.now)
}

// Advance continues after the record of a Ready became durable.
func (n *Node) Advance(now float64, ready *quorum.Ready) {
	n.now = max(n.now, now)
	n.quorum.Advance(n.now, ready)
	n.process()
}

// Compacted continues after a Compaction became durable.
func (n *Node) Compacted(now float64, record *quorum.Record) {
	n.now = max(n.now, now)
	n.quorum.Compacted(record)
	n.compactionPending = false
	n.process()
}

// Stop releases all leases and announces that this controller shuts down. From then on the
// controller accepts no lease.
func (n *Node) Stop(now float64) {
	n.now = max(n.now, now)
	n.stopping = true
	for _, grant := range n.leaseClient.Held(n.now) {
		n.Release(n.now, grant.Name, false)
	}
	n.members.Leave(n.now)
	n.process()
}

// SetWilling sets whether this controller accepts leases.
func (n *Node) SetWilling(now float64, willing bool) {
	n.members.SetWilling(now, willing && !n.stopping)
}

// process carries out what is due in each part of the node, and collects their messages and changes
// in the output.
func (n *Node) process() {
	for range maxProcessRounds { // what one part of this node sends to another is handled at once
		n.manageLeases()
		n.renewLeases()
		n.proposeRenewals()
		n.sendReleases()
		n.sendPreferences()
		if n.now >= n.view.requestAt {
			n.requestView()
		}
		if !n.handleApplied() {
			break
		}
	}
	n.processConfig()
	n.sendMembership()
	for _, m := range n.quorum.TakeMessages() {
		n.send(m.To.Name, Message{Quorum: &m})
	}
	n.out.Changes = append(n.out.Changes, n.members.TakeChanges()...)
	began, ended := n.leaseClient.TakeChanges(n.now)
	n.out.Began = append(n.out.Began, began...)
	n.out.Ended = append(n.out.Ended, ended...)
}

// holder returns this run of the controller, as a holder of leases.
func (n *Node) holder() lease.Holder {
	return lease.Holder{ID: n.cfg.Self.ID, Run: n.cfg.Self.Run}
}

// Members returns all members that this controller knows, including itself.
func (n *Node) Members() []members.Member { return n.members.Members() }

// Quorum returns this controller's replica in the quorum. The caller must only read it.
func (n *Node) Quorum() *quorum.Replica { return n.quorum }

// Table returns this controller's view of the membership. The caller must only read it.
func (n *Node) Table() *members.Table { return n.members }
