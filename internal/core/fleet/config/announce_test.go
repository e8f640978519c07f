package config

import (
	"fmt"
	"testing"
)

// TestVersionReachesAll: versions with documents of all sizes come into force at all controllers in
// time, also if a tenth of the messages is lost.
func TestVersionReachesAll(t *testing.T) {
	for _, c := range []struct {
		size  int
		loss  float64
		limit float64
	}{
		{1, 0, 5000},
		{4 << 10, 0, 5000},
		{64 << 10, 0, 5000},
		{4 << 10, 0.1, 12000},
		{64 << 10, 0.1, 12000},
		{MaxDocument, 0, 12000},
	} {
		t.Run(fmt.Sprintf("%d bytes, loss %g", c.size, c.loss), func(t *testing.T) {
			f := newFleet(t, int64(c.size), 100, 7)
			f.lossRate = c.loss
			f.runFor(12000)
			began, most := f.bytesSent()
			ref := f.propose(f.all[50], randomDocument(c.size, 1), 0)
			putAt := f.now
			if o := f.awaitResult(f.all[50], ref); o.Result != Committed || o.Version.Number != 1 {
				t.Fatalf("proposal: got %+v, want Committed as version 1", o)
			}
			agreed := f.now - putAt
			f.requireInForceEverywhere(1, c.limit)
			f.runFor(3000)
			total, mostAfter := f.bytesSent()
			last := 0.0
			for _, n := range f.all {
				last = max(last, n.appliedAt[1]-putAt)
			}
			t.Logf("committed after %.0f ms, in force everywhere after %.0f ms; bytes sent per controller: mean %d, maximum %d",
				agreed, last, (total-began)/100, mostAfter-most)
		})
	}
}

// TestDocumentSizeIsBounded: documents that are empty or too large are rejected, and not proposed
// to the quorum.
func TestDocumentSizeIsBounded(t *testing.T) {
	f := newFleet(t, 1, 5, 3)
	f.runFor(1000)
	for _, size := range []int{0, MaxDocument + 1} {
		ref := f.propose(f.all[4], randomDocument(size, 1), 0)
		if o, ok := f.all[4].results[ref]; !ok || o.Result != Rejected || o.Reason == "" {
			t.Errorf("document of %d bytes: got %+v, result present %v; want Rejected with a reason", size, o, ok)
		}
	}
	f.runFor(1000)
	if len(f.log) != 0 {
		t.Errorf("got %d proposals in the log, want none", len(f.log))
	}
}
