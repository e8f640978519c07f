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

// eachUnblocked hands the queued queries that no other is ahead of to visit, by client timeout, until visit
// returns false. visit may take the query that it is handed out of the queue. Retries are left out if the
// retry budget is used up: an attempt that starts meanwhile makes it no larger.
func (r *Router) eachUnblocked(visit func(q *query) bool) {
	firstAttempts, retries := r.queue.firstAttempts, r.queue.retries
	if retries.Len() == 0 || !r.retryBudgetAllows() {
		r.eachInBatches(firstAttempts, visit)
		return
	}
	first, retry := after(firstAttempts, nil), after(retries, nil)
	for first != nil || retry != nil {
		if retry == nil || first != nil && byDeadline(retry, first) >= 0 {
			if !visit(first) {
				return
			}
			first = after(firstAttempts, first)
			continue
		}
		if !visit(retry) {
			return
		}
		retry = after(retries, retry)
	}
}

// after is the query that follows q in a tree, whether or not q is still in it; the first one for nil, and
// nil if none follows.
func after(tree *deadlineTree, q *query) *query {
	var next *query
	if q == nil {
		next, _ = tree.Min()
		return next
	}
	tree.Ascend(q, func(x *query) bool {
		if x != q {
			next = x
		}
		return next == nil
	})
	return next
}

// Sizes of the batches that eachInBatches reads: a step that finds no capacity stops early, and must not
// have read much.
const (
	minBatch = 4
	maxBatch = 64
)

// eachInBatches hands the queries of one tree to visit, in order, until it returns false. It reads ahead in
// batches, as visit may change the tree.
func (r *Router) eachInBatches(tree *deadlineTree, visit func(q *query) bool) {
	var last *query
	for size := minBatch; ; size = min(maxBatch, 2*size) {
		batch := r.nextBatch(tree, last, size)
		for _, q := range batch {
			if !visit(q) {
				clear(batch)
				return
			}
		}
		if len(batch) < size {
			clear(batch)
			return
		}
		last = batch[len(batch)-1]
	}
}

// nextBatch reads as many queries as size after last (nil: from the first) into the scan buffer.
func (r *Router) nextBatch(tree *deadlineTree, last *query, size int) []*query {
	batch := r.queue.scanBuffer[:0]
	take := func(q *query) bool {
		if q != last {
			batch = append(batch, q)
		}
		return len(batch) < size
	}
	if last == nil {
		tree.Scan(take)
	} else {
		tree.Ascend(last, take)
	}
	r.queue.scanBuffer = batch[:0]
	return batch
}
