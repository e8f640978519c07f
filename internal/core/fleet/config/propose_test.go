package config

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// The leader stops leading while a proposal is pending. The proposal is sent to the next leader,
// and becomes one version.
func TestProposalOutlastsLeaderChange(t *testing.T) {
	for seed := range int64(40) {
		f := newFleet(t, seed, 12, 5)
		f.lossRate = 0.05
		f.runFor(1000)
		at := f.all[9]
		ref := f.propose(at, randomDocument(64<<10, seed), 0)
		f.runFor(float64(seed) * 10) // a later stage of the proposal with each seed
		f.setLeader("")
		f.runFor(400)
		f.setLeader(f.all[1].id)
		o := f.awaitResult(at, ref)
		if o.Result != Committed || o.Version.Number != 1 || f.agreed.Newest() != 1 {
			t.Errorf("seed %d: got %+v and newest version %d, want Committed as version 1", seed, o, f.agreed.Newest())
		}
		f.requireInForceEverywhere(1, 15000)
	}
}

// Two proposals expect the same version. One becomes the next, and the other ends as a conflict
// with that version.
func TestOneOfTwoProposalsWins(t *testing.T) {
	for seed := range int64(20) {
		f := newFleet(t, seed, 12, 5)
		f.runFor(1000)
		first, second := f.all[0], f.all[9] // one of them leads
		if seed%2 == 0 {                    // both at one controller
			first = second
		}
		a, b := f.propose(first, randomDocument(5000, 1), 0), f.propose(second, randomDocument(9000, 2), 0)
		x, y := f.awaitResult(first, a), f.awaitResult(second, b)
		if x.Result == Conflict {
			x, y = y, x
		}
		sameVersion := y.Version.Number == 1 && y.Version.Hash == x.Version.Hash
		if x.Result != Committed || y.Result != Conflict || !sameVersion || y.Reason == "" {
			t.Errorf("seed %d: got %+v and %+v, want one Committed and one Conflict with its version", seed, x, y)
		}
		f.requireInForceEverywhere(1, 10000)
	}
}

// TestProposalExpectsNewestVersion: a proposal that expects another version than the newest ends as
// a conflict.
func TestProposalExpectsNewestVersion(t *testing.T) {
	f := newFleet(t, 1, 6, 3)
	f.runFor(1000)
	f.proposeCommitted(f.all[5], []byte("one"), 0)
	f.proposeCommitted(f.all[5], []byte("two"), 1)
	for _, expect := range []uint64{0, 1, 3, 1 << 63} {
		o := f.awaitResult(f.all[4], f.propose(f.all[4], []byte("three"), expect))
		if o.Result != Conflict || o.Version.Number != 2 || o.Reason == "" {
			t.Errorf("proposal that expects version %d: got %+v, want Conflict with version 2 and a reason", expect, o)
		}
	}
	if f.agreed.Newest() != 2 {
		t.Errorf("newest version: got %d, want 2", f.agreed.Newest())
	}
}

// A document that the leader can't use is rejected with the reason, and not proposed to the quorum.
func TestLeaderRejectsUnusableDocument(t *testing.T) {
	f := newFleet(t, 1, 6, 3)
	f.runFor(1000)
	for _, at := range []*controller{f.all[0], f.all[1], f.all[5]} {
		o := f.awaitResult(at, f.propose(at, []byte("nonsense, for "+at.id), 0))
		if o.Result != Rejected || o.Reason != "line 1: nonsense" {
			t.Errorf("unusable document proposed at %s: got %+v, want Rejected with the check's error", at.id, o)
		}
	}
	if len(f.log) != 0 {
		t.Error("an unusable document was proposed to the quorum")
	}
	f.all[0].checkDocument = func([]byte) error { return fmt.Errorf("%s", strings.Repeat("ä", MaxReason)) }
	o := f.awaitResult(f.all[5], f.propose(f.all[5], []byte("x"), 0))
	wholeCharacters := strings.HasPrefix(o.Reason, "ä") && !strings.ContainsRune(o.Reason, 0xfffd)
	if o.Result != Rejected || len(o.Reason) > MaxReason || !wholeCharacters {
		t.Errorf("long reason: got %d bytes, want at most MaxReason and whole characters", len(o.Reason))
	}
}

