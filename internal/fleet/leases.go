package fleet

import (
	"slices"

	"mintkeel/internal/core/fleet/lease"
)

// SetLeases says anew which leases the fleet is to have, in place of those of the block. It counts while this controller
// leads the quorum, and is taken in with the next tick.
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

// updateLeases takes in what SetLeases said since the last call.
func (in *session) updateLeases() {
	if names := in.Service.leases.Load(); names != in.leases {
		in.leases = names
		in.core.SetLeases(in.now(), *names)
	}
}
