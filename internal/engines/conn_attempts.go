package engines

import (
	"maps"
	"net"
	"slices"
	"time"

	"mintkeel/internal/enginewire"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// minAttemptMS is the shortest timeout of an attempt in ms: engines accept no shorter one.
const minAttemptMS = 1

// lineEnd terminates a statement.
var lineEnd = []byte("\r\n")

// add queues an attempt on the connection and reports whether it did. It does not if the connection
// has ended, has maxAttempts open attempts, has carried the query before or has too much to write.
func (c *conn) add(a *attempt, maxAttempts int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	query := a.query
	if !c.usable() || !c.usedIDs[query.ID].IsZero() || len(c.attempts) >= maxAttempts ||
		c.queuedBytes+len(query.Statement) > c.pool.limits.EngineQueueBytes {
		return false
	}
	c.sweepUsedIDs()
	if len(c.attempts) == 0 {
		c.silentSince = time.Now()
	}
	c.usedIDs[query.ID] = query.ReadAt.Add(query.TimeLeft + c.pool.limits.QueryIDReuseDelay)
	c.attempts[query.ID] = a
	c.attemptCount.Store(int32(len(c.attempts)))
	timeout := max(minAttemptMS, time.Until(a.deadline).Milliseconds())
	head := enginewire.AppendStart(nil, query.ID, query.ClassName, timeout, query.IdempotencyKey,
		len(query.Statement))
	c.enqueue(outgoing{parts: net.Buffers{head, query.Statement, lineEnd}, attempt: a})
	return true
}

// sweepUsedIDs removes expired ids once there are sweepAt ids. mu is held.
func (c *conn) sweepUsedIDs() {
	if len(c.usedIDs) < c.sweepAt {
		return
	}
	now := time.Now()
	maps.DeleteFunc(c.usedIDs, func(_ string, until time.Time) bool { return now.After(until) })
	c.sweepAt = 2*len(c.usedIDs) + minSweep
}

// cancelAttempt gives an attempt up if it is on this connection.
func (c *conn) cancelAttempt(query *request.Query, id router.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.attempts[query.ID]; a != nil && a.query == query && a.id == id {
		c.giveUp(a, router.Cancelled)
	}
}

// giveUp cancels an attempt at its engine and sends a ping after the cancel. Until the engine has
// answered the ping the query must not be sent again, or two of its attempts could run at once. An
// attempt that was not written needs neither and ends as Withdrawn. mu is held.
func (c *conn) giveUp(a *attempt, outcome router.Outcome) {
	if a.givenUp {
		return
	}
	a.givenUp = true
	if !a.written {
		a.giveUpOutcome = router.Withdrawn
		a.giveUpBy = time.Time{} // ends at once
		wake(c.netConn)
		return
	}
	a.giveUpOutcome = outcome
	a.giveUpBy = time.Now().Add(c.pool.limits.PingTimeout)
	b := enginewire.AppendGiveUp(nil, a.query.ID)
	if a.pages != nil {
		b = enginewire.AppendDropPages(b, a.query.ID)
	}
	c.ping(b, giveUpTag+a.query.ID)
}

// withdrawUnsent ends the attempts that were not written; their outcome is Withdrawn. It closes the
// connection if its engine is gone and no attempts are left.
func (c *conn) withdrawUnsent(engineGone bool) {
	c.mu.Lock()
	var events []Event
	for _, a := range c.attempts {
		if !a.written {
			events = append(events, c.finish(a, router.Withdrawn))
		}
	}
	if engineGone && len(c.attempts) == 0 {
		c.cancel()
		wake(c.netConn)
	}
	c.mu.Unlock()
	if len(events) > 0 {
		go c.report(events) // the caller is the loop, which must not block
	}
}

// finish removes an attempt from the connection and returns its AttemptEnded. mu is held.
func (c *conn) finish(a *attempt, outcome router.Outcome) Event {
	delete(c.attempts, a.query.ID)
	c.attemptCount.Store(int32(len(c.attempts)))
	now := time.Now()
	c.lastUsed = now
	if !a.written {
		at := slices.IndexFunc(c.queue, func(o outgoing) bool { return o.attempt == a })
		if at >= 0 {
			c.queue = slices.Delete(c.queue, at, at+1)
		}
	}
	ended := AttemptEnded{
		Query:   a.query,
		Attempt: a.id,
		Outcome: outcome,
		Elapsed: now.Sub(a.startedAt),
		Load:    a.load,
	}
	if outcome == router.Succeeded {
		ended.Pages = a.pages
	}
	return ended
}
