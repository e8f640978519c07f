package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// knownLeader is the quorum's leader as this controller knows it from messages.
type knownLeader struct {
	id      members.ID // empty: none
	term    uint64     // the raft term in which id leads
	heardAt float64    // ms, when a message from it, or a view that names it, last arrived
}

// recordContact records the arrival of a message from the leader, or of a view that names it.
func (l *knownLeader) recordContact(id members.ID, now float64) {
	l.id = id
	l.heardAt = now
}

// quorumView is the quorum's view as received from its members. It is used by a controller that is
// no member itself.
type quorumView struct {
	voters       []members.ID
	leases       []lease.Lease
	changedIndex uint64  // the quorum's ChangedIndex as of leases
	latestIndex  uint64  // the highest known ChangedIndex
	requestAt    float64 // ms, when the view is next requested
	nextVoter    int     // counter by which the members are contacted in turn
}

// ownView returns the quorum's view as this controller knows it, to send to others.
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
		v.Leases[i].State = nil // only holders of the lease need the job's state
	}
	return v
}

// handleView handles a member's view of the quorum.
func (n *Node) handleView(v *View) {
	if v.Leader != "" {
		if n.leader.id != v.Leader { // the last renewal was sent to a controller that does not lead
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

// viewIsCurrent reports whether this controller's view includes the last change that it knows of.
func (n *Node) viewIsCurrent() bool {
	return n.view.changedIndex > 0 && n.view.changedIndex >= n.view.latestIndex
}

// viewRequestInterval returns the usual interval between two requests for the view, in ms. It grows
// with the fleet, unless no leader is known.
func (n *Node) viewRequestInterval() float64 {
	if n.leader.id == "" {
		return viewInterval
	}
	return max(viewInterval, viewIntervalPerMember*float64(n.members.Size()))
}

// nextViewRequestAt returns when to request the view next, in ms, if it was requested or received
// now.
func (n *Node) nextViewRequestAt() float64 {
	interval := n.viewRequestInterval()
	if n.leader.id != "" && n.viewIsCurrent() {
		interval *= currentViewFactor
	}
	return n.now + interval*(1-viewJitterShare+2*viewJitterShare*n.rng.Float64())
}

// Leases returns the leases as this controller knows them, and whether they are from its own
// replica as a voter. If not, they are from the last view that it received.
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

// Leader returns the quorum's leader as far as this controller knows, or empty if it knows none.
func (n *Node) Leader() members.ID {
	if leader := n.quorum.Leader(); leader != "" {
		return leader
	}
	return n.leader.id
}
