package router

import (
	"slices"

	"github.com/tidwall/btree"
)

// deadlineTree has held commands by client timeout.
type deadlineTree = btree.BTreeG[*query]

func newDeadlineTree() *deadlineTree {
	return btree.NewBTreeGOptions(func(a, b *query) bool { return byDeadline(a, b) < 0 },
		btree.Options{NoLocks: true, Degree: 32})
}

// queryQueue are the held commands. Those that stand behind another in the line of one of their keys are
// parked: they are in no tree until they are first. Fresh ones and those sent before stand apart, as the
// sends budget may bar all of the latter.
type queryQueue struct {
	length                 int
	firstAttempts, retries *deadlineTree
	scanBuffer             []*query // of release, kept for its room
	overdueBuffer          []*query // of tend
}

func (h *queryQueue) treeOf(q *query) *deadlineTree {
	if len(q.attempts) == 0 {
		return h.firstAttempts
	}
	return h.retries
}

// enqueue takes c among the held.
func (r *Router) enqueue(q *query) {
	if q.queued {
		return
	}
	q.queued = true
	r.queue.length++
	r.insertUnlessBlocked(q)
	if !q.watched {
		q.watched = true
		r.watchForShedding(q)
	}
}

// insertUnlessBlocked puts a held command into its tree or, where another is ahead of it in a line, leaves
// it to that line.
func (r *Router) insertUnlessBlocked(q *query) {
	q.blocked = slices.ContainsFunc(q.queues, func(queue *orderingQueue) bool { return queue.queries[0] != q })
	if !q.blocked {
		r.queue.treeOf(q).Set(q)
	}
}

// dequeue takes c out, before a send of it is booked.
func (r *Router) dequeue(q *query) {
	if !q.queued {
		return
	}
	if !q.blocked {
		r.queue.treeOf(q).Delete(q)
	}
	q.queued, q.blocked = false, false
	r.queue.length--
}

// dequeueAnswered drops from the held what has ended in this step.
func (r *Router) dequeueAnswered() {
	for _, q := range r.changed {
		if q.done || q.answer != unanswered {
			r.dequeue(q)
		}
	}
}
