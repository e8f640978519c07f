package config

import (
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// plainTarget is a controller that is no voter, and has version 1 in force.
func plainTarget() *target { return newTargets()[2] }

// fetches are the documents that are asked for.
func fetches(out Output) (hashes []Hash) {
	for _, s := range out.Messages {
		if s.Message.Fetch != nil {
			hashes = append(hashes, s.Message.Fetch.Hash)
		}
	}
	return hashes
}

func summaryOf(number uint64, text string) *Summary {
	return &Summary{Number: number, Hash: HashOf([]byte(text)), Size: len(text)}
}

func chunkOf(text string) *Chunk {
	return &Chunk{Hash: HashOf([]byte(text)), Total: len(text), Data: []byte(text)}
}

// A late summary of an older version does not end the fetch of a newer one; a newer one ends that of an older one.
func TestFetchOfNewest(t *testing.T) {
	x := plainTarget()
	x.replica.Take()
	x.replica.Receive(0, "n1", &Message{Summary: summaryOf(3, "three!")})
	x.replica.Receive(0, "n3", &Message{Summary: summaryOf(2, "second")})
	if got := fetches(x.replica.Take()); len(got) != 1 || got[0] != HashOf([]byte("three!")) {
		t.Errorf("%v", got)
	}
	if x.replica.target.Number != 3 || x.replica.findDownload(HashOf([]byte("three!"))) == nil {
		t.Errorf("it turned to %+v", x.replica.target)
	}
	x.replica.Receive(0, "n1", &Message{Summary: summaryOf(4, "fourth")})
	if x.replica.findDownload(HashOf([]byte("three!"))) != nil || x.replica.findDownload(HashOf([]byte("fourth"))) == nil {
		t.Error("the fetch of the older one goes on")
	}
}

// Only who was asked for a chunk may send it, and nobody hears of a version before its document is durable here.
func TestChunkAndSummary(t *testing.T) {
	x := plainTarget()
	x.replica.Take()
	x.replica.Receive(0, "n1", &Message{Summary: summaryOf(2, "second")})
	x.replica.Take()
	forged := chunkOf("second")
	forged.Data = []byte("sEcond")
	x.replica.Receive(0, "n3", &Message{Chunk: forged})
	if d := x.replica.findDownload(HashOf([]byte("second"))); d == nil || d.received != 0 || x.replica.Counters().Corrupt != 0 {
		t.Fatal("a chunk of one that was not asked is taken")
	}
	x.replica.Receive(0, "n1", &Message{Chunk: chunkOf("second")})
	out := x.answerCheck(t)
	if out.Store == nil || out.Store.Current == nil || out.Store.Current.Number != 2 || out.Apply != nil {
		t.Fatalf("%+v", out)
	}
	if x.replica.Summary().Number != 1 || len(out.Messages) != 0 {
		t.Errorf("others hear of it before it is stored: %+v", out.Messages)
	}
	x.replica.Stored(1, nil)
	out = x.replica.Take()
	if x.replica.Summary().Number != 2 || out.Apply == nil || out.Apply.Version.Number != 2 || len(out.Messages) == 0 {
		t.Errorf("after it was stored: %+v", out)
	}
}

// A voter believes its state over what is told, though it has not looked at it since.
func TestStateOverSummary(t *testing.T) {
	x := newTargets()[1]
	x.replica.Take()
	real := summaryOf(2, "second")
	x.env.state.Versions = append(x.env.state.Versions, Version{Number: 2, Hash: real.Hash, Size: real.Size})
	x.replica.Receive(0, "n3", &Message{Summary: summaryOf(2, "forged")})
	if got := fetches(x.replica.Take()); len(got) != 0 {
		t.Errorf("it fetches %v", got)
	}
	x.replica.QuorumChanged(0)
	if got := fetches(x.replica.Take()); len(got) != 1 || got[0] != real.Hash || x.replica.Counters().Conflicts != 1 {
		t.Errorf("%v, %+v", got, x.replica.Counters())
	}
}

// withSurplus is a target at a time at which it may remove documents, with one that it does not need.
func withSurplus(e *lonely, surplus string) *target {
	one := []byte("one")
	v := Version{Number: 1, Hash: HashOf(one), Size: len(one)}
	x := &target{env: e, applied: 1, now: removeAfter + 1}
	x.replica = New(Options{Self: e.self, Run: 5, Seed: 1}, e,
		StoredState{Current: v, Documents: map[Hash][]byte{v.Hash: one, HashOf([]byte(surplus)): []byte(surplus)}}, 0)
	x.replica.Tick(x.now)
	x.replica.Take()
	return x
}

// answerCheck answers the CheckRequest that must be all that a replica asks for, and returns what it asks for then.
func (x *target) answerCheck(t *testing.T) Output {
	t.Helper()
	out := x.replica.Take()
	if out.Check == nil || out.Store != nil || out.Apply != nil {
		t.Fatalf("before the check: %+v", out)
	}
	x.replica.Checked(x.now, out.Check.Hash, x.env.check(out.Check.Document))
	return x.replica.Take()
}

// getSecond has a replica get version 2 and tells what it has stored then.
func (x *target) getSecond(t *testing.T) *StoreRequest {
	t.Helper()
	x.replica.Receive(x.now, "n1", &Message{Summary: summaryOf(2, "second")})
	x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("second")})
	return x.answerCheck(t).Store
}

