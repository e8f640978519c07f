package quorum

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// If heartbeats carried the serial of a record, each side would store a record for each heartbeat of
// the other, and carry that record's serial in its own heartbeats, without end. An idle quorum must
// store nothing.
func TestIdleQuorumStoresNothing(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	before := len(r.records["a"]) + len(r.records["b"]) + len(r.records["c"])
	r.run(60000)
	if after := len(r.records["a"]) + len(r.records["b"]) + len(r.records["c"]); after != before {
		t.Errorf("%d records stored in an idle minute, want none", after-before)
	}
}

// TestAllMembersApplySameCommands: all members must apply the same commands in the same order, and
// store a bounded number of records. A follower must reject proposals.
func TestAllMembersApplySameCommands(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	for ref := range uint64(600) { // enough for two snapshots
		r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: []lease.Name{"w"}}})
		r.run(50)
	}
	r.run(1000)
	for _, name := range r.founders {
		r.expectRole(name, Voter)
		if got := len(r.applied[name]); got != 600 || fmt.Sprint(r.applied[name]) != fmt.Sprint(r.applied["a"]) {
			t.Errorf("%s applied %d commands, want the same 600 as a", name, got)
		}
		if n := len(r.records[name]); n > 3*snapshotEntries {
			t.Errorf("%s stores %d records, want at most 3 times snapshotEntries", name, n)
		}
	}
	follower := r.founders[0]
	if r.leader() == r.members[follower] {
		follower = "b"
	}
	if r.members[follower].Propose("x", 1, lease.Command{}) {
		t.Error("a follower accepts a proposal, want it rejected")
	}
}

// TestRestartedMemberIsVerifiedAndGoesOn: a member that restarts with all its records must be
// vouched for and continue as the same incarnation with the committed state, also if all members
// restart at once.
func TestRestartedMemberIsVerifiedAndGoesOn(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	r.propose(1)
	for _, name := range r.founders {
		c := r.start(name)
		r.expectRole(name, Unverified)
		if c.Leads() {
			t.Error("an unverified member leads, want it not to lead")
		}
		r.run(4000)
		r.expectRole(name, Voter)
		if c.Incarnation().Disk != 0 {
			t.Errorf("%s continues as another incarnation after a restart, want the same", name)
		}
	}
	for _, name := range r.founders { // all members at once
		r.start(name)
	}
	r.run(6000)
	for _, name := range r.founders {
		r.expectRole(name, Voter)
		if r.members[name].State().Leases["w1"] == nil {
			t.Errorf("%s does not know lease w1, want the committed state", name)
		}
	}
}

// A member's disk is lost, or replaced by an old copy, or lacks the last entries. If it voted as the
// same incarnation, it could break what that one promised. It must rejoin as another incarnation,
// vote again, and restart as that one.
func TestMemberWithLostRecordsRejoins(t *testing.T) {
	for what, change := range map[string]func(old, now []Record) []Record{
		"empty":       func(_, _ []Record) []Record { return nil },
		"an old copy": func(old, _ []Record) []Record { return old },
		"the last entry": func(_, now []Record) []Record {
			i := len(now) - 1
			for ; now[i].Entries == nil; i-- {
			}
			return now[:i]
		},
	} {
		r := newCluster(t, "a", "b", "c")
		r.run(5000)
		old := slices.Clone(r.records["b"])
		for ref := range uint64(5) {
			r.propose(ref)
		}
		r.records["b"] = change(old, r.records["b"])
		c := r.start("b")
		r.run(500)
		if s, _ := c.Role(); s == Voter && c.Incarnation().Disk == 0 {
			t.Errorf("%s: b votes as the same incarnation, want it unverified or another", what)
		}
		r.run(10000)
		r.expectRole("b", Voter)
		if c.Incarnation().Disk == 0 {
			t.Errorf("%s: b is the same incarnation, want another", what)
		}
		incarnations, votes := r.leader().Members()
		if len(incarnations) != 3 || slices.Contains(votes, false) {
			t.Errorf("%s: the members are %v with votes %v, want 3 voters", what, incarnations, votes)
		}
		r.propose(9)
		if c.State().Leases["w9"] == nil {
			t.Errorf("%s: b does not know lease w9, want the committed state", what)
		}
		c = r.start("b") // the new incarnation must continue after a restart
		r.run(4000)
		r.expectRole("b", Voter)
		ofB := slices.IndexFunc(incarnations, func(i Incarnation) bool { return i.Name == "b" })
		if c.Incarnation() != incarnations[ofB] {
			t.Errorf("%s: after another restart b is another incarnation again, want the same", what)
		}
	}
}

