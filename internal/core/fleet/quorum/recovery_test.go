package quorum

import (
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/members"
)

// A voter is partitioned while another is replaced, and the third one stops for good. The
// partitioned voter does not know the newcomer as a member. It must still answer the newcomer, or no
// leader is ever elected.
func TestLateVoterElectsNewcomer(t *testing.T) {
	r, leader, others := withNewcomer(t)
	late, ended := others[0], others[1]
	r.lost = func(from, to members.ID) bool { return from == late || to == late }
	if !r.leader().Replace(leader, "d") {
		t.Fatal("the leader rejects a replacement, want it accepted")
	}
	r.run(20000)
	r.expectRole("d", Voter)
	r.expectRole(leader, NonMember)
	delete(r.members, ended)
	r.run(5000)
	if r.members[late].hasMember("d") {
		t.Fatal("the partitioned voter knows the newcomer as a member, want it unknown")
	}
	r.lost = nil
	r.run(20000)
	if !r.leads(late, "d") {
		t.Fatal("neither the partitioned voter nor the newcomer leads after the heal, want a leader")
	}
	r.propose(7)
	if r.members[late].State().Leases["w7"] == nil || !r.members[late].hasMember("d") {
		t.Error("the partitioned voter does not know lease w7 or the newcomer after the heal, want the committed state")
	}
}

// Many senders that are no members send messages. The number that is recorded must be bounded, and
// must not include members.
func TestUnknownSendersBounded(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(3000)
	a := r.members["a"]
	for disk := range uint64(10 * maxRemembered) {
		a.recordSender(Incarnation{Name: "x", Disk: disk + 1})
	}
	if len(a.unknownSenders) > maxRemembered {
		t.Errorf("%d unknown senders are recorded, want at most maxRemembered", len(a.unknownSenders))
	}
	a.recordSender(Incarnation{Name: "b"})
	if _, remembered := a.unknownSenders[Incarnation{Name: "b"}.Number()]; remembered {
		t.Error("the member b is recorded as an unknown sender, want it not recorded")
	}
}

// A voter restarts and is partitioned from one other, so that it requests to join as another
// incarnation. Then the leader's disk is replaced by an older copy, and the partition heals. The two
// members that hold all committed entries must elect a leader: the voter must not give up its vote
// to become the learner that it requested to be.
func TestVouchedVoterKeepsVote(t *testing.T) {
	r, leader, others := withNewcomer(t)
	restarted, third := others[0], others[1]
	old := slices.Clone(r.records[leader])
	for ref := range uint64(3) {
		r.propose(ref)
	}
	r.lost = func(from, to members.ID) bool {
		return from == restarted && to == third || from == third && to == restarted
	}
	r.start(restarted)
	for end := r.now + 60000; !r.members[restarted].verification.joinRequested; {
		if r.run(25); r.now > end {
			t.Fatal("the restarted voter does not request to join within 60 s, want a request")
		}
	}
	r.records[leader] = old
	r.start(leader)
	r.run(5000)
	if r.leads("a", "b", "c") {
		t.Fatal("a member leads without a majority, want no leader")
	}
	r.lost = nil
	r.run(40000)
	if !r.leads("a", "b", "c") {
		t.Fatal("none of a, b and c leads after the heal, want a leader")
	}
	for _, name := range r.founders {
		r.expectRole(name, Voter)
	}
	if list, votes := r.leader().Members(); len(list) != 3 || slices.Contains(votes, false) {
		t.Errorf("the members are %v with votes %v, want 3 voters", list, votes)
	}
	for _, name := range r.founders {
		if r.members[name].State().Leases["w2"] == nil {
			t.Errorf("%s does not know lease w2, want the committed state", name)
		}
	}
}

// A voter loses its disk, and the leader's messages to it are lost. The quorum must not shrink
// before the new incarnation has caught up: its former incarnation keeps the vote until then.
func TestFormerIncarnationKeepsVoteUntilLearnerCaughtUp(t *testing.T) {
	r, leader, others := withNewcomer(t)
	lost := others[0]
	former := r.members[lost].Incarnation()
	r.loseDisk(lost)
	r.lost = func(from, to members.ID) bool { return from == leader && to == lost }
	r.run(15000)
	if _, votes := r.leader().Members(); countVoters(votes) != 3 || !r.leader().votes(former) {
		t.Errorf("%d members vote, want 3 with the former incarnation among them", countVoters(votes))
	}
	r.lost = nil
	r.run(15000)
	r.expectRole(lost, Voter)
	if list, votes := r.leader().Members(); len(list) != 3 || countVoters(votes) != 3 {
		t.Errorf("after the heal the members are %v with votes %v, want 3 voters", list, votes)
	}
}

