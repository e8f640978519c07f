package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// renewalBatch holds the renewals that a leader will propose together. Each proposal costs messages
// to and from all voters and a write on each, however many commands it has. The renewals that all
// holders send within a short time therefore share one.
type renewalBatch struct {
	list      []pendingRenewal
	proposeAt float64 // ms, valid if the list is not empty
}

// pendingRenewal is a renewal that has not been proposed yet.
type pendingRenewal struct {
	from  members.ID
	renew *lease.Renew
}

// handleRenew adds a holder's renewal to the batch if this controller leads; else it answers with
// its view of the quorum. The first renewal of a lease is proposed at once, as the holder may not
// act before it is confirmed.
func (n *Node) handleRenew(from members.ID, renew *lease.Renew) {
	if !n.quorum.Leads() {
		n.send(from, Message{View: n.ownView()})
		return
	}
	if len(n.renewals.list) == 0 {
		n.renewals.proposeAt = n.now + n.cfg.LeaseTiming.RenewalBatchTime()
	}
	n.renewals.list = append(n.renewals.list, pendingRenewal{from: from, renew: renew})
	first := n.leaseManager == nil || !n.leaseManager.Confirmed(renew.Grants)
	if first || len(n.renewals.list) >= maxBatchedRenewals {
		n.renewals.proposeAt = n.now
	}
	n.proposeRenewals()
}

// proposeRenewals proposes the batch of renewals when it is due. If this controller no longer
// leads, or too many proposals are pending, it sends the holders its view of the quorum, and they
// send their renewals again.
func (n *Node) proposeRenewals() {
	if len(n.renewals.list) == 0 || n.now < n.renewals.proposeAt {
		return
	}
	list := n.renewals.list
	n.renewals.list = nil
	requests := make([]quorum.Request, 0, len(list))
	for _, pending := range list {
		n.lastRef++
		requests = append(requests, quorum.Request{
			Proposer: pending.from,
			Ref:      n.lastRef,
			Command:  lease.Command{Renew: pending.renew},
		})
	}
	if !n.quorum.ProposeAll(requests) {
		for _, pending := range list {
			n.send(pending.from, Message{View: n.ownView()})
		}
		return
	}
	for _, request := range requests {
		n.expectAnswer(request.Ref)
	}
}
