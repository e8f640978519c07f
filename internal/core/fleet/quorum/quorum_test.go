package quorum

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// room is some members with their disks, and what is on its way between them.
type room struct {
	t        *testing.T
	now      float64
	members  map[members.ID]*Replica
	kept     map[members.ID][]Record
	runs     uint64
	cut      func(from, to members.ID) bool
	founders []members.ID
	agreed   map[members.ID][]string // by member, in order
}

func newRoom(t *testing.T, names ...members.ID) *room {
	r := &room{t: t, members: map[members.ID]*Replica{}, kept: map[members.ID][]Record{}, founders: names, agreed: map[members.ID][]string{}}
	for _, name := range names {
		r.start(name)
	}
	return r
}

func (r *room) start(name members.ID) *Replica {
	r.t.Helper()
	r.runs++
	c, err := New(Facts{Self: name, Founders: r.founders, Run: r.runs, Disk: 1000 + r.runs, Seed: int64(r.runs)}, slices.Clone(r.kept[name]), r.now)
	if err != nil {
		r.t.Fatal(err)
	}
	r.members[name], r.agreed[name] = c, nil
	return c
}

func (r *room) save(name members.ID, rec *Record) {
	if rec == nil {
		return
	}
	data, err := cbor.Marshal(rec)
	var own Record
	if err == nil {
		err = cbor.Unmarshal(data, &own)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	if own.Whole {
		r.kept[name] = nil
	}
	r.kept[name] = append(r.kept[name], own)
}

func (r *room) run(long float64) {
	for end := r.now + long; r.now < end; r.now += 25 {
		for _, name := range slices.Sorted(maps.Keys(r.members)) {
			c := r.members[name]
			c.Tick(r.now)
			if whole := c.Compact(); whole != nil {
				r.save(name, whole)
				c.Kept(whole)
			}
			for b := c.Batch(); b != nil; b = c.Batch() {
				r.save(name, b.Record)
				c.Done(r.now, b)
			}
			for _, a := range c.Agreed() {
				r.agreed[name] = append(r.agreed[name], fmt.Sprint(a.By, a.Ref))
			}
			for _, m := range c.Out() {
				if to := r.members[m.To.Name]; to != nil && (r.cut == nil || !r.cut(name, m.To.Name)) {
					to.Receive(r.now, name, &m)
				}
			}
		}
	}
}

func (r *room) leader() *Replica {
	r.t.Helper()
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		if c := r.members[name]; c.Leads() {
			return c
		}
	}
	r.t.Fatal("nobody leads")
	return nil
}

func (r *room) propose(ref uint64) {
	r.t.Helper()
	if !r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: []lease.Name{lease.Name(fmt.Sprint("w", ref))}}}) {
		r.t.Fatal("not proposed")
	}
	r.run(500)
}

func (r *room) standing(name members.ID, want Role) {
	r.t.Helper()
	if s, why := r.members[name].Role(); s != want {
		r.t.Errorf("%s is %v (%s), want %v", name, s, why, want)
	}
}

// A quorum that has nothing to agree on keeps nothing: signs of life promise nothing.
func TestQuiet(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	before := len(r.kept["a"]) + len(r.kept["b"]) + len(r.kept["c"])
	r.run(60000)
	if after := len(r.kept["a"]) + len(r.kept["b"]) + len(r.kept["c"]); after != before {
		t.Errorf("%d records kept in a quiet minute", after-before)
	}
}

func TestAgree(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	for ref := range uint64(600) { // past a snapshot or two
		r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: []lease.Name{"w"}}})
		r.run(50)
	}
	r.run(1000)
	for _, name := range r.founders {
		r.standing(name, Voting)
		if got := len(r.agreed[name]); got != 600 || fmt.Sprint(r.agreed[name]) != fmt.Sprint(r.agreed["a"]) {
			t.Errorf("%s agreed on %d", name, got)
		}
		if n := len(r.kept[name]); n > 3*snapshotEntries {
			t.Errorf("%s keeps %d records", name, n)
		}
	}
	follower := r.founders[0]
	if r.leader() == r.members[follower] {
		follower = "b"
	}
	if r.members[follower].Propose("x", 1, lease.Command{}) {
		t.Error("one that does not lead takes a proposal")
	}
}