// A document whose removal is under way does not count as held, whether or not the removal comes about.
func TestHoldWhileRemoved(t *testing.T) {
	x := withSurplus(&lonely{self: "n2", voting: true}, "surplus")
	request := x.getSecond(t)
	if request == nil || len(request.Remove) != 1 || request.Remove[0] != HashOf([]byte("surplus")) {
		t.Fatalf("%+v", request)
	}
	hold := &Message{Hold: &HoldRequest{Hash: HashOf([]byte("surplus")), Size: len("surplus")}}
	x.replica.Receive(x.now, "n1", hold)
	for _, s := range x.replica.Take().Messages {
		if s.Message.HoldReply != nil {
			t.Error("it tells that it holds what it removes")
		}
	}
	x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("surplus")})
	x.replica.Stored(x.now, nil)
	out := x.replica.Take()
	if out.Store == nil || out.Store.Hash != HashOf([]byte("surplus")) || string(out.Store.Document) != "surplus" {
		t.Fatalf("it is not stored again: %+v", out.Store)
	}
	x.replica.Stored(x.now, nil)
	held := false
	for _, s := range x.replica.Take().Messages {
		held = held || s.To == "n1" && s.Message.HoldReply != nil
	}
	if !held {
		t.Error("it does not tell that it holds it")
	}
}

// What could not be removed is removed with a later request.
func TestRemovalAgain(t *testing.T) {
	x := withSurplus(&lonely{self: "n4"}, "surplus")
	if request := x.getSecond(t); request == nil || len(request.Remove) != 1 {
		t.Fatalf("%+v", request)
	}
	x.replica.Stored(x.now, errDisk)
	x.now += storeRetryFirst
	x.replica.Tick(x.now)
	if out := x.replica.Take(); out.Store == nil || len(out.Store.Remove) != 1 || out.Store.Remove[0] != HashOf([]byte("surplus")) {
		t.Errorf("%+v", out.Store)
	}
}

// A voter that does not know the state yet removes nothing, nor does anybody right after its start.
func TestNoEarlyRemoval(t *testing.T) {
	if request := withSurplus(&lonely{self: "n2"}, "surplus").getSecond(t); request == nil || len(request.Remove) != 0 {
		t.Errorf("a voter that does not vote: %+v", request)
	}
	x := withSurplus(&lonely{self: "n4"}, "surplus")
	x.replica.startedAt = x.now - removeAfter + 100
	if request := x.getSecond(t); request == nil || len(request.Remove) != 0 {
		t.Errorf("right after its start: %+v", request)
	}
}

