package config

import (
	"slices"
	"strings"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// TestAllLearnAuthorAndReason: voters, other controllers and the proposer learn the author and
// reason, whether the proposer first learns of the version or of its proposal's result.
func TestAllLearnAuthorAndReason(t *testing.T) {
	for seed := range int64(20) {
		f := newFleet(t, seed, 20, 3)
		f.runFor(1000)
		f.proposeCommitted(f.all[seed], randomDocument(3*ChunkBytes, 1), 0)
		f.requireInForceEverywhere(1, 5000)
		for _, c := range f.all {
			if v := c.replica.Current(); v.Author != "operator" || v.Reason != "test" || v.Time == 0 {
				t.Errorf("seed %d: %s has version %+v in force, want one with author, reason and time", seed, c.id, v)
			}
		}
	}
}

// A member sends a description of another version, or one with texts that are too long. It is
// ignored, and the document is used.
func TestForgedDescriptionIsIgnored(t *testing.T) {
	document := []byte("three")
	s := Summary{Number: 2, Hash: HashOf(document), Size: len(document)}
	good := Version{Number: 2, Hash: s.Hash, Size: s.Size, Author: "anna", Reason: "why"}
	for name, c := range map[string]struct {
		change func(v *Version)
		taken  bool
	}{
		"as it is":       {func(*Version) {}, true},
		"another number": {func(v *Version) { v.Number = 3 }, false},
		"another hash":   {func(v *Version) { v.Hash[0]++ }, false},
		"another size":   {func(v *Version) { v.Size++ }, false},
		"a long author":  {func(v *Version) { v.Author = strings.Repeat("a", MaxAuthor+1) }, false},
		"a long reason":  {func(v *Version) { v.Reason = strings.Repeat("r", MaxReason+1) }, false},
		"a long origin":  {func(v *Version) { v.ID.Origin = members.ID(strings.Repeat("o", maxIDBytes+1)) }, false},
		"longest possible": {func(v *Version) {
			v.Author = strings.Repeat("a", MaxAuthor)
			v.Reason = strings.Repeat("r", MaxReason)
		}, true},
	} {
		x := newTestReplicas()[2] // one that does not vote
		description := good
		c.change(&description)
		x.replica.Receive(1, "n1", &Message{Summary: &s})
		sends := x.replica.Take().Messages
		if !slices.ContainsFunc(sends, func(m Envelope) bool { return m.To == "n1" && m.Message.Fetch != nil }) {
			t.Fatalf("%s: got messages %+v, want a fetch from n1", name, sends)
		}
		chunk := &Chunk{Hash: s.Hash, Total: s.Size, Data: document, Version: &description}
		x.replica.Receive(2, "n1", &Message{Chunk: chunk})
		v := x.replica.newest
		if v.summary() != s || v.isDescribed() != c.taken || c.taken && v.Author != description.Author {
			t.Errorf("%s: got version %+v, want the announced one, described only if the description is valid", name, v)
		}
	}
}
