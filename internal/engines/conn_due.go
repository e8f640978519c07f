package engines

import (
	"time"

	"mintkeel/router"
)

// maxReadWait bounds the wait of a read on a connection that is not idle.
const maxReadWait = time.Minute

// dueWork is what a connection's goroutine has to do before its next read.
type dueWork struct {
	events []Event    // to be reported before the write
	write  []outgoing // to be written
	err    error      // if not nil, the connection must end, and the other fields are empty
}

// deadlineTracker finds the earliest of a connection's deadlines that have not passed. A deadline
// has passed once the engine was silent until it: what the engine has sent by then is handled
// first, also after a time in which the process had no turn.
type deadlineTracker struct {
	silentAt time.Time // until when the engine is known to have been silent
	next     time.Time // the earliest deadline so far
}

// add tracks a deadline.
func (a *deadlineTracker) add(at time.Time) {
	if at.Before(a.next) {
		a.next = at
	}
}

// passed reports whether a deadline has passed. If it has not, the deadline is tracked.
func (a *deadlineTracker) passed(at time.Time) bool {
	if !a.silentAt.Before(at) {
		return true
	}
	a.add(at)
	return false
}

// takeDue ends attempts and health checks that are overdue and takes the write queue. If that is
// empty, it sets the read deadline to the next time at which something is due. partialSince is the
// time since which the reader's buffer holds an incomplete answer; zero: it holds none.
func (c *conn) takeDue(
	now time.Time, netConn *lookaheadConn, partialSince time.Time,
) dueWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadlines := deadlineTracker{silentAt: netConn.SilentAt(), next: now.Add(maxReadWait)}
	if c.idle() {
		deadlines.next = c.lastUsed.Add(c.pool.limits.EngineIdleTimeout)
		if now.After(deadlines.next) {
			// Under the mutex, so that an attempt is either added before this or goes over another
			// connection.
			c.markEnded()
			return dueWork{err: errIdle}
		}
	}
	if err := c.checkAlive(&deadlines, partialSince); err != nil {
		return dueWork{err: err}
	}
	events := c.endOverdue(&deadlines)
	write, withdrawn := c.takeQueue(now)
	if len(write) == 0 {
		netConn.SetReadDeadline(deadlines.next)
	}
	return dueWork{events: append(events, withdrawn...), write: write}
}

// checkAlive returns an error if the connection is considered dead, as the rest of an answer or any
// reply to a ping is overdue. Without it, the attempts of an unreachable engine, which sends
// nothing, not even a close, would end only at their deadlines. It pings an engine that has open
// attempts and was silent for PingAfter. mu is held.
func (c *conn) checkAlive(deadlines *deadlineTracker, partialSince time.Time) error {
	l := c.pool.limits
	if !partialSince.IsZero() && deadlines.passed(partialSince.Add(l.AnswerTimeout)) {
		return errPartialAnswer
	}
	if len(c.attempts) > 0 && c.pingedAt.IsZero() && deadlines.passed(c.silentSince.Add(l.PingAfter)) {
		c.ping(nil, keepaliveTag)
	}
	if !c.pingedAt.IsZero() && deadlines.passed(c.pingedAt.Add(l.PingTimeout)) {
		return errPingUnanswered
	}
	return nil
}

// endOverdue gives up attempts past their deadline, and ends the health checks and given-up
// attempts that the engine has not answered in time. mu is held.
func (c *conn) endOverdue(deadlines *deadlineTracker) []Event {
	var events []Event
	for _, a := range c.attempts {
		if !a.givenUp && deadlines.passed(a.deadline) {
			c.giveUp(a, router.TimedOut)
		}
		if a.givenUp && deadlines.passed(a.giveUpBy) {
			events = append(events, c.finish(a, a.giveUpOutcome))
		}
	}
	for tag, deadline := range c.healthChecks {
		if deadlines.passed(deadline) {
			delete(c.healthChecks, tag)
			events = append(events, HealthCheckEnded{Engine: c.engine, Outcome: router.TimedOut})
		}
	}
	return events
}

// takeQueue empties the write queue and returns its entries, except the attempts that are too late,
// which it withdraws. The other attempts count as written from now on, as the connection may accept
// their last byte at any moment. mu is held.
func (c *conn) takeQueue(now time.Time) (write []outgoing, withdrawn []Event) {
	queue := c.queue
	c.queue = nil
	c.queuedBytes = 0
	for _, o := range queue {
		if o.attempt != nil {
			if o.attempt.tooLate(now) {
				withdrawn = append(withdrawn, c.finish(o.attempt, router.Withdrawn))
				continue
			}
			o.attempt.written = true
		}
		write = append(write, o)
	}
	return write, withdrawn
}
