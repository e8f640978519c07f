package config

import (
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// newNonVoter returns a controller that is no voter and has version 1 in force.
func newNonVoter() *testReplica { return newTestReplicas()[2] }

// fetches returns the documents that are requested.
func fetches(out Output) (hashes []Hash) {
	for _, s := range out.Messages {
		if s.Message.Fetch != nil {
			hashes = append(hashes, s.Message.Fetch.Hash)
		}
	}
	return hashes
}

// summaryOf returns the summary of a version with this text.
func summaryOf(number uint64, text string) *Summary {
	return &Summary{Number: number, Hash: HashOf([]byte(text)), Size: len(text)}
}

// chunkOf returns the only chunk of a document with this text.
func chunkOf(text string) *Chunk {
	return &Chunk{Hash: HashOf([]byte(text)), Total: len(text), Data: []byte(text)}
}

// A late summary of an older version does not end the fetch of a newer one. A newer one ends that
// of an older one.
func TestNewerTargetEndsOlderFetch(t *testing.T) {
	x := newNonVoter()
	x.replica.Take()
	x.replica.Receive(0, "n1", &Message{Summary: summaryOf(3, "three!")})
	x.replica.Receive(0, "n3", &Message{Summary: summaryOf(2, "second")})
	if got := fetches(x.replica.Take()); len(got) != 1 || got[0] != HashOf([]byte("three!")) {
		t.Errorf("got fetches of %v, want only that of version 3's document", got)
	}
	if x.replica.target.Number != 3 || x.replica.findDownload(HashOf([]byte("three!"))) == nil {
		t.Errorf("got target %+v, want version 3 with a download of its document", x.replica.target)
	}
	x.replica.Receive(0, "n1", &Message{Summary: summaryOf(4, "fourth")})
	older := x.replica.findDownload(HashOf([]byte("three!")))
	newer := x.replica.findDownload(HashOf([]byte("fourth")))
	if older != nil || newer == nil {
		t.Error("the download of the older target continues, or that of the newer one is missing")
	}
}

// A chunk is accepted only from a member that was asked for it, and a version is announced only
// when its document is durable here.
func TestChunkOfAskedSourceAndSummaryWhenStored(t *testing.T) {
	x := newNonVoter()
	x.replica.Take()
	x.replica.Receive(0, "n1", &Message{Summary: summaryOf(2, "second")})
	x.replica.Take()
	forged := chunkOf("second")
	forged.Data = []byte("sEcond")
	x.replica.Receive(0, "n3", &Message{Chunk: forged})
	d := x.replica.findDownload(HashOf([]byte("second")))
	if d == nil || d.received != 0 || x.replica.Counters().Corrupt != 0 {
		t.Fatal("a chunk from a member that was not asked is used or counted as corrupt")
	}
	x.replica.Receive(0, "n1", &Message{Chunk: chunkOf("second")})
	out := x.answerCheck(t)
	if out.Store == nil || out.Store.Current == nil || out.Store.Current.Number != 2 || out.Apply != nil {
		t.Fatalf("after the check: got %+v, want a StoreRequest for version 2 and no ApplyRequest", out)
	}
	if x.replica.Summary().Number != 1 || len(out.Messages) != 0 {
		t.Errorf("the version is announced before it is stored; messages: %+v", out.Messages)
	}
	x.replica.Stored(1, nil)
	out = x.replica.Take()
	applies := out.Apply != nil && out.Apply.Version.Number == 2
	if x.replica.Summary().Number != 2 || !applies || len(out.Messages) == 0 {
		t.Errorf("after it was stored: got %+v, want version 2 announced and an ApplyRequest for it", out)
	}
}

// A voter has not processed its state since a version was agreed on, and a member announces another
// document under the same number. The state takes precedence.
func TestVoterStateOverridesSummary(t *testing.T) {
	x := newTestReplicas()[1]
	x.replica.Take()
	agreed := summaryOf(2, "second")
	x.env.state.Versions = append(x.env.state.Versions, Version{Number: 2, Hash: agreed.Hash, Size: agreed.Size})
	x.replica.Receive(0, "n3", &Message{Summary: summaryOf(2, "forged")})
	if got := fetches(x.replica.Take()); len(got) != 0 {
		t.Errorf("got fetches of %v, want none", got)
	}
	x.replica.QuorumChanged(0)
	got := fetches(x.replica.Take())
	if len(got) != 1 || got[0] != agreed.Hash || x.replica.Counters().Conflicts != 1 {
		t.Errorf("got fetches of %v and %+v, want a fetch of the agreed document and 1 conflict",
			got, x.replica.Counters())
	}
}

// newWithUnneeded returns a replica that may remove documents already and has one, "surplus", that
// it does not need.
func newWithUnneeded(e *fakeEnvironment) *testReplica {
	const unneeded = "surplus"
	one := []byte("one")
	v := Version{Number: 1, Hash: HashOf(one), Size: len(one)}
	documents := map[Hash][]byte{v.Hash: one, HashOf([]byte(unneeded)): []byte(unneeded)}
	x := &testReplica{env: e, applied: 1, now: removeAfter + 1}
	x.replica = New(Options{Self: e.self, Run: 5, Seed: 1}, e,
		StoredState{Current: v, Documents: documents}, 0)
	x.replica.Tick(x.now)
	x.replica.Take()
	return x
}

// answerCheck answers the CheckRequest, which must be the replica's only request, and returns the
// output that follows.
func (x *testReplica) answerCheck(t *testing.T) Output {
	t.Helper()
	out := x.replica.Take()
	if out.Check == nil || out.Store != nil || out.Apply != nil {
		t.Fatalf("before the check: got output %+v, want only a CheckRequest", out)
	}
	x.replica.Checked(x.now, out.Check.Hash, x.env.check(out.Check.Document))
	return x.replica.Take()
}

// receiveSecond has the replica receive version 2, and returns the StoreRequest that follows.
func (x *testReplica) receiveSecond(t *testing.T) *StoreRequest {
	t.Helper()
	x.replica.Receive(x.now, "n1", &Message{Summary: summaryOf(2, "second")})
	x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("second")})
	return x.answerCheck(t).Store
}

