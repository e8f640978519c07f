package quorum

import (
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/members"
)

// A voter is partitioned while another is replaced, and the third one ends. The late voter does not
// know the newcomer as a member, and must answer it all the same, or no leader is ever elected.
func TestLateVoterElectsNewcomer(t *testing.T) {
	r, leader, others := withNewcomer(t)
	late, ended := others[0], others[1]
	r.lost = func(from, to members.ID) bool { return from == late || to == late }
	if !r.leader().Replace(leader, "d") {
		t.Fatal("not replaced")
	}
	r.run(20000)
	r.expectRole("d", Voter)
	r.expectRole(leader, NonMember)
	delete(r.members, ended)
	r.run(5000)
	if r.members[late].hasMember("d") {
		t.Fatal("the partitioned voter knows the newcomer")
	}
	r.lost = nil
	r.run(20000)
	if !r.leads(late, "d") {
		t.Fatal("no leader")
	}
	r.propose(7)
	if r.members[late].State().Leases["w7"] == nil || !r.members[late].hasMember("d") {
		t.Error("the partitioned voter does not learn what is agreed on")
	}
}

// Many senders that are no members write. No more than a bound are remembered, and members are not
// among them.
func TestUnknownSendersBounded(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(3000)
	a := r.members["a"]
	for disk := range uint64(10 * maxRemembered) {
		a.recordSender(Incarnation{Name: "x", Disk: disk + 1})
	}
	if len(a.unknownSenders) > maxRemembered {
		t.Errorf("%d unknown senders are remembered", len(a.unknownSenders))
	}
	a.recordSender(Incarnation{Name: "b"})
	if _, remembered := a.unknownSenders[Incarnation{Name: "b"}.Number()]; remembered {
		t.Error("a member counts as an unknown sender")
	}
}

// A voter restarts and is partitioned from one other, so that it requests to join as another
// incarnation. Then the leader's disk is replaced by an older copy, and the partition heals. The
// two that hold all that was agreed on must go on: the voter must not give up its vote for the
// learner that it requested to be.
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
			t.Fatal("it does not request to join")
		}
	}
	r.records[leader] = old
	r.start(leader)
	r.run(5000)
	if r.leads("a", "b", "c") {
		t.Fatal("a member leads without a majority")
	}
	r.lost = nil
	r.run(40000)
	if !r.leads("a", "b", "c") {
		t.Fatal("no leader")
	}
	for _, name := range r.founders {
		r.expectRole(name, Voter)
	}
	if list, votes := r.leader().Members(); len(list) != 3 || slices.Contains(votes, false) {
		t.Errorf("the quorum is %v, %v", list, votes)
	}
	for _, name := range r.founders {
		if r.members[name].State().Leases["w2"] == nil {
			t.Errorf("%s does not know what was agreed on", name)
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
		t.Errorf("of the quorum %d vote, and the former incarnation does not", countVoters(votes))
	}
	r.lost = nil
	r.run(15000)
	r.expectRole(lost, Voter)
	if list, votes := r.leader().Members(); len(list) != 3 || countVoters(votes) != 3 {
		t.Errorf("the quorum is %v, %v", list, votes)
	}
}

// A voter is replaced, then the leader loses its disk while the other two restart. These must know
// at once which members vote, to elect one of them.
func TestMembersKnownAtRestart(t *testing.T) {
	r, leader, others := withNewcomer(t)
	if !r.leader().Replace(others[0], "d") {
		t.Fatal("not replaced")
	}
	for end := r.now + 30000; r.members[others[0]].role != NonMember; {
		if r.run(25); r.now > end {
			t.Fatal("not replaced in time")
		}
	}
	r.run(1000) // the change is known to all, and nothing else is agreed on
	delete(r.members, others[0])
	r.loseDisk(leader)
	r.start(others[1])
	r.start("d")
	r.run(1)
	if list, votes := r.members["d"].Members(); len(list) != 3 || countVoters(votes) != 3 {
		t.Errorf("after its restart the newcomer knows %v, %v", list, votes)
	}
	r.run(40000)
	if !r.leads(leader, others[1], "d") {
		t.Fatal("no leader")
	}
	for _, name := range []members.ID{leader, others[1], "d"} {
		r.expectRole(name, Voter)
	}
}

