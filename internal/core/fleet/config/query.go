package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Timing and bounds of queries.
const (
	// queryInterval is the time in ms after which a query is sent again.
	queryInterval = 500.0
	// queryTimeout is the time in ms after which a query ends without an answer.
	queryTimeout = 5000.0
	// maxQueries bounds the pending queries.
	maxQueries = 16
)

// pendingQuery is a query of this controller that was not answered yet.
type pendingQuery struct {
	ref      uint64 // assigned by the caller
	wireRef  uint64 // the Ref of its messages
	kind     QueryKind
	nextAt   float64 // ms, when it is sent again
	deadline float64 // ms
}

// valid reports whether the kind is known.
func (k QueryKind) valid() bool { return k >= QueryLatest && k <= QueryHistory }

// Query sends a query to the leader and, for QueryLatest, to voters. Its QueryResult follows within
// queryTimeout, or never.
func (r *Replica) Query(now float64, ref uint64, kind QueryKind) {
	r.advanceClock(now)
	if len(r.queries) >= maxQueries || !kind.valid() {
		return
	}
	r.lastWireRef++
	r.queries = append(r.queries, &pendingQuery{
		ref:      ref,
		wireRef:  r.lastWireRef,
		kind:     kind,
		nextAt:   r.now,
		deadline: r.now + queryTimeout,
	})
	r.tickQueries()
	r.process()
}

// tickQueries sends queries again, and ends those that were not answered in time.
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

// endQuery removes a query.
func (r *Replica) endQuery(q *pendingQuery) {
	r.queries = slices.DeleteFunc(r.queries, func(x *pendingQuery) bool { return x == q })
}

// sendQuery sends a query, or answers it if this controller leads.
func (r *Replica) sendQuery(q *pendingQuery) {
	leader := r.leader()
	if r.env.Leads() && r.votes() {
		r.endQuery(q)
		result := QueryResult{Ref: q.ref, From: leader, Answer: r.answer(q.ref, q.kind)}
		r.out.QueryResults = append(r.out.QueryResults, result)
		return
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

// handleQuery answers another controller's query.
func (r *Replica) handleQuery(from members.ID, q *Query) {
	if !q.Kind.valid() {
		return
	}
	a := r.answer(q.Ref, q.Kind)
	r.send(from, Message{Answer: &a})
}

// answer returns this controller's answer to a query. Only the leader adds a status or a history.
func (r *Replica) answer(ref uint64, kind QueryKind) Answer {
	a := Answer{
		Ref:    ref,
		Voting: r.votes(),
		Leads:  r.env.Leads() && r.votes(),
		Leader: r.leader(),
	}
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

// valid reports whether an answer is within its bounds.
func (a *Answer) valid() bool {
	if len(a.Leader) > maxIDBytes || len(a.Versions) > MaxHistory {
		return false
	}
	return a.Status == nil || a.Status.valid()
}

// valid reports whether a status is within its bounds.
func (s *Status) valid() bool {
	return len(s.ByVersion) <= MaxReports &&
		len(s.Rejected) <= MaxListed &&
		len(s.Behind) <= MaxListed &&
		len(s.Unreachable) <= MaxListed
}

// handleAnswer handles an answer to a query of the start or of a caller. One from a member that
// can't answer the query completely may only name the leader.
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
	answer := *a
	answer.Ref = q.ref
	r.out.QueryResults = append(r.out.QueryResults,
		QueryResult{Ref: q.ref, From: from, Answer: answer})
}

// nextQuery returns when the next step of a query is due.
func (r *Replica) nextQuery() float64 {
	next := never
	for _, q := range r.queries {
		next = min(next, q.nextAt, q.deadline)
	}
	return next
}
