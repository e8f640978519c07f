package router

import (
	"slices"

	"github.com/tidwall/btree"
)

// deadlineTree holds queries by client timeout.
type deadlineTree = btree.BTreeG[*query]

// treeDegree is the degree of the trees of queued queries.
const treeDegree = 32

func newDeadlineTree() *deadlineTree {
	return btree.NewBTreeGOptions(func(a, b *query) bool { return byDeadline(a, b) < 0 },
		btree.Options{NoLocks: true, Degree: treeDegree})
}

// queryQueue holds the queries that wait for an engine. Those that are not at the head of all their
// ordering queues are blocked: they are in neither tree until they are. Retries have a tree of
// their own, because none of them may start while the retry budget is used up, and passing over
// many of them would cost time.
type queryQueue struct {
	length        int // queued queries, the blocked ones among them
	firstAttempts *deadlineTree
	retries       *deadlineTree
	scanBuffer    []*query // kept for its memory: eachInBatches, overdueQueries
	overdueBuffer []*query // kept for its memory: overdueQueries
}

// treeOf is the tree that a queued query is in unless it is blocked.
func (queue *queryQueue) treeOf(q *query) *deadlineTree {
	if len(q.attempts) == 0 {
		return queue.firstAttempts
	}
	return queue.retries
}

// enqueue puts q into the queue, and has it looked at when it may have to be shed. It does nothing
// if q is queued already.
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

// insertUnlessBlocked puts a queued query into its tree if it is at the head of all its ordering
// queues. If not, leaveOrderingQueue calls this again when it gets to the head of one.
func (r *Router) insertUnlessBlocked(q *query) {
	q.blocked = slices.ContainsFunc(q.queues, func(queue *orderingQueue) bool {
		return queue.queries[0] != q
	})
	if !q.blocked {
		r.queue.treeOf(q).Set(q)
	}
}

// dequeue takes q out of the queue if it is queued. It comes before an attempt is added to q, as
// treeOf goes by the number of attempts.
func (r *Router) dequeue(q *query) {
	if !q.queued {
		return
	}
	if !q.blocked {
		r.queue.treeOf(q).Delete(q)
	}
	q.queued = false
	q.blocked = false
	r.queue.length--
}

// dequeueAnswered takes out of the queue the queries that got their answer in this step.
func (r *Router) dequeueAnswered() {
	for _, q := range r.changed {
		if q.done || q.answer != unanswered {
			r.dequeue(q)
		}
	}
}

// eachUnblocked calls visit for the queued queries that are not blocked, by client timeout, until
// it returns false. visit may take the query that it is called for out of the queue. Retries are
// left out if the retry budget is used up: an attempt that starts meanwhile makes it no larger.
func (r *Router) eachUnblocked(visit func(q *query) bool) {
	firstAttempts, retries := r.queue.firstAttempts, r.queue.retries
	if retries.Len() == 0 || !r.retryBudgetAllows() {
		r.eachInBatches(firstAttempts, visit)
		return
	}
	first, retry := nextAfter(firstAttempts, nil), nextAfter(retries, nil)
	for first != nil || retry != nil {
		if retry == nil || first != nil && byDeadline(retry, first) >= 0 {
			if !visit(first) {
				return
			}
			first = nextAfter(firstAttempts, first)
			continue
		}
		if !visit(retry) {
			return
		}
		retry = nextAfter(retries, retry)
	}
}

// nextAfter is the query that follows q in a tree, whether or not q is still in it; the first one for
// nil, and nil if none follows.
func nextAfter(tree *deadlineTree, q *query) *query {
	if q == nil {
		first, _ := tree.Min()
		return first
	}
	var next *query
	tree.Ascend(q, func(other *query) bool {
		if other != q {
			next = other
		}
		return next == nil
	})
	return next
}

// Sizes of the batches, in queries, that eachInBatches reads. They start small: a step that stops
// early must not have read many.
const (
	minBatchSize = 4
	maxBatchSize = 64
)

// eachInBatches calls visit for the queries of one tree, in order, until it returns false. It reads
// ahead in batches, as visit may change the tree.
func (r *Router) eachInBatches(tree *deadlineTree, visit func(q *query) bool) {
	var last *query
	for size := minBatchSize; ; size = min(maxBatchSize, 2*size) {
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
