package router

import (
	"slices"

	"github.com/tidwall/btree"
)

// deadlineTree holds queries in order of their client timeouts.
type deadlineTree = btree.BTreeG[*query]

// treeDegree is the degree of the B-trees of queued queries.
const treeDegree = 32

func newDeadlineTree() *deadlineTree {
	return btree.NewBTreeGOptions(func(a, b *query) bool { return byDeadline(a, b) < 0 },
		btree.Options{NoLocks: true, Degree: treeDegree})
}

// queryQueue holds the queries that wait for an engine. A query that is not at the head of all its
// ordering queues is blocked, and is in neither tree. Retries have their own tree, because none of
// them may start while the retry budget is exhausted, and skipping many of them would take time.
type queryQueue struct {
	length        int // queued queries, including the blocked ones
	firstAttempts *deadlineTree
	retries       *deadlineTree
	scanBuffer    []*query // reused by eachInBatches and overdueQueries
	overdueBuffer []*query // reused by overdueQueries
}

// treeOf returns the tree that holds a queued query unless it is blocked.
func (queue *queryQueue) treeOf(q *query) *deadlineTree {
	if len(q.attempts) == 0 {
		return queue.firstAttempts
	}
	return queue.retries
}

// enqueue adds q to the queue and to the shedWatch of its class. It does nothing if q is already
// queued.
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

// insertUnlessBlocked inserts a queued query into its tree if it is at the head of all its ordering
// queues. If it is not, leaveOrderingQueue calls insertUnlessBlocked again when the query reaches
// the head of one of them.
func (r *Router) insertUnlessBlocked(q *query) {
	q.blocked = slices.ContainsFunc(q.queues, func(queue *orderingQueue) bool {
		return queue.queries[0] != q
	})
	if !q.blocked {
		r.queue.treeOf(q).Set(q)
	}
}

// dequeue removes q from the queue if it is queued. It must be called before an attempt is added to
// q, because treeOf depends on the number of attempts.
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

// dequeueAnswered removes from the queue the queries that were answered in this step.
func (r *Router) dequeueAnswered() {
	for _, q := range r.changed {
		if q.done || q.answer != unanswered {
			r.dequeue(q)
		}
	}
}

// eachUnblocked calls visit for the queued queries that are not blocked, in order of client
// timeout, until visit returns false. visit may remove the query it is called for from the queue.
// Retries are skipped if the retry budget is exhausted at the start, as the attempts that visit
// starts can't raise it.
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

// nextAfter returns the query that follows q in a tree, even if q is no longer in it; nil: none
// follows. For a nil q it returns the first query.
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

// Sizes, in queries, of the batches that eachInBatches reads. The first batches are small, so that
// a step that stops early has read few queries.
const (
	minBatchSize = 4
	maxBatchSize = 64
)

// eachInBatches calls visit for the queries of one tree, in order, until visit returns false. It
// reads ahead in batches, because visit may change the tree.
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

// nextBatch reads up to size queries that follow last (nil: from the first) into the scan buffer.
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