// The folder of a later incarnation is replaced by a copy from before the incarnation was added. It
// is an old copy like any other, and must end that incarnation too.
func TestOldCopyOfLaterIncarnationEndsIt(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	r.records["b"] = nil
	r.start("b")
	r.run(10000)
	r.expectRole("b", Voter)
	second := r.members["b"].Incarnation()
	r.propose(1)
	r.records["b"] = r.records["b"][:1]
	b := r.start("b")
	r.expectRole("b", Unverified)
	r.run(10000)
	r.expectRole("b", Voter)
	if b.Incarnation() == second || b.Incarnation().Disk == 0 {
		t.Errorf("b votes as %v, want neither its first nor its second incarnation", b.Incarnation())
	}
	r.propose(2)
}

// The process of a retired incarnation continues to run with its state in memory, and campaigns
// repeatedly. No member may vote for it, and the term must not rise.
func TestRetiredIncarnationIsIgnored(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	retired := r.members["b"]
	r.records["b"] = nil
	r.start("b")
	r.run(10000)
	r.expectRole("b", Voter)
	before := r.leader().Term()
	for range 100 {
		retired.Tick(r.now)
		retired.postponeCampaign()
		if retired.node != nil {
			retired.node.Campaign()
		}
		for b := retired.Ready(); b != nil; b = retired.Ready() {
			retired.Advance(r.now, b)
		}
		for _, m := range retired.TakeMessages() {
			if to := r.members[m.To.Name]; to != retired && to != nil {
				to.Receive(r.now, "b", &m)
			}
		}
		r.run(25)
	}
	if retired.Leads() || r.leader().Term() != before {
		t.Errorf("the retired incarnation leads: %v, and the term is %d, want false and term %d",
			retired.Leads(), r.leader().Term(), before)
	}
}

// One of three members is lost for good and another restarts. The third one's answer alone does not
// verify its disk, so the quorum is unavailable until an operator asserts that the disk is the
// latest.
func TestOperatorTrustsDisk(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	r.propose(1)
	delete(r.members, "c")
	b := r.start("b")
	r.run(20000)
	r.expectRole("b", Unverified)
	if !b.TrustDisk() {
		t.Fatal("TrustDisk of an unverified member returns false, want true")
	}
	r.run(5000)
	r.expectRole("b", Voter)
	if b.TrustDisk() {
		t.Error("TrustDisk of a voter returns true, want false")
	}
	r.propose(2)
}

// Of five members one is lost for good and another restarts: not all others can vouch for its disk.
// As the others have a leader, it must join as another incarnation.
func TestRestartWithoutAllVouchers(t *testing.T) {
	r := newCluster(t, "a", "b", "c", "d", "e")
	r.run(5000)
	delete(r.members, "e")
	r.run(3000)
	if r.leader() == r.members["b"] {
		delete(r.members, "b")
		r.run(5000)
	}
	b := r.start("b")
	r.run(15000)
	r.expectRole("b", Voter)
	if b.Incarnation().Disk == 0 {
		t.Error("b votes as the same incarnation without the answer of e, want another incarnation")
	}
}

