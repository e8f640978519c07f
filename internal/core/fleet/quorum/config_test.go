package quorum

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// proposalOf returns a proposal about the configuration that expects a version; ref distinguishes
// it from others.
func proposalOf(expect, ref uint64) config.Proposal {
	return config.Proposal{
		Expect: expect,
		Version: config.Version{
			Hash:   config.Hash{byte(ref)},
			Size:   1,
			Author: "a",
			Reason: "r",
			ID:     config.ProposalID{Origin: "x", Run: 1, Ref: ref},
		},
	}
}

// TestConfigVersionsOutlastSnapshotsAndRestarts: versions are agreed on one for each number, and
// are the same on all members after snapshots of the log, restarts and the loss of a disk.
func TestConfigVersionsOutlastSnapshotsAndRestarts(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	propose := func(expect, ref uint64) {
		t.Helper()
		if !r.leader().ProposeConfig("x", proposalOf(expect, ref)) {
			t.Fatal("not proposed")
		}
	}
	propose(0, 1)
	propose(0, 2) // expects the same version: it comes too late
	r.run(500)
	propose(1, 3)
	propose(1, 3) // sent again
	propose(7, 4) // expects a version that does not exist
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
	for ref := range uint64(600) { // enough for two snapshots
		r.leader().Propose("x", ref, lease.Command{Declare: &lease.Declare{Names: []lease.Name{"w"}}})
		r.run(50)
	}
	for _, name := range r.founders {
		r.start(name)
	}
	r.run(5000)
	for _, name := range r.founders {
		r.expectRole(name, Voter)
		check(name)
	}
	r.records["b"] = nil // its disk is lost: the leader sends the new incarnation everything
	r.start("b")
	r.run(20000)
	r.expectRole("b", Voter)
	check("b")
}

// TestOnlyLeaderProposesConfig: a proposal of a follower is rejected.
func TestOnlyLeaderProposesConfig(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	for _, name := range r.founders {
		if c := r.members[name]; c.Leads() == !c.ProposeConfig("x", proposalOf(0, 1)) {
			t.Errorf("%s leads %v and proposed otherwise", name, c.Leads())
		}
	}
}

// A new leader may hold agreed entries in its log that it has not applied yet. If it answered for
// the quorum then, it would deny a version that was agreed on. It answers only once it has applied
// an entry of its own term.
func TestNewLeaderAnswersOnlyWhenCaughtUp(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	before := r.leader()
	if !before.LeadsCaughtUp() {
		t.Fatal("an idle leader has not caught up")
	}
	before.ProposeConfig("x", proposalOf(0, 1))
	name := before.Incarnation().Name
	r.run(100)
	r.lost = func(from, to members.ID) bool { return from == name || to == name }
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
		t.Error("no leader was seen before it had caught up: the test shows nothing")
	}
	for _, c := range r.members {
		if !c.Leads() && c.LeadsCaughtUp() {
			t.Error("a follower answers for the quorum")
		}
	}
}