// A report is sent to the next relay if the first does not answer, and the answer of another does not count.
func TestReportToNextRelay(t *testing.T) {
	x := plainTarget()
	x.replica.Take()
	var asked []members.ID
	for x.now < 8000 {
		x.now = x.replica.Next()
		x.replica.Tick(x.now)
		for _, s := range x.replica.Take().Messages {
			if s.Message.Reports != nil && s.Message.Reports.List[0].ID == "n4" {
				asked = append(asked, s.To)
				x.replica.Receive(x.now, "n9", &Message{ReportsReply: &ReportsReply{Sequence: s.Message.Reports.Sequence}})
			}
		}
	}
	relays := x.replica.relaysInOrder()
	if len(relays) != 3 || len(asked) < 2 || asked[0] == asked[1] {
		t.Errorf("relays %v, asked %v", relays, asked)
	}
}

// One that sent corrupt bytes is not asked for another document for a while, then it is again.
func TestCorruptSourceIsAvoided(t *testing.T) {
	x := plainTarget()
	x.replica.Take()
	x.replica.Receive(x.now, "n3", &Message{Summary: summaryOf(2, "second")})
	x.replica.Take()
	corrupt := chunkOf("second")
	corrupt.Data = []byte("sEcond")
	x.replica.Receive(x.now, "n3", &Message{Chunk: corrupt})
	if x.replica.Counters().Corrupt != 1 {
		t.Fatalf("%+v", x.replica.Counters())
	}
	for _, s := range x.replica.Take().Messages {
		if s.To == "n3" && s.Message.Fetch != nil {
			t.Error("it is asked again")
		}
	}
	asked := func(number uint64, text string) bool {
		x.replica.Receive(x.now, "n3", &Message{Summary: summaryOf(number, text)})
		for _, s := range x.replica.Take().Messages {
			if s.To == "n3" && s.Message.Fetch != nil {
				return true
			}
		}
		return false
	}
	x.now += avoidTime - 1
	if asked(3, "third") {
		t.Error("it is asked for another document")
	}
	if x.now++; !asked(4, "fourth") {
		t.Error("it is never asked again")
	}
}

// Only the leader has documents held.
func TestHoldOfLeaderAlone(t *testing.T) {
	x := newTargets()[1]
	x.replica.Take()
	hold := &Message{Hold: &HoldRequest{Hash: HashOf([]byte("x")), Size: 1}}
	x.replica.Receive(x.now, "n3", hold)
	if got := fetches(x.replica.Take()); len(got) != 0 || len(x.replica.holds) != 0 {
		t.Errorf("for another it fetches %v", got)
	}
	x.replica.Receive(x.now, "n1", hold)
	if got := fetches(x.replica.Take()); len(got) != 1 || len(x.replica.holds) != 1 {
		t.Errorf("for the leader it fetches %v", got)
	}
}

// One that has just begun to lead and does not know the expected version yet says nothing of it: the proposal may be one
// that was agreed on under the leader before.
func TestLateLeader(t *testing.T) {
	x := newTargets()[0]
	x.replica.Take()
	p := proposal(2, 7, "third")
	p.Version.ID.Origin = "n3"
	reply := func() *ProposeReply {
		for _, s := range x.replica.Take().Messages {
			if s.Message.ProposeReply != nil {
				return s.Message.ProposeReply
			}
		}
		return nil
	}
	x.env.leads = false
	x.replica.Tick(x.now)
	x.env.leads = true
	x.replica.Receive(x.now, "n3", &Message{Propose: &ProposeRequest{Proposal: p}})
	for x.now < catchUpTime-600 {
		x.now += 500
		x.replica.Tick(x.now)
		if got := reply(); got != nil {
			t.Fatalf("after %.0f ms: %+v", x.now, got)
		}
	}
	second := proposal(1, 6, "second")
	x.env.state.Apply(second)
	x.env.state.Apply(p)
	x.replica.QuorumChanged(x.now)
	if got := reply(); got == nil || got.Result != Committed || got.Version.Number != 3 {
		t.Errorf("when it knows: %+v", got)
	}
}