// A proposal whose origin is partitioned from the majority ends as Unknown in time, and a leader
// without a majority commits nothing.
func TestPartitionedProposalIsUnknown(t *testing.T) {
	f := newFleetWithVersion(t, 10, 5, 9)
	f.partition([]*controller{f.all[0], f.all[1], f.all[9]}, 1) // the leader, a voter and a controller
	a, b := f.propose(f.all[9], []byte("two"), 1), f.propose(f.all[0], []byte("three"), 1)
	began := f.now
	x, y := f.awaitResult(f.all[9], a), f.awaitResult(f.all[0], b)
	if x.Result != Unknown || y.Result != Unknown || f.now-began > proposeTimeout+100 {
		t.Errorf("got %+v and %+v after %.0f ms, want Unknown for both within proposeTimeout", x, y, f.now-began)
	}
	f.setLeader(f.all[2].id)
	f.proposeCommitted(f.all[8], []byte("four"), 1)
	f.runFor(5000)
	if f.all[9].replica.Current().Number != 1 || f.all[8].replica.Current().Number != 2 {
		t.Errorf("got version %d on the minority's side and %d on the majority's, want 1 and 2",
			f.all[9].replica.Current().Number, f.all[8].replica.Current().Number)
	}
	f.partition(f.all, 0)
	if took := f.requireInForceEverywhere(2, 19000); took > 19000 {
		t.Errorf("in force everywhere %.0f ms after the partition has healed, want at most 19000 ms", took)
	}
}

// TestProposalsAboveBoundAreRejected: proposals beyond the leader's bound are rejected as busy, and
// an origin keeps no more than its bound.
func TestProposalsAboveBoundAreRejected(t *testing.T) {
	f := newFleet(t, 1, 30, 3)
	f.runFor(1000)
	f.partition([]*controller{f.all[1], f.all[2]}, 1) // no majority: no proposal ends
	refs := map[*controller]uint64{}
	for _, c := range f.all[3:] {
		refs[c] = f.propose(c, []byte("by "+c.id), 0)
	}
	f.runFor(400)
	busy := 0
	for c, ref := range refs {
		if o, ok := c.results[ref]; ok && o.Result == Rejected && o.Reason == "busy" {
			busy++
		}
	}
	if busy != len(refs)-MaxProposals-1 {
		t.Errorf("got %d of %d proposals rejected as busy, want all but MaxProposals+1", busy, len(refs))
	}
	if c := f.all[5]; c != nil {
		for range 2 * MaxProposals {
			f.propose(c, []byte("more"), 0)
		}
		if n := len(c.replica.proposals); n > MaxProposals {
			t.Errorf("got %d proposals pending at their origin, want at most MaxProposals", n)
		}
	}
}

// A proposal was committed and the reply was lost with the leader. The next leader, which did not
// propose it, replies.
func TestNextLeaderAnswersCommittedProposal(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	f.onMessage = func(_, _ *controller, m *Message) bool { return m.ProposeReply == nil }
	ref := f.propose(f.all[7], []byte("one"), 0)
	f.runUntil(5000, func() bool { return f.agreed.Newest() == 1 })
	f.setLeader(f.all[1].id)
	f.onMessage = nil
	if o := f.awaitResult(f.all[7], ref); o.Result != Committed || o.Version.Number != 1 || len(f.log) != 1 {
		t.Errorf("got %+v with %d log entries, want Committed as version 1 with 1 entry", o, len(f.log))
	}
}

// If a version were agreed on while a minority holds its document, the document could be lost. So
// it is proposed only when a majority has stored the document: a voter with a full disk does not
// count.
func TestProposedOnlyWhenMajorityHoldsDocument(t *testing.T) {
	f := newFleet(t, 1, 8, 5)
	f.runFor(1000)
	for _, i := range []int{1, 2, 3} {
		f.all[i].diskFull = true
	}
	ref := f.propose(f.all[7], randomDocument(100000, 1), 0)
	f.runFor(4000)
	if len(f.log) != 0 {
		t.Fatal("proposed to the quorum while 2 of 5 voters hold the document")
	}
	f.all[2].diskFull = false // it stores the document at the next retry
	if o := f.awaitResult(f.all[7], ref); o.Result != Committed {
		t.Errorf("after a third voter can store the document: got %+v, want Committed", o)
	}
}

// A leader that could not store the document must not count itself as holding it.
func TestLeaderWithoutDocumentDoesNotCount(t *testing.T) {
	f := newFleet(t, 1, 8, 5)
	f.runFor(1000)
	for _, c := range f.all[:3] {
		c.diskFull = true
	}
	ref := f.propose(f.all[7], randomDocument(1000, 1), 0)
	f.runFor(4000)
	if len(f.log) != 0 {
		t.Fatal("proposed to the quorum while 2 of 5 voters hold the document")
	}
	f.all[0].diskFull = false
	if o := f.awaitResult(f.all[7], ref); o.Result != Committed {
		t.Errorf("after the leader can store the document: got %+v, want Committed", o)
	}
}

