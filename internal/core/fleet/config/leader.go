package config

import "mintkeel/internal/core/fleet/members"

// leaderHintTime is for how long a hint of another member is believed, in ms.
const leaderHintTime = 5000.0

// leaderHint names the quorum's leader as another member knows it. It counts while the environment
// goes on naming the leader that it replaces.
type leaderHint struct {
	leader   members.ID
	until    float64 // ms
	replaces members.ID
}

// leader returns the quorum's leader, as far as this controller knows; empty: none.
func (r *Replica) leader() members.ID {
	if r.env.Leads() {
		return r.options.Self
	}
	believed := r.env.Leader()
	if r.hint.leader != "" && r.now < r.hint.until && believed == r.hint.replaces {
		return r.hint.leader
	}
	return believed
}

// hintLeader handles the leader named by a member that was asked as the leader and does not lead.
func (r *Replica) hintLeader(from, leader members.ID) {
	if leader == "" || leader == from || leader == r.options.Self || from != r.leader() {
		return
	}
	if _, known := r.env.Member(leader); known {
		r.hint = leaderHint{leader: leader, until: r.now + leaderHintTime, replaces: r.env.Leader()}
	}
}

// updateLeader handles a change of the leader.
func (r *Replica) updateLeader() {
	leads := r.env.Leads()
	if leads != r.leads {
		r.leads = leads
		r.leadsChangedAt = r.now
	}
	leader := r.leader()
	if leader != r.reports.leader {
		r.reports.leader = leader
		r.reportToNewLeader()
	}
}
