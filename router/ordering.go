package router

import (
	"slices"
)

// ordering is the state of all ordering keys.
type ordering struct {
	queues  map[OrderingKey]*orderingQueue
	cooling []OrderingKey // keys of empty queues that are kept until their cooldown is over
}

// orderingQueue is the queue of one order key, by arrival; rest is when its next command may start after a
// doubtful outcome.
type orderingQueue struct {
	key           OrderingKey
	queries       []*query
	cooldownUntil float64
	joinedLate    bool // commands came to it that were held or out before, so one behind the first may be out
}

// followerOutstanding tells whether a command behind the first is out.
func (queue *orderingQueue) followerOutstanding() bool {
	return queue.joinedLate && slices.ContainsFunc(queue.queries[1:], func(q *query) bool { return q.outstanding > 0 })
}

// joinOrderingQueue files a command in the line of a key, if its profile keeps order.
func (r *Router) joinOrderingQueue(q *query, key OrderingKey) {
	if !q.class.Ordered || key == "" {
		return
	}
	queue := r.ordering.queues[key]
	if queue == nil {
		queue = &orderingQueue{key: key}
		r.ordering.queues[key] = queue
	}
	if !slices.Contains(q.queues, queue) {
		queue.joinedLate = queue.joinedLate || len(queue.queries) > 0 && byArrival(q, queue.queries[len(queue.queries)-1]) < 0 || q.outstanding > 0
		q.queues, queue.queries = append(q.queues, queue), insertSorted(queue.queries, q, byArrival)
		queue.cooldownUntil = max(queue.cooldownUntil, q.cooldownUntil)
	}
}

// waitAhead is the time that those waitAhead of c in a line take one after another, as such run lately;
// that of the longest of its lines, and no further than past most. Lines in which a command's time is not
// known count as none.
func (r *Router) waitAhead(q *query, most float64) (longest float64) {
	for _, queue := range q.queues {
		sum := 0.0
		for _, o := range queue.queries {
			if o == q || sum > most {
				break
			}
			if o.class.bestUnitTime > 0 || o.estimatedWork > 0 {
				sum += o.class.expectedRunTime(o, r.now)
			}
		}
		longest = max(longest, sum)
	}
	return longest
}

// forgetOrderingQueues drops empty lines that have rested.
func (r *Router) forgetOrderingQueues() {
	r.ordering.cooling = slices.DeleteFunc(r.ordering.cooling, func(key OrderingKey) bool {
		queue := r.ordering.queues[key]
		if queue != nil && len(queue.queries) == 0 && r.now >= queue.cooldownUntil {
			delete(r.ordering.queues, key)
		}
		return queue == nil || len(queue.queries) > 0 || r.now >= queue.cooldownUntil
	})
}
