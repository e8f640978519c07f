package config

import "mintkeel/internal/core/fleet/members"

// Options are what a replica is given when its process starts.
type Options struct {
	Self members.ID
	Run  uint64 // a random number drawn when the process starts
	Seed int64  // of all random draws
}

// StoredState is what a controller's folder holds of an earlier run.
type StoredState struct {
	Current   Version         // the version to be in force at the start; Number 0: none
	Documents map[Hash][]byte // all that are stored, that of Current among them
}

// Environment is what a replica asks of the node around it. The answers are those of this moment.
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
	// Voting reports whether this controller is a voter and its State counts.
	Voting() bool
	// State returns what the quorum agreed on, if Voting.
	State() *State
	// Propose proposes to the quorum, if this controller leads it; false: the proposal was not
	// accepted.
	Propose(Proposal) bool
}