// A document in the folder that does not match its hash is not used, nor handed on.
func TestKeptCorruptDocument(t *testing.T) {
	one, two := HashOf([]byte("one")), HashOf([]byte("two"))
	e := &lonely{self: "n4"}
	r := New(Options{Self: "n4", Run: 5, Seed: 1}, e, StoredState{Current: Version{Number: 1, Hash: one, Size: 3},
		Documents: map[Hash][]byte{one: []byte("one"), two: []byte("tw0")}}, 0)
	r.Receive(0, "n3", &Message{Fetch: &Fetch{Hash: two}})
	for _, s := range r.Take().Messages {
		if s.Message.Chunk != nil && !s.Message.Chunk.Missing {
			t.Errorf("it hands on %q", s.Message.Chunk.Data)
		}
	}
	r = New(Options{Self: "n4", Run: 5, Seed: 1}, e, StoredState{Current: Version{Number: 1, Hash: one, Size: 3},
		Documents: map[Hash][]byte{one: []byte("0ne")}}, 0)
	if r.Summary() != nil || r.Current().Number != 1 {
		t.Errorf("it tells %+v", r.Summary())
	}
	r.Receive(0, "n3", &Message{Summary: summaryOf(1, "one")}) // what is in force stays, and its document comes again
	if got := r.findDownload(one); got == nil {
		t.Error("it does not fetch the document of its version")
	}
}

// A version told with the hash of a document that is here, and with another size, is none.
func TestWrongSizeOfKnownDocument(t *testing.T) {
	x := plainTarget()
	x.replica.Take()
	x.replica.Receive(x.now, "n3", &Message{Summary: &Summary{Number: 2, Hash: HashOf([]byte("one")), Size: 99}})
	if out := x.replica.Take(); out.Store != nil || x.replica.Counters().Conflicts != 1 || x.replica.target.Number != 1 {
		t.Errorf("%+v, %+v", out.Store, x.replica.Counters())
	}
	x = newTargets()[0]
	x.replica.Take()
	p := proposal(1, 7, "one")
	p.Version.ID.Origin, p.Version.Size = "n3", 99
	x.replica.candidates = nil // what this one proposed itself
	x.replica.Receive(x.now, "n3", &Message{Propose: &ProposeRequest{Proposal: p}})
	refused := false
	for _, s := range x.replica.Take().Messages {
		refused = refused || s.To == "n3" && s.Message.ProposeReply != nil && s.Message.ProposeReply.Result == Rejected
	}
	if !refused {
		t.Error("a proposal with a wrong size is worked on")
	}
}

// A leader that does not know yet all that was agreed on answers no question of its own, nor takes a proposal, until it
// does.
func TestLeaderNotReady(t *testing.T) {
	x := newTargets()[1]
	x.replica.Take()
	x.env.late = true
	x.replica.Query(x.now, 50, QueryStatus)
	x.replica.Propose(x.now, 51, []byte("second"), 1, Version{})
	for x.now < 1500 {
		x.now += 100
		x.replica.Tick(x.now)
		if out := x.replica.Take(); len(out.QueryResults) != 0 || len(out.ProposalResults) != 0 || len(x.replica.candidates) != 0 {
			t.Fatalf("after %.0f ms: %+v", x.now, out)
		}
	}
	x.env.leads = true
	answered := false
	for x.now < 2200 {
		x.now += 100
		x.replica.Tick(x.now)
		for _, a := range x.replica.Take().QueryResults {
			answered = answered || a.Ref == 50 && a.Answer.Status != nil
		}
	}
	if !answered || len(x.replica.candidates) == 0 {
		t.Errorf("answered %v, %d proposals", answered, len(x.replica.candidates))
	}
}

// A summary that tells nothing new takes up no memory: one rides on each of membership's messages.
func TestKnownSummaryCostsNothing(t *testing.T) {
	for i, x := range newTargets() {
		x.replica.Take()
		m := &Message{Summary: summaryOf(1, "one")}
		if n := testing.AllocsPerRun(100, func() { x.replica.Receive(x.now, "n3", m) }); n != 0 {
			t.Errorf("target %d: %g allocations", i, n)
		}
	}
}

func BenchmarkKnownSummary(b *testing.B) {
	x := plainTarget()
	m := &Message{Summary: summaryOf(1, "one")}
	for b.Loop() {
		x.replica.Receive(x.now, "n3", m)
	}
}
