package engines

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// defaultMaxPerConn is the number of attempts that a connection carries at once if the settings
// don't limit it.
const defaultMaxPerConn = 100

// Pool manages the connections to all engines. One goroutine, the loop's, calls its methods; none
// of them blocks.
type Pool struct {
	limits     *limits.Limits
	maxPerConn int         // maximum of open attempts on a connection
	report     func(Event) // may block, so the loop's goroutine never calls it
	log        *slog.Logger

	// Owned by the loop's goroutine:
	engines      map[router.EngineID]*engine
	readyEngines int    // number of engines in the state router.Ready
	listExpired  bool   // the endpoint list has expired; see SetExpired
	lastPing     uint64 // number of the last health check, part of its ping's tag

	// Updated by any goroutine:
	openConns    atomic.Int64 // established or being dialled
	dialledConns atomic.Int64 // total dialled
	lostConns    atomic.Int64 // total ended, except those that were idle or that the pool closed
	evictedConns atomic.Int64 // total closed while idle to make room for others

	logMu      sync.Mutex                    // guards lastLogged
	lastLogged map[router.EngineID]time.Time // when the end of an engine's connection was last logged
}

// New returns a pool without engines. It passes events to report, which may block. maxPerConn
// bounds the attempts that a connection carries at once; 0 or less stands for 100.
func New(l *limits.Limits, maxPerConn int, report func(Event), log *slog.Logger) *Pool {
	if maxPerConn <= 0 {
		maxPerConn = defaultMaxPerConn
	}
	return &Pool{
		limits:     l,
		maxPerConn: maxPerConn,
		report:     report,
		log:        log,
		engines:    map[router.EngineID]*engine{},
		lastLogged: map[router.EngineID]time.Time{},
	}
}

// StartAttempt sends a query to an engine, over a connection that has not carried it before. The
// attempt is given up as TimedOut after within. If startWithin is above 0 and the attempt was not
// written within that time, it is withdrawn. Exactly one AttemptEnded follows.
func (p *Pool) StartAttempt(
	query *request.Query, id router.AttemptID, to router.EngineID,
	within, startWithin time.Duration,
) {
	now := time.Now()
	a := &attempt{query: query, id: id, startedAt: now, deadline: now.Add(within)}
	if startWithin > 0 {
		a.startBy = now.Add(startWithin)
	}
	e := p.engines[to]
	mayStart := e != nil && e.State == router.Ready && e.Address != "" && within > 0
	if mayStart && p.place(a, e) {
		return
	}
	go p.report(AttemptEnded{Query: query, Attempt: id, Outcome: router.NotSent})
}

// HasInput reports whether something that an engine has sent is not handled yet.
func (p *Pool) HasInput() bool {
	for _, e := range p.engines {
		if slices.ContainsFunc(e.conns, (*conn).hasInput) {
			return true
		}
	}
	return false
}

// CancelAttempt gives an attempt up. Its AttemptEnded still follows, once the engine has confirmed
// the cancel or PingTimeout has passed.
func (p *Pool) CancelAttempt(query *request.Query, id router.AttemptID, to router.EngineID) {
	e := p.engines[to]
	if e == nil {
		return
	}
	for _, c := range e.conns {
		c.cancelAttempt(query, id)
	}
}

// CheckHealth pings an engine. Exactly one HealthCheckEnded follows. Success means only that a
// connection works; a load report may be part of it.
func (p *Pool) CheckHealth(id router.EngineID) {
	p.lastPing++
	tag := healthCheckTag + strconv.FormatUint(p.lastPing, 10)
	if e := p.engines[id]; e != nil && e.Address != "" {
		check := func(c *conn) bool { return c.checkHealth(tag) }
		if slices.ContainsFunc(e.liveConns(), check) || p.mayDial(e, false) && check(p.dial(e)) {
			return
		}
	}
	go p.report(HealthCheckEnded{Engine: id, Outcome: router.NotSent})
}

// Close closes all connections.
func (p *Pool) Close() {
	for _, e := range p.engines {
		for _, c := range e.conns {
			c.close()
		}
	}
}

// logConnectionEnd counts a lost connection, and logs it unless one of the same engine was logged
// within LogInterval. ended is the number of attempts and health checks that ended with it.
func (p *Pool) logConnectionEnd(id router.EngineID, err error, ended int) {
	p.lostConns.Add(1)
	p.logMu.Lock()
	now := time.Now()
	due := now.Sub(p.lastLogged[id]) >= p.limits.LogInterval
	if due {
		maps.DeleteFunc(p.lastLogged, func(_ router.EngineID, at time.Time) bool {
			return now.Sub(at) >= p.limits.LogInterval
		})
		p.lastLogged[id] = now
	}
	p.logMu.Unlock()
	if due {
		p.log.Info("engine connection ended", "engine", id, "why", err, "open", ended)
	}
}

// LogValue returns the pool's counts. Their keys are documented in docs/oncall.md and read by
// operators' tools.
func (p *Pool) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("connections", p.dialledConns.Load()),
		slog.Int64("lost", p.lostConns.Load()),
		slog.Int64("open", p.openConns.Load()),
		slog.Int64("yielded", p.evictedConns.Load()),
	)
}
