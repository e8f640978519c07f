package quorum

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/members"
)

// memberChange goes with a change of the members through the consensus.
type memberChange struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	Removed     bool        `cbor:"2,keyasint,omitempty"` // by an operator's command
}

// joinRequest is of an incarnation that asked this leader to be taken in.
type joinRequest struct {
	incarnation Incarnation
	at          float64 // ms, of its last request
}

// replacement is an operator's command: old leaves, and successor, if it is not empty, comes in its place.
type replacement struct {
	old, successor members.ID
	until          float64 // ms, after which it is forgotten
	inviteAt       float64 // ms
}

// Replace has a member leave, by an operator's command; first another one joins in its place and has a vote, unless that
// is empty. It is false where this one does not lead, or the first is no member.
func (r *Replica) Replace(old, with members.ID) bool {
	if !r.leading || !r.knows(old) || old == with || len(r.replacements) >= maxRetired {
		return false
	}
	r.replacements = append(r.replacements, replacement{old: old, successor: with, until: r.now + replaceTimeout})
	return true
}

// isMember tells whether this incarnation is a member.
func (r *Replica) isMember() bool { return r.incarnations[r.incarnation.Number()] == r.incarnation }

// isVoter tells whether this incarnation has a vote.
func (r *Replica) isVoter() bool {
	return r.votes(r.incarnation)
}

