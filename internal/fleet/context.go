package fleet

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

var _ job.Context = (*session)(nil)

// Self returns the ID of this controller.
func (s *session) Self() members.ID { return s.self }

// TryEffect sends an effect of a lease to a controller if this controller holds the lease now, and
// reports whether it did.
func (s *session) TryEffect(name lease.Name, to members.ID, id uint64, data []byte) bool {
	return s.core.TryEffect(s.Now(), name, to, id, data)
}

// SendMessage sends a message to the jobs of another controller.
func (s *session) SendMessage(to members.ID, data []byte) { s.core.SendMessage(s.Now(), to, data) }

// CanAct reports whether this controller holds a lease now, and returns its fencing token.
func (s *session) CanAct(name lease.Name) (lease.Token, bool) {
	token, _, ok := s.core.CanAct(s.Now(), name)
	return token, ok
}

// Release gives up a lease, so that another controller can acquire it.
func (s *session) Release(name lease.Name, failed bool) { s.core.Release(s.Now(), name, failed) }

// ProposeState proposes the state of a lease to the quorum.
func (s *session) ProposeState(name lease.Name, serial uint64, data []byte) bool {
	return s.core.ProposeState(s.Now(), name, serial, data)
}

// RequestState requests the committed state of a lease from the quorum.
func (s *session) RequestState(name lease.Name) bool { return s.core.RequestState(s.Now(), name) }

// Members returns all members that this controller knows of, in every state.
func (s *session) Members() []members.Member { return s.core.Members() }

// Voters returns the voters of the quorum, as far as this controller knows.
func (s *session) Voters() []members.ID { return s.core.Voters() }
