package node

import (
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// SetLeases says anew which leases there are to be. It counts where this one leads the quorum.
func (n *Node) SetLeases(now float64, names []lease.Name) {
	n.now = max(n.now, now)
	n.facts.Leases = slices.Clone(names)
	n.manageAt = n.now
	n.turn()
}

// applyAgreed takes in what the quorum has agreed on, and tells whether there was something.
func (n *Node) applyAgreed() bool {
	list := n.quorum.TakeApplied()
	for _, a := range list {
		for _, w := range a.Changed {
			if g := n.quorum.State().Leases[w]; g != nil {
				n.raiseTokens([]lease.Lease{*g})
			}
		}
		if n.leases == nil {
			continue
		}
		n.leases.Applied(n.now, a.Command, a.Changed)
		if a.Command.Assign != nil && len(a.Changed) > 0 {
			n.offer(a.Changed[0])
		}
		if !n.asked[a.Ref] {
			continue
		}
		delete(n.asked, a.Ref)
		if r := a.Command.Renew; r != nil {
			n.answerRenewal(a, r)
		}
		if p := a.Command.StoreState; p != nil {
			n.answerState(p.Holder, p.Grant)
		}
		if g := a.Command.LoadState; g != nil {
			n.answerState(g.Holder, g.Grant)
		}
		if r := a.Command.Release; r != nil {
			n.send(r.Holder.ID, Message{Granted: &Granted{To: r.Holder, Lost: []lease.Grant{r.Grant}, Leader: n.facts.Self.ID}})
		}
	}
	return len(list) > 0
}

func (n *Node) answerRenewal(a quorum.Applied, r *lease.Renew) {
	reply := &Granted{To: r.Holder, Sequence: r.Sequence, Leader: n.facts.Self.ID}
	for _, c := range r.Grants {
		if !slices.Contains(a.Changed, c.Name) {
			reply.Lost = append(reply.Lost, c)
			continue
		}
		reply.Held = append(reply.Held, c)
		if g := n.quorum.State().Leases[c.Name]; g.Preferred != "" && g.Preferred != a.Proposer || g.Retired {
			reply.Yield = append(reply.Yield, c.Name)
		}
	}
	n.send(r.Holder.ID, Message{Granted: reply})
}

// answerState sends a holder the agreed state of its lease; the serial tells whether its own proposal was accepted.
func (n *Node) answerState(h lease.Holder, c lease.Grant) {
	if g := n.quorum.State().Leases[c.Name]; g != nil && g.Holder == h && g.Token == c.Token {
		n.send(h.ID, Message{Checkpoint: &Checkpoint{To: h, Grant: c, Serial: g.Serial, Data: g.State}})
	}
}

func (n *Node) offer(w lease.Name) {
	if g := n.quorum.State().Leases[w]; g != nil && g.Held() {
		n.send(g.Holder.ID, Message{Offer: &Offer{g.Holder, lease.Grant{Name: w, Token: g.Token}}})
	}
}

// lead does what the quorum's leader does.
func (n *Node) lead() {
	if !n.quorum.Leads() {
		n.leases = nil
		return
	}
	state := n.quorum.State()
	if n.leases == nil {
		n.leases = lease.NewManager(n.facts.Terms, n.now)
		n.manageAt, n.offerAt = n.now, n.now
	}
	if n.now < n.manageAt {
		return
	}
	if wanted := n.facts.Leases; !named(state, wanted) {
		n.propose(n.facts.Self.ID, lease.Command{Declare: &lease.Declare{Names: wanted}})
	}
	for _, c := range n.leases.Decide(n.now, state, n.candidates()) {
		n.propose(n.facts.Self.ID, c)
	}
	if n.now >= n.offerAt { // an offer may be lost
		n.offerAt = n.now + offerInterval
		for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
			if !n.leases.RecentlyRenewed(n.now, name) {
				n.offer(name)
			}
		}
	}
	n.manageAt = min(n.now+offerInterval, max(n.now+50, n.leases.Next(n.now, state)))
}

// named tells whether the leases are those wanted.
func named(s *lease.State, wanted []lease.Name) bool {
	there := 0
	for w, g := range s.Leases {
		if g.Retired {
			continue
		}
		if there++; !slices.Contains(wanted, w) {
			return false
		}
	}
	return there == len(wanted)
}

// candidates are the members that are there, as far as this one believes.
func (n *Node) candidates() (list []lease.Candidate) {
	for _, m := range n.members.Members() {
		if m.State <= members.Suspect && m.Run != 0 {
			list = append(list, lease.Candidate{Holder: lease.Holder{ID: m.ID, Run: m.Run}, Willing: m.Willing,
				Avoid: m.State == members.Suspect || m.ID == n.facts.Self.ID}) // with this one the count of its leases would go
		}
	}
	return list
}
