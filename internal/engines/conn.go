package engines

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/router"
)

// Reasons for which a connection ends that are no errors of the network or the protocol.
var (
	// errIdle means that it was not used for EngineIdleTimeout.
	errIdle = errors.New("idle")
	// errPartialAnswer means that the rest of an answer did not come within AnswerTimeout.
	errPartialAnswer = errors.New("the rest of an answer")
	// errPingUnanswered means that the engine sent nothing for PingTimeout after a ping.
	errPingUnanswered = errors.New("no answer to a ping")
)

// errClosedByEngine means that the engine closed the connection before an attempt was written.
var errClosedByEngine = errors.New("ended by the engine")

// minSweep is the least number of used ids at which those past their time are dropped.
const minSweep = 64

// conn is one connection. Its goroutine dials, then reads, and is woken from its read to write (see
// wake). The loop's goroutine gives it attempts and health checks. The fields below mu are shared
// by the two and guarded by it; no event is reported while it is held, as reporting may block.
//
// A connection is usable from newConn on, also while it is dialled, until close or its end.
type conn struct {
	pool    *Pool
	engine  router.EngineID
	address string
	ctx     context.Context // ends by close
	cancel  context.CancelFunc

	mu           sync.Mutex
	netConn      net.Conn             // nil until it is up
	queue        []outgoing           // to be written
	queuedBytes  int                  // in queue
	attempts     map[string]*attempt  // without an outcome, by the query's id
	usedIDs      map[string]time.Time // ids of queries that it carried, and until when they count
	sweepAt      int                  // length of usedIDs at which those past their time are dropped
	healthChecks map[string]time.Time // deadlines of health checks, by the tags of their pings
	lastUsed     time.Time            // when an attempt or a health check last ended
	silentSince  time.Time            // when the engine last sent anything, or came to owe something
	pingedAt     time.Time            // of the first ping since then; zero: there was none
	ended        bool                 // nothing may be put on it any more

	// Copies for the loop, which reads them often and should not wait for the mutex:
	hasEnded     atomic.Bool  // of ended
	attemptCount atomic.Int32 // of len(attempts)

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

// longAgo is a deadline that has passed: it ends a read.
var longAgo = time.Unix(1, 0)

// wake ends the read in which a connection's goroutine waits, so that it does what is due.
func wake(c net.Conn) {
	if c != nil {
		c.SetReadDeadline(longAgo)
	}
}

// usable reports whether something may be put on the connection, which is up or being dialled. mu
// is held.
func (c *conn) usable() bool { return !c.ended && c.ctx.Err() == nil }

// isEnded reports whether the connection has ended.
func (c *conn) isEnded() bool { return c.hasEnded.Load() }

// markEnded has nothing put on the connection any more. mu is held.
func (c *conn) markEnded() {
	c.ended = true
	c.hasEnded.Store(true)
}

// openAttempts is the number of its attempts without an outcome.
func (c *conn) openAttempts() int { return int(c.attemptCount.Load()) }

// connected reports whether the connection is up, as far as is known.
func (c *conn) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable() && c.netConn != nil
}

// idleSince returns when the connection was last used, and whether it is up and carries nothing.
func (c *conn) idleSince() (since time.Time, idle bool) {
	if c.openAttempts() > 0 {
		return time.Time{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, c.usable() && c.netConn != nil && c.idle()
}

// idle reports whether the connection carries nothing and has nothing to write. mu is held.
func (c *conn) idle() bool { return len(c.attempts)+len(c.healthChecks)+len(c.queue) == 0 }

// close ends the connection. Its attempts get their outcomes by end.
func (c *conn) close() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	wake(c.netConn)
}

// closeIfUnused ends the connection so that another can take its place, and reports whether it did:
// not if it carries an attempt by now.
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

// uncount takes the connection out of the count of open ones, once.
func (c *conn) uncount() { c.uncountOnce.Do(func() { c.pool.openConns.Add(-1) }) }

// report hands events over, and may block. mu must not be held.
func (c *conn) report(events []Event) {
	for _, ev := range events {
		c.pool.report(ev)
	}
}

// end ends all attempts and health checks that are left on the connection: attempts that were not
// written never ran, and those that were end as writtenOutcome. Its goroutine calls it last.
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
