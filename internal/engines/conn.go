package engines

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/router"
)

// Reasons to end a connection that are not errors of the network or of the protocol.
var (
	// errIdle means that the connection was not used for EngineIdleTimeout.
	errIdle = errors.New("idle")
	// errPartialAnswer means that the rest of an answer was not received within AnswerTimeout.
	errPartialAnswer = errors.New("rest of an answer not received in time")
	// errPingUnanswered means that the engine sent nothing for PingTimeout after a ping.
	errPingUnanswered = errors.New("ping not answered in time")
)

// errClosedByEngine means that the engine closed the connection before an attempt was written.
var errClosedByEngine = errors.New("connection closed by the engine")

// minSweep is the smallest number of used ids at which the expired ones are removed.
const minSweep = 64

// conn is a connection to an engine. Its goroutine dials, then reads answers, and is woken from a
// blocked read to write (see wake). The loop's goroutine adds attempts and health checks. mu guards
// the fields below it, which both goroutines use. No event is reported while mu is held, as
// reporting may block.
//
// Attempts and health checks can be added from newConn on, also while the connection is dialled,
// until it is closed or has ended.
type conn struct {
	pool    *Pool
	engine  router.EngineID
	address string
	ctx     context.Context // cancelled by close
	cancel  context.CancelFunc

	mu           sync.Mutex
	netConn      *lookaheadConn       // nil until it is established
	queue        []outgoing           // waits to be written
	queuedBytes  int                  // added to queue since it was last taken
	attempts     map[string]*attempt  // without an outcome, by query id
	usedIDs      map[string]time.Time // ids of queries that it has carried, with their expiry times
	sweepAt      int                  // length of usedIDs at which expired ids are removed
	healthChecks map[string]time.Time // deadlines of health checks, by the tag of their ping
	lastUsed     time.Time            // when an attempt or a health check last ended
	silentSince  time.Time            // latest of: last answer, connect, first open attempt
	pingedAt     time.Time            // when the first ping after silentSince was sent; zero: none was
	ended        bool                 // nothing more may be added

	// Copies for the loop, which reads them often and should not wait for the mutex:
	hasEnded     atomic.Bool  // copy of ended
	attemptCount atomic.Int32 // copy of len(attempts)

	uncountOnce sync.Once
}

func newConn(p *Pool, id router.EngineID, address string) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		pool:         p,
		engine:       id,
		address:      address,
		ctx:          ctx,
		cancel:       cancel,
		attempts:     map[string]*attempt{},
		usedIDs:      map[string]time.Time{},
		sweepAt:      minSweep,
		healthChecks: map[string]time.Time{},
		lastUsed:     time.Now(),
	}
}

// wake interrupts the read in which a connection's goroutine blocks, so that it does what is due.
func wake(c *lookaheadConn) {
	if c != nil {
		c.Interrupt()
	}
}

// usable reports whether attempts and health checks may be added to the connection, which is
// established or being dialled. mu is held.
func (c *conn) usable() bool { return !c.ended && c.ctx.Err() == nil }

// isEnded reports whether the connection has ended.
func (c *conn) isEnded() bool { return c.hasEnded.Load() }

// markEnded marks the connection as ended, so that nothing more is added to it. mu is held.
func (c *conn) markEnded() {
	c.ended = true
	c.hasEnded.Store(true)
}

// openAttempts returns the number of attempts on the connection that have no outcome.
func (c *conn) openAttempts() int { return int(c.attemptCount.Load()) }

// connected reports whether the connection is established and not known to have ended.
func (c *conn) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable() && c.netConn != nil
}

// hasInput reports whether something that the engine has sent is not handled yet.
func (c *conn) hasInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable() && c.netConn != nil && c.netConn.HasInput()
}

// idleSince returns when the connection was last used, and whether it is established and idle.
func (c *conn) idleSince() (since time.Time, idle bool) {
	if c.openAttempts() > 0 {
		return time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.usable() && c.netConn != nil && c.idle()
}

// idle reports whether the connection has no attempts, no health checks and nothing to write. mu is
// held.
func (c *conn) idle() bool { return len(c.attempts)+len(c.healthChecks)+len(c.queue) == 0 }

// close has the connection's goroutine end the connection. Its attempts get their outcomes in end.
func (c *conn) close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	wake(c.netConn)
}

// closeIfUnused closes the connection to make room for another, unless it has got an attempt in the
// meantime or has ended. It reports whether it closed the connection.
func (c *conn) closeIfUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable() || len(c.attempts) > 0 {
		return false
	}
	c.cancel()
	wake(c.netConn)
	c.uncount()
	return true
}

// uncount removes the connection from the count of open connections, once.
func (c *conn) uncount() { c.uncountOnce.Do(func() { c.pool.openConns.Add(-1) }) }

// report passes events to the pool's report function, which may block. mu must not be held.
func (c *conn) report(events []Event) {
	for _, ev := range events {
		c.pool.report(ev)
	}
}

// end ends the attempts and health checks that are left on the connection. Attempts that were not
// written never ran and end as ConnectFailed; written ones end as writtenOutcome, or with their own
// outcome if they were given up. The connection's goroutine calls it last.
func (c *conn) end(err error, writtenOutcome router.Outcome) {
	c.mu.Lock()
	c.markEnded()
	var events []Event
	for _, a := range c.attempts {
		outcome := writtenOutcome
		switch {
		case a.givenUp && a.written:
			outcome = a.giveUpOutcome
		case !a.written:
			outcome = router.ConnectFailed
		}
		events = append(events, c.finish(a, outcome))
	}
	for tag := range c.healthChecks {
		delete(c.healthChecks, tag)
		events = append(events, HealthCheckEnded{Engine: c.engine, Outcome: router.ConnectFailed})
	}
	c.mu.Unlock()
	c.cancel()
	if !errors.Is(err, errIdle) && !errors.Is(err, context.Canceled) {
		c.pool.logConnectionEnd(c.engine, err, len(events))
	}
	c.report(events)
}
