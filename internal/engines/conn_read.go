package engines

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"mintkeel/internal/enginewire"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// run is the connection's goroutine: it dials, then serves until the connection ends.
func (c *conn) run() {
	dialer := net.Dialer{Timeout: c.pool.limits.ConnectTimeout, KeepAlive: -1}
	dialled, err := dialer.DialContext(c.ctx, "tcp", c.address)
	if err != nil {
		c.end(err, router.ConnectFailed)
		return
	}
	netConn := newLookaheadConn(dialled, c.pool.limits.EngineQueueBytes)
	c.mu.Lock()
	c.netConn = netConn
	c.silentSince = time.Now()
	c.mu.Unlock()
	err = c.serve(netConn)
	netConn.Close()
	c.end(err, router.ConnectionReset)
}

// serve alternates between writing the queue and reading an answer until the connection ends. A
// read blocks until something is due and is interrupted when there is something to write (see
// wake). An answer is removed from the buffer only when it is complete, so an interrupted read
// loses nothing.
func (c *conn) serve(netConn *lookaheadConn) error {
	l := c.pool.limits
	r := bufio.NewReaderSize(netConn, l.AnswerHeaderBytes+l.PageBytes+len(lineEnd))
	var partialSince time.Time // see takeDue
	for c.ctx.Err() == nil {
		now := time.Now()
		due := c.takeDue(now, netConn, partialSince)
		c.report(due.events)
		if due.err != nil {
			return due.err
		}
		if len(due.write) > 0 {
			err := c.flush(due.write, netConn, now.Add(l.EngineWriteTimeout))
			if err == nil {
				continue
			}
			if !errors.Is(err, errClosedByEngine) {
				return err
			}
			// Answers received before the close still count: they are read before the close is.
		}
		answer, size, err := enginewire.PeekAnswer(r, l.AnswerHeaderBytes, l.PageBytes)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if r.Buffered() > 0 && partialSince.IsZero() {
				partialSince = time.Now()
			}
			continue
		}
		if err != nil {
			return err
		}
		partialSince = time.Time{}
		events, err := c.handleAnswer(answer)
		c.report(events)
		if err != nil {
			return err
		}
		r.Discard(size)
	}
	return c.ctx.Err()
}

// handleAnswer handles one answer. An answer for an id without an attempt is ignored: the attempt
// ended while the answer was in transit, or the answer is a duplicate. An error ends the
// connection.
func (c *conn) handleAnswer(answer enginewire.Answer) ([]Event, error) {
	load, err := loadReport(answer)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentSince = time.Now()
	c.pingedAt = time.Time{}
	if answer.Kind == enginewire.Pong {
		return c.handlePong(string(answer.ID), load), nil
	}
	a := c.attempts[string(answer.ID)]
	if a == nil || !a.written {
		return nil, nil
	}
	if load != nil {
		a.load = load
	}
	switch answer.Kind {
	case enginewire.EngineFull:
		return c.handleNeverRan(a, router.EngineFull)
	case enginewire.AlreadyEnded:
		return c.handleNeverRan(a, router.NotSent)
	case enginewire.Failed:
		return []Event{c.finish(a, router.Errored)}, nil
	case enginewire.Progress:
		return c.handleProgress(a, answer), nil
	}
	return c.handlePage(a, answer)
}

// loadReport returns the load report of an answer; nil if it has none.
func loadReport(answer enginewire.Answer) (*router.LoadReport, error) {
	if answer.LoadReport == nil {
		return nil, nil
	}
	load := settings.UnknownLoad()
	set := func(name string, x float64) { settings.SetLoadField(load, name, x) }
	err := enginewire.ParseLoadReport(answer.LoadReport, set)
	return load, err
}

// handleNeverRan handles an answer which says that the engine did not run the attempt. If the
// engine has reported progress before, the attempt may have taken effect all the same, and ends as
// Errored. After a page of the result such an answer is malformed. mu is held.
func (c *conn) handleNeverRan(a *attempt, outcome router.Outcome) ([]Event, error) {
	if a.pages != nil {
		return nil, enginewire.ErrMalformed
	}
	if a.progressed {
		outcome = router.Errored
	}
	return []Event{c.finish(a, outcome)}, nil
}

// handleProgress handles a progress message. mu is held.
func (c *conn) handleProgress(a *attempt, answer enginewire.Answer) []Event {
	kind, known := progressKind(answer)
	if !known {
		return nil
	}
	if kind == router.ProgressDone && answer.Value > 0 {
		a.progressed = true
	}
	return []Event{AttemptProgress{Query: a.query, Attempt: a.id, Kind: kind, Value: answer.Value}}
}