// A voter loses its disk and is taken in as another incarnation by a newcomer that leads; then its
// disk is replaced by a copy from right after that. The founders have received nothing from this
// incarnation. The newcomer, which the copy does not know, has received records that it lacks, and
// must be asked too.
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
				t.Fatal("not replaced")
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
					t.Fatal("it came back as itself")
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
				t.Errorf("it votes as %v, whose folder lacks what it promised", after)
			}
		})
	}
}

// The leader is replaced, its messages are lost for a moment when it learns that it was removed,
// and another voter loses its disk. The others must learn of the removal all the same, and elect
// one of them.
func TestRemovedLeaderLeadsUntilOthersKnow(t *testing.T) {
	r, leader, others := withNewcomer(t)
	if !r.leader().Replace(leader, "d") {
		t.Fatal("not replaced")
	}
	const lost = 100.0 // ms in which the leader's messages are lost
	r.lost = func(from, _ members.ID) bool {
		at := r.members[leader].removedAt
		return from == leader && at > 0 && r.now < at+lost
	}
	for end := r.now + 60000; r.members[leader].removedAt == 0; {
		if r.run(25); r.now > end {
			t.Fatal("not removed")
		}
	}
	if _, votes := r.members["d"].Members(); countVoters(votes) != 4 {
		t.Fatalf("%d vote as far as the others know", countVoters(votes))
	}
	r.run(500)
	r.loseDisk(others[0])
	r.run(40000)
	r.expectRole(leader, NonMember)
	if at := r.members[leader].removedAt; at != 0 {
		t.Errorf("it would step down at once if it came back and was removed again: %g", at)
	}
	if !r.leads(others[0], others[1], "d") {
		t.Fatal("no leader")
	}
	for _, name := range []members.ID{others[0], others[1], "d"} {
		r.expectRole(name, Voter)
	}
}

// Messages come to the incarnation as which a voter once requested to join. The voter stays while
// it hears from a leader, and for a while without one, as such a message may come before the first
// heartbeat of a new leader. If they go on and it hears from no leader, the quorum goes on without
// it.
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
		t.Fatal("it has a leader while it is partitioned")
	}
	writeToNext()
	r.expectRole("b", Voter)
	r.run(settleTime / 2)
	writeToNext()
	r.expectRole("b", Voter)
	r.lost = nil
	r.run(5000)
	if b.Leader() == "" {
		t.Fatal("it has no leader after the heal")
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

// A voter is partitioned while another is replaced, then all restart at once. The late voter names
// the removed member, which the others know to be removed: they must not wait for its answer.
func TestRemovedMemberNeedNotVouch(t *testing.T) {
	r, leader, others := withNewcomer(t)
	late, removed := others[0], others[1]
	r.lost = func(from, to members.ID) bool { return from == late || to == late }
	if !r.leader().Replace(removed, "d") {
		t.Fatal("not replaced")
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
		t.Fatal("no leader")
	}
	for _, name := range []members.ID{leader, late, "d"} {
		r.expectRole(name, Voter)
	}
}

// Responses name members: of changes that may not be agreed on yet, which must vouch; as of a later
// entry than the disk's, likewise; and as of an earlier entry, which need not.
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
			t.Errorf("%s: it is %v", name, role)
		}
		b.handleVouchResponse("d", &VouchResponse{Run: b.run})
		if b.role != Voter {
			t.Errorf("%s: with all responses it is %v", name, b.role)
		}
	}
}

