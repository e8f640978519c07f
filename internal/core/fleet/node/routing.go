package node

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// send hands a message out, or to this one itself.
func (n *Node) send(to members.ID, m Message) {
	if to == n.facts.Self.ID {
		n.receiveOwn(m)
		return
	}
	addr := ""
	if about, ok := n.members.Lookup(to); ok {
		addr = about.Addr
	}
	n.out.Sends = append(n.out.Sends, Send{to, addr, m})
}

// receiveOwn takes in what this one says to itself, where it is holder and leader at once.
func (n *Node) receiveOwn(m Message) {
	switch {
	case m.Renew != nil:
		n.renew(n.facts.Self.ID, m.Renew)
	case m.Granted != nil:
		n.granted(m.Granted)
	case m.Offer != nil:
		if m.Offer.To == n.self() && !n.stopping {
			n.client.AcceptOffer(n.now, m.Offer.Grant)
		}
	case m.Release != nil:
		n.propose(n.facts.Self.ID, lease.Command{Release: m.Release})
	case m.Prefer != nil:
		n.propose(n.facts.Self.ID, lease.Command{Prefer: m.Prefer})
	case m.StoreState != nil:
		n.propose(n.facts.Self.ID, lease.Command{StoreState: m.StoreState})
	case m.LoadState != nil:
		n.propose(n.facts.Self.ID, lease.Command{LoadState: m.LoadState})
	case m.Checkpoint != nil:
		n.receiveCheckpoint(m.Checkpoint)
	case m.Replace != nil:
		n.quorum.Replace(m.Replace.Old, m.Replace.With)
	case m.Effect != nil:
		n.effect(n.facts.Self.ID, m.Effect)
	case m.Verdict != nil:
		n.out.Verdicts = append(n.out.Verdicts, *m.Verdict)
	case m.JobMessage != nil:
		n.out.JobMessages = append(n.out.JobMessages, JobMessage{n.facts.Self.ID, m.JobMessage})
	}
}

// propose asks for something to be agreed on. What a leader applies again after a restart was not asked of it, and is not
// answered: it may be of any age.
func (n *Node) propose(by members.ID, c lease.Command) bool {
	n.ref++
	if !n.quorum.Propose(by, n.ref, c) {
		return false
	}
	n.expectAnswer(n.ref)
	return true
}

// expectAnswer notes that a proposal of this number is to be answered once it is agreed on.
func (n *Node) expectAnswer(ref uint64) {
	if len(n.asked) >= maxAsked {
		clear(n.asked) // a requester that is not answered asks again
	}
	n.asked[ref] = true
}

// proposeOrForward proposes a command, or passes the message on to the leader.
func (n *Node) proposeOrForward(from members.ID, m *Message, c lease.Command) {
	if !n.forward(from, m) {
		n.propose(from, c)
	}
}

// forward passes a message on to the leader, if that is neither this controller nor the sender.
func (n *Node) forward(from members.ID, m *Message) bool {
	lead := n.quorum.Leader()
	if n.quorum.Leads() || lead == "" || lead == n.facts.Self.ID || lead == from {
		return false
	}
	n.send(lead, *m)
	return true
}

// HandOver carries out an operator's command to hand a lease over to another controller.
func (n *Node) HandOver(now float64, w lease.Name, to members.ID) {
	n.now = max(n.now, now)
	n.preferences = slices.DeleteFunc(n.preferences, func(o pendingPreference) bool { return o.want.Name == w })
	if len(n.preferences) < maxReleases {
		n.preferences = append(n.preferences, pendingPreference{&lease.Prefer{Name: w, To: to}, n.now + releaseTimeout})
	}
	n.preferenceAt = n.now
	n.sendPreferences()
	n.turn()
}

// pendingPreference is an operator's command that the quorum may not have received yet.
type pendingPreference struct {
	want  *lease.Prefer
	until float64
}

// sendPreferences sends operators' commands again until they show in the agreed state: the first may reach one that does not lead.
func (n *Node) sendPreferences() {
	list, _ := n.Leases()
	n.preferences = slices.DeleteFunc(n.preferences, func(o pendingPreference) bool {
		return n.now > o.until || slices.ContainsFunc(list, func(g lease.Lease) bool {
			return g.Name == o.want.Name && (g.Preferred == o.want.To || g.Holder.ID == o.want.To)
		})
	})
	if len(n.preferences) == 0 || n.now < n.preferenceAt {
		return
	}
	n.preferenceAt = n.now + offerInterval
	for _, o := range n.preferences {
		n.toLeader(Message{Prefer: o.want})
	}
	n.viewAt = min(n.viewAt, n.now+offerInterval/2)
}

// ReplaceVoter carries out an operator's command to replace a voter.
func (n *Node) ReplaceVoter(now float64, old, with members.ID) {
	n.now = max(n.now, now)
	n.toLeader(Message{Replace: &Replace{old, with}})
	n.turn()
}

// toLeader sends to whoever is said to lead; if nobody is, to one of the quorum after another.
func (n *Node) toLeader(m Message) {
	if n.quorum.Leads() {
		n.receiveOwn(m)
		return
	}
	if lead := n.quorum.Leader(); lead != "" {
		n.leader = lead
	}
	to := n.leader
	if to == "" || n.now > n.heardAt+n.facts.Terms.RenewInterval()*2 || to == n.facts.Self.ID {
		names := n.voters
		if standing, _ := n.quorum.Role(); standing != quorum.NonMember {
			names = n.quorum.MemberNames()
		}
		if n.nextVoter++; len(names) > 0 {
			to = names[n.nextVoter%len(names)]
		}
	}
	if to != "" && to != n.facts.Self.ID {
		n.send(to, m)
	}
}
