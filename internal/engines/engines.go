// Package engines keeps the connections to engines, by engine id: it writes sends, gathers their results and tells
// the loop how each one ended. It decides nothing. A command's id goes over one connection at most once, so that an
// answer that crosses its undo can't pass for that of a later send.
package engines

import (
	"cmp"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// Endpoint is where an engine listens, and whether it may get new sends.
type Endpoint struct {
	Engine  router.EngineID
	Address string
	State   router.EngineState
}

// Pool is the connections to all engines. Its methods are for one goroutine, the loop's; none of them blocks.
type Pool struct {
	limits  *limits.Limits
	streams int // sends that one connection carries
	post    func(Event)
	log     *slog.Logger
	engines map[router.EngineID]*engine
	ready   int          // engines that may get sends
	expired bool         // where engines are may have changed
	open    atomic.Int64 // connections, dialled or being dialled
	dialled atomic.Int64
	lost    atomic.Int64 // connections that ended otherwise than for being idle
	yielded atomic.Int64 // connections that made room for others
	tags    uint64       // of pings

	logMu  sync.Mutex
	logged map[router.EngineID]time.Time
}

type engine struct {
	Endpoint
	conns []*conn
}

// New makes a pool that tells post what happens; post may block its caller, which is never the loop.
func New(l *limits.Limits, streams int, post func(Event), log *slog.Logger) *Pool {
	if streams <= 0 {
		streams = 100
	}
	return &Pool{limits: l, streams: streams, post: post, log: log, engines: map[router.EngineID]*engine{},
		logged: map[router.EngineID]time.Time{}}
}

// UpdateEndpoints takes in where engines are. Sends that wait for a connection to one that drains or is gone are withdrawn:
// they would go out after the list had told.
func (p *Pool) UpdateEndpoints(addresses []Endpoint, whole bool) {
	named, at := map[router.EngineID]bool{}, map[string]bool{}
	for _, a := range addresses {
		named[a.Engine] = true
		e := p.engines[a.Engine]
		if e == nil {
			e = &engine{Endpoint: a}
			p.engines[a.Engine] = e
		}
		if a.State != router.Ready { // where it was is not told any more, and what is out there may still end
			e.State = a.State
			e.withdraw()
			continue
		}
		if e.Address != a.Address {
			for _, c := range e.conns {
				c.stop()
			}
		}
		e.Endpoint, at[a.Address] = a, true
	}
	p.ready = 0
	for id, e := range p.engines {
		if whole && !named[id] {
			e.State = router.Gone
			e.withdraw()
		}
		if !named[id] && e.Address != "" && at[e.Address] { // another has its address now: it must not get what is meant for this one
			e.Address = ""
			e.withdraw()
		}
		if e.live(); e.State == router.Gone && len(e.conns) == 0 {
			delete(p.engines, id)
		} else if e.State == router.Ready {
			p.ready++
		}
	}
	for _, e := range p.engines {
		p.trim(e)
	}
}

// SetExpired tells that where engines are may have changed unheard, or that it is known again. Until then connections
// are opened only beside one that is up, which shows that the same process is still there: another engine may have
// come to the address of one that has gone, or the same one back cold.
//
// A send that waits for a connection as the list expires is withdrawn: it was decided by a list that held.
func (p *Pool) SetExpired(expired bool) {
	if expired && !p.expired {
		for _, e := range p.engines {
			e.withdraw()
		}
	}
	p.expired = expired
}

// mayDial tells whether a new connection may be opened; first is for the first of an engine.
func (p *Pool) mayDial(e *engine, first bool) bool {
	if p.expired && !slices.ContainsFunc(e.conns, (*conn).works) {
		return false
	}
	return int(p.open.Load()) < p.limits.EngineConns || first && p.makeRoom()
}

// makeRoom ends the connection that has been idle for the longest time, so that an engine that has none can be reached
// though there are more engines than connections: those that are kept are the ones used last. One that carries a
// send, waits for an answer to a ping or was of use just now stays. While the list has expired none is closed: an open
// one is what shows that the same process is still there.
func (p *Pool) makeRoom() bool {
	var least *conn
	var since time.Time
	before := time.Now().Add(-p.limits.SpareTime)
	for _, e := range p.engines {
		for _, c := range e.conns {
			if at, idle := c.idleSince(); idle && at.Before(before) && (least == nil || at.Before(since)) {
				least, since = c, at
			}
		}
	}
	if least == nil || !least.yield() {
		return false
	}
	p.yielded.Add(1)
	return true
}

// share is how many connections an engine may have for its sends to have one each. Some are kept back, for engines
// that come new and commands whose id has been on all connections.
func (p *Pool) share() int { return max(1, p.limits.EngineConns*3/4/max(1, p.ready)) }

// trim closes idle connections past an engine's share, which falls as engines come, and all of one that gets nothing.
func (p *Pool) trim(e *engine) {
	over := len(e.conns)
	if e.State == router.Ready {
		over -= p.share()
	}
	for _, c := range e.conns {
		if over > 0 && c.load() == 0 {
			c.stop()
			over--
		}
	}
}

// live drops connections that have ended.
func (e *engine) live() []*conn {
	kept := e.conns[:0]
	for _, c := range e.conns {
		if !c.ended() {
			kept = append(kept, c)
		}
	}
	clear(e.conns[len(kept):])
	e.conns = kept
	return kept
}

func (e *engine) withdraw() {
	for _, c := range e.live() {
		c.withdraw(e.State == router.Gone)
	}
}

// StartAttempt writes a command to an engine, over a connection that it has not been on; its end is told by an Ended. What has
// not gone out within begin, where that is above 0, does not go out any more.
func (p *Pool) StartAttempt(cmd *request.Query, number router.AttemptID, to router.EngineID, within, begin time.Duration) {
	now := time.Now()
	s := &send{cmd: cmd, number: number, at: now, until: now.Add(within)}
	if begin > 0 {
		s.begin = now.Add(begin)
	}
	e := p.engines[to]
	if e != nil && e.State == router.Ready && within > 0 && e.Address != "" && p.put(s, e) {
		return
	}
	// The loop must not wait for room in its own inbox.
	go p.post(AttemptEnded{Query: cmd, Attempt: number, Outcome: router.NotSent})
}

// put has a connection take a send on: an idle one, else a new one and, where there may be none, the one that
// carries least. A connection that breaks or brings one bad answer takes all its sends with it, so they share one only
// where descriptors are short.
func (p *Pool) put(s *send, e *engine) bool {
	conns := e.live()
	first, take := len(conns) == 0, func(c *conn) bool { return c.put(s, p.streams) }
	for _, c := range conns {
		if c.load() == 0 && take(c) {
			return true
		}
	}
	if (first || len(conns) < p.share()) && p.mayDial(e, first) && take(p.connect(e)) {
		return true
	}
	least := slices.Clone(conns)
	slices.SortStableFunc(least, func(a, b *conn) int { return cmp.Compare(a.load(), b.load()) })
	return slices.ContainsFunc(least, take) || p.mayDial(e, false) && take(p.connect(e))
}

func (p *Pool) connect(e *engine) *conn {
	c := newConn(p, e.Engine, e.Address)
	e.conns = append(e.conns, c)
	p.open.Add(1)
	p.dialled.Add(1)
	go func() {
		defer c.uncount()
		c.run()
	}()
	return c
}

// CancelAttempt gives a send up. Its Ended still comes: when the engine is known to have heard, or has had time to.
func (p *Pool) CancelAttempt(cmd *request.Query, number router.AttemptID, to router.EngineID) {
	if e := p.engines[to]; e != nil {
		for _, c := range e.conns {
			c.giveUp(cmd, number)
		}
	}
}

// CheckHealth pings an engine, which tells only that a connection works.
func (p *Pool) CheckHealth(id router.EngineID) {
	p.tags++
	tag := "p" + strconv.FormatUint(p.tags, 10) // no tag of an undo begins so
	if e := p.engines[id]; e != nil && e.Address != "" {
		ask := func(c *conn) bool { return c.ping(tag) }
		if slices.ContainsFunc(e.live(), ask) || p.mayDial(e, false) && ask(p.connect(e)) {
			return
		}
	}
	go p.post(HealthCheckEnded{Engine: id, Outcome: router.NotSent})
}

// note logs that a connection ended, if nothing was logged of its engine just now.
func (p *Pool) note(id router.EngineID, err error, open int) {
	p.lost.Add(1)
	p.logMu.Lock()
	now := time.Now()
	due := now.Sub(p.logged[id]) >= p.limits.LogEvery
	if due {
		maps.DeleteFunc(p.logged, func(_ router.EngineID, at time.Time) bool { return now.Sub(at) >= p.limits.LogEvery })
		p.logged[id] = now
	}
	p.logMu.Unlock()
	if due {
		p.log.Info("engine connection ended", "engine", id, "why", err, "open", open)
	}
}

// LogValue prints what the pool has seen.
func (p *Pool) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("connections", p.dialled.Load()), slog.Int64("lost", p.lost.Load()),
		slog.Int64("open", p.open.Load()), slog.Int64("yielded", p.yielded.Load()))
}

// Close ends all connections.
func (p *Pool) Close() {
	for _, e := range p.engines {
		for _, c := range e.conns {
			c.stop()
		}
	}
}

// past is a deadline that has gone by: it wakes a goroutine that reads.
var past = time.Unix(1, 0)

func wake(c net.Conn) {
	if c != nil {
		c.SetReadDeadline(past)
	}
}
