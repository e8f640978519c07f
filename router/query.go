package router

import (
	"cmp"
	"math"
)

// finalAnswer is a final answer to a query that this controller decides itself.
type finalAnswer int

const (
	// unanswered: this controller has not decided on an answer.
	unanswered finalAnswer = iota
	// rejected: the client gets an error that is safe to retry.
	rejected
	// failedFinally: the client gets an error after which the query may have had its effect.
	failedFinally
)

// attempt is one attempt of a query on an engine.
type attempt struct {
	engine       *engine
	startedAt    float64 // ms
	lastHeardAt  float64 // ms, of the last progress message; before the first it is startedAt
	memoryMB     float64 // estimate
	outstanding  bool    // its outcome has not come yet
	cancelled    bool    // CancelAttempt was returned for it
	abandoned    bool    // its outcome is no longer awaited, and it holds no capacity
	failed       bool    // by its outcome, or because it went silent
	endedInError bool    // it ended in an error that may be the query's own fault
}

// query is a query without a final answer or with an outstanding attempt.
type query struct {
	id           QueryID
	class        *queryClass
	tables       *tableGroup
	tenant       *tenant // nil: none
	overQuota    bool    // it is over its tenant's quota, by a random draw on arrival
	arrivalOrder uint64  // number by arrival, from 1
	arrivedAt    float64 // ms
	firstTriedAt float64 // ms, of its client's first try; before arrivedAt for a client's retry
	deadline     float64 // ms, when its client gives up

	estimatedWork     float64  // ms on one thread, capped by an operator's rule; 0: no estimate
	uncappedEstimate  float64  // ms on one thread, before that cap
	estimatedMemoryMB float64  // 0: no estimate
	kinds             []KindID // further limit on the machine kinds of its class; nil: none
	zones             []Zone   // further limit on the zones of its class; nil: none

	// Its attempts, by number. unresolved is the engine of the first attempt that may have run without
	// an answer, nil if there is none, and unresolvedAt (ms) is when that attempt started. By these
	// two, rule 2 decides whether the query may be repeated.
	attempts        []attempt
	awaited         int // outstanding attempts that are not abandoned
	outstanding     int // attempts without an outcome, including the abandoned ones
	unresolved      *engine
	unresolvedAt    float64
	responseStarted bool // its client has received a part of the response
	done            bool // it needs no final answer any more

	// The queues of its ordering keys. Until cooldownUntil (ms) these keys are in cooldown, because an
	// attempt of this query may still be running.
	queues        []*orderingQueue
	cooldownUntil float64

	// Decisions that collectActions turns into actions at the end of the step.
	startOn      *engine // on which an attempt starts; nil: none
	startBy      float64 // ms, the latest time to send that attempt; 0: no limit
	answer       finalAnswer
	reason       answerReason // of the answer
	cancelWanted bool         // its outstanding attempts are to be cancelled
	changed      bool         // it is in Router.changed

	// Its state in the queue of queries that wait for an engine.
	queued  bool // it waits for an engine
	blocked bool // it is queued, but not at the head of all its ordering queues
	watched bool // it has an alarm in the shedWatch of its class

	// Cached answer of the worthCache of its class: in the epoch worthEpoch, the query is worth
	// running until worthUntil (ms).
	worthEpoch int
	worthUntil float64
}

// failedAttemptsOn counts the failed attempts of q on an engine.
func (q *query) failedAttemptsOn(e *engine) float64 {
	count := 0.0
	for _, a := range q.attempts {
		if a.failed && a.engine == e {
			count++
		}
	}
	return count
}

