package router

import (
	"cmp"
	"math"
)

// finalAnswer is the final answer that this controller itself gives to a query.
type finalAnswer int

const (
	// unanswered: this controller has decided on no answer.
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
	lastHeardAt  float64 // ms, of the last progress message; startedAt before the first
	memoryMB     float64 // estimate
	outstanding  bool    // it has no outcome yet
	cancelled    bool    // CancelAttempt was returned for it
	abandoned    bool    // its outcome is no longer waited for, and it holds no capacity
	failed       bool    // by its outcome, or because it has gone silent
	endedInError bool    // it ended in an error that may be the query's own fault
}

// query is one that is owed a final answer or has an attempt without an outcome.
type query struct {
	id           QueryID
	class        *queryClass
	tables       *tableGroup
	tenant       *tenant // nil: none
	overQuota    bool    // it is over its tenant's quota, as drawn when it arrived
	arrivalOrder uint64  // its number by arrival, from 1
	arrivedAt    float64 // ms
	firstTriedAt float64 // ms, of its client's first try; before arrivedAt if this is a client's retry
	deadline     float64 // ms, when its client gives up

	estimatedWork     float64  // ms on one thread, as capped by an operator's rule; 0: no estimate
	uncappedEstimate  float64  // ms on one thread, before that cap
	estimatedMemoryMB float64  // 0: no estimate
	kinds             []KindID // further limit on the machine kinds of its class; nil: none
	zones             []Zone   // further limit on the zones of its class; nil: none

	// Its attempts, by number. unresolved is the engine of the first one that may have run without an
	// answer, nil if there is none, and unresolvedAt (ms) when that one was started: rule 2 decides by
	// them whether the query may be repeated.
	attempts        []attempt
	awaited         int // attempts with an outcome that is waited for
	outstanding     int // attempts without an outcome, the abandoned ones among them
	unresolved      *engine
	unresolvedAt    float64
	responseStarted bool // its client has got a part of the response
	done            bool // no final answer is owed any more

	// The queues of its ordering keys. cooldownUntil (ms) is when the next query may start in each of
	// them, as far as attempts of this one may still be running.
	queues        []*orderingQueue
	cooldownUntil float64

	// What collectActions turns into actions at the end of the step.
	startOn      *engine // on which an attempt starts; nil: none does
	startBy      float64 // ms, by which that attempt must have been sent; 0: at any time
	answer       finalAnswer
	reason       answerReason // of the answer
	cancelWanted bool         // its outstanding attempts are cancelled
	changed      bool         // it is in Router.changed

	// Its place in the queue of queries that wait for an engine.
	queued  bool // it waits for an engine
	blocked bool // it is queued, but not at the head of all its ordering queues
	watched bool // it is in the shedWatch of its class

	// In the epoch of its class's worthCache that is named here it is known to be worth running until
	// worthUntil (ms).
	worthEpoch int
	worthUntil float64
}

// failedAttemptsOn counts the attempts of q that failed on an engine.
func (q *query) failedAttemptsOn(e *engine) float64 {
	count := 0.0
	for _, a := range q.attempts {
		if a.failed && a.engine == e {
			count++
		}
	}
	return count
}

// byDeadline orders queries by client timeout, and by id where that is the same.
func byDeadline(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

// byArrival orders queries by arrival.
func byArrival(a, b *query) int { return cmp.Compare(a.arrivalOrder, b.arrivalOrder) }

// addQuery takes up the state of an arriving query, and puts it into the queues of its ordering
// keys.
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

// countArrival counts an arriving query for the rates that are learned and for the retry budget.
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

// recordAttemptStart records that an attempt of q starts on e, before the action for it is returned: all
// further decisions of the same step count it. memoryMB is its estimated memory, slowStartCost (ms
// of work) what it counts for on a warming engine, startBy (ms) when it must have been sent; 0: at
// any time.
func (r *Router) recordAttemptStart(q *query, e *engine, memoryMB, slowStartCost, startBy float64) {
	if len(q.attempts) > 0 && r.limits.RetryBudgeted {
		r.retryBudget.retries.add(r.now, 1)
	}
	r.dequeue(q) // before the number of its attempts changes, by which treeOf finds its tree
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

// takeCapacity counts an attempt of q on e that starts. The caller updates the bounds of e.
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

// releaseCapacity is the reverse of takeCapacity, for an attempt that has ended or is abandoned.
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

// recordAttemptEnd records the outcome of an attempt of q, as far as the rules need it: what may have run,
// what the outcome proves about the engine, and how long its ordering keys are in cooldown.
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

// isFailure reports whether an attempt with this outcome was taken on and has failed.
func (o Outcome) isFailure() bool {
	return o == Errored || o == ConnectionReset || o == TimedOut || o == ConnectFailed
}

// recordConnectionOutcome records what the outcome of an attempt proves about the process that has the
// address of an engine: an answer shows that it is still the same, a lost connection that it may be
// another.
func (e *engine) recordConnectionOutcome(now float64, a *attempt, outcome Outcome) {
	switch outcome {
	case Succeeded:
		e.answeredStartAt = max(e.answeredStartAt, a.startedAt)
		e.connectionLostAt = math.Inf(-1)
	case ConnectFailed, ConnectionReset, NotSent:
		e.connectionLostAt = now
	}
}

// markUnresolved records that an attempt of q may have run. The first such attempt is what rule 2
// goes by, as the deduplication window of a query begins with it.
func (q *query) markUnresolved(a *attempt) {
	if q.unresolved == nil {
		q.unresolved = a.engine
		q.unresolvedAt = a.startedAt
	}
}

// abandonAttempt records that the outcome of an attempt is no longer waited for; it may have run.
func (r *Router) abandonAttempt(q *query, a *attempt) {
	a.abandoned = true
	r.releaseCapacity(q, a)
	q.markUnresolved(a)
}

// responseStarted records that the client has got a part of the response: no attempt may start any
// more, and no other answer may be given.
func (r *Router) responseStarted(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.responseStarted = true
	}
}

// clientDisconnected records that the client has gone: no answer is owed any more, and its attempts
// are cancelled.
func (r *Router) clientDisconnected(id QueryID) {
	q := r.queries[id]
	if q == nil {
		return
	}
	q.done = true
	q.cancelWanted = true
	r.markChanged(q)
}

// outstandingAttempt finds an attempt that has no outcome yet, with its query; nil, nil: there is
// no such attempt.
func (r *Router) outstandingAttempt(id QueryID, number AttemptID) (*query, *attempt) {
	q := r.queries[id]
	if q == nil || number < 0 || int(number) >= len(q.attempts) || !q.attempts[number].outstanding {
		return nil, nil
	}
	return q, &q.attempts[number]
}

// removeQuery drops a query that has its answer and no attempt without an outcome.
func (r *Router) removeQuery(q *query) {
	delete(r.queries, q.id)
	q.tables.openQueries--
	for _, queue := range q.queues {
		r.leaveOrderingQueue(q, queue)
	}
}
