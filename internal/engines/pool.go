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

// defaultMaxPerConn is how many attempts a connection carries at once if the settings don't say.
const defaultMaxPerConn = 100

// Pool is the connections to all engines. One goroutine, the loop's, calls its methods; none of
// them blocks.
type Pool struct {
	limits     *limits.Limits
	maxPerConn int         // attempts that one connection carries at once
	report     func(Event) // may block, so it is never called by the loop's goroutine
	log        *slog.Logger

	// Owned by the loop's goroutine:
	engines      map[router.EngineID]*engine
	readyEngines int    // number of those that may get attempts
	listExpired  bool   // engines may have moved unnoticed
	lastPing     uint64 // number of the last health check's ping

	// Counts that any goroutine changes:
	openConns    atomic.Int64 // up or being dialled
	dialledConns atomic.Int64 // so far
	lostConns    atomic.Int64 // that ended, except idle ones and those that the pool closed
	evictedConns atomic.Int64 // closed while idle, to make room for others

	logMu      sync.Mutex                    // guards lastLogged
	lastLogged map[router.EngineID]time.Time // when the end of a connection was last logged
}

// New returns a pool without engines, which reports what happens. report may block its caller.
// maxPerConn bounds the attempts that one connection carries at once; 0 or less stands for 100.
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

// StartAttempt sends a query to an engine, over a connection that has not carried it. It is given
// up as TimedOut after within. If startWithin is above 0 and it was not written within that time,
// it is not written any more. It is answered by one AttemptEnded.
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

// CancelAttempt gives an attempt up. Its AttemptEnded still comes: when the engine has confirmed
// the cancel, or PingTimeout has passed.
func (p *Pool) CancelAttempt(query *request.Query, id router.AttemptID, to router.EngineID) {
	e := p.engines[to]
	if e == nil {
		return
	}
	for _, c := range e.conns {
		c.cancelAttempt(query, id)
	}
}

// CheckHealth pings an engine. It is answered by one HealthCheckEnded. Success means only that a
// connection works; a load report may come with it.
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

// Close ends all connections.
func (p *Pool) Close() {
	for _, e := range p.engines {
		for _, c := range e.conns {
			c.close()
		}
	}
}

// logConnectionEnd counts a connection that ended, and logs it unless one of the same engine was
// logged within LogInterval. ended is how many attempts and health checks ended with it.
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

// LogValue prints the pool's counts. The keys are those that docs/oncall.md explains and operators'
// tools read.
func (p *Pool) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int64("connections", p.dialledConns.Load()),
		slog.Int64("lost", p.lostConns.Load()),
		slog.Int64("open", p.openConns.Load()),
		slog.Int64("yielded", p.evictedConns.Load()),
	)
}