// The leader's disk is full. A version is still agreed on if a majority of the voters holds the
// document.
func TestLeaderDiskFullMajorityOfOthers(t *testing.T) {
	f := newFleet(t, 1, 8, 5)
	f.runFor(1000)
	f.all[0].diskFull = true
	f.proposeCommitted(f.all[7], randomDocument(100000, 1), 0)
	f.runUntil(10000, func() bool { return inForce(1, f.all[1:]) })
	if !inForce(1, f.all[1:]) || inForce(1, f.all[:1]) {
		t.Error("the version is not in force at the other controllers, or is in force at the one that did not store it")
	}
	f.all[0].diskFull = false
	f.requireInForceEverywhere(1, maxStoreRetry+1000)
}

// A rollback is a new version with an older document. It comes into force everywhere, also while
// the previous version is still spreading.
func TestRollbackWhileVersionSpreads(t *testing.T) {
	f := newFleet(t, 3, 60, 5)
	f.runFor(2000)
	old, bad := randomDocument(64<<10, 1), randomDocument(MaxDocument, 2)
	f.proposeCommitted(f.all[50], old, 0)
	f.requireInForceEverywhere(1, 10000)
	f.proposeCommitted(f.all[50], bad, 1)
	f.runFor(30)
	spread := 0
	for _, c := range f.all {
		if c.replica.Current().Number == 2 {
			spread++
		}
	}
	if spread == len(f.all) {
		t.Fatal("version 2 is in force everywhere before the rollback, want it still to spread")
	}
	f.proposeCommitted(f.all[40], old, 2)
	f.requireInForceEverywhere(3, 10000)
	for _, c := range f.all {
		if v := c.replica.Current(); v.Number != 3 || v.Hash != HashOf(old) {
			t.Errorf("%s: got version %+v in force, want version 3 with the first document", c.id, v)
		}
	}
}

// TestFetchDocument: all controllers find the documents of the history, and the lookup of one that
// no voter has ends without a document.
func TestFetchDocument(t *testing.T) {
	f := newFleet(t, 1, 12, 3)
	f.runFor(1000)
	var documents [][]byte
	for i := range 6 {
		documents = append(documents, randomDocument(40000+i, int64(i)))
		f.proposeCommitted(f.all[11], documents[i], uint64(i))
		f.requireInForceEverywhere(uint64(i+1), 8000)
	}
	for i, d := range documents {
		c := f.all[5+i]
		f.lastRef++
		ref := f.lastRef
		c.replica.FetchDocument(f.now, ref, HashOf(d))
		f.carryOut(c)
		f.runUntil(lookupTimeout+100, func() bool { _, ok := c.documents[ref]; return ok })
		if got := c.documents[ref]; !bytes.Equal(got.Document, d) || got.Ref != ref {
			t.Errorf("document %d: got %d bytes, want the committed document", i, len(got.Document))
		}
	}
	c := f.all[8]
	began := f.now
	c.replica.FetchDocument(f.now, 9999, HashOf([]byte("unknown")))
	f.carryOut(c)
	f.runUntil(lookupTimeout+100, func() bool { _, ok := c.documents[9999]; return ok })
	if got, ok := c.documents[9999]; !ok || got.Document != nil || f.now-began > 1000 {
		t.Errorf("document that no voter has: result present %v after %.0f ms, want one without a document within 1 s",
			ok, f.now-began)
	}
	for _, n := range f.all[:3] {
		n.up = false
	}
	f.runFor(100)
	c.replica.FetchDocument(f.now, 9998, HashOf([]byte("unknown")))
	f.carryOut(c)
	f.runFor(lookupTimeout + 100)
	if got, ok := c.documents[9998]; !ok || got.Document != nil {
		t.Error("no result, or one with a document, while no voter answers")
	}
}

