package node

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
)

// releasedLease is a lease that was given up, of which the quorum may not know yet.
type releasedLease struct {
	release *lease.Release
	until   float64
}

// granted takes in what was agreed upon a renewal of this one.
func (n *Node) granted(g *Granted) {
	if g.To != n.self() {
		return
	}
	n.leader, n.heardAt = g.Leader, n.now
	n.client.ConfirmRenewal(n.now, g.Sequence, g.Held)
	for _, c := range g.Lost {
		n.client.Revoke(c)
		n.released = slices.DeleteFunc(n.released, func(g releasedLease) bool { return g.release.Grant == c })
	}
	for _, w := range g.Yield {
		n.Release(n.now, w, false)
	}
}

// Release stops a lease and tells the quorum, that another can have it at once.
func (n *Node) Release(now float64, w lease.Name, failed bool) {
	n.now = max(n.now, now)
	if r := n.client.Release(w, failed); r != nil {
		if len(n.released) < maxReleases {
			n.released = append(n.released, releasedLease{r, n.now + releaseTimeout})
		}
		n.releaseAt = n.now
		n.sendReleases()
	}
}

// sendReleases says again what was given up, until somebody says that it is known: else the quorum would wait for the lease.
func (n *Node) sendReleases() {
	n.released = slices.DeleteFunc(n.released, func(g releasedLease) bool { return n.now > g.until })
	if len(n.released) == 0 || n.now < n.releaseAt {
		return
	}
	n.releaseAt = n.now + releaseInterval
	for _, g := range n.released {
		n.toLeader(Message{Release: g.release})
	}
}

// CanAct tells whether this controller holds a lease now, with its fencing token, and until when what it begins has to be done.
func (n *Node) CanAct(now float64, w lease.Name) (lease.Token, float64, bool) {
	return n.client.CanAct(now, w)
}

// receiveCheckpoint takes in what the holders of a lease hand on.
func (n *Node) receiveCheckpoint(s *Checkpoint) {
	if e, _, ok := n.client.CanAct(n.now, s.Grant.Name); s.To == n.self() && ok && e == s.Grant.Token {
		n.out.Checkpoints = append(n.out.Checkpoints, *s)
	}
}

// ProposeState asks for the state of a lease that this controller holds to be handed on; what was agreed on comes as a Checkpoint. It may be lost: ask
// again, with the same serial.
func (n *Node) ProposeState(now float64, w lease.Name, serial uint64, data []byte) bool {
	n.now = max(n.now, now)
	e, _, ok := n.client.CanAct(n.now, w)
	if ok {
		n.toLeader(Message{StoreState: &lease.StoreState{Holder: n.self(), Grant: lease.Grant{Name: w, Token: e}, Serial: serial, Data: data}})
	}
	return ok
}

// RequestState asks for what was handed on.
func (n *Node) RequestState(now float64, w lease.Name) bool {
	n.now = max(n.now, now)
	e, _, ok := n.client.CanAct(n.now, w)
	if ok {
		n.toLeader(Message{LoadState: &lease.LoadState{Holder: n.self(), Grant: lease.Grant{Name: w, Token: e}}})
	}
	return ok
}

// renewLeases sends the renewal that is due of the leases that this controller holds.
func (n *Node) renewLeases() {
	if n.stopping {
		return
	}
	if r := n.client.Renewal(n.now); r != nil {
		n.toLeader(Message{Renew: r})
	}
}

// Held are the leases that this controller holds now.
func (n *Node) Held(now float64) []lease.Grant { return n.client.Held(now) }