// Who restarts with all that it said is vouched for and goes on as itself, with what was agreed.
func TestRestart(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	r.propose(1)
	for _, name := range r.founders {
		c := r.start(name)
		r.standing(name, Doubted)
		if c.Leads() {
			t.Error("a doubted member leads")
		}
		r.run(4000)
		r.standing(name, Voting)
		if c.Incarnation().Disk != 0 {
			t.Errorf("%s has come back as another", name)
		}
	}
	for _, name := range r.founders { // all at once
		r.start(name)
	}
	r.run(6000)
	for _, name := range r.founders {
		r.standing(name, Voting)
		if r.members[name].State().Leases["w1"] == nil {
			t.Errorf("%s has forgotten what was agreed", name)
		}
	}
}

// Who does not hold all that it said comes back as another incarnation, whatever of its disk is gone, and votes again.
func TestLost(t *testing.T) {
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
		r := newRoom(t, "a", "b", "c")
		r.run(5000)
		old := slices.Clone(r.kept["b"])
		for ref := range uint64(5) {
			r.propose(ref)
		}
		r.kept["b"] = change(old, r.kept["b"])
		c := r.start("b")
		r.run(500)
		if s, _ := c.Role(); s == Voting && c.Incarnation().Disk == 0 {
			t.Errorf("%s: it votes as itself", what)
		}
		r.run(10000)
		r.standing("b", Voting)
		if c.Incarnation().Disk == 0 {
			t.Errorf("%s: it is the same life", what)
		}
		lives, votes := r.leader().Members()
		if len(lives) != 3 || slices.Contains(votes, false) {
			t.Errorf("%s: the council is %v, %v", what, lives, votes)
		}
		r.propose(9)
		if c.State().Leases["w9"] == nil {
			t.Errorf("%s: it does not hear what is agreed", what)
		}
		c = r.start("b") // and its new life restarts as itself
		r.run(4000)
		r.standing("b", Voting)
		if c.Incarnation() != lives[slices.IndexFunc(lives, func(l Incarnation) bool { return l.Name == "b" })] {
			t.Errorf("%s: another incarnation again", what)
		}
	}
}

// The folder of a later life is put back to before it was taken in: it is as old a copy as any, and the life is over too.
func TestLaterLifeLost(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	r.kept["b"] = nil
	r.start("b")
	r.run(10000)
	r.standing("b", Voting)
	second := r.members["b"].Incarnation()
	r.propose(1)
	r.kept["b"] = r.kept["b"][:1]
	b := r.start("b")
	r.standing("b", Doubted)
	r.run(10000)
	r.standing("b", Voting)
	if b.Incarnation() == second || b.Incarnation().Disk == 0 {
		t.Errorf("it votes as %v", b.Incarnation())
	}
	r.propose(2)
}

// The old process of a incarnation that is over, its memory whole, is heard by nobody.
func TestRetired(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	ghost := r.members["b"]
	r.kept["b"] = nil
	r.start("b")
	r.run(10000)
	r.standing("b", Voting)
	before := r.leader().Term()
	for range 100 {
		ghost.Tick(r.now)
		ghost.postponeCampaign()
		if ghost.node != nil {
			ghost.node.Campaign()
		}
		for b := ghost.Batch(); b != nil; b = ghost.Batch() {
			ghost.Done(r.now, b)
		}
		for _, m := range ghost.Out() {
			if to := r.members[m.To.Name]; to != ghost && to != nil {
				to.Receive(r.now, "b", &m)
			}
		}
		r.run(25)
	}
	if ghost.Leads() || r.leader().Term() != before {
		t.Errorf("the ghost leads: %v; term %d after %d", ghost.Leads(), r.leader().Term(), before)
	}
}

// One of three is away for good and another restarts: the third can't vouch alone, and an operator's word is needed.
func TestTrust(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	r.propose(1)
	delete(r.members, "c")
	b := r.start("b")
	r.run(20000)
	r.standing("b", Doubted)
	if !b.Trust() {
		t.Fatal("nothing to trust")
	}
	r.run(5000)
	r.standing("b", Voting)
	if b.Trust() {
		t.Error("trusted twice")
	}
	r.propose(2)
}

