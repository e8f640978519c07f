package engines

import (
	"net"
	"time"

	"mintkeel/router"
)

// maxReadWait is the longest that a read waits on a connection that carries something.
const maxReadWait = time.Minute

// dueWork is what a connection's goroutine has to do before it reads on.
type dueWork struct {
	events []Event    // to be reported first
	write  []outgoing // to be written then
	err    error      // not nil: the connection must end, and the other fields are empty
}

// deadlineTracker finds the earliest of the times at which something is due.
type deadlineTracker struct {
	now  time.Time
	next time.Time // the earliest of those that have not passed
}

// add has the alarm go off at a time at the latest.
func (a *deadlineTracker) add(at time.Time) {
	if at.Before(a.next) {
		a.next = at
	}
}

// passed reports whether a time has come. If not, the alarm is set for it.
func (a *deadlineTracker) passed(at time.Time) bool {
	if !a.now.Before(at) {
		return true
	}
	a.add(at)
	return false
}

// takeDue ends what is past its time and takes out what is to be written. If there is nothing to
// write, it sets the read deadline to when something else is due. partialSince is the time since
// which the reader holds a part of an answer; zero: it holds none.
func (c *conn) takeDue(now time.Time, netConn net.Conn, partialSince time.Time) dueWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadlines := deadlineTracker{now: now, next: now.Add(maxReadWait)}
	if c.idle() {
		deadlines.next = c.lastUsed.Add(c.pool.limits.EngineIdleTimeout)
		if now.After(deadlines.next) {
			// Under the mutex, so that an attempt is either added before or goes over another connection.
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

// checkAlive returns an error if the connection counts as dead. An engine that is cut off sends
// nothing, not even a close, and without this its attempts would end only at their deadlines. An
// engine that has been silent for PingAfter while it owes something is pinged. mu is held.
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

// endOverdue gives up attempts past their deadline, and ends health checks and given-up attempts
// that have waited for the engine for too long. mu is held.
func (c *conn) endOverdue(deadlines *deadlineTracker) []Event {
	var events []Event
	for _, a := range c.attempts {
		if !a.givenUp && !deadlines.now.Before(a.deadline) {
			c.giveUp(a, router.TimedOut)
		}
		if !a.givenUp {
			deadlines.add(a.deadline)
		} else if deadlines.passed(a.giveUpBy) {
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

// takeQueue takes out what is to be written, and withdraws attempts that are too late. The others
// count as written from here on: their last byte may be taken at any moment. mu is held.
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