// A voter is replaced, then the leader loses its disk while the other two restart. These must know
// from their disks which members vote, to elect one of them.
func TestMembersKnownAtRestart(t *testing.T) {
	r, leader, others := withNewcomer(t)
	if !r.leader().Replace(others[0], "d") {
		t.Fatal("the leader rejects a replacement, want it accepted")
	}
	for end := r.now + 30000; r.members[others[0]].role != NonMember; {
		if r.run(25); r.now > end {
			t.Fatal("the replaced voter has not left the quorum within 30 s, want it to leave")
		}
	}
	r.run(1000) // until all have applied the change; nothing else is committed
	delete(r.members, others[0])
	r.loseDisk(leader)
	r.start(others[1])
	r.start("d")
	r.run(1)
	if list, votes := r.members["d"].Members(); len(list) != 3 || countVoters(votes) != 3 {
		t.Errorf("after its restart d knows the members %v with votes %v, want 3 voters", list, votes)
	}
	r.run(40000)
	if !r.leads(leader, others[1], "d") {
		t.Fatal("none of the members leads after the restarts, want a leader")
	}
	for _, name := range []members.ID{leader, others[1], "d"} {
		r.expectRole(name, Voter)
	}
}

// A voter loses its disk and is added as another incarnation by a newcomer that leads; then its disk
// is replaced by a copy from right after that. The founders have received nothing from this
// incarnation. The newcomer, which the copy does not know as a member, has received serials of
// records that the copy lacks, so it must be asked to vouch too.
func TestUnknownNewcomerHasToVouch(t *testing.T) {
	for what, restore := range map[string]func(old, now []Record) []Record{
		"the first record of an incarnation": func(_, now []Record) []Record { return now[:1] },
		"from before the newcomer":           func(old, _ []Record) []Record { return old },
	} {
		t.Run(what, func(t *testing.T) {
			r, leader, others := withNewcomer(t)
			old := slices.Clone(r.records[others[0]])
			r.run(1000)
			if !r.leader().Replace(leader, "d") {
				t.Fatal("the leader rejects a replacement, want it accepted")
			}
			r.run(20000)
			r.expectRole("d", Voter)
			r.elect("d")
			lost := others[0]
			if what != "from before the newcomer" {
				r.loseDisk(lost)
				r.run(20000)
				r.expectRole(lost, Voter)
				if r.members[lost].Incarnation().Disk == 0 {
					t.Fatal("the member votes as its first incarnation after the loss of its disk, want another")
				}
			}
			for ref := range uint64(3) {
				r.propose(ref)
			}
			before := r.members[lost].Incarnation()
			r.records[lost] = slices.Clone(restore(old, r.records[lost]))
			r.start(lost)
			r.run(30000)
			r.expectRole(lost, Voter)
			if after := r.members[lost].Incarnation(); after == before {
				t.Errorf("the member votes as %v, whose folder lacks records, want another incarnation", after)
			}
		})
	}
}

// The leader is replaced, its messages are lost for a short time when it learns that it was removed,
// and another voter loses its disk. The others must still learn of the removal, and elect one of
// them.
func TestRemovedLeaderLeadsUntilOthersKnow(t *testing.T) {
	r, leader, others := withNewcomer(t)
	if !r.leader().Replace(leader, "d") {
		t.Fatal("the leader rejects a replacement, want it accepted")
	}
	const lost = 100.0 // ms in which the leader's messages are lost
	r.lost = func(from, _ members.ID) bool {
		at := r.members[leader].removedAt
		return from == leader && at > 0 && r.now < at+lost
	}
	for end := r.now + 60000; r.members[leader].removedAt == 0; {
		if r.run(25); r.now > end {
			t.Fatal("the leader has not learned of its removal within 60 s, want it to learn")
		}
	}
	if _, votes := r.members["d"].Members(); countVoters(votes) != 4 {
		t.Fatalf("as far as d knows %d members vote, want 4, as the removal is not known yet", countVoters(votes))
	}
	r.run(500)
	r.loseDisk(others[0])
	r.run(40000)
	r.expectRole(leader, NonMember)
	if at := r.members[leader].removedAt; at != 0 {
		t.Errorf("removedAt of the removed leader is %g, want 0, or it would step down at once if it were added and removed again", at)
	}
	if !r.leads(others[0], others[1], "d") {
		t.Fatal("none of the members leads after the removal, want a leader")
	}
	for _, name := range []members.ID{others[0], others[1], "d"} {
		r.expectRole(name, Voter)
	}
}