// A leader asks a voter to hold a document that the voter is removing. The document does not count
// as held, whether or not the removal succeeds, and is stored again.
func TestDocumentBeingRemovedIsNotHeld(t *testing.T) {
	x := newWithUnneeded(&fakeEnvironment{self: "n2", voting: true})
	request := x.receiveSecond(t)
	if request == nil || len(request.Remove) != 1 || request.Remove[0] != HashOf([]byte("surplus")) {
		t.Fatalf("got StoreRequest %+v, want one that removes the surplus document", request)
	}
	hold := &Message{Hold: &HoldRequest{Hash: HashOf([]byte("surplus")), Size: len("surplus")}}
	x.replica.Receive(x.now, "n1", hold)
	for _, s := range x.replica.Take().Messages {
		if s.Message.HoldReply != nil {
			t.Error("a hold is confirmed for a document that is being removed")
		}
	}
	x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("surplus")})
	x.replica.Stored(x.now, nil)
	out := x.replica.Take()
	again := out.Store
	if again == nil || again.Hash != HashOf([]byte("surplus")) || string(again.Document) != "surplus" {
		t.Fatalf("got StoreRequest %+v, want one that stores the held document again", out.Store)
	}
	x.replica.Stored(x.now, nil)
	held := false
	for _, s := range x.replica.Take().Messages {
		held = held || s.To == "n1" && s.Message.HoldReply != nil
	}
	if !held {
		t.Error("the hold is not confirmed after the document was stored")
	}
}

// A request to remove a document failed. A later request removes it.
func TestFailedRemovalIsRepeated(t *testing.T) {
	x := newWithUnneeded(&fakeEnvironment{self: "n4"})
	if request := x.receiveSecond(t); request == nil || len(request.Remove) != 1 {
		t.Fatalf("got StoreRequest %+v, want one that removes a document", request)
	}
	x.replica.Stored(x.now, errDisk)
	x.now += storeRetryFirst
	x.replica.Tick(x.now)
	out := x.replica.Take()
	if out.Store == nil || len(out.Store.Remove) != 1 || out.Store.Remove[0] != HashOf([]byte("surplus")) {
		t.Errorf("after the failure: got StoreRequest %+v, want one that removes the surplus document", out.Store)
	}
}

