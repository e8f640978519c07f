package fleet

import (
	"fmt"

	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/fleet/control"
)

// status returns the state of the fleet as this controller knows it.
func (s *session) status() control.Status {
	leases, agreed := s.leaseStatuses()
	status := control.Status{
		Fleet:       s.block.Name,
		Generation:  s.block.Generation,
		Self:        string(s.self),
		HealthScore: s.core.Table().HealthScore(),
		Members:     s.memberStatuses(),
		Leases:      leases,
		Agreed:      agreed,
		Holds:       []string{}, // encoded as an empty list
		Quorum:      s.quorumStatus(),
	}
	for _, grant := range s.core.Held(s.Now()) {
		status.Holds = append(status.Holds, string(grant.Name))
	}
	return status
}

func (s *session) memberStatuses() []control.MemberStatus {
	list := []control.MemberStatus{}
	for _, m := range s.core.Members() {
		list = append(list, control.MemberStatus{
			ID:          string(m.ID),
			Addr:        m.Addr,
			State:       m.State.String(),
			Incarnation: uint64(m.Incarnation),
			Willing:     m.Willing,
			Run:         fmt.Sprintf("%x", m.Run),
		})
	}
	return list
}

// leaseStatuses returns the leases of the fleet. Agreed reports whether this controller votes and
// has them from the committed log; otherwise they may be stale.
func (s *session) leaseStatuses() (list []control.LeaseStatus, agreed bool) {
	grants, agreed := s.core.Leases()
	list = []control.LeaseStatus{}
	for _, grant := range grants {
		if grant.Retired {
			continue
		}
		status := control.LeaseStatus{
			Lease:     string(grant.Name),
			Token:     uint64(grant.Token),
			Holder:    string(grant.Holder.ID),
			Preferred: string(grant.Preferred),
		}
		if grant.Held() {
			status.Run = fmt.Sprintf("%x", grant.Holder.Run)
		}
		list = append(list, status)
	}
	return list, agreed
}

func (s *session) quorumStatus() control.QuorumStatus {
	replica := s.core.Quorum()
	role, reason := replica.Role()
	status := control.QuorumStatus{
		Role:    role.String(),
		Reason:  reason,
		Leader:  string(s.core.Leader()),
		Term:    replica.Term(),
		Record:  replica.Serial(),
		Members: []control.IncarnationStatus{},
	}
	if role == quorum.NonMember {
		return status
	}
	incarnations, votes := replica.Members()
	for i, incarnation := range incarnations {
		status.Members = append(status.Members, control.IncarnationStatus{
			Name:  string(incarnation.Name),
			Disk:  fmt.Sprintf("%x", incarnation.Disk),
			Votes: votes[i],
		})
	}
	return status
}
