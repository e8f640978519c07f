package config

import (
	"math/rand"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// Actions and expectations of tests on a simulated fleet.

// newFleetWithVersion returns a fleet, drawn by seed 1, in which version 1 is in force everywhere.
// Its document is "one", proposed at the controller with the index proposer.
func newFleetWithVersion(t testing.TB, size, voters, proposer int) *fleet {
	t.Helper()
	f := newFleet(t, 1, size, voters)
	f.runFor(1000)
	f.proposeCommitted(f.all[proposer], []byte("one"), 0)
	f.requireInForceEverywhere(1, 5000)
	return f
}

// randomDocument returns a document of a size, different for each seed.
func randomDocument(size int, seed int64) []byte {
	data := make([]byte, size)
	rand.New(rand.NewSource(seed)).Read(data)
	return data
}

// propose proposes a document at a controller and returns the reference.
func (f *fleet) propose(c *controller, document []byte, expect uint64) uint64 {
	f.lastRef++
	v := Version{Author: "operator", Reason: "test", Time: int64(f.now)}
	c.replica.Propose(c.clock(), f.lastRef, document, expect, v)
	f.carryOut(c)
	return f.lastRef
}

// awaitResult returns the result of a proposal. The test fails if there is none in time.
func (f *fleet) awaitResult(c *controller, ref uint64) ProposalResult {
	f.t.Helper()
	f.runUntil(proposeTimeout+100, func() bool { _, ok := c.results[ref]; return ok })
	o, ok := c.results[ref]
	if !ok {
		f.t.Fatalf("proposal %d has no result in time", ref)
	}
	return o
}

// proposeCommitted proposes a document and expects it to be committed.
func (f *fleet) proposeCommitted(c *controller, document []byte, expect uint64) Version {
	f.t.Helper()
	o := f.awaitResult(c, f.propose(c, document, expect))
	if o.Result != Committed || o.Version.Number != expect+1 || o.Version.Hash != HashOf(document) {
		f.t.Fatalf("proposal that expects version %d: got %+v, want Committed as the next version", expect, o)
	}
	return o.Version
}

// inForce reports whether a version, or a later one, is in force at those of some controllers that
// are up.
func inForce(number uint64, controllers []*controller) bool {
	for _, c := range controllers {
		if c.up && !c.left && c.replica.Current().Number < number {
			return false
		}
	}
	return true
}

// requireInForceEverywhere waits until a version is in force at all controllers that are up, and
// returns how long that took in ms. The test fails if it takes longer than the limit.
func (f *fleet) requireInForceEverywhere(number uint64, limit float64) float64 {
	f.t.Helper()
	took := f.runUntil(limit, func() bool { return inForce(number, f.all) })
	if took < 0 {
		behind := []members.ID{}
		for _, c := range f.all {
			if c.up && c.replica.Current().Number < number {
				behind = append(behind, c.id)
			}
		}
		f.t.Fatalf("version %d is not in force after %.0f ms at %d controllers, among them %v",
			number, limit, len(behind), behind[:min(8, len(behind))])
	}
	return took
}

// query sends a query and waits for its answer; false: there is none in time.
func (f *fleet) query(c *controller, kind QueryKind) (Answer, bool) {
	f.lastRef++
	ref := f.lastRef
	c.replica.Query(c.clock(), ref, kind)
	f.carryOut(c)
	f.runUntil(queryTimeout+100, func() bool { _, ok := c.answers[ref]; return ok })
	a, ok := c.answers[ref]
	return a.Answer, ok
}

func (f *fleet) bytesSent() (total, most int64) {
	for _, c := range f.all {
		total += c.sentBytes
		most = max(most, c.sentBytes)
	}
	return total, most
}
