package router

import "slices"

// ordering is the state of all ordering keys.
type ordering struct {
	queues   map[OrderingKey]*orderingQueue
	idleKeys []OrderingKey // keys of empty queues that are kept until their cooldown is over
}

// orderingQueue is the queue of one ordering key. A query stays in it until it is forgotten, so the
// ones that run stand in it too.
type orderingQueue struct {
	key           OrderingKey
	queries       []*query // by arrival
	cooldownUntil float64  // ms, before which no first attempt starts: an earlier one may still run

	// joinedLate says that a query was added that had arrived before the last one of the queue, or had
	// an attempt already: only then a query behind the head can have an attempt outstanding.
	joinedLate bool
}

// followerOutstanding reports whether a query behind the head has an attempt outstanding.
func (queue *orderingQueue) followerOutstanding() bool {
	return queue.joinedLate &&
		slices.ContainsFunc(queue.queries[1:], func(q *query) bool { return q.outstanding > 0 })
}

// joinOrderingQueue puts q into the queue of an ordering key at the place of its arrival, if its
// class is ordered. It does nothing if q is in it already.
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

// leaveOrderingQueue takes q out of a queue. The query that is at the head now may have become
// startable. A queue that is left empty is kept until its cooldown is over.
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

// remove takes q out of the queue. It is nearly always the head, for which no other is moved.
func (queue *orderingQueue) remove(q *query) {
	if queue.queries[0] == q {
		queue.queries[0] = nil // so that the slice does not keep q in memory
		queue.queries = queue.queries[1:]
		return
	}
	if at, found := slices.BinarySearchFunc(queue.queries, q, byArrival); found {
		queue.queries = slices.Delete(queue.queries, at, at+1)
	}
}

// removeIdleOrderingQueues drops the empty queues that are in cooldown no longer.
func (r *Router) removeIdleOrderingQueues() {
	r.ordering.idleKeys = slices.DeleteFunc(r.ordering.idleKeys, func(key OrderingKey) bool {
		queue := r.ordering.queues[key]
		if queue == nil || len(queue.queries) > 0 {
			return true // it was dropped, or is in use again and will be listed anew
		}
		if r.now < queue.cooldownUntil {
			return false
		}
		delete(r.ordering.queues, key)
		return true
	})
}
