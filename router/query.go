package router

import (
	"cmp"
	"math"
	"slices"
)

type finalAnswer int

const (
	unanswered finalAnswer = iota
	rejected
	failedFinally
)

// attempt is one send of a command.
type attempt struct {
	engine                 *engine
	startedAt, lastHeardAt float64 // when it left, and when last heard of
	outstanding, cancelled bool
	abandoned              bool // out, but not waited for
	failed                 bool // by what is known of it, or its engine has gone quiet
	endedInError           bool // it ended as an error, which may be the command's own fault
	memoryMB               float64
}

// query is one that is owed an answer, or has a send without an outcome. The want fields are the wanted
// state: emit alone compares them with the rest.
type query struct {
	id                               QueryID
	class                            *queryClass
	tables                           *tableGroup
	tenant                           *tenant // nil: none
	overQuota                        bool
	queues                           []*orderingQueue // of its order keys, in whose turns it stands
	arrivalOrder                     uint64           // its place among all by arrival
	cooldownUntil                    float64          // until when nothing may follow it under a key, by its doubtful outcomes
	arrivedAt                        float64
	firstTriedAt                     float64 // when its client first did, as far as its client timeout tells
	deadline                         float64
	estimatedWork, estimatedMemoryMB float64
	uncappedEstimate                 float64  // its estimate before an operator's rule cut it: what guards cold engines learns by that
	kinds                            []KindID // that its profile's are narrowed to; nil: they are not
	zones                            []Zone
	attempts                         []attempt
	awaited                          int // sends that are waited for
	outstanding                      int // and all without an outcome
	done, responseStarted            bool
	unresolvedAt                     float64 // when the first send left that may have run
	unresolved                       *engine // where it went; nil: none may have run

	startOn      *engine
	startBy      float64 // with it: by when the send must have gone out; 0: at any time
	answer       finalAnswer
	reason       answerReason // of that answer
	cancelWanted bool
	changed      bool
	queued       bool    // it is among the held
	blocked      bool    // and not the first in one of its lines
	worthEpoch   int     // by which it was found wise to hold it on,
	worthUntil   float64 // and until when it is
	watched      bool    // and looked at for giving up, when its time comes
}

// failedAttemptsOn is how many sends of c failed on e.
func (q *query) failedAttemptsOn(e *engine) (n float64) {
	for _, a := range q.attempts {
		if a.failed && a.engine == e {
			n++
		}
	}
	return n
}

func byDeadline(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
}

func byArrival(a, b *query) int { return cmp.Compare(a.arrivalOrder, b.arrivalOrder) }

// addQuery files a new command, in the line of its key if it has one.
func (r *Router) addQuery(ev QueryArrived) *query {
	g := r.tableGroupOf(ev.Tables)
	g.lastQueryAt = r.now
	q := &query{id: ev.ID, class: r.classes[ev.Class], tables: g, arrivedAt: r.now,
		firstTriedAt: r.now, deadline: r.now + ev.TimeLeft, estimatedWork: ev.EstimatedWork, uncappedEstimate: ev.EstimatedWork, estimatedMemoryMB: ev.EstimatedMemoryMB, kinds: ev.Kinds, zones: ev.Zones}
	if ev.EstimateCap > 0 {
		q.estimatedWork = min(q.estimatedWork, ev.EstimateCap)
	}
	r.queries[q.id] = q
	g.openQueries++
	r.traffic.queryRate.add(r.now, 1, 0)
	if ev.Tenant >= 0 {
		q.tenant = r.tenants[ev.Tenant]
		q.tenant.queries.add(r.now, 1, 0)
	}
	if r.firstQueryAt == 0 {
		r.firstQueryAt = r.now
	}
	if r.limits.RetryBudgeted {
		r.retryBudget.queries.add(r.now, 1)
	}
	r.arrivals++
	q.arrivalOrder = r.arrivals
	r.joinOrderingQueue(q, ev.Key)
	for _, key := range ev.MoreKeys {
		r.joinOrderingQueue(q, key)
	}
	return q
}

