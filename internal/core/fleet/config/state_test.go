package config

import (
	"fmt"
	"strings"
	"testing"
)

// proposal is a well-formed one of the document that is this text.
func proposal(expect uint64, ref uint64, text string) Proposal {
	return Proposal{Expect: expect, Version: Version{Hash: HashOf([]byte(text)), Size: len(text), Author: "a", Reason: "r",
		ID: ProposalID{Origin: "n1", Run: 1, Ref: ref}}}
}

func TestStateApply(t *testing.T) {
	changed := func(p Proposal, change func(v *Version)) Proposal {
		change(&p.Version)
		return p
	}
	for name, c := range map[string]struct {
		before []Proposal
		p      Proposal
		ok     bool
		number uint64 // told
		newest uint64 // after it
	}{
		"the first":                   {nil, proposal(0, 1, "x"), true, 1, 1},
		"the first, expecting one":    {nil, proposal(1, 1, "x"), false, 0, 0},
		"the second":                  {[]Proposal{proposal(0, 1, "x")}, proposal(1, 2, "y"), true, 2, 2},
		"the same document again":     {[]Proposal{proposal(0, 1, "x")}, proposal(1, 2, "x"), true, 2, 2},
		"one that expects too little": {[]Proposal{proposal(0, 1, "x")}, proposal(0, 2, "y"), false, 0, 1},
		"one that expects too much":   {[]Proposal{proposal(0, 1, "x")}, proposal(2, 2, "y"), false, 0, 1},
		"one again":                   {[]Proposal{proposal(0, 1, "x")}, proposal(0, 1, "x"), true, 1, 1},
		"one again, after another":    {[]Proposal{proposal(0, 1, "x"), proposal(1, 2, "y")}, proposal(0, 1, "x"), true, 1, 2},
		"an empty document":           {nil, proposal(0, 1, ""), false, 0, 0},
		"one byte":                    {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Size = 1 }), true, 1, 1},
		"a negative size":             {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Size = -1 }), false, 0, 0},
		"the largest document":        {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Size = MaxDocument }), true, 1, 1},
		"one byte too large":          {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Size = MaxDocument + 1 }), false, 0, 0},
		"the longest author":          {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Author = strings.Repeat("a", MaxAuthor) }), true, 1, 1},
		"too long an author":          {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Author = strings.Repeat("a", MaxAuthor+1) }), false, 0, 0},
		"the longest reason":          {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Reason = strings.Repeat("a", MaxReason) }), true, 1, 1},
		"too long a reason":           {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Reason = strings.Repeat("a", MaxReason+1) }), false, 0, 0},
		"no origin":                   {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.ID.Origin = "" }), false, 0, 0},
		"a number of its own":         {nil, changed(proposal(0, 1, "x"), func(v *Version) { v.Number = 7 }), true, 1, 1},
	} {
		s := &State{}
		for _, p := range c.before {
			s.Apply(p)
		}
		v, ok := s.Apply(c.p)
		if ok != c.ok || v.Number != c.number || s.Newest() != c.newest {
			t.Errorf("%s: %+v, %v, newest %d", name, v, ok, s.Newest())
		}
	}
}

func TestStateHistory(t *testing.T) {
	s := &State{}
	if s.Latest() != (Version{}) || s.Newest() != 0 {
		t.Errorf("at first: %+v", s.Latest())
	}
	for i := range uint64(3 * MaxHistory) {
		if v, ok := s.Apply(proposal(i, i+1, fmt.Sprint("text ", i))); !ok || v.Number != i+1 {
			t.Fatalf("%d: %+v, %v", i, v, ok)
		}
	}
	if len(s.Versions) != MaxHistory || s.Versions[0].Number != 2*MaxHistory+1 || s.Latest().Number != 3*MaxHistory {
		t.Errorf("%d versions from %d to %d", len(s.Versions), s.Versions[0].Number, s.Latest().Number)
	}
	if _, ok := s.Find(2 * MaxHistory); ok {
		t.Error("one that was dropped is found")
	}
	if v, ok := s.Find(2*MaxHistory + 5); !ok || v.Number != 2*MaxHistory+5 {
		t.Errorf("found: %+v, %v", v, ok)
	}
	c := s.Copy()
	s.Versions[0].Author = "other"
	s.Apply(proposal(s.Newest(), 9999, "new"))
	if c.Versions[0].Author != "a" || c.Newest() != 3*MaxHistory {
		t.Error("a copy shares its versions")
	}
}
