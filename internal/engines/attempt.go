package engines

import (
	"net"
	"time"

	"mintkeel/internal/request"
	"mintkeel/router"
)

// attempt is one attempt on its connection, until it has its outcome. The connection's mutex guards
// all fields that change.
//
// It is waiting until written is set, then running at its engine. givenUp may follow either: an
// attempt that was not written is then Withdrawn, one that was is kept until the engine has
// confirmed the cancel, or until giveUpBy.
type attempt struct {
	query     *request.Query
	id        router.AttemptID
	startedAt time.Time // when the loop started it
	deadline  time.Time // when it is given up
	startBy   time.Time // after which it must not be written; zero: no such time

	written       bool           // its last byte may have been taken by the connection
	progressed    bool           // the engine has reported progress
	givenUp       bool           // it was cancelled or timed out
	giveUpOutcome router.Outcome // of one given up, unless the engine ends it first
	giveUpBy      time.Time      // when it gets giveUpOutcome without the engine's confirmation

	pages        [][]byte           // of the result, nil for missing ones; nil until one has come
	missingPages int                // of pages
	resultBytes  int                // of the pages that have come
	load         *router.LoadReport // the last one that came with an answer; nil: none came
}

// tooLate reports whether it must not be written any more. While a connection was dialled for it,
// its query may have been answered or lost its client, and the time to start it may have passed.
func (a *attempt) tooLate(now time.Time) bool {
	return !a.startBy.IsZero() && now.After(a.startBy) ||
		a.query.Answer().Verdict != request.Unanswered
}

// outgoing is what has to be written in one piece: an attempt, or lines that start none.
type outgoing struct {
	parts   net.Buffers
	attempt *attempt // that it starts; nil: none
}

// size is the number of bytes to be written.
func (o outgoing) size() (n int) {
	for _, part := range o.parts {
		n += len(part)
	}
	return n
}