// recordStart counts a send of c on e as out, so that the next choice of the same step sees it.
func (r *Router) recordStart(q *query, e *engine, mem, work, begin float64) {
	if len(q.attempts) > 0 && r.limits.RetryBudgeted {
		r.retryBudget.retries.add(r.now, 1)
	}
	r.dequeue(q)
	q.attempts = append(q.attempts, attempt{engine: e, startedAt: r.now, lastHeardAt: r.now, outstanding: true, memoryMB: mem})
	q.outstanding++
	q.awaited, e.attempts, r.concurrency.attempts = q.awaited+1, e.attempts+1, r.concurrency.attempts+1
	e.threads, r.concurrency.threads = e.threads+q.class.Threads, r.concurrency.threads+q.class.Threads
	if r.now < e.startedAt+r.limits.SlowStartTime+r.limits.SlowStartWindow {
		e.slowStartWork.add(r.now, work)
	}
	if q.class.LocksTables {
		e.tableLocks[q.tables]++
		q.tables.addLockHolder(e)
	}
	r.updateBounds(e)
	q.startOn, q.startBy = e, begin
	r.markChanged(q)
}

// recordEnd takes in that a send has its outcome: what may have run by it, and whether its key must rest.
func (r *Router) recordEnd(q *query, a *attempt, ev AttemptEnded) {
	if !a.abandoned {
		r.releaseCapacity(q, a)
	}
	q.outstanding--
	q.tables.memoryTime.add(r.now, a.memoryMB*ev.Elapsed, 1)
	a.outstanding, q.done = false, q.done || ev.QueryDone
	switch ev.Outcome {
	case Errored, ConnectionReset, TimedOut, ConnectFailed:
		a.failed = true
	}
	switch ev.Outcome {
	case Succeeded:
		a.engine.answeredStartAt, a.engine.connectionLostAt = max(a.engine.answeredStartAt, a.startedAt), math.Inf(-1) // the process is the same
		q.tables.confirmed = true
	case ConnectFailed, ConnectionReset, NotSent:
		a.engine.connectionLostAt = r.now
	}
	if !ev.Outcome.NeverRan() && q.unresolved == nil {
		q.unresolvedAt, q.unresolved = a.startedAt, a.engine
	}
	if ev.Outcome.MayRunOn() {
		q.cooldownUntil = r.now + r.limits.OrderingCooldown + r.limits.EventInterval
	}
	for _, queue := range q.queues {
		queue.cooldownUntil = max(queue.cooldownUntil, q.cooldownUntil)
	}
	r.markChanged(q)
}

// abandonAttempt takes in that a send's answer is not waited for any more; it may have run.
func (r *Router) abandonAttempt(q *query, a *attempt) {
	a.abandoned = true
	r.releaseCapacity(q, a)
	if q.unresolved == nil {
		q.unresolvedAt, q.unresolved = a.startedAt, a.engine
	}
}

// releaseCapacity gives back what a send that is waited for holds.
func (r *Router) releaseCapacity(q *query, a *attempt) {
	e := a.engine
	q.awaited, e.attempts, r.concurrency.attempts = q.awaited-1, e.attempts-1, r.concurrency.attempts-1
	e.threads, r.concurrency.threads = e.threads-q.class.Threads, r.concurrency.threads-q.class.Threads
	if q.class.LocksTables {
		if e.tableLocks[q.tables]--; e.tableLocks[q.tables] == 0 {
			delete(e.tableLocks, q.tables)
		}
	}
	r.updateBounds(e)
}

func (r *Router) responseStarted(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.responseStarted = true
	}
}

// clientDisconnected takes in that c's client has gone: nothing is owed, and what is out is not wanted.
func (r *Router) clientDisconnected(id QueryID) {
	if q := r.queries[id]; q != nil {
		q.done, q.cancelWanted = true, true
		r.markChanged(q)
	}
}

// outstandingAttempt finds a send that is out; nil if there is none such.
func (r *Router) outstandingAttempt(id QueryID, send AttemptID) (*query, *attempt) {
	q := r.queries[id]
	if q == nil || send < 0 || int(send) >= len(q.attempts) || !q.attempts[send].outstanding {
		return nil, nil
	}
	return q, &q.attempts[send]
}

// forgetQuery drops a command that no rule needs any more; a line that still rests is kept until it has.
func (r *Router) forgetQuery(q *query) {
	delete(r.queries, q.id)
	q.tables.openQueries--
	for _, queue := range q.queues {
		if queue.queries[0] == q { // the usual one; the rest need not be moved
			queue.queries[0], queue.queries = nil, queue.queries[1:]
		} else if at, found := slices.BinarySearchFunc(queue.queries, q, byArrival); found {
			queue.queries = slices.Delete(queue.queries, at, at+1)
		}
		if len(queue.queries) == 0 {
			queue.joinedLate, queue.queries = false, nil
			r.ordering.cooling = append(r.ordering.cooling, queue.key)
		} else if next := queue.queries[0]; next.queued && next.blocked {
			r.insertUnlessBlocked(next)
		}
	}
}
