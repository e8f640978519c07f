package quorum

import (
	"slices"

	"go.etcd.io/raft/v3"

	"mintkeel/internal/core/fleet/members"
)

// requestJoin requests to join the quorum as this incarnation.
func (r *Replica) requestJoin() {
	if r.now < r.nextRequestAt || r.newIncarnation {
		return
	}
	r.nextRequestAt = r.now + joinInterval
	for _, name := range r.joinTargets() {
		r.send(Incarnation{Name: name}, Message{Join: &Join{Run: r.run}})
	}
}

// joinTargets returns the members to which requests to join are sent: those that this controller
// knows, the one that sent it a message, and the leader that one of them named.
func (r *Replica) joinTargets() []members.ID {
	targets := r.others()
	for _, name := range []members.ID{r.joinContact.Name, r.leaderHint} {
		if name != "" && name != r.cfg.Self && !slices.Contains(targets, name) {
			targets = append(targets, name)
		}
	}
	return targets
}

// handleInvite makes a controller that is no member request to join.
func (r *Replica) handleInvite(m *Message) {
	if r.role != NonMember || r.newIncarnation {
		return
	}
	r.joinContact = m.From
	r.endIncarnation("invited to join the quorum")
}

// handleJoin records a request to join for changeMembers, if it is from a controller that was
// invited, or from a member or founder that was not removed. A member that does not lead redirects
// the requester.
func (r *Replica) handleJoin(from members.ID, m *Message) {
	if !r.isLeader {
		r.redirect(m)
		return
	}
	if len(r.membership.joins) >= maxRemembered {
		return
	}
	expected := r.hasMember(from) || slices.Contains(r.cfg.Founders, from)
	if r.invited(from) || expected && !slices.Contains(r.removed, from) {
		r.membership.joins[from] = joinRequest{incarnation: m.From, at: r.now}
	}
}

// redirect answers a request to join with the leader's name. The requester may know only the
// founders, and others may have become voters since.
func (r *Replica) redirect(m *Message) {
	leader := r.Leader()
	if r.role == Voter && leader != "" && leader != m.From.Name {
		r.send(m.From, Message{Redirect: &Redirect{Leader: leader}})
	}
}

// handleRedirect records the leader that another member named.
func (r *Replica) handleRedirect(redirect *Redirect) {
	if len(redirect.Leader) <= maxNameBytes {
		r.leaderHint = redirect.Leader
	}
}

// nextIncarnation returns the incarnation as which this controller would join if the current one
// ended.
func (r *Replica) nextIncarnation() Incarnation {
	return Incarnation{Name: r.cfg.Self, Disk: r.cfg.NextDisk}
}

// endIncarnation ends this incarnation for a reason that operators see. The controller takes no
// part in the quorum under it any more, and requests to join as the next one.
func (r *Replica) endIncarnation(reason string) {
	r.setRole(Joining, reason)
	r.node = nil
	r.isLeader = false
	r.newIncarnation = true
	r.waiting = nil
	r.waitingSerials = map[Incarnation]uint64{}
	r.nextRequestAt = r.now
	r.verification.joinRequested = false
	if r.incarnation == r.nextIncarnation() { // NextDisk was used by an earlier end in this process
		r.cfg.NextDisk = max(1, r.rng.Uint64())
	}
}

// beginIncarnation returns a Ready with the record that begins a new incarnation in the folder. The
// record must be durable before any message of the new incarnation is sent.
func (r *Replica) beginIncarnation() *Ready {
	incarnation := r.nextIncarnation()
	record := &Record{
		Serial:          r.serial + 1,
		Incarnation:     &incarnation,
		ReceivedSerials: sortedSerials(r.receivedSerials),
		Full:            true,
	}
	return &Ready{Record: record, newIncarnation: true}
}

// handleSuperseded handles a message to the incarnation as which this member requested to join.
// That incarnation has been added to the members, and this one ends unless it keeps its vote.
func (r *Replica) handleSuperseded() {
	if r.keepsVote() {
		return
	}
	r.endIncarnation("added as another incarnation, as not all others could vouch for its disk")
}

// keepsVote reports whether this incarnation continues although a leader sends messages to the next
// one: its disk was vouched for meanwhile, and it votes. If such messages continue for settleTime
// while it has no leader, it does not continue, as the quorum works without it.
func (r *Replica) keepsVote() bool {
	if r.role != Voter || r.node == nil {
		return false
	}
	if r.node.BasicStatus().Lead != raft.None || r.now > r.supersededAt+settleTime {
		r.supersededSince = r.now
	}
	r.supersededAt = r.now
	return r.now < r.supersededSince+settleTime
}
