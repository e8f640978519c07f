package controller

import (
	"time"

	"mintkeel/internal/core/rules"
	"mintkeel/internal/engines"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// queryState is a query in flight. The package comment describes its states.
type queryState struct {
	*request.Query
	ruleEpoch   rules.Epoch       // the rules in force when it arrived
	ordered     bool              // it has an ordering key
	answered    bool              // it has its final answer, or its client has disconnected
	attempts    []router.EngineID // the engine of each attempt, by AttemptID
	outstanding int               // attempts without an outcome
}

// queryArrived passes a new query to the module. If another query in flight has the same client id,
// the new one fails at once, as engines could not distinguish the two. If its client has
// disconnected before it reached the loop, it is dropped.
func (l *Loop) queryArrived(query *request.Query) {
	if _, inFlight := l.clientIDs[query.ID]; inFlight {
		l.counts.Duplicates++
		query.Finish(request.Answer{Verdict: request.Failed})
		return
	}
	if query.Answer().Verdict != request.Unanswered {
		return
	}
	query.RouterID = l.newQueryID()
	q := &queryState{Query: query}
	key := query.OrderingKey
	var moreKeys []router.OrderingKey
	if query.RuleInput != nil {
		q.ruleEpoch, key, moreKeys = l.ruleEpochs.QueryArrived(l.clock(), query.RuleInput)
	}
	q.ordered = key != "" || len(moreKeys) > 0
	l.queries[query.RouterID] = q
	l.clientIDs[query.ID] = query.RouterID
	l.counts.Accepted++
	arrivalWait := time.Since(query.ReadAt)
	clientQueueTime := time.Duration(0)
	if query.OrderingKey != "" {
		clientQueueTime = l.clientQueues.Wait(
			query.OrderingKey, query.ReadAt, query.FirstOnConnection, query.ClientTimeout)
	}
	l.events = append(l.events, router.QueryArrived{
		ID:                query.RouterID,
		Tenant:            query.Tenant,
		Class:             query.Class,
		Tables:            query.Tables,
		Key:               key,
		MoreKeys:          moreKeys,
		TimeLeft:          milliseconds(query.TimeLeft - arrivalWait),
		ArrivalWait:       milliseconds(arrivalWait),
		ClientQueueTime:   milliseconds(clientQueueTime),
		EstimatedWork:     query.EstimatedWork,
		EstimateCap:       query.EstimateCap,
		EstimatedMemoryMB: query.EstimatedMemoryMB,
		Kinds:             query.Kinds,
		Zones:             query.Zones,
		Hot:               query.Hot,
	})
}

// newQueryID returns the next id that no query in flight has. Ids wrap around; 0 is not assigned.
func (l *Loop) newQueryID() router.QueryID {
	l.lastID++
	for l.lastID == 0 || l.queries[l.lastID] != nil {
		l.lastID++
	}
	return l.lastID
}

// clientDisconnected ends a query whose client needs no answer any more. Outcomes of its
// outstanding attempts are still handled.
func (l *Loop) clientDisconnected(query *request.Query) {
	q := l.queries[query.RouterID]
	if q == nil || q.Query != query {
		return
	}
	l.counts.Disconnected++
	q.answered = true
	l.events = append(l.events, router.ClientDisconnected{ID: q.RouterID})
	l.removeIfDone(q)
}

// attemptEnded handles the outcome of an attempt, and answers its query if it succeeded.
func (l *Loop) attemptEnded(ev engines.AttemptEnded) {
	q := l.queries[ev.Query.RouterID]
	if q == nil || int(ev.Attempt) >= len(q.attempts) {
		return
	}
	q.outstanding--
	l.counts.Outcomes[ev.Outcome]++
	if ev.Outcome == router.Succeeded && !q.answered {
		l.answerQuery(q, request.Answer{Verdict: request.Succeeded, Pages: ev.Pages})
	}
	l.events = append(l.events, router.AttemptEnded{
		ID:        q.RouterID,
		Attempt:   ev.Attempt,
		Outcome:   ev.Outcome,
		QueryDone: q.answered,
		Elapsed:   milliseconds(ev.Elapsed),
		Load:      ev.Load,
	})
	if q.answered && q.outstanding == 0 && q.ordered {
		l.orderingKeyFreed = true
	}
	l.removeIfDone(q)
}

// attemptProgress passes a progress message of an attempt to the module.
func (l *Loop) attemptProgress(ev engines.AttemptProgress) {
	if l.queries[ev.Query.RouterID] == nil {
		return
	}
	l.events = append(l.events, router.AttemptProgress{
		ID:      ev.Query.RouterID,
		Attempt: ev.Attempt,
		Kind:    ev.Kind,
		Value:   ev.Value,
	})
}

// answerQuery gives a query its final answer, and counts it unless its client disconnected first.
func (l *Loop) answerQuery(q *queryState, answer request.Answer) {
	q.answered = true
	if !q.Finish(answer) {
		return
	}
	switch answer.Verdict {
	case request.Succeeded:
		l.counts.Answered++
	case request.Rejected:
		l.counts.Rejected++
	case request.Failed:
		l.counts.Failed++
	}
}

// removeIfDone removes a query that is answered and has no outstanding attempt.
func (l *Loop) removeIfDone(q *queryState) {
	if !q.answered || q.outstanding > 0 {
		return
	}
	if q.RuleInput != nil {
		l.ruleEpochs.QueryEnded(l.clock(), q.ruleEpoch)
	}
	delete(l.queries, q.RouterID)
	delete(l.clientIDs, q.ID)
}
