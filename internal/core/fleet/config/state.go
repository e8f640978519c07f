package config

import "slices"

// State is the result of applying the agreed proposals in order; all voters compute the same one.
// The zero value has no versions.
type State struct {
	Versions []Version `cbor:"1,keyasint"` // the last MaxHistory, oldest first
}

// Newest returns the number of the latest version, or 0 if there is none.
func (s *State) Newest() uint64 {
	if len(s.Versions) == 0 {
		return 0
	}
	return s.Versions[len(s.Versions)-1].Number
}

// Latest returns the version that was agreed on last; its Number is 0 if there is none.
func (s *State) Latest() Version {
	if len(s.Versions) == 0 {
		return Version{}
	}
	return s.Versions[len(s.Versions)-1]
}

// Find returns the version with a number, if it is still in the history.
func (s *State) Find(number uint64) (Version, bool) {
	for _, v := range s.Versions {
		if v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// FindProposal returns the version that a proposal became, if it is still in the history.
func (s *State) FindProposal(id ProposalID) (Version, bool) {
	for _, v := range s.Versions {
		if v.ID == id {
			return v, true
		}
	}
	return Version{}, false
}

// Copy returns a deep copy.
func (s *State) Copy() *State { return &State{Versions: slices.Clone(s.Versions)} }

// Apply applies an agreed proposal, and returns the version that it became. It is deterministic:
// the same proposals in the same order give the same state on all voters. For a proposal that
// became a version already it returns that version again. One that expects another version than the
// newest, or exceeds a bound, changes nothing and returns false.
func (s *State) Apply(p Proposal) (Version, bool) {
	if v, ok := s.FindProposal(p.Version.ID); ok {
		return v, true
	}
	if p.Expect != s.Newest() || p.invalid() != "" {
		return Version{}, false
	}
	v := p.Version
	v.Number = s.Newest() + 1
	s.Versions = append(s.Versions, v)
	if surplus := len(s.Versions) - MaxHistory; surplus > 0 {
		s.Versions = slices.Clone(s.Versions[surplus:])
	}
	return v, true
}