// A voter receives messages to the incarnation as which it once requested to join. It must keep its
// vote while it has a leader, and for settleTime without one, as such a message may arrive before
// the first heartbeat of a new leader. If the messages continue and it has no leader, the quorum
// works without it, and its incarnation must end.
func TestVoterStaysUnlessLeaderless(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	b := r.members["b"]
	writeToNext := func() {
		t.Helper()
		b.Receive(r.now, "a", &Message{
			From: Incarnation{Name: "a"},
			To:   b.nextIncarnation(),
			Raft: raftBytes(t),
			Run:  r.members["a"].run,
		})
	}
	partitioned := func(from, to members.ID) bool { return from == "b" || to == "b" }
	writeToNext()
	r.expectRole("b", Voter) // it has a leader, or leads
	r.lost = partitioned
	r.run(5000)
	if b.Leader() != "" {
		t.Fatal("b knows a leader while it is partitioned, want none")
	}
	writeToNext()
	r.expectRole("b", Voter)
	r.run(settleTime / 2)
	writeToNext()
	r.expectRole("b", Voter)
	r.lost = nil
	r.run(5000)
	if b.Leader() == "" {
		t.Fatal("b has no leader after the heal, want one")
	}
	writeToNext()
	r.expectRole("b", Voter)
	r.lost = partitioned
	r.run(5000)
	for end := r.now + 2*settleTime; r.now < end && b.role == Voter; r.run(100) {
		writeToNext()
	}
	r.expectRole("b", Joining)
}

// A voter is partitioned while another is replaced, then all restart at once. The voter that was
// partitioned names the removed member, which the others know to be removed: they must not wait for
// its answer.
func TestRemovedMemberNeedNotVouch(t *testing.T) {
	r, leader, others := withNewcomer(t)
	late, removed := others[0], others[1]
	r.lost = func(from, to members.ID) bool { return from == late || to == late }
	if !r.leader().Replace(removed, "d") {
		t.Fatal("the leader rejects a replacement, want it accepted")
	}
	r.run(20000)
	r.expectRole("d", Voter)
	r.expectRole(removed, NonMember)
	delete(r.members, removed)
	for _, name := range []members.ID{leader, late, "d"} {
		r.start(name)
	}
	r.lost = nil
	r.run(40000)
	if !r.leads(leader, late, "d") {
		t.Fatal("none of the members leads after the restarts, want a leader")
	}
	for _, name := range []members.ID{leader, late, "d"} {
		r.expectRole(name, Voter)
	}
}

// A response names members. Those that are added by changes which may not be committed yet must
// vouch, and so must the members as of a later entry than the disk's last. The members as of the
// same or an earlier entry need not.
func TestWhichMembersVouch(t *testing.T) {
	for name, c := range map[string]struct {
		response func(applied uint64) VouchResponse
		awaited  bool
	}{
		"pending": {func(uint64) VouchResponse {
			return VouchResponse{PendingMembers: []members.ID{"d"}}
		}, true},
		"as of a later entry": {func(at uint64) VouchResponse {
			return VouchResponse{Members: []members.ID{"d"}, Index: at + 1}
		}, true},
		"as of the same entry": {func(at uint64) VouchResponse {
			return VouchResponse{Members: []members.ID{"d"}, Index: at}
		}, false},
		"this member itself, and an empty name": {func(at uint64) VouchResponse {
			return VouchResponse{PendingMembers: []members.ID{"b", ""}, Index: at}
		}, false},
		"a name that is too long": {func(uint64) VouchResponse {
			return VouchResponse{PendingMembers: []members.ID{members.ID(make([]byte, maxNameBytes+1))}}
		}, false},
	} {
		r := newCluster(t, "a", "b", "c")
		r.run(5000)
		r.propose(1)
		b := r.start("b")
		response := c.response(b.appliedIndex)
		response.Run = b.run
		b.handleVouchResponse("a", &response)
		b.handleVouchResponse("c", &VouchResponse{Run: b.run})
		if role, _ := b.Role(); (role == Unverified) != c.awaited {
			t.Errorf("%s: before the response of d the role is %v, want it unverified if and only if d has to vouch", name, role)
		}
		b.handleVouchResponse("d", &VouchResponse{Run: b.run})
		if b.role != Voter {
			t.Errorf("%s: with all responses the role is %v, want voting", name, b.role)
		}
	}
}

