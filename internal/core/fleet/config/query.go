package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Times of questions, in ms, and counts.
const (
	queryInterval     = 500.0
	queryTimeout      = 5000.0
	lookupTimeout     = 10000.0
	latestInterval    = 300.0  // between two questions at a start
	maxLatestInterval = 2000.0 // the same, once it has gone on for some seconds
	latestVoters      = 2      // that are asked at a time
	maxQuestions      = 16
)

// pendingQuery is one of this controller that has not been answered.
type pendingQuery struct {
	ref      uint64 // the caller's
	wireRef  uint64 // in messages
	kind     QueryKind
	nextAt   float64
	deadline float64
}

// Query puts a question to the leader, or to voters; its answer comes within queryTimeout, or never.
func (r *Replica) Query(now float64, ref uint64, kind QueryKind) {
	r.advanceClock(now)
	if len(r.queries) >= maxQuestions || kind < QueryLatest || kind > QueryHistory {
		return
	}
	r.lastWireRef++
	r.queries = append(r.queries, &pendingQuery{ref: ref, wireRef: r.lastWireRef, kind: kind, nextAt: r.now, deadline: r.now + queryTimeout})
	r.tickQueries()
	r.process()
}

// tickQueries asks again, and drops questions that were not answered.
func (r *Replica) tickQueries() {
	for _, q := range slices.Clone(r.queries) {
		switch {
		case r.now >= q.deadline:
			r.endQuery(q)
		case r.now >= q.nextAt:
			q.nextAt = r.now + queryInterval
			r.sendQuery(q)
		}
	}
}

func (r *Replica) endQuery(q *pendingQuery) {
	r.queries = slices.DeleteFunc(r.queries, func(x *pendingQuery) bool { return x == q })
}

func (r *Replica) sendQuery(q *pendingQuery) {
	leader := r.leader()
	if r.env.Leads() && r.votes() {
		r.endQuery(q)
		r.out.QueryResults = append(r.out.QueryResults, QueryResult{Ref: q.ref, From: leader, Answer: r.answer(q.ref, q.kind)})
		return // one that leads and is not ready to answer asks itself again
	}
	m := Message{Query: &Query{Ref: q.wireRef, Kind: q.kind}}
	r.send(leader, m)
	if q.kind == QueryLatest {
		for _, id := range r.drawVoters(latestVoters) {
			if id != leader {
				r.send(id, m)
			}
		}
	}
}

// drawVoters draws voters other than this one.
func (r *Replica) drawVoters(count int) (picked []members.ID) {
	for _, i := range r.rng.Perm(len(r.env.Voters())) {
		if id := r.env.Voters()[i]; id != r.options.Self && len(picked) < count {
			picked = append(picked, id)
		}
	}
	return picked
}

// handleQuery answers another's question.
func (r *Replica) handleQuery(from members.ID, q *Query) {
	if q.Kind < QueryLatest || q.Kind > QueryHistory {
		return
	}
	a := r.answer(q.Ref, q.Kind)
	r.send(from, Message{Answer: &a})
}

// answer is what this one can say: of status and history only as the leader.
func (r *Replica) answer(ref uint64, kind QueryKind) Answer {
	a := Answer{Ref: ref, Voting: r.votes(), Leads: r.env.Leads() && r.votes(), Leader: r.leader()}
	if r.announcement.summary.Number > 0 {
		a.Latest = r.announcement.summary
	}
	if a.Voting {
		latest := r.env.State().Latest()
		a.Latest = latest.summary()
	}
	if a.Leads && kind == QueryStatus {
		a.Status = r.status()
	}
	if a.Leads && kind == QueryHistory {
		a.Versions = slices.Clone(r.env.State().Versions)
	}
	return a
}

// valid tells whether an answer keeps its bounds.
func (a *Answer) valid() bool {
	if len(a.Leader) > maxIDBytes || len(a.Versions) > MaxHistory {
		return false
	}
	s := a.Status
	return s == nil || len(s.ByVersion) <= MaxReports && len(s.Rejected) <= MaxListed && len(s.Behind) <= MaxListed && len(s.Unreachable) <= MaxListed
}

// handleAnswer takes in an answer.
func (r *Replica) handleAnswer(from members.ID, a *Answer) {
	if !a.valid() {
		return
	}
	if a.Ref != 0 && a.Ref == r.startup.wireRef {
		r.handleLatest(from, a)
		return
	}
	i := slices.IndexFunc(r.queries, func(q *pendingQuery) bool { return q.wireRef == a.Ref })
	if i < 0 {
		return
	}
	q := r.queries[i]
	complete := a.Leads
	switch q.kind {
	case QueryLatest:
		complete = a.Voting
	case QueryStatus:
		complete = complete && a.Status != nil
	}
	if !complete {
		r.hintLeader(from, a.Leader)
		return
	}
	r.endQuery(q)
	own := *a
	own.Ref = q.ref
	r.out.QueryResults = append(r.out.QueryResults, QueryResult{Ref: q.ref, From: from, Answer: own})
}

func (r *Replica) nextQuery() float64 {
	next := never
	for _, q := range r.queries {
		next = min(next, q.nextAt, q.deadline)
	}
	return next
}

// startup is how far a controller that starts is with finding the latest version.
type startup struct {
	nextAt         float64 // of the next questions
	wireRef        uint64
	latestOf       map[members.ID]uint64 // voters that answered, with their latest number
	leaderAnswered bool                  // the leader has answered
	latest         uint64                // the highest that was told
	confirmed      bool
}

// tickStartup asks the leader and voters for their latest version until it is known.
func (r *Replica) tickStartup() {
	s := &r.startup
	if s.confirmed || r.now < s.nextAt {
		return
	}
	s.nextAt = r.now + min(maxLatestInterval, latestInterval+(r.now-r.startedAt)/2) // hundreds that start together must not keep the voters busy
	if s.answered(r) {
		return // what was told is on its way here
	}
	if s.wireRef == 0 {
		r.lastWireRef++
		s.wireRef = r.lastWireRef
	}
	ids := r.drawVoters(latestVoters)
	if leader := r.leader(); leader != "" && leader != r.options.Self && !slices.Contains(ids, leader) {
		ids = append([]members.ID{leader}, ids[:min(len(ids), latestVoters-1)]...)
	}
	for _, id := range ids {
		r.send(id, Message{Query: &Query{Ref: s.wireRef, Kind: QueryLatest}})
	}
}

// handleLatest takes in the latest version of a voter.
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

// answered tells whether the leader, or a majority of the voters, has told its latest version.
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

// confirmLatest notes that the latest version is in force or refused here.
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
	s.confirmed = s.answered(r) && r.application.handled() >= s.latest
}

func (r *Replica) nextStartup() float64 {
	if r.startup.confirmed {
		return never
	}
	return r.startup.nextAt
}
