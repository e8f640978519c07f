package quorum

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/members"
)

// memberChange is the context of a log entry that changes the members. It is encoded by the keys of
// its fields.
type memberChange struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	// Removed is set if the change is a removal by an operator's command.
	Removed bool `cbor:"2,keyasint,omitempty"`
}

// isMember reports whether this incarnation is a member.
func (r *Replica) isMember() bool { return r.incarnations[r.incarnation.Number()] == r.incarnation }

// isVoter reports whether this incarnation has a vote.
func (r *Replica) isVoter() bool {
	return r.votes(r.incarnation)
}

// votes reports whether an incarnation has a vote.
func (r *Replica) votes(incarnation Incarnation) bool {
	return slices.Contains(r.voters.GetVoters(), incarnation.Number())
}

// others returns the names of the other members as this controller knows them, sorted. If it knows
// none, they are the founders.
func (r *Replica) others() (names []members.ID) {
	for _, incarnation := range r.incarnations {
		if incarnation.Name != r.cfg.Self && !slices.Contains(names, incarnation.Name) {
			names = append(names, incarnation.Name)
		}
	}
	if len(r.incarnations) == 0 {
		for _, name := range r.cfg.Founders {
			if name != r.cfg.Self {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// hasMember reports whether any incarnation of a name is a member.
func (r *Replica) hasMember(name members.ID) bool {
	for _, incarnation := range r.incarnations {
		if incarnation.Name == name {
			return true
		}
	}
	return false
}

// hasVote reports whether a name has exactly one incarnation and that incarnation has a vote. If
// there are two, the one with the vote is the former one, which may have ended.
func (r *Replica) hasVote(name members.ID) bool {
	all := 0
	voting := 0
	for _, incarnation := range r.incarnations {
		if incarnation.Name != name {
			continue
		}
		all++
		if r.votes(incarnation) {
			voting++
		}
	}
	return all == 1 && voting == 1
}

// formerIncarnation returns another incarnation of the same name that is a member. It prefers one
// without a vote.
func (r *Replica) formerIncarnation(of Incarnation) (former Incarnation, found bool) {
	for _, number := range slices.Sorted(maps.Keys(r.incarnations)) {
		incarnation := r.incarnations[number]
		if incarnation.Name != of.Name || incarnation == of {
			continue
		}
		former = incarnation
		found = true
		if !r.votes(incarnation) {
			break
		}
	}
	return former, found
}

// updateRole sets the role according to the committed changes of members.
func (r *Replica) updateRole() {
	if r.role == NonMember || r.role == Unverified {
		return
	}
	removed := slices.Contains(r.removed, r.cfg.Self)
	switch {
	case r.isVoter():
		r.setRole(Voter, "")
	case r.isMember():
		r.setRole(Learner, "its log has not caught up yet")
	case removed && r.isLeader && r.now < r.stepDownAt():
	case removed:
		r.setRole(NonMember, "removed from the quorum by an operator's command")
		r.node = nil
		r.isLeader = false
		r.removedAt = 0
	case r.role != Joining:
		r.endIncarnation("the quorum continues without it")
	}
}

// stepDownAt returns until when a leader that was removed continues to lead, in ms. Its heartbeats
// tell the others that its removal is committed. If it stopped at once, they would still count it
// as a voter, which does not answer, and might not be able to elect a leader.
func (r *Replica) stepDownAt() float64 {
	if r.removedAt == 0 {
		r.removedAt = r.now
	}
	return r.removedAt + stepDownDelay
}

// applyChange applies a committed change of the members.
func (r *Replica) applyChange(change *pb.ConfChange) {
	var c memberChange
	if cbor.Unmarshal(change.GetContext(), &c) == nil && c.Incarnation.Number() == change.GetNodeId() {
		if change.GetType() == pb.ConfChangeRemoveNode {
			r.removeMember(c)
		} else {
			r.addMember(c.Incarnation)
		}
		if change.GetType() == pb.ConfChangeAddLearnerNode {
			r.snapshotWanted = true // a learner rejects snapshots that don't list it as a member
		}
	}
	r.membership.changePending = false
	if r.node != nil {
		r.voters = r.node.ApplyConfChange(change)
	} else {
		r.voters = changedVoters(r.voters, change)
	}
}

// removeMember removes and retires an incarnation. If an operator removed it, its name is recorded
// too, so that it can't join by itself.
func (r *Replica) removeMember(c memberChange) {
	delete(r.incarnations, c.Incarnation.Number())
	if c.Removed && !slices.Contains(r.removed, c.Incarnation.Name) && len(r.removed) < maxRemembered {
		r.removed = append(r.removed, c.Incarnation.Name)
	}
	r.retired = append(r.retired, c.Incarnation)
	if len(r.retired) > maxRemembered {
		r.retired = r.retired[1:]
	}
}

// addMember adds an incarnation. Its name no longer counts as removed: an operator may add a member
// again that was removed before.
func (r *Replica) addMember(incarnation Incarnation) {
	r.incarnations[incarnation.Number()] = incarnation
	r.removed = slices.DeleteFunc(r.removed, func(id members.ID) bool {
		return id == incarnation.Name
	})
}

// changedVoters returns the voters and learners after a change. It is used for the replay at a
// start; while the raft library runs, the library computes them.
func changedVoters(before *pb.ConfState, change *pb.ConfChange) *pb.ConfState {
	id := change.GetNodeId()
	without := func(ids []uint64) []uint64 {
		return slices.DeleteFunc(slices.Clone(ids), func(x uint64) bool { return x == id })
	}
	after := &pb.ConfState{
		Voters:   without(before.GetVoters()),
		Learners: without(before.GetLearners()),
	}
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
