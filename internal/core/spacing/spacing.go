// Package spacing estimates how long a query may have been queued at its client before it was
// sent. Clients send the queries of one ordering key at a minimum interval, so a burst of them
// waits where no controller sees it, while each query still states the full timeout that its
// client started with. A controller that only answers within the stated timeout may answer too
// late.
//
// A client's queue holds all queries of a key, whichever controllers they go to, so each
// controller sees only a part of it. The package does no I/O and reads no clocks. The event loop
// asks it before the decision module; it decides nothing itself.
package spacing

import (
	"maps"
	"time"

	"mintkeel/router"
)

// Minimum intervals that clients keep between two queries of one ordering key, by the platform's
// protocol.
const (
	queryInterval   = 60 * time.Millisecond
	newConnInterval = 250 * time.Millisecond // after the first query on a connection
)

// readDelay bounds the time between sending and reading a query. If two queries are read at most
// this much more than the interval apart, the later one may have waited for the earlier one; after
// a longer gap, the client's queue was empty.
const readDelay = 60 * time.Millisecond

// unseenShare is the share of the client timeout that a query is assumed to have waited in the
// part of a queue that this controller does not see, if its key arrived here within that timeout.
// A larger share covers longer queues, but leaves queries less time.
const unseenShare = 0.3

const (
	minSweep = 64   // number of keys below which finished bursts are not dropped
	maxKeys  = 4096 // maximum number of keys that are tracked at once
)

// burst is a sequence of queries of one key, each of which may have waited for the previous one.
type burst struct {
	firstAt   time.Time // when its first query was read
	endsAt    time.Time // a query read later did not wait for those that this controller has seen
	keptUntil time.Time // a query read later did not wait for any query of the key
}

// ClientQueues tracks the queues at clients by ordering key. The zero value is ready for use by
// one goroutine.
type ClientQueues struct {
	bursts  map[router.OrderingKey]burst
	sweepAt int // number of bursts at which finished ones are dropped

	// incompleteUntil is the time until which recently used keys may be missing from bursts, because
	// they arrived before the start or while maxKeys were tracked.
	incompleteUntil time.Time
}

// Wait records a query of a key with the time at which it was read, and returns the maximum time
// that it may have waited at its client. first reports whether it was the first on its connection.
// clientTimeout is how long clients wait for such a query, counted from when it is queued.
//
// The wait is the time since the first query of the burst, which found an empty queue, as queues
// keep their order. If the key arrived recently, it is at least a share of the timeout, for the
// part of the queue that this controller does not see. Memory is bounded by the keys that arrive
// within one timeout, and by maxKeys.
func (q *ClientQueues) Wait(
	key router.OrderingKey, readAt time.Time, first bool, clientTimeout time.Duration,
) time.Duration {
	if q.bursts == nil {
		q.bursts = map[router.OrderingKey]burst{}
		q.sweepAt = minSweep
		q.incompleteUntil = readAt.Add(clientTimeout)
	}
	q.sweep(readAt)
	b, known := q.bursts[key]
	unseen := time.Duration(0)
	if known && !readAt.After(b.keptUntil) || !known && !readAt.After(q.incompleteUntil) {
		unseen = time.Duration(unseenShare * float64(clientTimeout))
	}
	if !known || readAt.After(b.endsAt) {
		b.firstAt = readAt
	}
	b.extend(readAt, first, clientTimeout)
	if known || len(q.bursts) < maxKeys {
		q.bursts[key] = b
	} else {
		q.incompleteUntil = latest(q.incompleteUntil, readAt.Add(clientTimeout))
	}
	return max(unseen, readAt.Sub(b.firstAt), 0)
}

// extend extends a burst by a query. Queries may arrive in another order than they were read in,
// so a burst never becomes shorter.
func (b *burst) extend(readAt time.Time, first bool, clientTimeout time.Duration) {
	interval := queryInterval
	if first {
		interval = newConnInterval
	}
	b.endsAt = latest(b.endsAt, readAt.Add(interval+readDelay))
	b.keptUntil = latest(b.keptUntil, readAt.Add(max(clientTimeout, interval+readDelay)))
}

// sweep drops finished bursts once there are sweepAt bursts.
func (q *ClientQueues) sweep(now time.Time) {
	if len(q.bursts) < q.sweepAt {
		return
	}
	maps.DeleteFunc(q.bursts, func(_ router.OrderingKey, b burst) bool {
		return now.After(b.keptUntil)
	})
	q.sweepAt = 2*len(q.bursts) + minSweep
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
