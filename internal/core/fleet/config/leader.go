package config

import "mintkeel/internal/core/fleet/members"

// leaderHintTime is the time in ms for which a hint is used.
const leaderHintTime = 5000.0

// leaderHint names the quorum's leader as another member knows it. It is used only while the
// environment still names the leader that the hint replaces.
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

// hintLeader records the leader named by a member that this controller took for the leader.
func (r *Replica) hintLeader(from, leader members.ID) {
	if leader == "" || leader == from || leader == r.options.Self || from != r.leader() {
		return
	}
	if _, known := r.env.Member(leader); known {
		r.hint = leaderHint{leader: leader, until: r.now + leaderHintTime, replaces: r.env.Leader()}
	}
}

// updateLeader records changes of the leader, and sends all reports to a new one.
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
