package fleet

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
)

// SetLeases sets which leases the fleet is to have, in place of those of the block. It counts while
// this controller leads the quorum, and from the next tick on.
func (s *Service) SetLeases(names []lease.Name) {
	names = slices.Clone(names)
	s.leases.Store(&names)
}

// wantedLeases are the leases that the fleet is to have, by this controller.
func (s *Service) wantedLeases() []lease.Name {
	if names := s.leases.Load(); names != nil {
		return *names
	}
	return s.block.Leases
}

// updateLeases hands on the names of SetLeases, if they were set since the last call.
func (s *session) updateLeases() {
	names := s.leases.Load()
	if names == s.appliedLeases {
		return
	}
	s.appliedLeases = names
	s.core.SetLeases(s.Now(), *names)
}
