package quorum

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/members"
)

// membershipChanges is a leader's state of the changes of members that were requested from it.
type membershipChanges struct {
	respondedAt      map[uint64]float64 // ms, when members last responded, by their number
	joins            map[members.ID]joinRequest
	replacements     []replacement
	changePending    bool    // a change was proposed and not applied yet
	changeProposedAt float64 // ms
}

func newMembershipChanges() membershipChanges {
	return membershipChanges{
		respondedAt: map[uint64]float64{},
		joins:       map[members.ID]joinRequest{},
	}
}

// joinRequest is the request of an incarnation to join.
type joinRequest struct {
	incarnation Incarnation
	at          float64 // ms, when it was last repeated
}

// replacement is an operator's command to remove old once successor has a vote, or at once if
// successor is empty.
type replacement struct {
	old       members.ID
	successor members.ID
	deadline  float64 // ms, after which it is discarded
	inviteAt  float64 // ms, when the next invitation of successor is due
}

// Replace starts to replace a member by an operator's command. The old member is removed after its
// successor has joined and has a vote, or at once if successor is empty. Replace returns false if
// this member does not lead, the old one is no member or its own successor, or too many
// replacements are pending.
func (r *Replica) Replace(old, successor members.ID) bool {
	if !r.isLeader || !r.hasMember(old) || old == successor ||
		len(r.membership.replacements) >= maxRemembered {
		return false
	}
	r.membership.replacements = append(r.membership.replacements, replacement{
		old:       old,
		successor: successor,
		deadline:  r.now + replaceTimeout,
	})
	return true
}

// invited reports whether a controller that is no member was invited to join.
func (r *Replica) invited(name members.ID) bool {
	named := func(p replacement) bool { return p.successor == name }
	return slices.ContainsFunc(r.membership.replacements, named)
}

// changeMembers proposes the next change of members that is needed, one at a time. A member that
// joins as another incarnation is added as a learner. Its former incarnation keeps its vote until
// the learner has caught up and is promoted: if the quorum were smaller meanwhile, one more failure
// could leave it without a majority.
func (r *Replica) changeMembers() {
	r.recordResponses()
	if r.membership.changePending && r.now < r.membership.changeProposedAt+changeTimeout {
		return
	}
	r.membership.changePending = false
	if r.now < r.leaderChangedAt+settleTime {
		return
	}
	if r.addJoining() || r.removeUnusedLearner() || r.promoteLearner() {
		return
	}
	r.continueReplacements()
}

// recordResponses records which members have responded to this leader since the raft library last
// cleared its activity flags, which it does once per election timeout.
func (r *Replica) recordResponses() {
	r.node.WithProgress(func(id uint64, _ raft.ProgressType, progress raftProgress) {
		if progress.RecentActive {
			r.membership.respondedAt[id] = r.now
		}
	})
}

// isResponsive reports whether a member has responded to this leader within settleTime. A member
// that was just added counts as responsive, as the raft library considers it active.
func (r *Replica) isResponsive(incarnation Incarnation) bool {
	at, ever := r.membership.respondedAt[incarnation.Number()]
	return incarnation == r.incarnation || ever && r.now < at+settleTime
}

// addJoining proposes the next change that a request to join needs, and reports whether there was
// one. A request has no effect while a former incarnation of the member has a vote and responds:
// its disk was vouched for after all.
func (r *Replica) addJoining() bool {
	for _, name := range slices.Sorted(maps.Keys(r.membership.joins)) {
		request := r.membership.joins[name]
		if r.now > request.at+joinTimeout {
			delete(r.membership.joins, name)
			continue
		}
		if slices.Contains(r.retired, request.incarnation) {
			continue
		}
		former, found := r.formerIncarnation(request.incarnation)
		if found && r.votes(former) && r.isResponsive(former) {
			continue
		}
		if found && !r.votes(former) {
			r.proposeChange(pb.ConfChangeRemoveNode, memberChange{Incarnation: former})
			return true
		}
		if r.incarnations[request.incarnation.Number()] != request.incarnation {
			r.proposeChange(pb.ConfChangeAddLearnerNode, memberChange{Incarnation: request.incarnation})
			return true
		}
	}
	return false
}

// removeUnusedLearner proposes to remove a learner that does not respond while its former
// incarnation has a vote and responds. It reports whether there was one.
func (r *Replica) removeUnusedLearner() bool {
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		learner := r.incarnations[number]
		if r.votes(learner) || r.isResponsive(learner) {
			continue
		}
		if former, ok := r.formerIncarnation(learner); ok && r.votes(former) && r.isResponsive(former) {
			r.proposeChange(pb.ConfChangeRemoveNode, memberChange{Incarnation: learner})
			return true
		}
	}
	return false
}

// promoteLearner proposes to promote a learner that has caught up to voter. If its former
// incarnation is still a member, it proposes the removal of that one first. It reports whether
// there was such a learner.
func (r *Replica) promoteLearner() bool {
	last, _ := r.storage.LastIndex()
	var promoted Incarnation
	r.node.WithProgress(func(id uint64, _ raft.ProgressType, progress raftProgress) {
		learner, ok := r.incarnations[id]
		answered := progress.RecentActive && progress.Match > 0 // a learner is active when it is added
		if ok && progress.IsLearner && answered && progress.Match+promotionDistance > last {
			promoted = learner
		}
	})
	if promoted.Name == "" {
		return false
	}
	if former, ok := r.formerIncarnation(promoted); ok {
		r.proposeChange(pb.ConfChangeRemoveNode, memberChange{Incarnation: former})
		return true
	}
	r.proposeChange(pb.ConfChangeAddNode, memberChange{Incarnation: promoted})
	return true
}

// continueReplacements continues the operators' replacements: it invites each successor until it
// has a vote, then proposes to remove the old member.
func (r *Replica) continueReplacements() {
	done := func(p replacement) bool { return r.now > p.deadline || !r.hasMember(p.old) }
	r.membership.replacements = slices.DeleteFunc(r.membership.replacements, done)
	for i := range r.membership.replacements {
		p := &r.membership.replacements[i]
		if p.successor != "" && !r.hasVote(p.successor) {
			r.invite(p)
			continue
		}
		for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
			if old := r.incarnations[number]; old.Name == p.old {
				r.proposeChange(pb.ConfChangeRemoveNode, memberChange{Incarnation: old, Removed: true})
				return
			}
		}
	}
}

// invite sends a successor an invitation to request to join, at most once in joinInterval.
func (r *Replica) invite(p *replacement) {
	if r.now < p.inviteAt {
		return
	}
	p.inviteAt = r.now + joinInterval
	r.send(Incarnation{Name: p.successor}, Message{Invite: true})
}

// proposeChange proposes one change of members to the raft library.
func (r *Replica) proposeChange(kind pb.ConfChangeType, change memberChange) {
	context, err := cbor.Marshal(change)
	if err != nil {
		return
	}
	r.membership.changePending = true
	r.membership.changeProposedAt = r.now
	number := change.Incarnation.Number()
	r.node.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: &number, Context: context})
}
