package node

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
)

// handleOffer handles the offer of a lease. It reports whether the offer was to this run of the
// controller and the controller is not stopping.
func (n *Node) handleOffer(o *Offer) bool {
	if o.To != n.holder() || n.stopping {
		return false
	}
	n.leaseClient.AcceptOffer(n.now, o.Grant)
	return true
}

// renewLeases sends the renewal of this controller's leases, if it is due.
func (n *Node) renewLeases() {
	if n.stopping {
		return
	}
	if renew := n.leaseClient.Renewal(n.now); renew != nil {
		n.sendToLeader(Message{Renew: renew})
	}
}

// handleRenewResponse handles the leader's answer to a renewal or release of this run.
func (n *Node) handleRenewResponse(r *RenewResponse) {
	if r.To != n.holder() {
		return
	}
	n.leader.recordContact(r.Leader, n.now)
	n.leaseClient.ConfirmRenewal(n.now, r.Sequence, r.Valid)
	for _, grant := range r.Invalid {
		n.leaseClient.Revoke(grant)
		confirmed := func(u unconfirmedRelease) bool { return u.release.Grant == grant }
		n.unconfirmedReleases = slices.DeleteFunc(n.unconfirmedReleases, confirmed)
	}
	for _, name := range r.Yield {
		n.Release(n.now, name, false)
	}
}

// Held returns the grants under which this controller may act now.
func (n *Node) Held(now float64) []lease.Grant { return n.leaseClient.Held(now) }

// CanAct reports whether this controller may begin an effect under a lease now. It returns the
// fencing token, and the time in ms by which the effect has to be done.
func (n *Node) CanAct(now float64, name lease.Name) (token lease.Token, until float64, ok bool) {
	return n.leaseClient.CanAct(now, name)
}

// currentGrant returns the grant under which this controller may begin an effect of a lease now,
// and whether there is one.
func (n *Node) currentGrant(name lease.Name) (grant lease.Grant, held bool) {
	token, _, held := n.leaseClient.CanAct(n.now, name)
	return lease.Grant{Name: name, Token: token}, held
}

// unconfirmedRelease is the release of a lease that the quorum may not have received yet.
type unconfirmedRelease struct {
	release  *lease.Release
	deadline float64 // ms, after which it is no longer sent
}

// Release ends a lease that this controller holds and notifies the quorum, so that another
// controller can get it at once. Failed is set if this controller could not run the lease's job.
func (n *Node) Release(now float64, name lease.Name, failed bool) {
	n.now = max(n.now, now)
	release := n.leaseClient.Release(name, failed)
	if release == nil {
		return
	}
	if len(n.unconfirmedReleases) < maxReleases {
		n.unconfirmedReleases = append(n.unconfirmedReleases, unconfirmedRelease{
			release:  release,
			deadline: n.now + releaseTimeout,
		})
	}
	n.sendReleasesAt = n.now
	n.sendReleases()
}

// sendReleases repeats releases until they are confirmed: if one were lost, the quorum would wait
// for the lease to expire.
func (n *Node) sendReleases() {
	overdue := func(u unconfirmedRelease) bool { return n.now > u.deadline }
	n.unconfirmedReleases = slices.DeleteFunc(n.unconfirmedReleases, overdue)
	if len(n.unconfirmedReleases) == 0 || n.now < n.sendReleasesAt {
		return
	}
	n.sendReleasesAt = n.now + releaseInterval
	for _, u := range n.unconfirmedReleases {
		n.sendToLeader(Message{Release: u.release})
	}
}

// ProposeState proposes to replace the job's state that is stored with a lease. It returns false if
// this controller does not hold the lease. The stored state then arrives as a Checkpoint. The
// proposal may be lost: the caller repeats it with the same serial.
func (n *Node) ProposeState(now float64, name lease.Name, serial uint64, data []byte) bool {
	n.now = max(n.now, now)
	grant, held := n.currentGrant(name)
	if !held {
		return false
	}
	n.sendToLeader(Message{StoreState: &lease.StoreState{
		Holder: n.holder(),
		Grant:  grant,
		Serial: serial,
		Data:   data,
	}})
	return true
}

// RequestState requests the job's state that is stored with a lease. It returns false if this
// controller does not hold the lease. The state arrives as a Checkpoint. The request may be lost.
func (n *Node) RequestState(now float64, name lease.Name) bool {
	n.now = max(n.now, now)
	grant, held := n.currentGrant(name)
	if !held {
		return false
	}
	n.sendToLeader(Message{LoadState: &lease.LoadState{Holder: n.holder(), Grant: grant}})
	return true
}

// handleCheckpoint passes the stored state of a lease to the caller, if this run still holds the
// lease.
func (n *Node) handleCheckpoint(c *Checkpoint) {
	grant, held := n.currentGrant(c.Grant.Name)
	if c.To == n.holder() && held && grant == c.Grant {
		n.out.Checkpoints = append(n.out.Checkpoints, *c)
	}
}
