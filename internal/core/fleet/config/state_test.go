package config

import (
	"fmt"
	"strings"
	"testing"
)

// proposal returns a valid proposal of a document with this text.
func proposal(expect uint64, ref uint64, text string) Proposal {
	return Proposal{Expect: expect, Version: Version{
		Hash:   HashOf([]byte(text)),
		Size:   len(text),
		Author: "a",
		Reason: "r",
		ID:     ProposalID{Origin: "n1", Run: 1, Ref: ref},
	}}
}

// TestStateApplyBoundsAndExpectation: a proposal becomes a version only if it is within its bounds
// and expects the newest version, and only once.
func TestStateApplyBoundsAndExpectation(t *testing.T) {
	with := func(change func(*Version)) Proposal {
		p := proposal(0, 1, "x")
		change(&p.Version)
		return p
	}
	afterX := []Proposal{proposal(0, 1, "x")}
	afterXAndY := []Proposal{proposal(0, 1, "x"), proposal(1, 2, "y")}
	text := func(length int) string { return strings.Repeat("a", length) }
	tooLongAuthor := with(func(v *Version) { v.Author = text(MaxAuthor + 1) })
	tooLongReason := with(func(v *Version) { v.Reason = text(MaxReason + 1) })
	for name, c := range map[string]struct {
		before []Proposal
		p      Proposal
		ok     bool
		number uint64 // of the version
		newest uint64 // of the state after it
	}{
		"the first version":            {nil, proposal(0, 1, "x"), true, 1, 1},
		"the first, expecting another": {nil, proposal(1, 1, "x"), false, 0, 0},
		"the second version":           {afterX, proposal(1, 2, "y"), true, 2, 2},
		"the same document again":      {afterX, proposal(1, 2, "x"), true, 2, 2},
		"expecting an older version":   {afterX, proposal(0, 2, "y"), false, 0, 1},
		"expecting a later version":    {afterX, proposal(2, 2, "y"), false, 0, 1},
		"the same proposal again":      {afterX, proposal(0, 1, "x"), true, 1, 1},
		"the same, after another":      {afterXAndY, proposal(0, 1, "x"), true, 1, 2},
		"an empty document":            {nil, proposal(0, 1, ""), false, 0, 0},
		"one byte":                     {nil, with(func(v *Version) { v.Size = 1 }), true, 1, 1},
		"a negative size":              {nil, with(func(v *Version) { v.Size = -1 }), false, 0, 0},
		"the largest document":         {nil, with(func(v *Version) { v.Size = MaxDocument }), true, 1, 1},
		"one byte too large":           {nil, with(func(v *Version) { v.Size = MaxDocument + 1 }), false, 0, 0},
		"the longest author":           {nil, with(func(v *Version) { v.Author = text(MaxAuthor) }), true, 1, 1},
		"an author too long":           {nil, tooLongAuthor, false, 0, 0},
		"the longest reason":           {nil, with(func(v *Version) { v.Reason = text(MaxReason) }), true, 1, 1},
		"a reason too long":            {nil, tooLongReason, false, 0, 0},
		"no origin":                    {nil, with(func(v *Version) { v.ID.Origin = "" }), false, 0, 0},
		"a number set already":         {nil, with(func(v *Version) { v.Number = 7 }), true, 1, 1},
	} {
		s := &State{}
		for _, p := range c.before {
			s.Apply(p)
		}
		v, ok := s.Apply(c.p)
		if ok != c.ok || v.Number != c.number || s.Newest() != c.newest {
			t.Errorf("%s: got version %+v, applied %v, newest %d", name, v, ok, s.Newest())
		}
	}
}

// TestStateRemembersBoundedHistory: the state keeps the last MaxHistory versions.
func TestStateRemembersBoundedHistory(t *testing.T) {
	s := &State{}
	if s.Latest() != (Version{}) || s.Newest() != 0 {
		t.Errorf("latest version of an empty state: got %+v, want none", s.Latest())
	}
	for i := range uint64(3 * MaxHistory) {
		if v, ok := s.Apply(proposal(i, i+1, fmt.Sprint("text ", i))); !ok || v.Number != i+1 {
			t.Fatalf("proposal %d: got %+v, applied %v; want the next version", i, v, ok)
		}
	}
	oldest := s.Versions[0].Number
	if len(s.Versions) != MaxHistory || oldest != 2*MaxHistory+1 || s.Latest().Number != 3*MaxHistory {
		t.Errorf("got %d versions from %d to %d, want the last MaxHistory",
			len(s.Versions), s.Versions[0].Number, s.Latest().Number)
	}
	if _, ok := s.Find(2 * MaxHistory); ok {
		t.Error("a version that was dropped from the history is found")
	}
	if v, ok := s.Find(2*MaxHistory + 5); !ok || v.Number != 2*MaxHistory+5 {
		t.Errorf("version in the history: got %+v, found %v", v, ok)
	}
	c := s.Copy()
	s.Versions[0].Author = "other"
	s.Apply(proposal(s.Newest(), 9999, "new"))
	if c.Versions[0].Author != "a" || c.Newest() != 3*MaxHistory {
		t.Error("a change of the state changes its copy")
	}
}