// TestStoredDocumentsAreBounded: a voter stores the documents of its history within the bound,
// other controllers the newest two.
func TestStoredDocumentsAreBounded(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(removeAfter + 1000)
	for i := range 12 {
		f.proposeCommitted(f.all[7], randomDocument(MaxDocument-i, int64(i)), uint64(i))
		f.requireInForceEverywhere(uint64(i+1), 15000)
	}
	f.runFor(1000)
	for _, c := range f.all {
		size := 0
		for _, d := range c.folder.documents {
			size += len(d)
		}
		n := len(c.folder.documents)
		outOfBounds := n < 2 || n > 3
		if c.voter {
			outOfBounds = size < MaxStored-2*MaxDocument || size > MaxStored+MaxDocument
		}
		if outOfBounds {
			t.Errorf("%s stores %d documents of %d bytes, which is out of bounds", c.id, n, size)
		}
		if n := len(c.replica.documents.documents); n > 12 {
			t.Errorf("%s has %d documents in memory, want at most 12", c.id, n)
		}
	}
}

// A voter that lost its folder fetches the documents of its history again, and then stops
// searching.
func TestVoterFetchesLostHistory(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	for i := range 5 {
		f.proposeCommitted(f.all[7], randomDocument(40000, int64(i)), uint64(i))
	}
	f.runFor(5000)
	c := f.all[1]
	f.kill(c)
	c.folder = &folder{documents: map[Hash][]byte{}}
	f.start(c)
	f.runFor(60000)
	if n := len(c.folder.documents); n != 5 {
		t.Errorf("got %d documents in the voter's folder, want 5", n)
	}
	if c.replica.Next() < f.now+1000 && len(c.replica.downloads) > 0 {
		t.Error("the voter still searches for documents")
	}
}

// A member sends a proposal under the name of another, and a member that was not asked answers a
// proposal. Neither changes anything.
func TestForgedProposalsAndRepliesAreIgnored(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	id5 := ProposalID{Origin: "n005", Run: 1, Ref: 1}
	p := Proposal{Version: Version{Hash: HashOf([]byte("x")), Size: 1, ID: id5}}
	f.all[0].replica.Receive(f.now, "n006", &Message{Propose: &ProposeRequest{Proposal: p}})
	if len(f.all[0].replica.candidates) != 0 {
		t.Error("a proposal that names another origin than its sender is accepted")
	}
	c := f.all[7]
	ref := f.propose(c, []byte("one"), 0)
	id := ProposalID{Origin: c.id, Run: c.run, Ref: ref}
	for from, reply := range map[members.ID]ProposeReply{
		"n005": {ID: id, Result: Conflict},
		"n000": {ID: id, Result: Unknown},
		"n001": {ID: id, Result: Rejected},
	} {
		c.replica.Receive(f.now, from, &Message{ProposeReply: &reply})
	}
	committed := func(v Version) {
		reply := &ProposeReply{ID: id, Result: Committed, Version: v}
		c.replica.Receive(f.now, "n000", &Message{ProposeReply: reply})
	}
	committed(Version{Number: 9, ID: id, Hash: HashOf([]byte("other"))})
	otherID := ProposalID{Origin: "n005", Run: 1, Ref: 1} // of the same document
	committed(Version{Number: 9, ID: otherID, Hash: HashOf([]byte("one")), Size: 3})
	f.carryOut(c)
	if len(c.results) != 0 {
		t.Errorf("forged replies end the proposal: %+v", c.results)
	}
	if o := f.awaitResult(c, ref); o.Result != Committed || o.Version.Number != 1 {
		t.Errorf("after forged replies: got %+v, want Committed as version 1", o)
	}
}

// The origin of a proposal may be the only member that has its document. If its bytes are corrupted
// on their way it must be asked again, and later proposals must not wait for this one.
func TestOnlySourceIsAskedAgainAfterCorruptBytes(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	origin, other := f.all[6], f.all[5]
	origin.corrupt = true
	first := f.propose(origin, randomDocument(1000, 1), 0)
	f.runFor(2000)
	second := f.propose(other, randomDocument(1000, 2), 0)
	answered := func(c *controller, ref uint64) func() bool {
		return func() bool { _, ok := c.results[ref]; return ok }
	}
	took := f.runUntil(4000, answered(other, second))
	if took < 0 || other.results[second].Result != Committed {
		t.Errorf("the proposal after it: %v ms (below 0: not in time), got %+v, want Committed",
			took, other.results[second])
	}
	if o := f.awaitResult(origin, first); o.Result != Conflict {
		t.Errorf("proposal with corrupted bytes: got %+v, want Conflict", o)
	}
	third := f.propose(origin, randomDocument(1000, 3), 1)
	f.runFor(1500)
	origin.corrupt = false
	took = f.runUntil(3000, answered(origin, third))
	if took < 0 || origin.results[third].Result != Committed {
		t.Errorf("after the corruption has ended: %v ms (below 0: not in time), got %+v, want Committed",
			took, origin.results[third])
	}
}