// others are the names of the other members as this one knows them, sorted.
func (r *Replica) others() (names []members.ID) {
	for _, incarnation := range r.incarnations {
		if incarnation.Name != r.facts.Self && !slices.Contains(names, incarnation.Name) {
			names = append(names, incarnation.Name)
		}
	}
	if len(r.incarnations) == 0 {
		for _, name := range r.facts.Founders {
			if name != r.facts.Self {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// knows tells whether an incarnation of a name is a member.
func (r *Replica) knows(name members.ID) bool {
	for _, incarnation := range r.incarnations {
		if incarnation.Name == name {
			return true
		}
	}
	return false
}

// hasVote tells whether a name's one incarnation has a vote. Where there are two, the one that votes has ended.
func (r *Replica) hasVote(name members.ID) bool {
	voting, all := 0, 0
	for _, incarnation := range r.incarnations {
		if incarnation.Name != name {
			continue
		}
		all++
		if r.votes(incarnation) {
			voting++
		}
	}
	return voting == 1 && all == 1
}

// invited tells whether a controller outside has been asked to join.
func (r *Replica) invited(name members.ID) bool {
	return slices.ContainsFunc(r.replacements, func(p replacement) bool { return p.successor == name })
}

// updateRole sets the role by the members that are agreed on.
func (r *Replica) updateRole() {
	switch {
	case r.role == Outside || r.role == Doubted:
	case r.isVoter():
		r.role, r.roleReason = Voting, ""
	case r.isMember():
		r.role, r.roleReason = Learning, "it has not caught up yet"
	case slices.Contains(r.removed, r.facts.Self) && r.leading && r.now < r.leadUntil():
	case slices.Contains(r.removed, r.facts.Self):
		r.role, r.roleReason = Outside, "taken out of the quorum by an operator's command"
		r.node, r.leading, r.removedAt = nil, false, 0
	case r.role != Joining:
		r.endIncarnation("the quorum goes on without it")
	}
}

// leadUntil is until when a leader that was taken out goes on to lead: its heartbeats tell the others that this is agreed
// on. They could not elect one of them while they take it for a voter that does not answer.
func (r *Replica) leadUntil() float64 {
	if r.removedAt == 0 {
		r.removedAt = r.now
	}
	return r.removedAt + stepDownDelay
}

// receiveJoin takes in a request to join, from a member, a founder that was not removed, or a controller that was invited.
func (r *Replica) receiveJoin(from members.ID, m *Message) {
	if !r.leading {
		r.redirect(m)
		return
	}
	if len(r.joins) >= maxRetired {
		return
	}
	expected := r.knows(from) || slices.Contains(r.facts.Founders, from)
	if r.invited(from) || expected && !slices.Contains(r.removed, from) {
		r.joins[from] = joinRequest{m.From, r.now}
	}
}

// redirect tells one that asks to join which member leads: since the founders, others may have become voters.
func (r *Replica) redirect(m *Message) {
	if leader := r.Leader(); r.role == Voting && leader != "" && leader != m.From.Name {
		r.send(m.From, Message{Redirect: &Redirect{Leader: leader}})
	}
}

// changeMembers brings the members to those wanted, one change at a time: a member that came back as another incarnation
// is taken in as a learner. Its former incarnation keeps its vote until the learner has caught up and gets one: a quorum
// that is smaller meanwhile would not be whole again if one more member failed.
func (r *Replica) changeMembers() {
	r.noteAnswers()
	if r.changePending && r.now < r.changeAt+changeTimeout {
		return
	}
	r.changePending = false
	if r.now < r.ledSince+settleTime {
		return
	}
	if r.takeInJoining() || r.dropUnusedLearner() || r.promoteLearner() {
		return
	}
	r.carryOutReplacements()
}

// noteAnswers notes which members have answered this leader since the library looked last, which it does once in an
// election timeout.
func (r *Replica) noteAnswers() {
	r.node.WithProgress(func(id uint64, _ raft.ProgressType, progress raftProgress) {
		if progress.RecentActive {
			r.answeredAt[id] = r.now
		}
	})
}

// answers tells whether a member has answered this leader lately. One that was just added counts for a while.
func (r *Replica) answers(incarnation Incarnation) bool {
	at, ever := r.answeredAt[incarnation.Number()]
	return incarnation == r.incarnation || ever && r.now < at+settleTime
}

// takeInJoining proposes the next change that a request to join needs, and tells whether there was one. A request is left
// alone while a former incarnation of its sender goes on to vote: its disk was vouched for after all.
func (r *Replica) takeInJoining() bool {
	for _, name := range slices.Sorted(maps.Keys(r.joins)) {
		request := r.joins[name]
		if r.now > request.at+joinTimeout {
			delete(r.joins, name)
			continue
		}
		if slices.Contains(r.retired, request.incarnation) {
			continue
		}
		former, found := r.formerIncarnation(request.incarnation)
		if found && r.votes(former) && r.answers(former) {
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

// dropUnusedLearner proposes to remove a learner whose former incarnation goes on to vote in its place, and tells whether
// there was one.
func (r *Replica) dropUnusedLearner() bool {
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		learner := r.incarnations[number]
		if r.votes(learner) || r.answers(learner) {
			continue
		}
		if former, ok := r.formerIncarnation(learner); ok && r.votes(former) && r.answers(former) {
			r.proposeChange(pb.ConfChangeRemoveNode, memberChange{Incarnation: learner})
			return true
		}
	}
	return false
}

// formerIncarnation is a member of the same name, first one without a vote.
func (r *Replica) formerIncarnation(of Incarnation) (former Incarnation, ok bool) {
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		incarnation := r.incarnations[number]
		if incarnation.Name != of.Name || incarnation == of {
			continue
		}
		if former, ok = incarnation, true; !r.votes(incarnation) {
			break
		}
	}
	return former, ok
}

// votes tells whether an incarnation has a vote.
func (r *Replica) votes(incarnation Incarnation) bool {
	return slices.Contains(r.voters.GetVoters(), incarnation.Number())
}

// promoteLearner proposes a vote for a learner that has caught up, once the former incarnation has none, and tells
// whether there was one.
func (r *Replica) promoteLearner() bool {
	last, _ := r.storage.LastIndex()
	promoted := Incarnation{}
	r.node.WithProgress(func(id uint64, _ raft.ProgressType, progress raftProgress) {
		learner, ok := r.incarnations[id]
		answered := progress.RecentActive && progress.Match > 0 // one that was just added counts as active
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

// carryOutReplacements goes on with the replacements that operators asked for: it invites the new member until it votes,
// then proposes to remove the old one.
func (r *Replica) carryOutReplacements() {
	r.replacements = slices.DeleteFunc(r.replacements, func(p replacement) bool { return r.now > p.until || !r.knows(p.old) })
	for i := range r.replacements {
		p := &r.replacements[i]
		if p.successor != "" && !r.hasVote(p.successor) {
			if r.now >= p.inviteAt {
				p.inviteAt = r.now + joinInterval
				r.send(Incarnation{Name: p.successor}, Message{Invite: true})
			}
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

// proposeChange proposes one change of the members.
func (r *Replica) proposeChange(kind pb.ConfChangeType, change memberChange) {
	context, err := cbor.Marshal(change)
	if err != nil {
		return
	}
	r.changePending, r.changeAt = true, r.now
	r.node.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: new(change.Incarnation.Number()), Context: context})
}

// applyChange takes in a change of the members that has been agreed on.
func (r *Replica) applyChange(change *pb.ConfChange) {
	var c memberChange
	if cbor.Unmarshal(change.GetContext(), &c) == nil && c.Incarnation.Number() == change.GetNodeId() {
		if change.GetType() == pb.ConfChangeRemoveNode {
			r.removeMember(c)
		} else {
			r.addMember(c.Incarnation)
			r.snapshotWanted = r.snapshotWanted || change.GetType() == pb.ConfChangeAddLearnerNode // it takes none without itself
		}
	}
	r.changePending = false
	if r.node != nil {
		r.voters = r.node.ApplyConfChange(change)
	} else {
		r.voters = changedVoters(r.voters, change)
	}
}

func (r *Replica) removeMember(c memberChange) {
	delete(r.incarnations, c.Incarnation.Number())
	if c.Removed && !slices.Contains(r.removed, c.Incarnation.Name) && len(r.removed) < maxRetired {
		r.removed = append(r.removed, c.Incarnation.Name)
	}
	r.retired = append(r.retired, c.Incarnation)
	if len(r.retired) > maxRetired {
		r.retired = r.retired[1:]
	}
}

func (r *Replica) addMember(incarnation Incarnation) {
	r.incarnations[incarnation.Number()] = incarnation
	r.removed = slices.DeleteFunc(r.removed, func(id members.ID) bool { return id == incarnation.Name })
}

// changedVoters are the voters and learners after a change, where no consensus runs that would compute them: at a start.
func changedVoters(before *pb.ConfState, change *pb.ConfChange) *pb.ConfState {
	id := change.GetNodeId()
	without := func(ids []uint64) []uint64 {
		return slices.DeleteFunc(slices.Clone(ids), func(x uint64) bool { return x == id })
	}
	after := &pb.ConfState{Voters: without(before.GetVoters()), Learners: without(before.GetLearners())}
	switch change.GetType() {
	case pb.ConfChangeAddNode:
		after.Voters = append(after.Voters, id)
		slices.Sort(after.Voters)
	case pb.ConfChangeAddLearnerNode:
		after.Learners = append(after.Learners, id)
		slices.Sort(after.Learners)
	}
	return after
}