// A partitioned leader stores a change of the members, which may be committed later. Its pending
// members must include the one that the change would add.
func TestPendingMembers(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	leader := r.leader()
	if names := leader.pendingMembers(); len(names) != 0 {
		t.Errorf("pending members of an idle leader are %v, want none", names)
	}
	r.lost = func(members.ID, members.ID) bool { return true }
	leader.proposeChange(pb.ConfChangeAddLearnerNode, memberChange{Incarnation: Incarnation{Name: "d", Disk: 1}})
	r.run(100)
	if names := leader.pendingMembers(); !slices.Equal(names, []members.ID{"d"}) {
		t.Errorf("pending members after a proposed change are %v, want d alone", names)
	}
}

// A voter that responds has requested to join as another incarnation: its disk was vouched for after
// all. No learner may be added beside it.
func TestNoLearnerBesideResponsiveVoter(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader := r.leader()
	for end := r.now + 2*settleTime; r.now < end; r.run(25) {
		other := Incarnation{Name: others[0], Disk: 99}
		leader.membership.joins[others[0]] = joinRequest{incarnation: other, at: r.now}
		if list, _ := leader.Members(); len(list) != 3 {
			t.Fatalf("the members are %v, want 3", list)
		}
	}
}

// A new leader gets a request to join from another incarnation of a member. It must first observe
// whether the former incarnation responds.
func TestNewLeaderWaitsForResponses(t *testing.T) {
	r, former, others := withNewcomer(t)
	delete(r.members, former)
	for end := r.now + 20000; !r.leads(others...); {
		if r.run(25); r.now > end {
			t.Fatal("neither of the other voters leads within 20 s, want a leader")
		}
	}
	leader := r.leader()
	requestJoin := func(duration float64) (count int) {
		for end := r.now + duration; r.now < end; r.run(25) {
			leader.membership.joins[former] = joinRequest{incarnation: Incarnation{Name: former, Disk: 99}, at: r.now}
		}
		list, _ := leader.Members()
		return len(list)
	}
	if n := requestJoin(settleTime / 2); n != 3 {
		t.Errorf("%d incarnations are members soon after an election, want 3", n)
	}
	if n := requestJoin(2 * settleTime); n != 4 {
		t.Errorf("%d incarnations are members more than settleTime after an election, want 4", n)
	}
}

// A voter loses its disk repeatedly before it has caught up. Each unused learner must be removed
// before the next one is added.
func TestUnusedLearnersAreRemoved(t *testing.T) {
	r, leader, others := withNewcomer(t)
	lost := others[0]
	r.lost = func(from, to members.ID) bool { return from == leader && to == lost }
	for range 5 {
		r.loseDisk(lost)
		r.run(12000)
		if list, _ := r.leader().Members(); len(list) > 4 {
			t.Fatalf("the members are %v, want at most 4", list)
		}
	}
	r.lost = nil
	r.run(20000)
	r.expectRole(lost, Voter)
	if list, votes := r.leader().Members(); len(list) != 3 || countVoters(votes) != 3 {
		t.Errorf("the members are %v with votes %v, want 3 voters", list, votes)
	}
}

// A voter joins as another incarnation that does not vote yet. Its name must not count as a voter, or
// a replacement would remove a member too early.
func TestHasVote(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader, name := r.leader(), others[0]
	if !leader.hasVote(name) || leader.hasVote("d") {
		t.Error("hasVote of a voter is false, or of a controller that is no member true")
	}
	learner := Incarnation{Name: name, Disk: 99}
	leader.addMember(learner)
	if leader.hasVote(name) {
		t.Error("hasVote of a learner whose former incarnation votes is true, want false")
	}
	delete(leader.incarnations, Incarnation{Name: name}.Number())
	if leader.hasVote(name) {
		t.Error("hasVote of a learner alone is true, want false")
	}
}

// A learner whose former incarnation has a vote and responds must be removed only if it does not
// respond itself. A leader must discard the times of responses when it stops leading.
func TestResponsiveLearnerIsNotRemoved(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader := r.leader()
	former, learner := Incarnation{Name: others[0]}, Incarnation{Name: others[0], Disk: 99}
	leader.addMember(learner)
	leader.membership.respondedAt[former.Number()] = leader.now
	leader.membership.respondedAt[learner.Number()] = leader.now
	if leader.removeUnusedLearner() {
		t.Error("a learner that responds is removed, want it kept")
	}
	leader.membership.respondedAt[learner.Number()] = leader.now - settleTime
	if !leader.removeUnusedLearner() {
		t.Error("a learner that does not respond is kept beside a voter that does, want it removed")
	}
	leader.setLeading(false)
	if len(leader.membership.respondedAt) > 0 {
		t.Errorf("a former leader has the times of %d responses, want none", len(leader.membership.respondedAt))
	}
}
