package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// maxRenewals bounds the renewals that the leader gathers; with so many they are proposed at once.
const maxRenewals = 256

// renewalBatch is what the leader has gathered of renewals. Each agreement costs messages to and from all voters and a
// write of each, however many commands it is on: renewals of all holders within a while share one.
type renewalBatch struct {
	list      []pendingRenewal
	proposeAt float64 // where the list is not empty
}

type pendingRenewal struct {
	from  members.ID
	renew *lease.Renew
}

// renew takes in a holder's renewal where this controller leads, or tells it who does. The first one for a lease is
// proposed at once, as its holder may not begin before.
func (n *Node) renew(from members.ID, r *lease.Renew) {
	if !n.quorum.Leads() {
		n.send(from, Message{View: n.viewOf()})
		return
	}
	if len(n.renewals.list) == 0 {
		n.renewals.proposeAt = n.now + n.facts.Terms.RenewalBatchTime()
	}
	n.renewals.list = append(n.renewals.list, pendingRenewal{from: from, renew: r})
	if n.leases == nil || !n.leases.Confirmed(r.Grants) || len(n.renewals.list) >= maxRenewals {
		n.renewals.proposeAt = n.now
	}
	n.proposeRenewals()
}

// proposeRenewals has what was gathered agreed on, once it is due. Where this controller leads no more, or too much is
// pending, the holders are told what it knows of the leader and ask again.
func (n *Node) proposeRenewals() {
	if len(n.renewals.list) == 0 || n.now < n.renewals.proposeAt {
		return
	}
	list := n.renewals.list
	n.renewals.list = nil
	requests := make([]quorum.Request, 0, len(list))
	for _, p := range list {
		n.ref++
		requests = append(requests, quorum.Request{Proposer: p.from, Ref: n.ref, Command: lease.Command{Renew: p.renew}})
	}
	if !n.quorum.ProposeAll(requests) {
		for _, p := range list {
			n.send(p.from, Message{View: n.viewOf()})
		}
		return
	}
	for _, request := range requests {
		n.expectAnswer(request.Ref)
	}
}
