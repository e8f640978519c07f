package router

import "slices"

// ordering is the state of all ordering keys.
type ordering struct {
	queues   map[OrderingKey]*orderingQueue
	idleKeys []OrderingKey // of empty queues, which are kept until their cooldown is over
}

// orderingQueue is the queue of one ordering key. A query stays in it until removeQuery, so it also
// holds the running ones.
type orderingQueue struct {
	key           OrderingKey
	queries       []*query // by arrival
	cooldownUntil float64  // ms, until which no first attempt starts: an earlier attempt may still run

	// joinedLate records that a query was added that arrived before the last one of the queue, or that
	// had an outstanding attempt. Only then can a query behind the head have an outstanding attempt.
	joinedLate bool
}

// followerOutstanding reports whether a query behind the head has an outstanding attempt.
func (queue *orderingQueue) followerOutstanding() bool {
	return queue.joinedLate &&
		slices.ContainsFunc(queue.queries[1:], func(q *query) bool { return q.outstanding > 0 })
}

// joinOrderingQueue inserts q into the queue of an ordering key, in order of arrival, if its class
// is ordered. It does nothing if q is already in that queue.
func (r *Router) joinOrderingQueue(q *query, key OrderingKey) {
	if !q.class.Ordered || key == "" {
		return
	}
	queue := r.ordering.queues[key]
	if queue == nil {
		queue = &orderingQueue{key: key}
		r.ordering.queues[key] = queue
	}
	if slices.Contains(q.queues, queue) {
		return
	}
	if q.outstanding > 0 || queue.hasLaterArrival(q) {
		queue.joinedLate = true
	}
	queue.queries = insertSorted(queue.queries, q, byArrival)
	queue.cooldownUntil = max(queue.cooldownUntil, q.cooldownUntil)
	q.queues = append(q.queues, queue)
}

// hasLaterArrival reports whether the queue holds a query that arrived after q.
func (queue *orderingQueue) hasLaterArrival(q *query) bool {
	count := len(queue.queries)
	return count > 0 && byArrival(q, queue.queries[count-1]) < 0
}

// leaveOrderingQueue removes q from a queue. The new head of the queue may become unblocked. An
// empty queue is kept until its cooldown is over.
func (r *Router) leaveOrderingQueue(q *query, queue *orderingQueue) {
	queue.remove(q)
	if len(queue.queries) == 0 {
		queue.queries = nil
		queue.joinedLate = false
		r.ordering.idleKeys = append(r.ordering.idleKeys, queue.key)
		return
	}
	head := queue.queries[0]
	if head.queued && head.blocked {
		r.insertUnlessBlocked(head)
	}
}

// remove removes q from the queue. Nearly always q is the head, whose removal moves no other query.
func (queue *orderingQueue) remove(q *query) {
	if queue.queries[0] == q {
		queue.queries[0] = nil // releases the reference to q in the backing array
		queue.queries = queue.queries[1:]
		return
	}
	if at, found := slices.BinarySearchFunc(queue.queries, q, byArrival); found {
		queue.queries = slices.Delete(queue.queries, at, at+1)
	}
}

// removeIdleOrderingQueues removes the empty queues whose cooldown is over.
func (r *Router) removeIdleOrderingQueues() {
	r.ordering.idleKeys = slices.DeleteFunc(r.ordering.idleKeys, func(key OrderingKey) bool {
		queue := r.ordering.queues[key]
		if queue == nil || len(queue.queries) > 0 {
			return true // already removed, or in use again: leaveOrderingQueue lists it again
		}
		if r.now < queue.cooldownUntil {
			return false
		}
		delete(r.ordering.queues, key)
		return true
	})
}
