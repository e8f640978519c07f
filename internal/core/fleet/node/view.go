package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

func (n *Node) viewOf() *View {
	v := &View{Leader: n.quorum.Leader(), Voters: n.quorum.MemberNames()}
	if standing, _ := n.quorum.Role(); standing == quorum.NonMember {
		v.Leader, v.Voters = n.leader, n.voters
	} else {
		v.Leases, v.Changed = n.quorum.State().List(), n.quorum.ChangedIndex()
		for i := range v.Leases { // the state of a lease is for its holders
			v.Leases[i].State = nil
		}
	}
	return v
}

func (n *Node) receiveView(v *View) {
	if v.Leader != "" {
		if n.leader != v.Leader { // what it asked of another comes too late if it waits for its turn
			n.client.RenewNow(n.now)
		}
		n.leader, n.heardAt = v.Leader, n.now
	}
	if len(v.Voters) > 0 {
		n.voters = v.Voters
	}
	if v.Leases != nil {
		n.leaseView = v.Leases
		n.raiseTokens(v.Leases)
	}
	n.viewChanged = max(n.viewChanged, v.Changed)
	n.changed = max(n.changed, v.Changed)
	if n.viewIsCurrent() {
		n.viewAt = n.nextView()
	}
}

// raiseTokens takes in which fencing tokens have begun: one that restarted and lost what its fencing check had seen learns it again.
func (n *Node) raiseTokens(grants []lease.Lease) {
	before := n.fencing.Seen()
	for _, g := range grants {
		if g.Token > before[g.Name] {
			n.fencing.Raise(g.Name, g.Token)
			n.out.Seen = true
		}
	}
}

// Members are all that this one knows, itself among them.
func (n *Node) Members() []members.Member { return n.members.Members() }

// Quorum is this one's part of it.
func (n *Node) Quorum() *quorum.Replica { return n.quorum }

// Table is this one's view of the members.
func (n *Node) Table() *members.Table { return n.members }

// Seen are the fencing tokens that the fencing check has seen.
func (n *Node) Seen() map[lease.Name]lease.Token { return n.fencing.Seen() }

// Leases are the leases as this one knows them, and whether it votes itself: else they may be late.
func (n *Node) Leases() (list []lease.Lease, own bool) {
	if standing, _ := n.quorum.Role(); standing == quorum.Voter {
		return n.quorum.State().List(), true
	}
	return n.leaseView, false
}

// Voters are the quorum's members, as far as this one knows.
func (n *Node) Voters() []members.ID {
	if standing, _ := n.quorum.Role(); standing != quorum.NonMember {
		return n.quorum.MemberNames()
	}
	return n.voters
}

// Leader is the quorum's leader as far as this one knows; empty: none.
func (n *Node) Leader() members.ID {
	if lead := n.quorum.Leader(); lead != "" {
		return lead
	}
	return n.leader
}
