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

// Heartbeats that carried the serial of a record would have each side store a record for each, and
// carry the serial of that record in its own heartbeats, without end. An idle quorum stores
// nothing.
func TestIdleQuorumStoresNothing(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	before := len(r.records["a"]) + len(r.records["b"]) + len(r.records["c"])
	r.run(60000)
	if after := len(r.records["a"]) + len(r.records["b"]) + len(r.records["c"]); after != before {
		t.Errorf("%d records stored in an idle minute", after-before)
	}
}

// TestAllMembersApplySameCommands: all members apply the same commands in the same order, and store
// a bounded number of records.
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
			t.Errorf("%s applied %d", name, got)
		}
		if n := len(r.records[name]); n > 3*snapshotEntries {
			t.Errorf("%s stores %d records", name, n)
		}
	}
	follower := r.founders[0]
	if r.leader() == r.members[follower] {
		follower = "b"
	}
	if r.members[follower].Propose("x", 1, lease.Command{}) {
		t.Error("a follower accepts a proposal")
	}
}

// TestRestartedMemberIsVerifiedAndGoesOn: a member that restarts with all its records is vouched
// for and goes on as the same incarnation, with what was agreed on; also if all restart at once.
func TestRestartedMemberIsVerifiedAndGoesOn(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	r.propose(1)
	for _, name := range r.founders {
		c := r.start(name)
		r.expectRole(name, Unverified)
		if c.Leads() {
			t.Error("an unverified member leads")
		}
		r.run(4000)
		r.expectRole(name, Voter)
		if c.Incarnation().Disk != 0 {
			t.Errorf("%s has come back as another incarnation", name)
		}
	}
	for _, name := range r.founders { // all at once
		r.start(name)
	}
	r.run(6000)
	for _, name := range r.founders {
		r.expectRole(name, Voter)
		if r.members[name].State().Leases["w1"] == nil {
			t.Errorf("%s does not know what was agreed on", name)
		}
	}
}

// A member's disk is lost, or replaced by an old copy, or lacks the last entries. If it voted as
// itself it could break what it promised. It comes back as another incarnation, votes again, and
// restarts as that one.
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
			t.Errorf("%s: it votes as itself", what)
		}
		r.run(10000)
		r.expectRole("b", Voter)
		if c.Incarnation().Disk == 0 {
			t.Errorf("%s: it is the same incarnation", what)
		}
		incarnations, votes := r.leader().Members()
		if len(incarnations) != 3 || slices.Contains(votes, false) {
			t.Errorf("%s: the quorum is %v, %v", what, incarnations, votes)
		}
		r.propose(9)
		if c.State().Leases["w9"] == nil {
			t.Errorf("%s: it does not learn what is agreed on", what)
		}
		c = r.start("b") // the new incarnation restarts as itself
		r.run(4000)
		r.expectRole("b", Voter)
		ofB := slices.IndexFunc(incarnations, func(i Incarnation) bool { return i.Name == "b" })
		if c.Incarnation() != incarnations[ofB] {
			t.Errorf("%s: another incarnation again", what)
		}
	}
}

// The folder of a later incarnation is put back to before that was taken in. It is an old copy as
// any other, and that incarnation ends too.
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
		t.Errorf("it votes as %v", b.Incarnation())
	}
	r.propose(2)
}

// The process of a retired incarnation runs on with its memory, and campaigns again and again. No
// member follows it, and the term does not rise.
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
		t.Errorf("the retired incarnation leads: %v; term %d after %d", retired.Leads(), r.leader().Term(), before)
	}
}

// One of three members is lost for good and another restarts. The third can't vouch alone, so the
// quorum stands still until an operator says that the disk is the latest.
func TestOperatorTrustsDisk(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	r.propose(1)
	delete(r.members, "c")
	b := r.start("b")
	r.run(20000)
	r.expectRole("b", Unverified)
	if !b.TrustDisk() {
		t.Fatal("the disk is not unverified")
	}
	r.run(5000)
	r.expectRole("b", Voter)
	if b.TrustDisk() {
		t.Error("trusted twice")
	}
	r.propose(2)
}

// Of five members one is lost for good and another restarts: not all can vouch for it. The others
// have a leader, and it comes back as another incarnation.
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
		t.Error("it was not vouched for by all, and votes as itself")
	}
}

