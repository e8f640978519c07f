package engines

import (
	"strings"
	"time"

	"mintkeel/internal/enginewire"
	"mintkeel/router"
)

// Tags of pings, by their purpose. The answer repeats the tag. No two begin alike.
const (
	// healthCheckTag begins the tag of a health check; a number is the rest.
	healthCheckTag = "p"
	// giveUpTag begins the tag of the ping that follows an undo; the query's id is the rest.
	giveUpTag = "u"
	// keepaliveTag is the tag of a ping that only checks whether a silent connection still works.
	keepaliveTag = "k"
)

// checkHealth begins a health check and reports whether it did: not if the connection has ended. It
// ends as TimedOut after PingTimeout.
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

// ping writes a ping behind b. If the engine sends nothing for PingTimeout after it, the connection
// ends. mu is held.
func (c *conn) ping(b []byte, tag string) {
	if c.pingedAt.IsZero() {
		c.pingedAt = time.Now()
	}
	c.enqueueLine(enginewire.AppendPing(b, tag))
}

// handlePong handles the answer to a ping: the engine has read all that was written before it. mu
// is held.
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
