package node

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// HandOver carries out an operator's command to transfer a lease to another controller.
func (n *Node) HandOver(now float64, name lease.Name, to members.ID) {
	n.now = max(n.now, now)
	ofLease := func(p pendingPreference) bool { return p.prefer.Name == name }
	n.pendingPreferences = slices.DeleteFunc(n.pendingPreferences, ofLease)
	if len(n.pendingPreferences) < maxPreferences {
		n.pendingPreferences = append(n.pendingPreferences, pendingPreference{
			prefer:   &lease.Prefer{Name: name, To: to},
			deadline: n.now + preferTimeout,
		})
	}
	n.sendPreferencesAt = n.now
	n.sendPreferences()
	n.process()
}

// pendingPreference is an operator's command that the quorum may not have received yet.
type pendingPreference struct {
	prefer   *lease.Prefer
	deadline float64 // ms, after which it is no longer sent
}

// sendPreferences repeats operators' commands until their effect is part of the replicated state as
// this controller knows it: a message may be lost, or reach a controller that knows no leader.
func (n *Node) sendPreferences() {
	leases, _ := n.Leases()
	n.pendingPreferences = slices.DeleteFunc(n.pendingPreferences, func(p pendingPreference) bool {
		committed := func(l lease.Lease) bool {
			return l.Name == p.prefer.Name && (l.Preferred == p.prefer.To || l.Holder.ID == p.prefer.To)
		}
		return n.now > p.deadline || slices.ContainsFunc(leases, committed)
	})
	if len(n.pendingPreferences) == 0 || n.now < n.sendPreferencesAt {
		return
	}
	n.sendPreferencesAt = n.now + preferInterval
	for _, p := range n.pendingPreferences {
		n.sendToLeader(Message{Prefer: p.prefer})
	}
	n.view.requestAt = min(n.view.requestAt, n.now+preferInterval/2)
}

// ReplaceVoter carries out an operator's command to replace a voter, or to remove it if the
// successor is empty.
func (n *Node) ReplaceVoter(now float64, old, successor members.ID) {
	n.now = max(n.now, now)
	n.sendToLeader(Message{Replace: &Replace{Old: old, Successor: successor}})
	n.process()
}

// TrustDisk carries out an operator's command which asserts that this voter's folder is the latest.
// It returns false if the voter is not Unverified.
func (n *Node) TrustDisk(now float64) bool {
	n.now = max(n.now, now)
	ok := n.quorum.TrustDisk()
	n.process()
	return ok
}