// TestReplaceMember: a member that an operator removed must not join again by itself, and one that
// an operator replaced must leave after its successor has joined.
func TestReplaceMember(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	if r.members[out].Replace(out, "") {
		t.Error("a follower accepts a replacement, want it rejected")
	}
	if r.leader().Replace("z", "") {
		t.Error("the leader accepts the removal of a controller that is no member, want it rejected")
	}
	if !r.leader().Replace(out, "") {
		t.Fatal("the leader rejects the removal of a member, want it accepted")
	}
	r.run(3000)
	if incarnations, _ := r.leader().Members(); len(incarnations) != 2 {
		t.Errorf("after a removal the members are %v, want 2", incarnations)
	}
	r.expectRole(out, NonMember)
	r.propose(3)
	r.start(out) // it must not join again by itself
	r.run(20000)
	if incarnations, _ := r.leader().Members(); len(incarnations) != 2 {
		t.Errorf("after a restart of the removed member the members are %v, want 2", incarnations)
	}

	r = newCluster(t, "a", "b", "c")
	d, err := New(Config{Self: "d", Founders: r.founders, Run: 50, NextDisk: 51, Seed: 50}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.members["d"] = d
	r.run(5000)
	r.expectRole("d", NonMember)
	out = "c"
	if r.leader() == r.members["c"] {
		out = "a"
	}
	r.leader().Replace(out, "d")
	r.run(10000)
	r.expectRole("d", Voter)
	r.expectRole(out, NonMember)
	incarnations, votes := r.leader().Members()
	if len(incarnations) != 3 || slices.Contains(votes, false) || d.State() == nil {
		t.Errorf("after a replacement the members are %v with votes %v, want 3 voters", incarnations, votes)
	}
	r.propose(4)
	if d.State().Leases["w4"] == nil {
		t.Error("the new member does not know lease w4, want the committed state")
	}
	r.start("d") // must continue after a restart
	r.run(5000)
	r.expectRole("d", Voter)
}

// TestInvalidMessagesAndRecordsAreRejected: messages with another name than their sender's, without
// a valid encoding, to another member, from an unknown incarnation or without content must change
// nothing, and records out of order must be an error.
func TestInvalidMessagesAndRecordsAreRejected(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	c := r.members["a"]
	before := c.Term()
	for _, m := range []*Message{
		{From: Incarnation{"b", 0}, To: Incarnation{"a", 0}, Raft: []byte("nonsense"), Run: 2},
		{From: Incarnation{"c", 0}, To: Incarnation{"a", 0}, VouchRequest: &VouchRequest{1}},
		{From: Incarnation{"b", 0}, To: Incarnation{"z", 0}, Join: &Join{}},
		{From: Incarnation{"b", 7}, To: Incarnation{"a", 0}, Raft: []byte{}, Run: 2},
		{},
	} {
		c.Receive(r.now, "b", m)
	}
	r.run(3000)
	if r.leader().Term() != before {
		t.Errorf("term after invalid messages is %d, want %d as before", r.leader().Term(), before)
	}
	_, err := New(Config{Self: "a", Founders: r.founders}, []Record{{Serial: 1}, {Serial: 3}}, 0)
	if !errors.Is(err, ErrRecordOrder) || !strings.Contains(err.Error(), "order") {
		t.Errorf("error for records out of order: %v, want ErrRecordOrder", err)
	}
}

// A member votes and restarts, with or without a compaction of its log in between. If its vote were
// lost, it could vote for another candidate in the same term, and two members would lead.
func TestVoteOutlastsRestart(t *testing.T) {
	for _, proposals := range []uint64{0, 600} {
		r := newCluster(t, "a", "b", "c")
		r.run(5000)
		for ref := range proposals {
			r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: []lease.Name{"w"}}})
			r.run(50)
		}
		voted := 0
		for _, name := range r.founders {
			before, _, _ := r.members[name].storage.InitialState()
			applied := r.members[name].appliedIndex
			c := r.start(name)
			after, _, _ := c.storage.InitialState()
			if before.GetTerm() != after.GetTerm() || before.GetVote() != after.GetVote() {
				t.Errorf("%s: term %d and vote %x after a restart, want %d and %x", name,
					after.GetTerm(), after.GetVote(), before.GetTerm(), before.GetVote())
			}
			if before.GetVote() != 0 {
				voted++
			}
			if last, _ := c.storage.LastIndex(); last < applied {
				t.Errorf("%s: the log ends at %d after a restart, want at least %d, which was applied", name, last, applied)
			}
		}
		if voted < 2 {
			t.Errorf("%d members have stored a vote, want at least 2", voted)
		}
	}
}

// A message of an earlier run of a member is still in transit when its next run requests the highest
// serial received. If the message were used after the answer, the answer would be wrong. Answers to
// an earlier run must not count for the next one either.
func TestMessagesOfEarlierRunsAreIgnored(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	r.lost = func(members.ID, members.ID) bool { return true }
	b := r.start("b")
	a := r.members["a"]
	b.Tick(r.now)
	asked := b.TakeMessages()
	for _, m := range asked {
		if m.To.Name == "a" {
			a.Receive(r.now, "b", &m)
		}
	}
	waiting := len(a.waiting)
	receive := func(run uint64) {
		a.Receive(r.now, "b", &Message{
			From:   Incarnation{"b", 0},
			To:     Incarnation{"a", 0},
			Run:    run,
			Serial: 1 << 40,
			Raft:   raftBytes(t),
		})
	}
	receive(2)
	if len(a.waiting) != waiting {
		t.Error("a message of an earlier run waits to be used after a later run's request, want it ignored")
	}
	receive(b.run)
	if len(a.waiting) != waiting+1 {
		t.Error("a message of the requesting run does not wait to be used, want it to wait")
	}
	respond := func(to *Replica, by, from members.ID, response VouchResponse) {
		to.Receive(r.now, by, &Message{
			From:          Incarnation{from, 0},
			To:            Incarnation{"b", 0},
			VouchResponse: &response,
		})
	}
	vouch := func(from members.ID, run uint64) { respond(b, from, from, VouchResponse{Run: run}) }
	vouch("a", b.run-1)
	vouch("c", b.run)
	r.expectRole("b", Unverified)
	vouch("c", b.run)
	r.expectRole("b", Unverified)
	vouch("a", b.run)
	r.expectRole("b", Voter)
	d := r.start("b")
	respond(d, "a", "a", VouchResponse{Run: d.run, Retired: true})
	r.expectRole("b", Joining)
	e := r.start("b")
	respond(e, "c", "a", VouchResponse{Run: e.run, Retired: true})
	r.expectRole("b", Unverified) // c is not authenticated as a
}

