package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// knownLeader is the quorum's leader as this controller knows it by messages.
type knownLeader struct {
	id      members.ID // empty: none
	term    uint64     // of the quorum, in which id leads
	heardAt float64    // ms, when the last message of it, or view that names it, came
}

// recordContact records a message of the leader, or a member's view that names it.
func (l *knownLeader) recordContact(id members.ID, now float64) {
	l.id = id
	l.heardAt = now
}

// quorumView is the quorum as its members have described it to this controller, which is no member.
type quorumView struct {
	voters       []members.ID
	leases       []lease.Lease
	changedIndex uint64  // the quorum's ChangedIndex as of leases
	latestIndex  uint64  // the highest known ChangedIndex
	requestAt    float64 // ms, when the view is requested next
	nextVoter    int     // counts the members asked in turn
}

// ownView returns what this controller knows of the quorum, to be sent.
func (n *Node) ownView() *View {
	role, _ := n.quorum.Role()
	if role == quorum.NonMember {
		return &View{Leader: n.leader.id, Voters: n.view.voters}
	}
	v := &View{
		Leader:  n.quorum.Leader(),
		Voters:  n.quorum.MemberNames(),
		Leases:  n.quorum.State().List(),
		Changed: n.quorum.ChangedIndex(),
	}
	for i := range v.Leases {
		v.Leases[i].State = nil // the state of a lease is for its holders alone
	}
	return v
}

// handleView handles a member's view of the quorum.
func (n *Node) handleView(v *View) {
	if v.Leader != "" {
		if n.leader.id != v.Leader { // the last renewal went to a controller that does not lead
			n.leaseClient.RenewNow(n.now)
		}
		n.leader.recordContact(v.Leader, n.now)
	}
	if len(v.Voters) > 0 {
		n.view.voters = v.Voters
	}
	if v.Leases != nil {
		n.view.leases = v.Leases
		n.raiseTokens(v.Leases)
	}
	n.view.changedIndex = max(n.view.changedIndex, v.Changed)
	n.view.latestIndex = max(n.view.latestIndex, v.Changed)
	if n.viewIsCurrent() {
		n.view.requestAt = n.nextViewRequestAt()
	}
}

// requestView requests the quorum's view, unless this controller leads it.
func (n *Node) requestView() {
	n.view.requestAt = n.nextViewRequestAt()
	if !n.quorum.Leads() {
		n.sendToLeader(Message{ViewRequest: &ViewRequest{}})
	}
}

// viewIsCurrent reports whether nothing has changed since the view that this controller has, as far
// as it has heard.
func (n *Node) viewIsCurrent() bool {
	return n.view.changedIndex > 0 && n.view.changedIndex >= n.view.latestIndex
}

// viewRequestInterval returns the usual interval between two requests for the view, in ms.
func (n *Node) viewRequestInterval() float64 {
	if n.leader.id == "" {
		return viewInterval
	}
	return max(viewInterval, viewIntervalPerMember*float64(n.members.Size()))
}

// nextViewRequestAt returns when the view is to be requested next, in ms.
func (n *Node) nextViewRequestAt() float64 {
	interval := n.viewRequestInterval()
	if n.leader.id != "" && n.viewIsCurrent() {
		interval *= currentViewFactor
	}
	return n.now + interval*(1-viewJitterShare+2*viewJitterShare*n.rng.Float64())
}

// Leases returns the leases as this controller knows them, and whether it votes itself: else they
// may be stale.
func (n *Node) Leases() (list []lease.Lease, own bool) {
	if role, _ := n.quorum.Role(); role == quorum.Voter {
		return n.quorum.State().List(), true
	}
	return n.view.leases, false
}

// Voters returns the quorum's members, as far as this controller knows.
func (n *Node) Voters() []members.ID {
	if role, _ := n.quorum.Role(); role != quorum.NonMember {
		return n.quorum.MemberNames()
	}
	return n.view.voters
}

// Leader returns the quorum's leader, as far as this controller knows; empty: none.
func (n *Node) Leader() members.ID {
	if leader := n.quorum.Leader(); leader != "" {
		return leader
	}
	return n.leader.id
}
