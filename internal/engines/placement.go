package engines

import (
	"cmp"
	"slices"
	"time"

	"mintkeel/router"
)

// place gives an attempt to a connection of its engine: an idle one, else a new one, else the one
// that carries the fewest attempts. It reports whether one took it. A connection that breaks or
// gets one malformed answer takes all its attempts with it, so they share one only where no other
// may be opened.
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
	// All of them are full, or have carried the query before.
	return p.mayDial(e, false) && add(p.dial(e))
}

// mayDial reports whether a connection to an engine may be dialled; first says that it has none. At
// the bound, an idle connection is evicted for the first one of an engine.
func (p *Pool) mayDial(e *engine, first bool) bool {
	if p.listExpired && !slices.ContainsFunc(e.conns, (*conn).connected) {
		return false
	}
	return int(p.openConns.Load()) < p.limits.EngineConnections || first && p.evictIdle()
}

// dial begins a connection, which a goroutine of its own runs.
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

// evictIdle ends the connection that has been idle for the longest time, so that an engine without
// one can be reached though there are more engines than connections. Connections that carry an
// attempt, wait for the answer to a ping or were used within MinIdleBeforeEviction stay. While the
// endpoint list has expired none is evicted, by mayDial: an open connection is what shows that the
// same process is still there.
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

// connectionShare is how many connections an engine may have so that each of its attempts has its
// own. A quarter of all is kept back, for new engines and for queries that all connections of their
// engine have carried.
func (p *Pool) connectionShare() int {
	return max(1, p.limits.EngineConnections*3/4/max(1, p.readyEngines))
}

// closeSurplusConns closes idle connections above an engine's share, which shrinks as engines join,
// and all idle connections of an engine that gets no attempts.
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
