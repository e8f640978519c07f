package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Timing of the queries for the latest version at the start.
const (
	// latestInterval is the time in ms between the first two queries. It grows with the time since the
	// start, so that many controllers that start together don't overload the voters.
	latestInterval = 300.0
	// maxLatestInterval bounds that time.
	maxLatestInterval = 2000.0
	// latestVoters is the number of voters that are asked at a time.
	latestVoters = 2
)

// startup is the progress of a starting controller in finding the latest version.
type startup struct {
	nextAt         float64 // ms, when the next queries are sent
	wireRef        uint64
	latestOf       map[members.ID]uint64 // the voters that answered, with their latest number
	leaderAnswered bool
	latest         uint64 // the highest number of the answers
	confirmed      bool   // see Readiness
}

// answered reports whether the leader, or a majority of the voters, has answered. This controller
// counts if it votes.
func (s *startup) answered(r *Replica) bool {
	if s.leaderAnswered {
		return true
	}
	voters := r.env.Voters()
	count := 0
	for _, id := range voters {
		if _, ok := s.latestOf[id]; ok || id == r.options.Self && r.votes() {
			count++
		}
	}
	return len(voters) > 0 && 2*count > len(voters)
}

// tickStartup asks the leader and voters for their latest version until enough of them have
// answered.
func (r *Replica) tickStartup() {
	s := &r.startup
	if s.confirmed || r.now < s.nextAt {
		return
	}
	s.nextAt = r.now + min(maxLatestInterval, latestInterval+(r.now-r.startedAt)/2)
	if s.answered(r) {
		return // the version is being fetched or applied
	}
	if s.wireRef == 0 {
		r.lastWireRef++
		s.wireRef = r.lastWireRef
	}
	ids := r.drawVoters(latestVoters)
	leader := r.leader()
	if leader != "" && leader != r.options.Self && !slices.Contains(ids, leader) {
		ids = append([]members.ID{leader}, ids[:min(len(ids), latestVoters-1)]...)
	}
	for _, id := range ids {
		r.send(id, Message{Query: &Query{Ref: s.wireRef, Kind: QueryLatest}})
	}
}

// drawVoters returns up to count random voters other than this controller.
func (r *Replica) drawVoters(count int) (picked []members.ID) {
	for _, i := range r.rng.Perm(len(r.env.Voters())) {
		if id := r.env.Voters()[i]; id != r.options.Self && len(picked) < count {
			picked = append(picked, id)
		}
	}
	return picked
}

// handleLatest handles an answer to a query of the start.
func (r *Replica) handleLatest(from members.ID, a *Answer) {
	s := &r.startup
	if s.confirmed {
		return
	}
	if !a.Voting {
		r.hintLeader(from, a.Leader)
		return
	}
	if a.Leads {
		s.leaderAnswered = true
	} else if !slices.Contains(r.env.Voters(), from) {
		return
	}
	s.latestOf[from] = a.Latest.Number
	s.latest = max(s.latest, a.Latest.Number)
	r.handleSummary(from, a.Latest)
}

// confirmLatest records whether the latest version is known, and in force or rejected here.
func (r *Replica) confirmLatest() {
	s := &r.startup
	if s.confirmed {
		return
	}
	if r.votes() {
		s.latest = max(s.latest, r.env.State().Newest())
		if r.env.Leads() {
			s.leaderAnswered = true
		}
	}
	s.confirmed = s.answered(r) && r.application.highestHandled() >= s.latest
}

// Readiness returns the version in force here, and whether it is confirmed to be the latest.
func (r *Replica) Readiness() Readiness {
	return Readiness{
		Confirmed: r.startup.confirmed,
		Number:    r.application.current.Number,
		Latest:    max(r.target.Number, r.application.current.Number, r.startup.latest),
	}
}

// nextStartup returns when the next queries for the latest version are due.
func (r *Replica) nextStartup() float64 {
	if r.startup.confirmed {
		return never
	}
	return r.startup.nextAt
}