// byDeadline orders queries by client timeout, and queries of equal timeout by id.
func byDeadline(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// byArrival orders queries by arrival.
func byArrival(a, b *query) int { return cmp.Compare(a.arrivalOrder, b.arrivalOrder) }

// addQuery creates the state of an arriving query, and adds it to the queues of its ordering keys.
func (r *Router) addQuery(ev QueryArrived) *query {
	g := r.tableGroupOf(ev.Tables)
	g.lastQueryAt = r.now
	g.openQueries++
	q := &query{
		id:                ev.ID,
		class:             r.classes[ev.Class],
		tables:            g,
		arrivedAt:         r.now,
		firstTriedAt:      r.now,
		deadline:          r.now + ev.TimeLeft,
		estimatedWork:     ev.EstimatedWork,
		uncappedEstimate:  ev.EstimatedWork,
		estimatedMemoryMB: ev.EstimatedMemoryMB,
		kinds:             ev.Kinds,
		zones:             ev.Zones,
	}
	if ev.EstimateCap > 0 {
		q.estimatedWork = min(q.estimatedWork, ev.EstimateCap)
	}
	if ev.Tenant >= 0 {
		q.tenant = r.tenants[ev.Tenant]
	}
	r.arrivalCount++
	q.arrivalOrder = r.arrivalCount
	r.queries[q.id] = q
	r.countArrival(q)
	r.joinOrderingQueue(q, ev.Key)
	for _, key := range ev.MoreKeys {
		r.joinOrderingQueue(q, key)
	}
	return q
}

// countArrival counts an arriving query in the learned rates and in the retry budget.
func (r *Router) countArrival(q *query) {
	r.traffic.queryRate.add(r.now, 1, 0)
	if q.tenant != nil {
		q.tenant.queries.add(r.now, 1, 0)
	}
	if r.firstQueryAt == 0 {
		r.firstQueryAt = r.now
	}
	if r.limits.RetryBudgeted {
		r.retryBudget.queries.add(r.now, 1)
	}
}

// recordAttemptStart records that an attempt of q starts on e. It does so before the action is
// returned, so that later decisions of the same step take the attempt into account. memoryMB is its
// estimated memory, slowStartCost its work (ms) for the limit of a warming engine, and startBy (ms)
// the latest time to send it; 0: no limit.
func (r *Router) recordAttemptStart(q *query, e *engine, memoryMB, slowStartCost, startBy float64) {
	if len(q.attempts) > 0 && r.limits.RetryBudgeted {
		r.retryBudget.retries.add(r.now, 1)
	}
	r.dequeue(q) // before the number of attempts changes, as treeOf depends on it
	q.attempts = append(q.attempts, attempt{
		engine:      e,
		startedAt:   r.now,
		lastHeardAt: r.now,
		memoryMB:    memoryMB,
		outstanding: true,
	})
	q.outstanding++
	r.takeCapacity(q, e)
	if r.countsForSlowStart(e) {
		e.slowStartWork.add(r.now, slowStartCost)
	}
	r.updateBounds(e)
	q.startOn = e
	q.startBy = startBy
	r.markChanged(q)
}

// takeCapacity counts a starting attempt of q on e as in flight. The caller updates the bounds of
// e.
func (r *Router) takeCapacity(q *query, e *engine) {
	q.awaited++
	e.attempts++
	e.threads += q.class.Threads
	r.concurrency.attempts++
	r.concurrency.threads += q.class.Threads
	if q.class.LocksTables {
		e.tableLocks[q.tables]++
		q.tables.addLockHolder(e)
	}
}

// releaseCapacity reverses takeCapacity for an attempt that has ended or is abandoned.
func (r *Router) releaseCapacity(q *query, a *attempt) {
	e := a.engine
	q.awaited--
	e.attempts--
	e.threads -= q.class.Threads
	r.concurrency.attempts--
	r.concurrency.threads -= q.class.Threads
	if q.class.LocksTables {
		e.tableLocks[q.tables]--
		if e.tableLocks[q.tables] == 0 {
			delete(e.tableLocks, q.tables)
		}
	}
	r.updateBounds(e)
}

// recordAttemptEnd records what the rules need of the outcome of an attempt of q: whether it may
// have run, what the outcome shows about the process of the engine, and how long the ordering keys
// of q are in cooldown.
func (r *Router) recordAttemptEnd(q *query, a *attempt, ev AttemptEnded) {
	if !a.abandoned {
		r.releaseCapacity(q, a)
	}
	q.outstanding--
	q.tables.memoryTime.add(r.now, a.memoryMB*ev.Elapsed, 1)
	a.outstanding = false
	a.failed = a.failed || ev.Outcome.isFailure()
	q.done = q.done || ev.QueryDone
	a.engine.recordConnectionOutcome(r.now, a, ev.Outcome)
	if ev.Outcome == Succeeded {
		q.tables.confirmed = true
	}
	if !ev.Outcome.NeverRan() {
		q.markUnresolved(a)
	}
	if ev.Outcome.MayStillRun() {
		q.cooldownUntil = r.cooldownEnd()
	}
	for _, queue := range q.queues {
		queue.cooldownUntil = max(queue.cooldownUntil, q.cooldownUntil)
	}
	r.markChanged(q)
}

// isFailure reports whether an attempt with this outcome failed. Rejections, cancellations and
// attempts that were never sent are no failures.
func (o Outcome) isFailure() bool {
	return o == Errored || o == ConnectionReset || o == TimedOut || o == ConnectFailed
}

// recordConnectionOutcome records what the outcome of an attempt shows about the process at the
// address of an engine: after a success it is still the same process, after a connection failure it
// may be another.
func (e *engine) recordConnectionOutcome(now float64, a *attempt, outcome Outcome) {
	switch outcome {
	case Succeeded:
		e.answeredStartAt = max(e.answeredStartAt, a.startedAt)
		e.connectionLostAt = math.Inf(-1)
	case ConnectFailed, ConnectionReset, NotSent:
		e.connectionLostAt = now
	}
}

// markUnresolved records that an attempt of q may have run. Rule 2 depends on the first such
// attempt, because the deduplication window of the query begins with it.
func (q *query) markUnresolved(a *attempt) {
	if q.unresolved == nil {
		q.unresolved = a.engine
		q.unresolvedAt = a.startedAt
	}
}

// abandonAttempt records that the outcome of an attempt is no longer awaited; it may have run.
func (r *Router) abandonAttempt(q *query, a *attempt) {
	a.abandoned = true
	r.releaseCapacity(q, a)
	q.markUnresolved(a)
}

// responseStarted records that the client has received a part of the response: no further attempt
// may start, and no other answer may be given.
func (r *Router) responseStarted(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.responseStarted = true
	}
}

// clientDisconnected handles a client that has disconnected: its query needs no final answer any
// more, and the attempts of the query are cancelled.
func (r *Router) clientDisconnected(id QueryID) {
	q := r.queries[id]
	if q == nil {
		return
	}
	q.done = true
	q.cancelWanted = true
	r.markChanged(q)
}

// outstandingAttempt finds an attempt that has no outcome yet, and its query; nil, nil: there is
// none.
func (r *Router) outstandingAttempt(id QueryID, number AttemptID) (*query, *attempt) {
	q := r.queries[id]
	if q == nil || number < 0 || int(number) >= len(q.attempts) || !q.attempts[number].outstanding {
		return nil, nil
	}
	return q, &q.attempts[number]
}

// removeQuery removes a query that needs no answer and has no outstanding attempt.
func (r *Router) removeQuery(q *query) {
	delete(r.queries, q.id)
	q.tables.openQueries--
	for _, queue := range q.queues {
		r.leaveOrderingQueue(q, queue)
	}
}
