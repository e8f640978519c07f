package fleet

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
)

// SetLeases replaces the fleet's leases that the block names. It takes effect from the next tick
// on, while this controller leads the quorum.
func (s *Service) SetLeases(names []lease.Name) {
	names = slices.Clone(names)
	s.leases.Store(&names)
}

// wantedLeases returns the leases that the fleet should have according to this controller's
// settings.
func (s *Service) wantedLeases() []lease.Name {
	if names := s.leases.Load(); names != nil {
		return *names
	}
	return s.block.Leases
}

// updateLeases passes the names of SetLeases to the core if they were set since the last call.
func (s *session) updateLeases() {
	names := s.leases.Load()
	if names == s.appliedLeases {
		return
	}
	s.appliedLeases = names
	s.core.SetLeases(s.Now(), *names)
}
