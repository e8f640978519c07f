package config

import "mintkeel/internal/core/fleet/members"

// Options identify a replica and one run of its process, and seed its random choices.
type Options struct {
	Self members.ID
	Run  uint64 // a random number drawn when the process starts
	Seed int64  // of the generator for all random choices
}

// StoredState is what an earlier run left in the controller's folder.
type StoredState struct {
	Current   Version         // the version to be in force at the start; Number 0: none
	Documents map[Hash][]byte // all that are stored, that of Current among them
}

// Environment gives a replica access to the node that runs it. Each method returns the state at the
// time of the call.
type Environment interface {
	// Members returns all known members, this controller among them.
	Members() []members.Member
	// Member returns a member, and whether it is known.
	Member(id members.ID) (members.Member, bool)
	// Voters returns the quorum's voters, as far as this controller knows.
	Voters() []members.ID
	// Leader returns the quorum's leader; empty: not known.
	Leader() members.ID
	// Leads reports whether this controller leads the quorum.
	Leads() bool
	// Voting reports whether this controller votes in the quorum, so that its State can be relied on.
	// A voter that is not ready to vote yet is one of Voters, and Voting is false.
	Voting() bool
	// State returns the agreed versions. It is meaningful only if Voting.
	State() *State
	// Propose proposes to the quorum, if this controller leads it; false: the proposal was not
	// accepted.
	Propose(Proposal) bool
}
