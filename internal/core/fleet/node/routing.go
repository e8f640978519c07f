package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// send adds a message to the output, or handles it at once if it is to this controller itself.
func (n *Node) send(to members.ID, m Message) {
	if to == n.cfg.Self.ID {
		n.receiveLocal(m)
		return
	}
	addr := ""
	if member, known := n.members.Lookup(to); known {
		addr = member.Addr
	}
	n.out.Messages = append(n.out.Messages, Envelope{To: to, Addr: addr, Message: m})
}

// receiveLocal handles a message of this controller to itself, which may be both holder and leader.
func (n *Node) receiveLocal(m Message) {
	self := n.cfg.Self.ID
	switch {
	case m.Renew != nil:
		n.handleRenew(self, m.Renew)
	case m.RenewResponse != nil:
		n.handleRenewResponse(m.RenewResponse)
	case m.Offer != nil:
		n.handleOffer(m.Offer)
	case m.Release != nil:
		n.propose(self, lease.Command{Release: m.Release})
	case m.Prefer != nil:
		n.propose(self, lease.Command{Prefer: m.Prefer})
	case m.StoreState != nil:
		n.propose(self, lease.Command{StoreState: m.StoreState})
	case m.LoadState != nil:
		n.propose(self, lease.Command{LoadState: m.LoadState})
	case m.Checkpoint != nil:
		n.handleCheckpoint(m.Checkpoint)
	case m.Replace != nil:
		n.quorum.Replace(m.Replace.Old, m.Replace.Successor)
	case m.Effect != nil:
		n.handleEffect(self, m.Effect)
	case m.EffectResponse != nil:
		n.out.EffectResponses = append(n.out.EffectResponses, *m.EffectResponse)
	case m.JobMessage != nil:
		n.out.JobMessages = append(n.out.JobMessages, JobMessage{From: self, Data: m.JobMessage})
	}
}

// propose proposes a command to the quorum, if this controller leads it. The proposer is answered
// when the command is applied. Commands that are applied again after a restart were not proposed by
// this run and may be of any age; they are not answered.
func (n *Node) propose(by members.ID, c lease.Command) {
	n.lastRef++
	if n.quorum.Propose(by, n.lastRef, c) {
		n.expectAnswer(n.lastRef)
	}
}

// expectAnswer records that a proposal has to be answered when it is applied.
func (n *Node) expectAnswer(ref uint64) {
	if len(n.unansweredRefs) >= maxUnanswered {
		clear(n.unansweredRefs) // the senders repeat what is not answered
	}
	n.unansweredRefs[ref] = true
}

// proposeOrForward forwards the message of a command to the leader; if it can't, it proposes the
// command.
func (n *Node) proposeOrForward(from members.ID, m *Message, c lease.Command) {
	if !n.forward(from, m) {
		n.propose(from, c)
	}
}

// forward forwards a message to the leader, if there is one that is neither this controller nor the
// sender, and reports whether it did.
func (n *Node) forward(from members.ID, m *Message) bool {
	leader := n.quorum.Leader()
	if n.quorum.Leads() || leader == "" || leader == n.cfg.Self.ID || leader == from {
		return false
	}
	n.send(leader, *m)
	return true
}

// sendToLeader sends a message to the leader. If none is known, or it was not heard from for
// leaderTimeoutRenewals renew intervals, the message goes to the members of the quorum in turn: one
// that does not lead forwards it, or answers with its view.
func (n *Node) sendToLeader(m Message) {
	if n.quorum.Leads() {
		n.receiveLocal(m)
		return
	}
	if leader := n.quorum.Leader(); leader != "" {
		n.leader.id = leader
	}
	to := n.leader.id
	timeout := n.cfg.LeaseTiming.RenewInterval() * leaderTimeoutRenewals
	if to == "" || to == n.cfg.Self.ID || n.now > n.leader.heardAt+timeout {
		n.view.nextVoter++
		if names := n.Voters(); len(names) > 0 {
			to = names[n.view.nextVoter%len(names)]
		}
	}
	if to != "" && to != n.cfg.Self.ID {
		n.send(to, m)
	}
}