// A partitioned leader stores a change of the members, which may be agreed on later. It names the
// member that would be added.
func TestPendingMembers(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	leader := r.leader()
	if names := leader.pendingMembers(); len(names) != 0 {
		t.Errorf("pending are %v", names)
	}
	r.lost = func(members.ID, members.ID) bool { return true }
	leader.proposeChange(pb.ConfChangeAddLearnerNode, memberChange{Incarnation: Incarnation{Name: "d", Disk: 1}})
	r.run(100)
	if names := leader.pendingMembers(); !slices.Equal(names, []members.ID{"d"}) {
		t.Errorf("pending are %v", names)
	}
}

// A voter that responds requests to join as another incarnation: its disk was vouched for after
// all. No learner is added beside it.
func TestNoLearnerBesideResponsiveVoter(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader := r.leader()
	for end := r.now + 2*settleTime; r.now < end; r.run(25) {
		other := Incarnation{Name: others[0], Disk: 99}
		leader.membership.joins[others[0]] = joinRequest{incarnation: other, at: r.now}
		if list, _ := leader.Members(); len(list) != 3 {
			t.Fatalf("the members are %v", list)
		}
	}
}

// A new leader is requested to take another incarnation of a member in. It first learns whether the
// former one responds.
func TestNewLeaderWaitsForResponses(t *testing.T) {
	r, former, others := withNewcomer(t)
	delete(r.members, former)
	for end := r.now + 20000; !r.leads(others...); {
		if r.run(25); r.now > end {
			t.Fatal("no leader")
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
		t.Errorf("%d are members soon after an election", n)
	}
	if n := requestJoin(2 * settleTime); n != 4 {
		t.Errorf("%d are members after a while", n)
	}
}

// A voter loses its disk again and again before it has caught up. Each unused learner must be
// removed before the next one is added.
func TestUnusedLearnersAreRemoved(t *testing.T) {
	r, leader, others := withNewcomer(t)
	lost := others[0]
	r.lost = func(from, to members.ID) bool { return from == leader && to == lost }
	for range 5 {
		r.loseDisk(lost)
		r.run(12000)
		if list, _ := r.leader().Members(); len(list) > 4 {
			t.Fatalf("the members are %v", list)
		}
	}
	r.lost = nil
	r.run(20000)
	r.expectRole(lost, Voter)
	if list, votes := r.leader().Members(); len(list) != 3 || countVoters(votes) != 3 {
		t.Errorf("the quorum is %v, %v", list, votes)
	}
}

// A voter comes back as another incarnation that does not vote yet. Its name does not count as a voter.
func TestHasVote(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader, name := r.leader(), others[0]
	if !leader.hasVote(name) || leader.hasVote("d") {
		t.Error("a voter does not count, or a controller that is no member does")
	}
	learner := Incarnation{Name: name, Disk: 99}
	leader.addMember(learner)
	if leader.hasVote(name) {
		t.Error("a learner counts by its former incarnation's vote")
	}
	delete(leader.incarnations, Incarnation{Name: name}.Number())
	if leader.hasVote(name) {
		t.Error("a learner counts")
	}
}

// While its former incarnation goes on to vote, a learner is removed only once it does not respond.
// What a leader knows of responses ends with its leadership.
func TestResponsiveLearnerIsNotRemoved(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader := r.leader()
	former, learner := Incarnation{Name: others[0]}, Incarnation{Name: others[0], Disk: 99}
	leader.addMember(learner)
	leader.membership.respondedAt[former.Number()] = leader.now
	leader.membership.respondedAt[learner.Number()] = leader.now
	if leader.removeUnusedLearner() {
		t.Error("a learner that responds is removed")
	}
	leader.membership.respondedAt[learner.Number()] = leader.now - settleTime
	if !leader.removeUnusedLearner() {
		t.Error("a learner that does not respond stays beside a voter that does")
	}
	leader.setLeading(false)
	if len(leader.membership.respondedAt) > 0 {
		t.Errorf("a follower knows of %d responses", len(leader.membership.respondedAt))
	}
}
