package engines

import (
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

// ping queues the lines in b and a ping after them. If the engine sends nothing for PingTimeout,
// the connection ends. mu is held.
func (c *conn) ping(b []byte, tag string) {
	if c.pingedAt.IsZero() {
		c.pingedAt = time.Now()
	}
	c.enqueueLine(enginewire.AppendPing(b, tag))
}

// handlePong handles the answer to a ping, which shows that the engine has read everything written
// before the ping. mu is held.
func (c *conn) handlePong(tag string, load *router.LoadReport) []Event {
	if _, found := c.healthChecks[tag]; found {
		delete(c.healthChecks, tag)
		c.lastUsed = time.Now()
		return []Event{HealthCheckEnded{Engine: c.engine, Outcome: router.Succeeded, Load: load}}
	}
	id, isGiveUp := strings.CutPrefix(tag, giveUpTag)
	if !isGiveUp {
		return nil
	}
	if a := c.attempts[id]; a != nil && a.givenUp && a.written {
		return []Event{c.finish(a, a.giveUpOutcome)}
	}
	return nil
}
