package quorum

import (
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/members"
)

// withNewcomer is a room of three voters, a leader among them, and a controller d outside.
func withNewcomer(t *testing.T) (r *room, leader members.ID, others []members.ID) {
	t.Helper()
	r = newRoom(t, "a", "b", "c")
	newcomer, err := New(Facts{Self: "d", Founders: r.founders, Run: 50, Disk: 51, Seed: 50}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.members["d"] = newcomer
	r.run(5000)
	leader = r.leader().Incarnation().Name
	for _, name := range r.founders {
		if name != leader {
			others = append(others, name)
		}
	}
	return r, leader, others
}

// elect cuts the leader off, again and again, until another one leads.
func (r *room) elect(name members.ID) {
	r.t.Helper()
	for range 20 {
		if r.members[name].Leads() {
			return
		}
		leader := r.leader().Incarnation().Name
		r.cut = func(from, to members.ID) bool { return from == leader || to == leader }
		r.run(5000)
		r.cut = nil
		r.run(5000)
	}
	r.t.Fatalf("%s does not lead", name)
}

// loseDisk has a member start with an empty folder.
func (r *room) loseDisk(name members.ID) {
	r.t.Helper()
	r.kept[name] = nil
	r.start(name)
}

// leads tells whether any of these leads.
func (r *room) leads(names ...members.ID) bool {
	return slices.ContainsFunc(names, func(name members.ID) bool { return r.members[name].Leads() })
}

// TestLateVoterElectsNewcomer has a voter be cut off while another is replaced, and the third one end: the voter that
// was cut off does not know the newcomer as a member, and has to answer it all the same, or nobody is ever elected.
func TestLateVoterElectsNewcomer(t *testing.T) {
	r, leader, others := withNewcomer(t)
	late, ended := others[0], others[1]
	r.cut = func(from, to members.ID) bool { return from == late || to == late }
	if !r.leader().Replace(leader, "d") {
		t.Fatal("not replaced")
	}
	r.run(20000)
	r.standing("d", Voting)
	r.standing(leader, Outside)
	delete(r.members, ended)
	r.run(5000)
	if r.members[late].knows("d") {
		t.Fatal("the one that was cut off has heard of the newcomer")
	}
	r.cut = nil
	r.run(20000)
	if !r.leads(late, "d") {
		t.Fatal("nobody leads")
	}
	r.propose(7)
	if r.members[late].State().Leases["w7"] == nil || !r.members[late].knows("d") {
		t.Error("the one that was cut off does not hear what is agreed")
	}
}

// TestUnknownSendersBounded has many unknown senders write: no more than a bound are remembered.
func TestUnknownSendersBounded(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(3000)
	a := r.members["a"]
	for disk := range uint64(10 * maxRetired) {
		a.rememberSender(Incarnation{Name: "x", Disk: disk + 1})
	}
	if len(a.unknownSenders) > maxRetired {
		t.Errorf("%d unknown senders are remembered", len(a.unknownSenders))
	}
	a.rememberSender(Incarnation{Name: "b"})
	if _, remembered := a.unknownSenders[Incarnation{Name: "b"}.Number()]; remembered {
		t.Error("a member counts as an unknown sender")
	}
}

// TestVouchedVoterKeepsVote has a voter restart that is cut off from one other, so that it asks to be taken in as another
// incarnation; then the leader gets an older copy of its folder, and the cut heals. The two that hold all that was agreed
// on go on: the voter does not give up its vote for the learner that it asked to be.
func TestVouchedVoterKeepsVote(t *testing.T) {
	r, leader, others := withNewcomer(t)
	restarted, third := others[0], others[1]
	old := slices.Clone(r.kept[leader])
	for ref := range uint64(3) {
		r.propose(ref)
	}
	r.cut = func(from, to members.ID) bool {
		return from == restarted && to == third || from == third && to == restarted
	}
	r.start(restarted)
	for end := r.now + 60000; !r.members[restarted].askedToJoin; {
		if r.run(25); r.now > end {
			t.Fatal("it does not ask to be taken in")
		}
	}
	r.kept[leader] = old
	r.start(leader)
	r.run(5000)
	if r.leads("a", "b", "c") {
		t.Fatal("one leads without a majority")
	}
	r.cut = nil
	r.run(40000)
	if !r.leads("a", "b", "c") {
		t.Fatal("nobody leads")
	}
	for _, name := range r.founders {
		r.standing(name, Voting)
	}
	if list, votes := r.leader().Members(); len(list) != 3 || slices.Contains(votes, false) {
		t.Errorf("the quorum is %v, %v", list, votes)
	}
	for _, name := range r.founders {
		if r.members[name].State().Leases["w2"] == nil {
			t.Errorf("%s has forgotten what was agreed", name)
		}
	}
}

// TestFormerKeepsVoteUntilCaughtUp has a voter lose its folder and the leader's messages to it be lost: the quorum does
// not become smaller before the newcomer has caught up.
func TestFormerKeepsVoteUntilCaughtUp(t *testing.T) {
	r, leader, others := withNewcomer(t)
	lost := others[0]
	former := r.members[lost].Incarnation()
	r.loseDisk(lost)
	r.cut = func(from, to members.ID) bool { return from == leader && to == lost }
	r.run(15000)
	if _, votes := r.leader().Members(); countTrue(votes) != 3 || !r.leader().votes(former) {
		t.Errorf("of the quorum %d vote, and the former incarnation does not", countTrue(votes))
	}
	r.cut = nil
	r.run(15000)
	r.standing(lost, Voting)
	if list, votes := r.leader().Members(); len(list) != 3 || countTrue(votes) != 3 {
		t.Errorf("the quorum is %v, %v", list, votes)
	}
}

func countTrue(list []bool) (n int) {
	for _, x := range list {
		if x {
			n++
		}
	}
	return n
}

// TestMembersKnownAtRestart has a voter be replaced, and then the leader lose its folder while the other two restart:
// those know at once which members vote, and elect one of them.
func TestMembersKnownAtRestart(t *testing.T) {
	r, leader, others := withNewcomer(t)
	if !r.leader().Replace(others[0], "d") {
		t.Fatal("not replaced")
	}
	for end := r.now + 30000; r.members[others[0]].role != Outside; {
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
	if list, votes := r.members["d"].Members(); len(list) != 3 || countTrue(votes) != 3 {
		t.Errorf("after its restart the newcomer knows %v, %v", list, votes)
	}
	r.run(40000)
	if !r.leads(leader, others[1], "d") {
		t.Fatal("nobody leads")
	}
	for _, name := range []members.ID{leader, others[1], "d"} {
		r.standing(name, Voting)
	}
}

// TestNewcomerVouches has a voter lose its folder, be taken in as another incarnation by a newcomer that leads, and get back
// the folder of right after that: the founders received nothing from this incarnation, and the newcomer, which this folder
// does not know, received what it lacks.
func TestNewcomerVouches(t *testing.T) {
	for what, age := range map[string]func(old, now []Record) []Record{
		"the first record of an incarnation": func(_, now []Record) []Record { return now[:1] },
		"from before the newcomer":           func(old, _ []Record) []Record { return old },
	} {
		t.Run(what, func(t *testing.T) {
			r, leader, others := withNewcomer(t)
			old := slices.Clone(r.kept[others[0]])
			r.run(1000)
			if !r.leader().Replace(leader, "d") {
				t.Fatal("not replaced")
			}
			r.run(20000)
			r.standing("d", Voting)
			r.elect("d")
			lost := others[0]
			if what != "from before the newcomer" {
				r.loseDisk(lost)
				r.run(20000)
				r.standing(lost, Voting)
				if r.members[lost].Incarnation().Disk == 0 {
					t.Fatal("it came back as itself")
				}
			}
			for ref := range uint64(3) {
				r.propose(ref)
			}
			before := r.members[lost].Incarnation()
			r.kept[lost] = slices.Clone(age(old, r.kept[lost]))
			r.start(lost)
			r.run(30000)
			r.standing(lost, Voting)
			if after := r.members[lost].Incarnation(); after == before {
				t.Errorf("it votes as %v, whose folder lacks what it promised", after)
			}
		})
	}
}

// TestRemovedLeaderTellsOthers has the leader be replaced, its messages be lost for a moment when it learns that it was
// taken out, and another voter lose its folder: the others come to know it, and elect one of them.
func TestRemovedLeaderTellsOthers(t *testing.T) {
	r, leader, others := withNewcomer(t)
	if !r.leader().Replace(leader, "d") {
		t.Fatal("not replaced")
	}
	const lost = 100.0 // ms in which nothing of the leader's gets through
	r.cut = func(from, to members.ID) bool {
		at := r.members[leader].removedAt
		return from == leader && at > 0 && r.now < at+lost
	}
	for end := r.now + 60000; r.members[leader].removedAt == 0; {
		if r.run(25); r.now > end {
			t.Fatal("not taken out")
		}
	}
	if _, votes := r.members["d"].Members(); countTrue(votes) != 4 {
		t.Fatalf("%d vote as far as the others know", countTrue(votes))
	}
	r.run(500)
	r.loseDisk(others[0])
	r.run(40000)
	r.standing(leader, Outside)
	if at := r.members[leader].removedAt; at != 0 {
		t.Errorf("it would leave at once if it came back and was taken out again: %g", at)
	}
	if !r.leads(others[0], others[1], "d") {
		t.Fatal("nobody leads")
	}
	for _, name := range []members.ID{others[0], others[1], "d"} {
		r.standing(name, Voting)
	}
}

// TestVoterStaysUnlessLeaderless has messages come to the incarnation as which a voter once asked to be taken in: the voter
// stays while it hears from a leader, and for a while without one, as such a message may come ahead of the first
// heartbeat of a new leader. If they go on and no leader is heard, the quorum goes on without it.
func TestVoterStaysUnlessLeaderless(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	b := r.members["b"]
	call := func() {
		t.Helper()
		b.Receive(r.now, "a", &Message{From: Incarnation{Name: "a"}, To: b.nextIncarnation(), Raft: raftBytes(t), Run: r.members["a"].run})
	}
	cutOff := func(from, to members.ID) bool { return from == "b" || to == "b" }
	call()
	r.standing("b", Voting) // it has a leader, or leads
	r.cut = cutOff
	r.run(5000)
	if b.Leader() != "" {
		t.Fatal("it has a leader while it is cut off")
	}
	call()
	r.standing("b", Voting)
	r.run(settleTime / 2)
	call()
	r.standing("b", Voting)
	r.cut = nil
	r.run(5000)
	if b.Leader() == "" {
		t.Fatal("it has no leader after the heal")
	}
	call()
	r.standing("b", Voting)
	r.cut = cutOff
	r.run(5000)
	for end := r.now + 2*settleTime; r.now < end && b.role == Voting; r.run(100) {
		call()
	}
	r.standing("b", Joining)
}

// TestLateVoterNamesGoneMember has a voter be cut off while another is replaced for good, and then all restart at once: the
// late one names the member that has gone, which the others know to have left, and they don't wait for its word.
func TestLateVoterNamesGoneMember(t *testing.T) {
	r, leader, others := withNewcomer(t)
	late, gone := others[0], others[1]
	r.cut = func(from, to members.ID) bool { return from == late || to == late }
	if !r.leader().Replace(gone, "d") {
		t.Fatal("not replaced")
	}
	r.run(20000)
	r.standing("d", Voting)
	r.standing(gone, Outside)
	delete(r.members, gone)
	for _, name := range []members.ID{leader, late, "d"} {
		r.start(name)
	}
	r.cut = nil
	r.run(40000)
	if !r.leads(leader, late, "d") {
		t.Fatal("nobody leads")
	}
	for _, name := range []members.ID{leader, late, "d"} {
		r.standing(name, Voting)
	}
}

// TestWhichMembersVouch has answers name members: of changes that may not be agreed on yet, whose word is awaited; as of a
// later entry than the folder's, likewise; and as of an earlier one, which tells nothing.
func TestWhichMembersVouch(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(applied uint64) Answer
		awaited bool
	}{
		"pending":                  {func(uint64) Answer { return Answer{Pending: []members.ID{"d"}} }, true},
		"of a later entry":         {func(at uint64) Answer { return Answer{Members: []members.ID{"d"}, Index: at + 1} }, true},
		"of the same entry":        {func(at uint64) Answer { return Answer{Members: []members.ID{"d"}, Index: at} }, false},
		"this one, and no name":    {func(at uint64) Answer { return Answer{Pending: []members.ID{"b", ""}, Index: at} }, false},
		"a name that is too large": {func(uint64) Answer { return Answer{Pending: []members.ID{members.ID(make([]byte, maxName+1))}} }, false},
	} {
		r := newRoom(t, "a", "b", "c")
		r.run(5000)
		r.propose(1)
		b := r.start("b")
		answer := c.answer(b.appliedIndex)
		answer.Run = b.run
		b.receiveAnswer("a", &answer)
		b.receiveAnswer("c", &Answer{Run: b.run})
		if role, _ := b.Role(); (role == Doubted) != c.awaited {
			t.Errorf("%s: it is %v", name, role)
		}
		if b.receiveAnswer("d", &Answer{Run: b.run}); b.role != Voting {
			t.Errorf("%s: with all answers it is %v", name, b.role)
		}
	}
}

// TestPendingMembers has a leader that is cut off store a change of the members: it names the one that would be added.
func TestPendingMembers(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	leader := r.leader()
	if names := leader.pendingMembers(); len(names) != 0 {
		t.Errorf("pending are %v", names)
	}
	r.cut = func(members.ID, members.ID) bool { return true }
	leader.proposeChange(pb.ConfChangeAddLearnerNode, memberChange{Incarnation: Incarnation{Name: "d", Disk: 1}})
	r.run(100)
	if names := leader.pendingMembers(); !slices.Equal(names, []members.ID{"d"}) {
		t.Errorf("pending are %v", names)
	}
}

// TestJoinOfAnsweringVoter has requests to join as another incarnation come from a voter that answers: its disk was vouched
// for after all, and no learner is taken in beside it.
func TestJoinOfAnsweringVoter(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader := r.leader()
	for end := r.now + 2*settleTime; r.now < end; r.run(25) {
		leader.joins[others[0]] = joinRequest{Incarnation{Name: others[0], Disk: 99}, r.now}
		if list, _ := leader.Members(); len(list) != 3 {
			t.Fatalf("the members are %v", list)
		}
	}
}

// TestNewLeaderSettles has a leader that has just been elected be asked to take another incarnation in: it first learns
// whether the former one answers.
func TestNewLeaderSettles(t *testing.T) {
	r, former, others := withNewcomer(t)
	delete(r.members, former)
	for end := r.now + 20000; !r.leads(others...); {
		if r.run(25); r.now > end {
			t.Fatal("nobody leads")
		}
	}
	leader := r.leader()
	ask := func(long float64) (members int) {
		for end := r.now + long; r.now < end; r.run(25) {
			leader.joins[former] = joinRequest{Incarnation{Name: former, Disk: 99}, r.now}
		}
		list, _ := leader.Members()
		return len(list)
	}
	if n := ask(settleTime / 2); n != 3 {
		t.Errorf("%d are members soon after an election", n)
	}
	if n := ask(2 * settleTime); n != 4 {
		t.Errorf("%d are members after a while", n)
	}
}

// TestLearnersDoNotAddUp has a voter lose its folder again and again before it has caught up: each learner that came to
// nothing makes room for the next one.
func TestLearnersDoNotAddUp(t *testing.T) {
	r, leader, others := withNewcomer(t)
	lost := others[0]
	r.cut = func(from, to members.ID) bool { return from == leader && to == lost }
	for range 5 {
		r.loseDisk(lost)
		r.run(12000)
		if list, _ := r.leader().Members(); len(list) > 4 {
			t.Fatalf("the members are %v", list)
		}
	}
	r.cut = nil
	r.run(20000)
	r.standing(lost, Voting)
	if list, votes := r.leader().Members(); len(list) != 3 || countTrue(votes) != 3 {
		t.Errorf("the quorum is %v, %v", list, votes)
	}
}

// TestHasVote has a voter come back as another incarnation that does not vote yet: its name does not count as a voter.
func TestHasVote(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader, name := r.leader(), others[0]
	if !leader.hasVote(name) || leader.hasVote("d") {
		t.Error("who votes is not told")
	}
	learner := Incarnation{Name: name, Disk: 99}
	if leader.addMember(learner); leader.hasVote(name) {
		t.Error("one that does not vote yet counts by its former incarnation's vote")
	}
	if delete(leader.incarnations, Incarnation{Name: name}.Number()); leader.hasVote(name) {
		t.Error("a learner counts")
	}
}

// TestUnusedLearner has a learner whose former incarnation goes on to vote be dropped only once it does not answer, and
// what is known of answers end with the leading.
func TestUnusedLearner(t *testing.T) {
	r, _, others := withNewcomer(t)
	leader := r.leader()
	former, learner := Incarnation{Name: others[0]}, Incarnation{Name: others[0], Disk: 99}
	leader.addMember(learner)
	leader.answeredAt[former.Number()], leader.answeredAt[learner.Number()] = leader.now, leader.now
	if leader.dropUnusedLearner() {
		t.Error("a learner that answers is dropped")
	}
	leader.answeredAt[learner.Number()] = leader.now - settleTime
	if !leader.dropUnusedLearner() {
		t.Error("a learner that does not answer stays beside a voter that does")
	}
	if leader.setLeading(false); len(leader.answeredAt) > 0 {
		t.Errorf("one that does not lead knows of %d that answer", len(leader.answeredAt))
	}
}
