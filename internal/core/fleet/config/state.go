package config

import "slices"

// Newest is the number of the latest version; 0: there is none.
func (s *State) Newest() uint64 {
	if len(s.Versions) == 0 {
		return 0
	}
	return s.Versions[len(s.Versions)-1].Number
}

// Latest is the version that was agreed on last; of Number 0 if there is none.
func (s *State) Latest() Version {
	if len(s.Versions) == 0 {
		return Version{}
	}
	return s.Versions[len(s.Versions)-1]
}

// Find is the version of a number, if it is remembered.
func (s *State) Find(number uint64) (Version, bool) {
	for _, v := range s.Versions {
		if v.Number == number {
			return v, true
		}
	}
	return Version{}, false
}

// FindProposal is the version that a proposal became, if it is remembered.
func (s *State) FindProposal(id ProposalID) (Version, bool) {
	for _, v := range s.Versions {
		if v.ID == id {
			return v, true
		}
	}
	return Version{}, false
}

// Copy is one that shares nothing.
func (s *State) Copy() *State { return &State{Versions: slices.Clone(s.Versions)} }

// Apply takes in an agreed proposal and tells the version that it became. The same proposals in the same order lead to
// the same state. A proposal that was agreed on before tells its version again; one that expects another version than the
// newest, or passes a bound, changes nothing and tells false.
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

// invalid tells which bound a proposal passes; empty: none.
func (p *Proposal) invalid() string {
	switch v := &p.Version; {
	case v.Size < 1:
		return "the document is empty"
	case v.Size > MaxDocument:
		return "the document is too large"
	case len(v.Author) > MaxAuthor:
		return "the author's name is too long"
	case len(v.Reason) > MaxReason:
		return "the reason is too long"
	case v.ID.Origin == "" || len(v.ID.Origin) > maxIDBytes:
		return "the proposal names no origin"
	}
	return ""
}

// summary is what is told of a version.
func (v *Version) summary() Summary { return Summary{Number: v.Number, Hash: v.Hash, Size: v.Size} }
