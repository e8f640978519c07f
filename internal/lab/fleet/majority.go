package fleet

import (
	"mintkeel/internal/core/fleet/quorum"
)

// losesMajority tells whether the quorum has lost its majority for good when the folder of one machine is lost or put
// back: of the voters that were agreed on last, no majority is left whose folder holds what it promised. The quorum
// promises to go on after the loss of a minority of folders. A voter that gave its incarnation up, as it could not be
// vouched for, counts as lost until it votes again.
func (w *World) losesMajority(lost *machine) bool {
	voters := w.agreedVoters()
	held, loses := 0, false
	for _, voter := range voters {
		m := w.nodes[w.numbers[voter.Name]]
		switch {
		case m == lost:
			loses = true
		case m.holds(voter):
			held++
		}
	}
	return loses && 2*held <= len(voters)
}

// agreedVoters are the voters as the machine knows them that has applied most of what was agreed on.
func (w *World) agreedVoters() (voters []quorum.Incarnation) {
	var latest *quorum.Replica
	for _, m := range w.nodes {
		if m.core == nil {
			continue
		}
		if q := m.core.Quorum(); latest == nil || q.AppliedIndex() > latest.AppliedIndex() {
			latest = q
		}
	}
	if latest == nil {
		return nil
	}
	list, votes := latest.Members()
	for i, incarnation := range list {
		if votes[i] {
			voters = append(voters, incarnation)
		}
	}
	return voters
}

// holds tells whether a machine goes on, or will when it starts again, as this incarnation.
func (m *machine) holds(voter quorum.Incarnation) bool {
	if m.core == nil {
		return m.stoppedAs == voter
	}
	role, _ := m.core.Quorum().Role()
	return role != quorum.Joining && m.core.Quorum().Incarnation() == voter
}