// raftBytes returns an encoded message of the raft library from b to a.
func raftBytes(t *testing.T) []byte {
	t.Helper()
	data, err := proto.Marshal(&pb.Message{
		Type:  new(pb.MsgAppResp),
		From:  new(Incarnation{"b", 0}.Number()),
		To:    new(Incarnation{"a", 0}.Number()),
		Term:  new(uint64(1)),
		Index: new(uint64(1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestSingleVoterAndNonMember: a quorum of one member must commit commands by itself and continue
// after a restart; a controller that is no founder must take no part.
func TestSingleVoterAndNonMember(t *testing.T) {
	r := newCluster(t, "a")
	r.run(5000)
	r.expectRole("a", Voter)
	r.propose(1)
	r.start("a")
	r.run(5000)
	r.expectRole("a", Voter)
	if r.members["a"].State().Leases["w1"] == nil {
		t.Error("after a restart lease w1 is not known, want the committed state")
	}
	c, err := New(Config{Self: "z", Founders: r.founders, Run: 9}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	if s, _ := c.Role(); s != NonMember || c.Ready() != nil || c.Next() < 1000 {
		t.Error("a controller that is no founder is not outside, has a Ready or a tick due before 1000 ms, want none of these")
	}
}

// All processes are paused for minutes. If they ran all the ticks that they missed, each would start
// several elections at once.
func TestPausedMemberSkipsMissedTicks(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	term := r.leader().Term()
	r.now += 600000
	r.run(10000)
	if got := r.leader().Term(); got > term+3 {
		t.Errorf("term %d after a pause of all members in term %d, want at most 3 more", got, term)
	}
}

// A member requests to join as another incarnation and is vouched for at the same time. It must
// continue as the incarnation that is a member of the quorum.
func TestVouchedForWhileJoining(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	c := r.start(out)
	r.lost = func(_, to members.ID) bool { return to == out } // it sends, and receives nothing
	c.verification.othersHaveLeader = true
	c.verification.startedAt = r.now - vouchTimeout - 1
	r.run(3000)
	for _, other := range c.others() { // answers that were sent before it was added
		c.Receive(r.now, other, &Message{
			From:          Incarnation{other, 0},
			To:            Incarnation{out, 0},
			VouchResponse: &VouchResponse{Run: c.run, ReceivedSerial: 0},
		})
	}
	if c.Incarnation().Disk != 0 {
		t.Fatal("the member is another incarnation before messages reach it, want its first")
	}
	r.lost = nil
	r.run(10000)
	r.expectRole(out, Voter)
	if incarnations, _ := r.leader().Members(); !slices.Contains(incarnations, c.Incarnation()) {
		t.Errorf("the member is %v, want one of the quorum's incarnations %v", c.Incarnation(), incarnations)
	}
}

// A voter that lost its disk knows only the founders. One of them was replaced, and its successor
// leads. The voter must learn the successor's name from another member to join again.
func TestLostFounderRejoinsUnderReplacement(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	newcomer, err := New(Config{Self: "d", Founders: r.founders, Run: 50, NextDisk: 51, Seed: 50}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.members["d"] = newcomer
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	if !r.leader().Replace(out, "d") {
		t.Fatal("the leader rejects a replacement, want it accepted")
	}
	r.run(20000)
	r.expectRole("d", Voter)
	r.elect("d")
	lost := members.ID("b")
	r.records[lost] = nil
	r.start(lost)
	r.run(30000)
	r.expectRole(lost, Voter)
}
