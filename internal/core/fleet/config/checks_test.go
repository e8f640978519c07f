package config

import (
	"errors"
	"slices"
	"testing"
)

// The check of a version takes long. Until it ends nothing of the version is stored, applied or
// announced, messages and ticks are answered, and no other check is requested. A result for another
// document, or a second one, does nothing.
func TestNothingIsStoredOrAnnouncedBeforeCheck(t *testing.T) {
	x := newNonVoter()
	x.replica.Take()
	x.replica.Receive(x.now, "n1", &Message{Summary: summaryOf(2, "second")})
	x.replica.Take()
	x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("second")})
	request := x.replica.Take().Check
	if request == nil || request.Hash != HashOf([]byte("second")) || string(request.Document) != "second" {
		t.Fatalf("after the document has arrived: got CheckRequest %+v, want one for it", request)
	}
	x.replica.Checked(x.now, HashOf([]byte("one")), nil) // of another document
	for range 20 {
		x.now = x.replica.Next()
		x.replica.Tick(x.now)
		x.replica.Receive(x.now, "n3", &Message{Fetch: &Fetch{Hash: HashOf([]byte("one"))}})
		out := x.replica.Take()
		if out.Check != nil || out.Store != nil || out.Apply != nil {
			t.Fatalf("while the check is pending: got output %+v, want no further request", out)
		}
		if len(out.Messages) == 0 {
			t.Error("no document is served while a check is pending")
		}
	}
	if x.replica.Summary().Number != 1 {
		t.Error("a version is announced before its check has ended")
	}
	x.replica.Checked(x.now, request.Hash, nil)
	if out := x.replica.Take(); out.Store == nil || out.Store.Current == nil || out.Store.Current.Number != 2 {
		t.Fatalf("after the check: got output %+v, want a StoreRequest for version 2", out)
	}
	x.replica.Checked(x.now, request.Hash, errors.New("late")) // not requested
	if v, _ := x.replica.Rejected(); v.Number != 0 {
		t.Errorf("version %d is rejected by a result that was not requested", v.Number)
	}
}

// A newer version arrives while an older one is checked. The older one is never stored or applied,
// whether or not it passes, and its result is dropped.
func TestNewerVersionReplacesCheckedOne(t *testing.T) {
	for name, result := range map[string]error{"passes": nil, "fails": errors.New("bad")} {
		t.Run(name, func(t *testing.T) {
			x := newNonVoter()
			x.replica.Take()
			x.replica.Receive(x.now, "n1", &Message{Summary: summaryOf(2, "second")})
			x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("second")})
			older := x.replica.Take().Check
			x.replica.Receive(x.now, "n1", &Message{Summary: summaryOf(3, "third")})
			x.replica.Receive(x.now, "n1", &Message{Chunk: chunkOf("third")})
			if out := x.replica.Take(); out.Check != nil {
				t.Fatal("a second check is requested while one is pending")
			}
			x.replica.Checked(x.now, older.Hash, result)
			out := x.answerCheck(t)
			if out.Store == nil || out.Store.Current == nil || out.Store.Current.Number != 3 {
				t.Errorf("after both checks: got StoreRequest %+v, want one for version 3", out.Store)
			}
			if v, _ := x.replica.Rejected(); v.Number != 0 {
				t.Errorf("version %d is rejected although a newer one replaced it, want no rejection", v.Number)
			}
			if len(x.replica.checks.results) != 0 {
				t.Errorf("got %d check results kept, want none", len(x.replica.checks.results))
			}
		})
	}
}

