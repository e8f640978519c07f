package engines

import (
	"cmp"
	"slices"
	"time"

	"mintkeel/router"
)

// place adds an attempt to a connection of its engine: to one without attempts, else to a new one,
// else to the one with the fewest attempts. It reports whether the attempt was added. A connection
// that breaks or receives a malformed answer ends all its attempts, so attempts share one only if
// no other may be opened.
func (p *Pool) place(a *attempt, e *engine) bool {
	conns := e.liveConns()
	first := len(conns) == 0
	add := func(c *conn) bool { return c.add(a, p.maxPerConn) }
	for _, c := range conns {
		if c.openAttempts() == 0 && add(c) {
			return true
		}
	}
	if (first || len(conns) < p.connectionShare()) && p.mayDial(e, first) && add(p.dial(e)) {
		return true
	}
	byLoad := slices.Clone(conns)
	slices.SortStableFunc(byLoad, func(a, b *conn) int {
		return cmp.Compare(a.openAttempts(), b.openAttempts())
	})
	if slices.ContainsFunc(byLoad, add) {
		return true
	}
	// All connections are full or have carried the query before.
	return p.mayDial(e, false) && add(p.dial(e))
}

// mayDial reports whether a connection to an engine may be dialled; first means that the engine has
// no connection. At the limit of EngineConnections an idle connection is evicted for the first one
// of an engine.
func (p *Pool) mayDial(e *engine, first bool) bool {
	if p.listExpired && !slices.ContainsFunc(e.conns, (*conn).connected) {
		return false
	}
	return int(p.openConns.Load()) < p.limits.EngineConnections || first && p.evictIdle()
}

// dial adds a connection to an engine and starts the goroutine that establishes and serves it.
func (p *Pool) dial(e *engine) *conn {
	c := newConn(p, e.Engine, e.Address)
	e.conns = append(e.conns, c)
	p.openConns.Add(1)
	p.dialledConns.Add(1)
	go func() {
		defer c.uncount()
		c.run()
	}()
	return c
}

// evictIdle closes the connection that has been idle for the longest time, so that an engine
// without a connection can be reached although there are more engines than connections. Connections
// that carry an attempt, wait for the answer to a health check or were used within
// MinIdleBeforeEviction are kept. While the endpoint list has expired mayDial evicts none, because
// an open connection is the evidence that the same process still runs.
func (p *Pool) evictIdle() bool {
	var longest *conn
	var longestSince time.Time
	usedBefore := time.Now().Add(-p.limits.MinIdleBeforeEviction)
	for _, e := range p.engines {
		for _, c := range e.conns {
			since, idle := c.idleSince()
			if idle && since.Before(usedBefore) && (longest == nil || since.Before(longestSince)) {
				longest = c
				longestSince = since
			}
		}
	}
	if longest == nil || !longest.closeIfUnused() {
		return false
	}
	p.evictedConns.Add(1)
	return true
}

// connectionShare returns the number of connections that an engine may have before its attempts
// share them. A quarter of EngineConnections is reserved for new engines and for queries that all
// connections of their engine have carried before.
func (p *Pool) connectionShare() int {
	return max(1, p.limits.EngineConnections*3/4/max(1, p.readyEngines))
}

// closeSurplusConns closes connections without attempts above an engine's share, which shrinks as
// engines join, and all such connections of an engine that is not ready.
func (p *Pool) closeSurplusConns(e *engine) {
	surplus := len(e.conns)
	if e.State == router.Ready {
		surplus -= p.connectionShare()
	}
	for _, c := range e.conns {
		if surplus > 0 && c.openAttempts() == 0 {
			c.close()
			surplus--
		}
	}
}
