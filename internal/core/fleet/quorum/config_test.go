package quorum

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// proposalOf returns a proposal of a version of the configuration that expects the number of the
// latest one. The ref distinguishes it from other proposals.
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

// TestConfigVersionsOutlastSnapshotsAndRestarts: one version must be committed for each number, and
// all members must have the same versions after snapshots of the log, restarts and the loss of a
// disk.
func TestConfigVersionsOutlastSnapshotsAndRestarts(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	propose := func(expect, ref uint64) {
		t.Helper()
		if !r.leader().ProposeConfig("x", proposalOf(expect, ref)) {
			t.Fatal("the leader rejects a proposal of a version, want it proposed")
		}
	}
	propose(0, 1)
	propose(0, 2) // expects the same version as the proposal before: a conflict
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
				t.Errorf("%s: version number %d at index %d, want one more than the index", name, v.Number, i)
			}
			refs = append(refs, v.ID.Ref)
		}
		if got := fmt.Sprint(refs); got != want {
			t.Errorf("%s has the versions of proposals %s, want %s", name, got, want)
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
	r.records["b"] = nil // its disk is lost: the leader sends the new incarnation the whole state
	r.start("b")
	r.run(20000)
	r.expectRole("b", Voter)
	check("b")
}

// TestOnlyLeaderProposesConfig: the leader must accept a proposal, and a follower must reject it.
func TestOnlyLeaderProposesConfig(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	for _, name := range r.founders {
		if c := r.members[name]; c.Leads() == !c.ProposeConfig("x", proposalOf(0, 1)) {
			t.Errorf("%s leads: %v, and ProposeConfig returns the opposite, want the same", name, c.Leads())
		}
	}
}

// A new leader may hold committed entries in its log that it has not applied yet. If it answered for
// the quorum then, it would deny a version that was committed. LeadsCaughtUp must be false until it
// has applied an entry of its own term.
func TestNewLeaderAnswersOnlyWhenCaughtUp(t *testing.T) {
	r := newCluster(t, "a", "b", "c")
	r.run(5000)
	before := r.leader()
	if !before.LeadsCaughtUp() {
		t.Fatal("an idle leader is not caught up, want it caught up")
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
				t.Fatalf("%s leads, is caught up, and its newest version is not 1, want 1", other)
			}
		}
	}
	if !behind {
		t.Error("no new leader was observed before it was caught up, want one, or the test shows nothing")
	}
	for _, c := range r.members {
		if !c.Leads() && c.LeadsCaughtUp() {
			t.Error("LeadsCaughtUp of a follower is true, want false")
		}
	}
}
