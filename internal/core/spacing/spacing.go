// Package spacing estimates how long a query may have queued at its own client before it was sent.
// Clients send the queries of one ordering key some time apart, so a burst of them waits where no
// controller sees it, while each goes on naming the whole timeout that its client had at first. A
// controller that answers by that timeout alone answers too late.
//
// The queue at a client is of all queries of the key, whichever controllers they go to, so beside
// what this controller sees of it there is a part that it does not see. The package is free of I/O
// and clocks. The loop asks it ahead of the decision module; it decides nothing.
package spacing

import (
	"maps"
	"time"

	"mintkeel/router"
)

// The times that clients keep between two queries of one ordering key, by the platform's protocol.
const (
	queryInterval   = 60 * time.Millisecond
	newConnInterval = 250 * time.Millisecond // after a query that was the first on its connection
)

// readDelay is how much later than it was sent a query may be read. Two queries that are read by so
// much more than the interval apart may still have waited for one another; after a longer gap the
// later one found no queue at its client.
const readDelay = 60 * time.Millisecond

// unseenShare is the share of the client timeout that a query may have waited in a queue that this
// controller does not see, if its key came here within that timeout. A larger share covers longer
// queues and leaves queries less time.
const unseenShare = 0.3

const (
	minSweep = 64   // keys; with fewer, bursts that are over are not looked for
	maxKeys  = 4096 // keys that are followed at once
)

// burst is a run of queries of one key, each of which may have waited for the one before it.
type burst struct {
	firstAt   time.Time // when the first of them was read
	endsAt    time.Time // a query that is read later waited for none of them that this controller saw
	keptUntil time.Time // a query that is read later waited for none of the key at all
}

// ClientQueues are the queues at clients, by ordering key. The zero value is ready for use, by one
// goroutine.
type ClientQueues struct {
	bursts  map[router.OrderingKey]burst
	sweepAt int // number of bursts at which those that are over are dropped

	// incompleteUntil is the time until which there may be keys that came lately and are not in
	// bursts: they came before the start, or past maxKeys.
	incompleteUntil time.Time
}

// Wait records a query of a key that was read at some time, and returns how long it may have waited
// at its client at most. first says that it was the first on its connection. clientTimeout is how
// long clients wait for such a query, from when they would like to send it.
//
// The wait is since the first of its burst, which came when the queue was empty, as queues keep
// their order; or a share of the timeout, in a queue that this controller does not see, where the
// key came lately. Memory is bounded by the keys of one timeout, and by maxKeys.
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

// extend makes a burst last for a query in it. Queries need not come in the order in which they
// were read, so a burst never gets shorter.
func (b *burst) extend(readAt time.Time, first bool, clientTimeout time.Duration) {
	interval := queryInterval
	if first {
		interval = newConnInterval
	}
	b.endsAt = latest(b.endsAt, readAt.Add(interval+readDelay))
	b.keptUntil = latest(b.keptUntil, readAt.Add(max(clientTimeout, interval+readDelay)))
}

// sweep drops bursts that are over, once there are many.
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