// A voter that does not vote yet, or a controller that has just started, does not know which
// documents are needed. It removes none.
func TestNothingIsRemovedBeforeStateIsKnown(t *testing.T) {
	request := newWithUnneeded(&fakeEnvironment{self: "n2"}).receiveSecond(t)
	if request == nil || len(request.Remove) != 0 {
		t.Errorf("voter that does not vote: got StoreRequest %+v, want one without removals", request)
	}
	x := newWithUnneeded(&fakeEnvironment{self: "n4"})
	x.replica.startedAt = x.now - removeAfter + 100
	if request := x.receiveSecond(t); request == nil || len(request.Remove) != 0 {
		t.Errorf("right after the start: got StoreRequest %+v, want one without removals", request)
	}
}

// The first relay does not answer. The report is sent to the next one, and an acknowledgement from
// another member does not count.
func TestReportGoesToNextRelay(t *testing.T) {
	x := newNonVoter()
	x.replica.Take()
	var asked []members.ID
	for x.now < 8000 {
		x.now = x.replica.Next()
		x.replica.Tick(x.now)
		for _, s := range x.replica.Take().Messages {
			if s.Message.Reports != nil && s.Message.Reports.List[0].ID == "n4" {
				asked = append(asked, s.To)
				reply := &ReportsReply{Sequence: s.Message.Reports.Sequence}
				x.replica.Receive(x.now, "n9", &Message{ReportsReply: reply})
			}
		}
	}
	relays := x.replica.relaysInOrder()
	if len(relays) != 3 || len(asked) < 2 || asked[0] == asked[1] {
		t.Errorf("got relays %v and reports sent to %v, want 3 relays and the second one tried after the first",
			relays, asked)
	}
}

// A member sent corrupt bytes. It is not asked for another document for avoidTime, and then is.
func TestCorruptSourceIsAvoidedForAWhile(t *testing.T) {
	x := newNonVoter()
	x.replica.Take()
	x.replica.Receive(x.now, "n3", &Message{Summary: summaryOf(2, "second")})
	x.replica.Take()
	corrupt := chunkOf("second")
	corrupt.Data = []byte("sEcond")
	x.replica.Receive(x.now, "n3", &Message{Chunk: corrupt})
	if x.replica.Counters().Corrupt != 1 {
		t.Fatalf("got %+v, want 1 corrupt chunk", x.replica.Counters())
	}
	for _, s := range x.replica.Take().Messages {
		if s.To == "n3" && s.Message.Fetch != nil {
			t.Error("the corrupt source is asked again at once")
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
		t.Error("the corrupt source is asked for another document before avoidTime has passed")
	}
	if x.now++; !asked(4, "fourth") {
		t.Error("the corrupt source is not asked after avoidTime")
	}
}

// TestOnlyLeaderHasDocumentsHeld: a voter holds documents for the leader alone.
func TestOnlyLeaderHasDocumentsHeld(t *testing.T) {
	x := newTestReplicas()[1]
	x.replica.Take()
	hold := &Message{Hold: &HoldRequest{Hash: HashOf([]byte("x")), Size: 1}}
	x.replica.Receive(x.now, "n3", hold)
	if got := fetches(x.replica.Take()); len(got) != 0 || len(x.replica.holds) != 0 {
		t.Errorf("hold requested by another member: got fetches of %v, want none and no hold", got)
	}
	x.replica.Receive(x.now, "n1", hold)
	if got := fetches(x.replica.Take()); len(got) != 1 || len(x.replica.holds) != 1 {
		t.Errorf("hold requested by the leader: got fetches of %v, want one and a hold", got)
	}
}

// A new leader does not know the version that a proposal expects. It must not reject the proposal
// yet, as it may have been committed under the previous leader.
func TestNewLeaderWaitsForExpectedVersion(t *testing.T) {
	x := newTestReplicas()[0]
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
			t.Fatalf("after %.0f ms: got reply %+v, want none before catchUpTime", x.now, got)
		}
	}
	second := proposal(1, 6, "second")
	x.env.state.Apply(second)
	x.env.state.Apply(p)
	x.replica.QuorumChanged(x.now)
	if got := reply(); got == nil || got.Result != Committed || got.Version.Number != 3 {
		t.Errorf("after the leader has caught up: got %+v, want Committed as version 3", got)
	}
}

