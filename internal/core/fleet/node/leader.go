package node

import (
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// SetLeases sets which leases this controller declares while it leads the quorum.
func (n *Node) SetLeases(now float64, names []lease.Name) {
	n.now = max(n.now, now)
	n.cfg.Leases = slices.Clone(names)
	n.manageAt = n.now
	n.process()
}

// manageLeases carries out the leader's duties that are due: it declares the leases, assigns those
// that are free or have expired, and repeats offers. A controller that stops leading discards its
// manager, and with it the times of renewals.
func (n *Node) manageLeases() {
	if !n.quorum.Leads() {
		n.leaseManager = nil
		return
	}
	if n.leaseManager == nil {
		n.leaseManager = lease.NewManager(n.cfg.LeaseTiming, n.now)
		n.manageAt = n.now
		n.offerAt = n.now
	}
	if n.now < n.manageAt {
		return
	}
	state := n.quorum.State()
	if declared := n.cfg.Leases; !matchesDeclared(state, declared) {
		n.propose(n.cfg.Self.ID, lease.Command{Declare: &lease.Declare{Names: declared}})
	}
	for _, command := range n.leaseManager.Decide(n.now, state, n.candidates()) {
		n.propose(n.cfg.Self.ID, command)
	}
	if n.now >= n.offerAt {
		n.offerAt = n.now + offerInterval
		n.repeatOffers(state)
	}
	next := max(n.now+minManageInterval, n.leaseManager.Next(n.now, state))
	n.manageAt = min(n.now+offerInterval, next)
}

// matchesDeclared reports whether the leases of a state that are not retired are those declared.
func matchesDeclared(s *lease.State, declared []lease.Name) bool {
	count := 0
	for name, l := range s.Leases {
		if l.Retired {
			continue
		}
		if !slices.Contains(declared, name) {
			return false
		}
		count++
	}
	return count == len(declared)
}

// candidates returns the active members as candidates for leases. This controller is to be avoided,
// as it leads: if it failed, the next leader would count its leases as renewed when leadership
// changed, and so reassign them later than if another member had failed.
func (n *Node) candidates() (list []lease.Candidate) {
	for _, m := range n.members.Members() {
		if m.State <= members.Suspect && m.Run != 0 {
			list = append(list, lease.Candidate{
				Holder:  lease.Holder{ID: m.ID, Run: m.Run},
				Avoid:   m.State == members.Suspect || m.ID == n.cfg.Self.ID,
				Willing: m.Willing,
			})
		}
	}
	return list
}

// repeatOffers offers those leases again that are not renewed, as an offer may be lost.
func (n *Node) repeatOffers(state *lease.State) {
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		if !n.leaseManager.RecentlyRenewed(n.now, name) {
			n.offer(name)
		}
	}
}

// offer notifies the holder of a lease of its assignment.
func (n *Node) offer(name lease.Name) {
	l := n.quorum.State().Leases[name]
	if l == nil || !l.Held() {
		return
	}
	grant := lease.Grant{Name: name, Token: l.Token}
	n.send(l.Holder.ID, Message{Offer: &Offer{To: l.Holder, Grant: grant}})
}

// handleApplied handles the commands that were applied since the last call, and reports whether
// there were any.
func (n *Node) handleApplied() bool {
	list := n.quorum.TakeApplied()
	for _, a := range list {
		for _, name := range a.Changed {
			if l := n.quorum.State().Leases[name]; l != nil {
				n.raiseTokens([]lease.Lease{*l})
			}
		}
		if n.leaseManager == nil {
			continue
		}
		n.leaseManager.Applied(n.now, a.Command, a.Changed)
		if a.Command.Assign != nil && len(a.Changed) > 0 {
			n.offer(a.Changed[0])
		}
		if n.unansweredRefs[a.Ref] {
			delete(n.unansweredRefs, a.Ref)
			n.answerProposer(a)
		}
	}
	return len(list) > 0
}

// answerProposer answers the holder from which an applied command came.
func (n *Node) answerProposer(a quorum.Applied) {
	if renew := a.Command.Renew; renew != nil {
		n.answerRenewal(a, renew)
	}
	if store := a.Command.StoreState; store != nil {
		n.answerState(store.Holder, store.Grant)
	}
	if load := a.Command.LoadState; load != nil {
		n.answerState(load.Holder, load.Grant)
	}
	if release := a.Command.Release; release != nil {
		n.send(release.Holder.ID, Message{RenewResponse: &RenewResponse{
			To:      release.Holder,
			Invalid: []lease.Grant{release.Grant},
			Leader:  n.cfg.Self.ID,
		}})
	}
}

// answerRenewal answers a renewal with the grants that are valid and those that are not.
func (n *Node) answerRenewal(a quorum.Applied, renew *lease.Renew) {
	response := &RenewResponse{To: renew.Holder, Sequence: renew.Sequence, Leader: n.cfg.Self.ID}
	for _, grant := range renew.Grants {
		if !slices.Contains(a.Changed, grant.Name) {
			response.Invalid = append(response.Invalid, grant)
			continue
		}
		response.Valid = append(response.Valid, grant)
		l := n.quorum.State().Leases[grant.Name]
		preferredElsewhere := l.Preferred != "" && l.Preferred != a.Proposer
		if preferredElsewhere || l.Retired {
			response.Yield = append(response.Yield, grant.Name)
		}
	}
	n.send(renew.Holder.ID, Message{RenewResponse: response})
}

// answerState sends a holder the job's state that is stored with its lease. The serial shows the
// holder whether its own StoreState was applied.
func (n *Node) answerState(holder lease.Holder, grant lease.Grant) {
	l := n.quorum.State().Leases[grant.Name]
	if l == nil || l.Holder != holder || l.Token != grant.Token {
		return
	}
	n.send(holder.ID, Message{Checkpoint: &Checkpoint{
		To:     holder,
		Grant:  grant,
		Serial: l.Serial,
		Data:   l.State,
	}})
}
