package fleet

import (
	"mintkeel/internal/core/fleet/quorum"
)

// losesMajority reports whether the quorum loses its majority for good when the folder of one machine is lost or replaced by
// an older copy: no majority of the voters that were agreed on last still has the folder of its incarnation. The quorum
// guarantees progress only after the loss of a minority of folders. A voter that gave up its incarnation, because its folder
// could not be trusted, counts as lost until it votes again.
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

// agreedVoters returns the voters known to the machine that has applied the most log entries.
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

// holds reports whether a machine runs as this voter's incarnation, or will when it starts again.
func (m *machine) holds(voter quorum.Incarnation) bool {
	if m.core == nil {
		return m.stoppedAs == voter
	}
	role, _ := m.core.Quorum().Role()
	return role != quorum.Joining && m.core.Quorum().Incarnation() == voter
}
