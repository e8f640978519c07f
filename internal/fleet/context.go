package fleet

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

var _ job.Context = (*session)(nil)

// Self is this controller.
func (s *session) Self() members.ID { return s.self }

// TryEffect sends an effect of a lease, if this controller holds it now.
func (s *session) TryEffect(name lease.Name, to members.ID, id uint64, data []byte) bool {
	return s.core.TryEffect(s.Now(), name, to, id, data)
}

// SendMessage sends a message to another controller's job.
func (s *session) SendMessage(to members.ID, data []byte) { s.core.SendMessage(s.Now(), to, data) }

// CanAct reports whether this controller holds a lease now, and its fencing token.
func (s *session) CanAct(name lease.Name) (lease.Token, bool) {
	token, _, ok := s.core.CanAct(s.Now(), name)
	return token, ok
}

// Release gives a lease up to another controller.
func (s *session) Release(name lease.Name, failed bool) { s.core.Release(s.Now(), name, failed) }

// ProposeState has the state of a lease agreed on.
func (s *session) ProposeState(name lease.Name, serial uint64, data []byte) bool {
	return s.core.ProposeState(s.Now(), name, serial, data)
}

// RequestState asks for the agreed state of a lease.
func (s *session) RequestState(name lease.Name) bool { return s.core.RequestState(s.Now(), name) }

// Members are all known members.
func (s *session) Members() []members.Member { return s.core.Members() }

// Voters are the quorum's members, as far as this controller knows.
func (s *session) Voters() []members.ID { return s.core.Voters() }