// A document in the folder does not match its hash. It is neither used nor served, and is fetched
// again.
func TestCorruptStoredDocumentIsNotUsed(t *testing.T) {
	one, two := HashOf([]byte("one")), HashOf([]byte("two"))
	e := &fakeEnvironment{self: "n4"}
	stored := StoredState{
		Current:   Version{Number: 1, Hash: one, Size: 3},
		Documents: map[Hash][]byte{one: []byte("one"), two: []byte("tw0")},
	}
	r := New(Options{Self: "n4", Run: 5, Seed: 1}, e, stored, 0)
	r.Receive(0, "n3", &Message{Fetch: &Fetch{Hash: two}})
	for _, s := range r.Take().Messages {
		if s.Message.Chunk != nil && !s.Message.Chunk.Missing {
			t.Errorf("the corrupt document %q is served, want it reported as missing", s.Message.Chunk.Data)
		}
	}
	r = New(Options{Self: "n4", Run: 5, Seed: 1}, e, StoredState{Current: Version{Number: 1, Hash: one, Size: 3},
		Documents: map[Hash][]byte{one: []byte("0ne")}}, 0)
	if r.Summary() != nil || r.Current().Number != 1 {
		t.Errorf("got summary %+v, want none, and version 1 in force", r.Summary())
	}
	// The version in force stays, and its document is fetched again.
	r.Receive(0, "n3", &Message{Summary: summaryOf(1, "one")})
	if got := r.findDownload(one); got == nil {
		t.Error("the document of the version in force is not fetched again")
	}
}

// A version is announced with the hash of a document that is here, but another size. It is ignored,
// and such a proposal is rejected.
func TestWrongSizeOfKnownDocumentIsIgnored(t *testing.T) {
	x := newNonVoter()
	x.replica.Take()
	x.replica.Receive(x.now, "n3", &Message{Summary: &Summary{Number: 2, Hash: HashOf([]byte("one")), Size: 99}})
	out := x.replica.Take()
	if out.Store != nil || x.replica.Counters().Conflicts != 1 || x.replica.target.Number != 1 {
		t.Errorf("got StoreRequest %+v and %+v, want none, 1 conflict and target 1", out.Store, x.replica.Counters())
	}
	x = newTestReplicas()[0]
	x.replica.Take()
	p := proposal(1, 7, "one")
	p.Version.ID.Origin, p.Version.Size = "n3", 99
	x.replica.candidates = nil // drops its own proposal
	x.replica.Receive(x.now, "n3", &Message{Propose: &ProposeRequest{Proposal: p}})
	rejected := false
	for _, s := range x.replica.Take().Messages {
		reply := s.Message.ProposeReply
		rejected = rejected || s.To == "n3" && reply != nil && reply.Result == Rejected
	}
	if !rejected {
		t.Error("a proposal with another size than its document's is not rejected")
	}
}

// A new leader has not applied all committed entries. Until it has, it answers no query of its own
// and accepts no proposal.
func TestLeaderAnswersOnlyWhenReady(t *testing.T) {
	x := newTestReplicas()[1]
	x.replica.Take()
	x.env.catchingUp = true
	x.replica.Query(x.now, 50, QueryStatus)
	x.replica.Propose(x.now, 51, []byte("second"), 1, Version{})
	for x.now < 1500 {
		x.now += 100
		x.replica.Tick(x.now)
		out := x.replica.Take()
		if len(out.QueryResults) != 0 || len(out.ProposalResults) != 0 || len(x.replica.candidates) != 0 {
			t.Fatalf("after %.0f ms: got output %+v, want no result and no candidate", x.now, out)
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
		t.Errorf("after it has caught up: query answered %v, %d candidates; want an answer and a candidate",
			answered, len(x.replica.candidates))
	}
}

// Each membership message carries a summary, which mostly announces nothing new. Handling it must
// allocate nothing.
func TestKnownSummaryAllocatesNothing(t *testing.T) {
	for i, x := range newTestReplicas() {
		x.replica.Take()
		m := &Message{Summary: summaryOf(1, "one")}
		if n := testing.AllocsPerRun(100, func() { x.replica.Receive(x.now, "n3", m) }); n != 0 {
			t.Errorf("replica %d: got %g allocations for a known summary, want 0", i, n)
		}
	}
}

func BenchmarkKnownSummary(b *testing.B) {
	x := newNonVoter()
	m := &Message{Summary: summaryOf(1, "one")}
	for b.Loop() {
		x.replica.Receive(x.now, "n3", m)
	}
}