// TestReplaceMember: an operator removes a member, which does not come back by itself, and replaces
// one by another controller.
func TestReplaceMember(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	if r.members[out].Replace(out, "") {
		t.Error("a follower replaces a member")
	}
	if r.leader().Replace("z", "") {
		t.Error("a controller that is no member is removed")
	}
	if !r.leader().Replace(out, "") {
		t.Fatal("not removed")
	}
	r.run(3000)
	if incarnations, _ := r.leader().Members(); len(incarnations) != 2 {
		t.Errorf("the quorum is %v", incarnations)
	}
	r.expectRole(out, NonMember)
	r.propose(3)
	r.start(out) // it must not come back by itself
	r.run(20000)
	if incarnations, _ := r.leader().Members(); len(incarnations) != 2 {
		t.Errorf("a removed member is back: %v", incarnations)
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
		t.Errorf("the quorum is %v, %v", incarnations, votes)
	}
	r.propose(4)
	if d.State().Leases["w4"] == nil {
		t.Error("the new member does not learn what is agreed on")
	}
	r.start("d") // and restarts as itself
	r.run(5000)
	r.expectRole("d", Voter)
}

// TestInvalidMessagesAndRecordsAreRejected: messages of another name than their sender, without a
// valid encoding, to another incarnation or without content change nothing, and records out of
// order are an error.
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
		t.Errorf("term %d after %d", r.leader().Term(), before)
	}
	_, err := New(Config{Self: "a", Founders: r.founders}, []Record{{Serial: 1}, {Serial: 3}}, 0)
	if !errors.Is(err, ErrRecordOrder) || !strings.Contains(err.Error(), "order") {
		t.Errorf("records out of order: %v", err)
	}
}

// A member votes and restarts, with or without a compaction of its log in between. If it had
// forgotten its vote, it could vote for another in the same term, and two would lead.
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
				t.Errorf("%s: term %d and vote %x, was %d and %x", name,
					after.GetTerm(), after.GetVote(), before.GetTerm(), before.GetVote())
			}
			if before.GetVote() != 0 {
				voted++
			}
			if last, _ := c.storage.LastIndex(); last < applied {
				t.Errorf("%s: the log ends at %d, %d had been agreed on", name, last, applied)
			}
		}
		if voted < 2 {
			t.Errorf("%d voted", voted)
		}
	}
}

// A message of an earlier run of a member is still under way when its next run asks for the highest
// serial received. If the message were used after the answer, the answer would be wrong. Answers to
// an earlier run vouch for nothing either.
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
		t.Error("a message of an earlier run is used after a later one asked")
	}
	receive(b.run)
	if len(a.waiting) != waiting+1 {
		t.Error("a message of the run that asked is not used")
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

// TestSingleVoterAndNonMember: a quorum of one agrees by itself and goes on after a restart; a
// controller that is no founder takes no part.
func TestSingleVoterAndNonMember(t *testing.T) {
	r := newCluster(t, "a")
	r.run(5000)
	r.expectRole("a", Voter)
	r.propose(1)
	r.start("a")
	r.run(5000)
	r.expectRole("a", Voter)
	if r.members["a"].State().Leases["w1"] == nil {
		t.Error("what was agreed on is lost")
	}
	c, err := New(Config{Self: "z", Founders: r.founders, Run: 9}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	if s, _ := c.Role(); s != NonMember || c.Ready() != nil || c.Next() < 1000 {
		t.Error("a controller that is no member takes part")
	}
}

// All processes are paused for minutes. If they made up for the ticks that they missed, each would
// call several elections at once.
func TestPausedMemberSkipsMissedTicks(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	term := r.leader().Term()
	r.now += 600000
	r.run(10000)
	if got := r.leader().Term(); got > term+3 {
		t.Errorf("term %d after %d", got, term)
	}
}

// A member requests to join as another incarnation and is vouched for at the same time. It must go
// on as the incarnation that the quorum has.
func TestVouchedForWhileJoining(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	c := r.start(out)
	r.lost = func(_, to members.ID) bool { return to == out } // it sends and receives nothing
	c.verification.othersHaveLeader = true
	c.verification.startedAt = r.now - vouchTimeout - 1
	r.run(3000)
	for _, other := range c.others() { // sent before it was taken in
		c.Receive(r.now, other, &Message{
			From:          Incarnation{other, 0},
			To:            Incarnation{out, 0},
			VouchResponse: &VouchResponse{Run: c.run, ReceivedSerial: 0},
		})
	}
	if c.Incarnation().Disk != 0 {
		t.Fatal("it has begun another incarnation by itself")
	}
	r.lost = nil
	r.run(10000)
	r.expectRole(out, Voter)
	if incarnations, _ := r.leader().Members(); !slices.Contains(incarnations, c.Incarnation()) {
		t.Errorf("it is %v, the quorum has %v", c.Incarnation(), incarnations)
	}
}

// A voter that lost its disk knows the founders alone. One of them was replaced, and its successor
// leads. The voter has to learn of the successor to be taken in again.
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
		t.Fatal("not replaced")
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
