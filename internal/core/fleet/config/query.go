package config

import (
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Times of questions, in ms, and counts.
const (
	queryEach     = 500.0
	queryTimeout  = 5000.0
	lookupTimeout = 10000.0
	latestEach    = 300.0  // between two questions at a start
	latestLater   = 2000.0 // the same, once it has gone on for some seconds
	latestVoters  = 2      // that are asked at a time
	maxQuestions  = 16
)

// question is one of this controller that has not been answered.
type question struct {
	ref      uint64 // the caller's
	wire     uint64 // in messages
	kind     QueryKind
	at       float64
	deadline float64
}

// Ask puts a question to the leader, or to voters; its answer comes within queryTimeout, or never.
func (r *Replica) Ask(now float64, ref uint64, kind QueryKind) {
	r.advanceClock(now)
	if len(r.questions) >= maxQuestions || kind < AskLatest || kind > AskHistory {
		return
	}
	r.wireRef++
	r.questions = append(r.questions, &question{ref: ref, wire: r.wireRef, kind: kind, at: r.now, deadline: r.now + queryTimeout})
	r.tickQuestions()
	r.turn()
}

// tickQuestions asks again, and drops questions that were not answered.
func (r *Replica) tickQuestions() {
	for _, q := range slices.Clone(r.questions) {
		switch {
		case r.now >= q.deadline:
			r.endQuestion(q)
		case r.now >= q.at:
			q.at = r.now + queryEach
			r.sendQuestion(q)
		}
	}
}

func (r *Replica) endQuestion(q *question) {
	r.questions = slices.DeleteFunc(r.questions, func(x *question) bool { return x == q })
}

func (r *Replica) sendQuestion(q *question) {
	leader := r.leader()
	if r.env.Leads() && r.votes() {
		r.endQuestion(q)
		r.out.Answers = append(r.out.Answers, QueryOutcome{Ref: q.ref, From: leader, Answer: r.answer(q.ref, q.kind)})
		return // one that leads and is not ready to answer asks itself again
	}
	m := Message{Query: &Query{Ref: q.wire, Kind: q.kind}}
	r.send(leader, m)
	if q.kind == AskLatest {
		for _, id := range r.someVoters(latestVoters) {
			if id != leader {
				r.send(id, m)
			}
		}
	}
}

// someVoters draws voters other than this one.
func (r *Replica) someVoters(count int) (picked []members.ID) {
	for _, i := range r.rng.Perm(len(r.env.Voters())) {
		if id := r.env.Voters()[i]; id != r.facts.Self && len(picked) < count {
			picked = append(picked, id)
		}
	}
	return picked
}

// query answers another's question.
func (r *Replica) query(from members.ID, q *Query) {
	if q.Kind < AskLatest || q.Kind > AskHistory {
		return
	}
	a := r.answer(q.Ref, q.Kind)
	r.send(from, Message{Answer: &a})
}

// answer is what this one can say: of status and history only as the leader.
func (r *Replica) answer(ref uint64, kind QueryKind) Answer {
	a := Answer{Ref: ref, Voting: r.votes(), Leads: r.env.Leads() && r.votes(), Leader: r.leader()}
	if r.spread.summary.Number > 0 {
		a.Latest = r.spread.summary
	}
	if a.Voting {
		latest := r.env.State().Latest()
		a.Latest = latest.summary()
	}
	if a.Leads && kind == AskStatus {
		a.Status = r.status()
	}
	if a.Leads && kind == AskHistory {
		a.Versions = slices.Clone(r.env.State().Versions)
	}
	return a
}

// wellFormed tells whether an answer keeps its bounds.
func (a *Answer) wellFormed() bool {
	if len(a.Leader) > maxID || len(a.Versions) > MaxHistory {
		return false
	}
	s := a.Status
	return s == nil || len(s.Counts) <= MaxReports && len(s.Refused) <= MaxListed && len(s.Behind) <= MaxListed && len(s.Unheard) <= MaxListed
}

// answered takes in an answer.
func (r *Replica) answered(from members.ID, a *Answer) {
	if !a.wellFormed() {
		return
	}
	if a.Ref != 0 && a.Ref == r.start.wire {
		r.toldLatest(from, a)
		return
	}
	i := slices.IndexFunc(r.questions, func(q *question) bool { return q.wire == a.Ref })
	if i < 0 {
		return
	}
	q := r.questions[i]
	complete := a.Leads
	switch q.kind {
	case AskLatest:
		complete = a.Voting
	case AskStatus:
		complete = complete && a.Status != nil
	}
	if !complete {
		r.hintLeader(from, a.Leader)
		return
	}
	r.endQuestion(q)
	own := *a
	own.Ref = q.ref
	r.out.Answers = append(r.out.Answers, QueryOutcome{Ref: q.ref, From: from, Answer: own})
}

func (r *Replica) nextQuestion() float64 {
	next := never
	for _, q := range r.questions {
		next = min(next, q.at, q.deadline)
	}
	return next
}

// starting is how far a controller that starts is with finding the latest version.
type starting struct {
	at        float64 // of the next questions
	wire      uint64
	told      map[members.ID]uint64 // voters that answered, with their latest number
	leader    bool                  // the leader has answered
	latest    uint64                // the highest that was told
	confirmed bool
}

// tickStart asks the leader and voters for their latest version until it is known.
func (r *Replica) tickStart() {
	s := &r.start
	if s.confirmed || r.now < s.at {
		return
	}
	s.at = r.now + min(latestLater, latestEach+(r.now-r.began)/2) // hundreds that start together must not keep the voters busy
	if s.heard(r) {
		return // what was told is on its way here
	}
	if s.wire == 0 {
		r.wireRef++
		s.wire = r.wireRef
	}
	ids := r.someVoters(latestVoters)
	if leader := r.leader(); leader != "" && leader != r.facts.Self && !slices.Contains(ids, leader) {
		ids = append([]members.ID{leader}, ids[:min(len(ids), latestVoters-1)]...)
	}
	for _, id := range ids {
		r.send(id, Message{Query: &Query{Ref: s.wire, Kind: AskLatest}})
	}
}

// toldLatest takes in the latest version of a voter.
func (r *Replica) toldLatest(from members.ID, a *Answer) {
	s := &r.start
	if s.confirmed {
		return
	}
	if !a.Voting {
		r.hintLeader(from, a.Leader)
		return
	}
	if a.Leads {
		s.leader = true
	} else if !slices.Contains(r.env.Voters(), from) {
		return
	}
	s.told[from] = a.Latest.Number
	s.latest = max(s.latest, a.Latest.Number)
	r.receiveSummary(from, a.Latest)
}

// heard tells whether the leader, or a majority of the voters, has told its latest version.
func (s *starting) heard(r *Replica) bool {
	if s.leader {
		return true
	}
	voters := r.env.Voters()
	count := 0
	for _, id := range voters {
		if _, ok := s.told[id]; ok || id == r.facts.Self && r.votes() {
			count++
		}
	}
	return len(voters) > 0 && 2*count > len(voters)
}

// confirm notes that the latest version is in force or refused here.
func (r *Replica) confirm() {
	s := &r.start
	if s.confirmed {
		return
	}
	if r.votes() {
		s.latest = max(s.latest, r.env.State().Newest())
		if r.env.Leads() {
			s.leader = true
		}
	}
	s.confirmed = s.heard(r) && r.take.handled() >= s.latest
}

func (r *Replica) nextStart() float64 {
	if r.start.confirmed {
		return never
	}
	return r.start.at
}
