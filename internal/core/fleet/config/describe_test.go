package config

import (
	"slices"
	"strings"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// Every controller learns who made a version and why: voters and others, those that fetch its document and the proposer,
// whether that hears of the version first or of its proposal's end.
func TestDescription(t *testing.T) {
	for seed := range int64(20) {
		f := newFleet(t, seed, 20, 3)
		f.runFor(1000)
		f.putAgreed(f.all[seed], randomDocument(3*ChunkBytes, 1), 0)
		f.everywhere(1, 5000)
		for _, c := range f.all {
			if v := c.replica.Current(); v.Author != "operator" || v.Reason != "test" || v.Time == 0 {
				t.Errorf("seed %d: %s has %+v in force", seed, c.id, v)
			}
		}
	}
}

// What a member tells of another version, or too long, is not taken in; the document is.
func TestForgedDescription(t *testing.T) {
	document := []byte("three")
	s := Summary{Number: 2, Hash: HashOf(document), Size: len(document)}
	good := Version{Number: 2, Hash: s.Hash, Size: s.Size, Author: "anna", Reason: "why"}
	for name, c := range map[string]struct {
		change func(v *Version)
		taken  bool
	}{
		"as it is":         {func(*Version) {}, true},
		"another number":   {func(v *Version) { v.Number = 3 }, false},
		"another hash":     {func(v *Version) { v.Hash[0]++ }, false},
		"another size":     {func(v *Version) { v.Size++ }, false},
		"a long author":    {func(v *Version) { v.Author = strings.Repeat("a", MaxAuthor+1) }, false},
		"a long reason":    {func(v *Version) { v.Reason = strings.Repeat("r", MaxReason+1) }, false},
		"a long origin":    {func(v *Version) { v.ID.Origin = members.ID(strings.Repeat("o", maxIDBytes+1)) }, false},
		"longest possible": {func(v *Version) { v.Author, v.Reason = strings.Repeat("a", MaxAuthor), strings.Repeat("r", MaxReason) }, true},
	} {
		x := newTargets()[2] // one that does not vote
		told := good
		c.change(&told)
		x.replica.Receive(1, "n1", &Message{Summary: &s})
		sends := x.replica.Take().Messages
		if !slices.ContainsFunc(sends, func(m Envelope) bool { return m.To == "n1" && m.Message.Fetch != nil }) {
			t.Fatalf("%s: nothing is fetched: %+v", name, sends)
		}
		x.replica.Receive(2, "n1", &Message{Chunk: &Chunk{Hash: s.Hash, Total: s.Size, Data: document, Version: &told}})
		v := x.replica.newest
		if v.summary() != s || v.isDescribed() != c.taken || c.taken && v.Author != told.Author {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
