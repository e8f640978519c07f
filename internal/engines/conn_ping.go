package engines

import (
	"net"
	"strings"
	"time"

	"mintkeel/internal/enginewire"
	"mintkeel/router"
)

// Tags of pings, which identify the purpose. The answer to a ping repeats its tag. The first
// letters differ, so no tag can be taken for one of another purpose.
const (
	// healthCheckTag is the prefix of a health check's tag; a number follows.
	healthCheckTag = "p"
	// giveUpTag is the prefix of the tag of the ping after a cancel; the query's id follows.
	giveUpTag = "u"
	// keepaliveTag is the tag of a ping that checks whether a silent connection still works.
	keepaliveTag = "k"
)

// checkHealth starts a health check, unless the connection has ended, and reports whether it did. A
// check that is not answered ends as TimedOut after PingTimeout.
func (c *conn) checkHealth(tag string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable() {
		return false
	}
	c.healthChecks[tag] = time.Now().Add(c.pool.limits.PingTimeout)
	c.ping(nil, tag)
	return true
}

// ping queues the lines in b and a ping after them. If the engine sends nothing for PingTimeout
// after they were written, the connection ends. mu is held.
func (c *conn) ping(b []byte, tag string) {
	o := outgoing{pingTag: tag, firstPing: c.pingedAt.IsZero()}
	o.parts = net.Buffers{enginewire.AppendPing(b, tag)}
	if o.firstPing {
		c.pingedAt = time.Now()
	}
	c.enqueue(o)
}

// startReplyTimeout begins the time for the reply to a ping that was just written.
func (c *conn) startReplyTimeout(tag string, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	replyBy := now.Add(c.pool.limits.PingTimeout)
	if first && !c.pingedAt.IsZero() {
		c.pingedAt = now
	}
	if _, found := c.healthChecks[tag]; found {
		c.healthChecks[tag] = replyBy
	}
	if a := c.givenUpAttempt(tag); a != nil {
		a.giveUpBy = replyBy
	}
}

// givenUpAttempt returns the attempt whose give-up a ping with this tag follows, if it has no
// outcome yet. mu is held.
func (c *conn) givenUpAttempt(tag string) *attempt {
	id, isGiveUp := strings.CutPrefix(tag, giveUpTag)
	if !isGiveUp {
		return nil
	}
	if a := c.attempts[id]; a != nil && a.givenUp && a.written {
		return a
	}
	return nil
}

// handlePong handles the answer to a ping, which shows that the engine has read everything written
// before the ping. mu is held.
func (c *conn) handlePong(tag string, load *router.LoadReport) []Event {
	if _, found := c.healthChecks[tag]; found {
		delete(c.healthChecks, tag)
		c.lastUsed = time.Now()
		return []Event{HealthCheckEnded{Engine: c.engine, Outcome: router.Succeeded, Load: load}}
	}
	if a := c.givenUpAttempt(tag); a != nil {
		return []Event{c.finish(a, a.giveUpOutcome)}
	}
	return nil
}
