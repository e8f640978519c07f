package quorum

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

func proposalOf(expect, ref uint64) config.Proposal {
	return config.Proposal{Expect: expect, Version: config.Version{Hash: config.Hash{byte(ref)}, Size: 1, Author: "a", Reason: "r",
		ID: config.ProposalID{Origin: "x", Run: 1, Ref: ref}}}
}

// Versions are agreed on one after another, one for each number; they outlast snapshots of the log and restarts.
func TestConfigVersions(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	propose := func(expect, ref uint64) {
		t.Helper()
		if !r.leader().ProposeConfig("x", proposalOf(expect, ref)) {
			t.Fatal("not proposed")
		}
	}
	propose(0, 1)
	propose(0, 2) // in the same round: the second one comes too late
	r.run(500)
	propose(1, 3)
	propose(1, 3) // sent again
	propose(7, 4) // of a version that there never was
	r.run(500)
	want := fmt.Sprint([]uint64{1, 3})
	check := func(name members.ID) {
		t.Helper()
		var refs []uint64
		for i, v := range r.members[name].ConfigState().Versions {
			if v.Number != uint64(i+1) {
				t.Errorf("%s: number %d at place %d", name, v.Number, i)
			}
			refs = append(refs, v.ID.Ref)
		}
		if got := fmt.Sprint(refs); got != want {
			t.Errorf("%s agreed on %s, want %s", name, got, want)
		}
	}
	for _, name := range r.founders {
		check(name)
	}
	for ref := range uint64(600) { // past a snapshot or two
		r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: []lease.Name{"w"}}})
		r.run(50)
	}
	for _, name := range r.founders {
		r.start(name)
	}
	r.run(5000)
	for _, name := range r.founders {
		r.standing(name, Voting)
		check(name)
	}
	r.kept["b"] = nil // its folder is lost: the leader sends it everything as a new incarnation
	r.start("b")
	r.run(20000)
	r.standing("b", Voting)
	check("b")
}

// Only the leader's proposals count.
func TestConfigNeedsLeader(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	for _, name := range r.founders {
		if c := r.members[name]; c.Leads() == !c.ProposeConfig("x", proposalOf(0, 1)) {
			t.Errorf("%s leads %v and proposed otherwise", name, c.Leads())
		}
	}
}

// One that has just been elected may hold what was agreed on in its log and not have applied it yet: it answers for the
// quorum only once it has applied an entry of its own term.
func TestLeadsCaughtUp(t *testing.T) {
	r := newRoom(t, "a", "b", "c")
	r.run(5000)
	before := r.leader()
	if !before.LeadsCaughtUp() {
		t.Fatal("a leader at rest has not caught up")
	}
	before.ProposeConfig("x", proposalOf(0, 1))
	name := before.Incarnation().Name
	r.run(100)
	r.cut = func(from, to members.ID) bool { return from == name || to == name }
	behind := false
	for range 400 {
		r.run(25)
		for _, other := range r.founders {
			c := r.members[other]
			if other == name || !c.Leads() {
				continue
			}
			behind = behind || !c.LeadsCaughtUp()
			if c.LeadsCaughtUp() && c.ConfigState().Newest() != 1 {
				t.Fatalf("%s answers for the quorum and does not know its version", other)
			}
		}
	}
	if !behind {
		t.Error("no leader was seen before it had caught up: nothing is shown")
	}
	for _, c := range r.members {
		if !c.Leads() && c.LeadsCaughtUp() {
			t.Error("one that does not lead answers for the quorum")
		}
	}
}