// A leader loses the lead while it checks a proposal. It must not propose it, and a result that
// comes then changes nothing. When it leads again, a repeated proposal is checked again.
func TestLeaderLostDuringCheckProposesNothing(t *testing.T) {
	one := []byte("one")
	v := Version{Number: 1, Hash: HashOf(one), Size: len(one)}
	state := State{Versions: []Version{v}}
	x := &testReplica{env: &fakeEnvironment{self: "n0", leads: true, voting: true, state: state}}
	stored := StoredState{Current: v, Documents: map[Hash][]byte{v.Hash: one}}
	x.replica = New(Options{Self: "n0", Run: 5, Seed: 1}, x.env, stored, 0)
	x.replica.Take()
	document := []byte("proposed")
	p := Proposal{Expect: 1, Version: Version{Hash: HashOf(document), Size: len(document),
		ID: ProposalID{Origin: "n3", Run: 7, Ref: 1}}}
	propose := func() *CheckRequest {
		x.replica.Receive(x.now, "n3", &Message{Propose: &ProposeRequest{Proposal: p}})
		x.replica.Receive(x.now, "n3", &Message{Chunk: chunkOf(string(document))})
		return x.replica.Take().Check
	}
	request := propose()
	if request == nil || request.Hash != p.Version.Hash {
		t.Fatalf("after the proposal: got CheckRequest %+v, want one for its document", request)
	}
	x.env.leads = false
	x.replica.QuorumChanged(x.now)
	x.replica.Checked(x.now, request.Hash, errors.New("bad"))
	for _, s := range x.replica.Take().Messages {
		if s.Message.ProposeReply != nil || s.Message.Hold != nil {
			t.Errorf("a former leader sends %+v, want no reply and no hold", s.Message)
		}
	}
	x.env.leads = true
	x.replica.QuorumChanged(x.now)
	if again := propose(); again == nil || again.Hash != request.Hash {
		t.Errorf("proposed again to the same leader: got CheckRequest %+v, want one for its document", again)
	}
}

// Every check takes two seconds. Versions still come into force everywhere, in their order, and a
// document that can't be used is rejected.
func TestSlowChecksKeepOrder(t *testing.T) {
	f := newFleet(t, 1, 9, 3)
	for _, c := range f.all {
		c.extraCheckTime = 2000
	}
	f.runFor(3000)
	for number := uint64(1); number <= 3; number++ {
		document := randomDocument(5000, int64(number))
		ref := f.propose(f.all[5], document, number-1)
		if o := f.awaitResult(f.all[5], ref); o.Result != Committed || o.Version.Number != number {
			t.Fatalf("proposal: got %+v, want Committed as the next version", o)
		}
		took := f.runUntil(19000, func() bool {
			for _, c := range f.all {
				if c.replica.Current().Number != number {
					return false
				}
			}
			return true
		})
		if took < 0 {
			t.Fatalf("version %d is not in force everywhere", number)
		}
	}
	ref := f.propose(f.all[5], []byte("nonsense"), 3)
	if o := f.awaitResult(f.all[5], ref); o.Result != Rejected {
		t.Errorf("unusable document: got %+v, want Rejected", o)
	}
}

// Many proposals arrive, and their origins end before the leader has their documents, as after a
// pause of the leader. They must not delay a proposal whose document is there, and are dropped
// after candidateTimeout.
func TestCandidatesWithoutDocumentHoldUpNoOther(t *testing.T) {
	f := newFleet(t, 3, 12, 3)
	f.runFor(3000)
	leader := f.all[0]
	gone := f.all[4:10]
	f.onMessage = func(from, _ *controller, m *Message) bool {
		return m.Chunk == nil || !slices.Contains(gone, from)
	}
	for i, c := range gone {
		f.propose(c, randomDocument(3000, int64(i)), 0)
	}
	f.runFor(200)
	if len(leader.replica.candidates) != len(gone) {
		t.Fatalf("got %d candidates at the leader, want one per stopped origin", len(leader.replica.candidates))
	}
	author := f.all[10]
	ref := f.propose(author, randomDocument(3000, 100), 0)
	const within = 3000.0
	took := f.runUntil(within, func() bool { return author.results[ref].Result == Committed })
	if took < 0 {
		t.Errorf("proposal with its document: not committed within %.0f ms: %+v", within, author.results[ref])
	}
	f.runFor(candidateTimeout + 5000)
	if n := len(leader.replica.candidates); n != 0 {
		t.Errorf("got %d candidates at the leader after their timeout, want none", n)
	}
}