// In five, one is away for good and another restarts: the others go on without it, and it comes back as another.
func TestWithoutOne(t *testing.T) {
	r := newRoom(t, "a", "b", "c", "d", "e")
	r.run(5000)
	delete(r.members, "e")
	r.run(3000)
	if r.leader() == r.members["b"] {
		delete(r.members, "b")
		r.run(5000)
	}
	b := r.start("b")
	r.run(15000)
	r.standing("b", Voting)
	if b.Incarnation().Disk == 0 {
		t.Error("it was not vouched for by all, and votes as itself")
	}
}

// A member is exchanged for another controller.
func TestReplace(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	if r.members[out].Replace(out, "") {
		t.Error("one that does not lead exchanges a member")
	}
	if r.leader().Replace("z", "") {
		t.Error("a member that there is not is taken out")
	}
	if !r.leader().Replace(out, "") {
		t.Fatal("not taken out")
	}
	r.run(3000)
	if lives, _ := r.leader().Members(); len(lives) != 2 {
		t.Errorf("the council is %v", lives)
	}
	r.standing(out, Outside)
	r.propose(3)
	r.start(out) // it does not come back by itself
	r.run(20000)
	if lives, _ := r.leader().Members(); len(lives) != 2 {
		t.Errorf("one that was taken out is back: %v", lives)
	}

	r = newRoom(t, "a", "b", "c")
	d, err := New(Facts{Self: "d", Founders: r.founders, Run: 50, Disk: 51, Seed: 50}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.members["d"] = d
	r.run(5000)
	r.standing("d", Outside)
	if out = "c"; r.leader() == r.members["c"] {
		out = "a"
	}
	r.leader().Replace(out, "d")
	r.run(10000)
	r.standing("d", Voting)
	r.standing(out, Outside)
	if lives, votes := r.leader().Members(); len(lives) != 3 || slices.Contains(votes, false) || d.State() == nil {
		t.Errorf("the council is %v, %v", lives, votes)
	}
	r.propose(4)
	if d.State().Leases["w4"] == nil {
		t.Error("the new one does not hear what is agreed")
	}
	r.start("d") // and restarts as itself
	r.run(5000)
	r.standing("d", Voting)
}

// Words that don't fit change nothing: of another name than who sent them, of no form, to another incarnation, of an earlier run.
func TestNonsense(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	c := r.members["a"]
	before := c.Term()
	for _, m := range []*Message{
		{From: Incarnation{"b", 0}, To: Incarnation{"a", 0}, Raft: []byte("nonsense"), Run: 2},
		{From: Incarnation{"c", 0}, To: Incarnation{"a", 0}, Ask: &Ask{1}},
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
	if _, err := New(Facts{Self: "a", Founders: r.founders}, []Record{{Serial: 1}, {Serial: 3}}, 0); err == nil || !strings.Contains(err.Error(), "order") {
		t.Errorf("records out of order: %v", err)
	}
}

// A vote outlives a restart, also where the log was begun anew since: who voted in a term does not vote for another in it.
func TestVoteKept(t *testing.T) {
	for _, proposals := range []uint64{0, 600} {
		r := newRoom(t, "a", "b", "c")
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
				t.Errorf("%s: term %d and vote %x, was %d and %x", name, after.GetTerm(), after.GetVote(), before.GetTerm(), before.GetVote())
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

// What an earlier run wrote is not made use of once a later one has asked; answers to an earlier run vouch for nothing.
func TestRuns(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	r.cut = func(members.ID, members.ID) bool { return true }
	b := r.start("b")
	a := r.members["a"]
	b.Tick(r.now)
	asked := b.Out()
	for _, m := range asked {
		if m.To.Name == "a" {
			a.Receive(r.now, "b", &m)
		}
	}
	waiting := len(a.waiting)
	a.Receive(r.now, "b", &Message{From: Incarnation{"b", 0}, To: Incarnation{"a", 0}, Run: 2, Serial: 1 << 40, Raft: raftBytes(t)})
	if len(a.waiting) != waiting {
		t.Error("a message of an earlier run is taken after a later one asked")
	}
	a.Receive(r.now, "b", &Message{From: Incarnation{"b", 0}, To: Incarnation{"a", 0}, Run: b.run, Serial: 1 << 40, Raft: raftBytes(t)})
	if len(a.waiting) != waiting+1 {
		t.Error("a message of the run that asked is not taken")
	}
	tell := func(from members.ID, run uint64) {
		b.Receive(r.now, from, &Message{From: Incarnation{from, 0}, To: Incarnation{"b", 0}, Answer: &Answer{Run: run}})
	}
	tell("a", b.run-1)
	tell("c", b.run)
	r.standing("b", Doubted)
	tell("c", b.run)
	r.standing("b", Doubted)
	tell("a", b.run)
	r.standing("b", Voting)
	d := r.start("b")
	d.Receive(r.now, "a", &Message{From: Incarnation{"a", 0}, To: Incarnation{"b", 0}, Answer: &Answer{Run: d.run, Retired: true}})
	r.standing("b", Joining)
	e := r.start("b")
	e.Receive(r.now, "c", &Message{From: Incarnation{"a", 0}, To: Incarnation{"b", 0}, Answer: &Answer{Run: e.run, Retired: true}})
	r.standing("b", Doubted) // c may not speak for a
	_ = e
}

// raftBytes is some message of b to a.
func raftBytes(t *testing.T) []byte {
	t.Helper()
	data, err := proto.Marshal(&pb.Message{Type: new(pb.MsgAppResp), From: new(Incarnation{"b", 0}.Number()), To: new(Incarnation{"a", 0}.Number()),
		Term: new(uint64(1)), Index: new(uint64(1))})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A quorum of one decides by itself, and goes on after a restart; who is not one of the quorum is none.
func TestAlone(t *testing.T) {
	r := newRoom(t, "a")
	r.run(5000)
	r.standing("a", Voting)
	r.propose(1)
	r.start("a")
	r.run(5000)
	if r.standing("a", Voting); r.members["a"].State().Leases["w1"] == nil {
		t.Error("forgotten")
	}
	c, err := New(Facts{Self: "z", Founders: r.founders, Run: 9}, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	if s, _ := c.Role(); s != Outside || c.Batch() != nil || c.Next() < 1000 {
		t.Error("one outside takes part")
	}
}

// A member that stood still does not make up for the time: it does not call several elections at once.
func TestStoodStill(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	term := r.leader().Term()
	r.now += 600000
	r.run(10000)
	if got := r.leader().Term(); got > term+3 {
		t.Errorf("term %d after %d", got, term)
	}
}

// A member asks to be taken in as another incarnation, and is vouched for just then: it goes on as the one that the quorum has.
func TestBothAtOnce(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	out := members.ID("c")
	if r.leader() == r.members["c"] {
		out = "a"
	}
	c := r.start(out)
	r.cut = func(from, to members.ID) bool { return to == out } // it is heard, and hears nothing
	c.othersHaveLeader, c.startedAt = true, r.now-giveUpAsking-1
	r.run(3000)
	for _, other := range c.others() { // answers of before it was taken in
		c.Receive(r.now, other, &Message{From: Incarnation{other, 0}, To: Incarnation{out, 0}, Answer: &Answer{Run: c.run, Mark: 0}})
	}
	if c.Incarnation().Disk != 0 {
		t.Fatal("it has begun another incarnation by itself")
	}
	r.cut = nil
	r.run(10000)
	r.standing(out, Voting)
	if lives, _ := r.leader().Members(); !slices.Contains(lives, c.Incarnation()) {
		t.Errorf("it is %v, the council has %v", c.Incarnation(), lives)
	}
}

// A voter that lost its folder knows the founders alone. Where one of them was replaced and the newcomer leads, the
// voter has to learn of the newcomer to be taken in again.
func TestRejoinAfterReplacement(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	newcomer, err := New(Facts{Self: "d", Founders: r.founders, Run: 50, Disk: 51, Seed: 50}, nil, 0)
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
	r.standing("d", Voting)
	r.elect("d")
	lost := members.ID("b")
	r.kept[lost] = nil
	r.start(lost)
	r.run(30000)
	r.standing(lost, Voting)
}
