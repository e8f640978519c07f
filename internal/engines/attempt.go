package engines

import (
	"net"
	"time"

	"mintkeel/internal/request"
	"mintkeel/router"
)

// attempt is an attempt that is assigned to a connection and has no outcome yet. The connection's
// mutex guards all fields that change.
//
// An attempt is queued until written is set, then it runs at its engine. It may be given up in
// either state: a queued attempt ends as Withdrawn, a written one is kept until the engine has
// confirmed the cancel, or until giveUpBy.
type attempt struct {
	query     *request.Query
	id        router.AttemptID
	startedAt time.Time // when the loop called StartAttempt
	deadline  time.Time // when it is given up as TimedOut
	startBy   time.Time // it is not written after this time; zero: no limit

	written       bool           // the connection may have accepted its last byte
	progressed    bool           // the engine has reported progress above 0
	givenUp       bool           // it was cancelled or timed out
	giveUpOutcome router.Outcome // its outcome if it is given up, unless the engine ends it first
	giveUpBy      time.Time      // when it ends without the engine's confirmation

	pages        [][]byte           // of the result, nil for missing ones; nil before the first page
	missingPages int                // number of nil entries in pages
	resultBytes  int                // of the pages received so far
	load         *router.LoadReport // the latest that came with an answer; nil: none
}

// tooLate reports whether the attempt must no longer be written. While its connection was dialled,
// the query may have been answered, its client may have disconnected, or startBy may have passed.
func (a *attempt) tooLate(now time.Time) bool {
	return !a.startBy.IsZero() && now.After(a.startBy) ||
		a.query.Answer().Verdict != request.Unanswered
}

// outgoing is an entry of a connection's write queue: an attempt, or lines that start none.
type outgoing struct {
	parts     net.Buffers
	attempt   *attempt // that is started; nil: none
	pingTag   string   // of the ping among them; empty: none
	firstPing bool     // that ping set pingedAt
}

// size returns the number of bytes to be written.
func (o outgoing) size() (n int) {
	for _, part := range o.parts {
		n += len(part)
	}
	return n
}
