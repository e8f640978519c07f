package engines

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"mintkeel/internal/request"
	"mintkeel/router"
)

// An engine closes a connection at the moment at which an attempt is to be written to it. Nothing is written,
// so the attempt never ran, and its query may be retried even if it is not idempotent. Answers that the engine
// sent before the close count.
func TestEngineClosesBeforeWrite(t *testing.T) {
	pt := newPoolTest(t, nil)
	c, lookahead, engine := pt.detachedConn()
	c.mustAdd(t, "c1", 1)
	due := c.takeDue(time.Now(), lookahead, time.Time{})
	err := errors.Join(due.err, c.flush(due.write, lookahead, time.Now().Add(testTimeout)))
	if err != nil {
		t.Fatal(err)
	}
	engine.expectQuery("c1")
	engine.answer("c1", "ACK", "parts=1", "1\t1\t1\n")
	engine.Close()
	for lookahead.closedByPeer() == nil { // until the close has arrived
		runtime.Gosched()
	}
	c.mustAdd(t, "c2", 2)
	c.end(c.serve(lookahead), router.ConnectionReset)
	pt.expectEnd(1, router.Succeeded)
	pt.expectEnd(2, router.ConnectFailed)
}

// failingConn accepts bytesLeft bytes, then its writes fail.
type failingConn struct {
	net.Conn
	bytesLeft int
}

func (c *failingConn) Write(b []byte) (int, error) {
	n := min(c.bytesLeft, len(b))
	if c.bytesLeft -= n; n < len(b) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// A connection breaks before, during or after the write of two attempts. An attempt may have run if the
// connection accepted its last byte, and never ran otherwise.
func TestConnectionBreaksDuringWrite(t *testing.T) {
	pt := newPoolTest(t, nil)
	for _, c := range []struct {
		name     string
		taken    func(first, both int) int
		outcomes map[router.AttemptID]router.Outcome
	}{
		{"before", func(int, int) int { return 0 },
			map[router.AttemptID]router.Outcome{1: router.ConnectFailed, 2: router.ConnectFailed}},
		{"within the first", func(first, _ int) int { return first - 1 },
			map[router.AttemptID]router.Outcome{1: router.ConnectFailed, 2: router.ConnectFailed}},
		{"between the two", func(first, _ int) int { return first },
			map[router.AttemptID]router.Outcome{1: router.ConnectionReset, 2: router.ConnectFailed}},
		{"within the second", func(_, both int) int { return both - 1 },
			map[router.AttemptID]router.Outcome{1: router.ConnectionReset, 2: router.ConnectFailed}},
		{"after both", func(_, both int) int { return both },
			map[router.AttemptID]router.Outcome{1: router.ConnectionReset, 2: router.ConnectionReset}},
	} {
		ours, theirs := net.Pipe()
		theirs.Close()
		conn := newConn(pt.pool, "e", "")
		for number := range router.AttemptID(2) {
			conn.mustAdd(t, fmt.Sprint("c", number), number+1)
		}
		first, both := conn.queue[0].size(), conn.queuedBytes
		lookahead := newLookaheadConn(&failingConn{Conn: ours, bytesLeft: c.taken(first, both)}, 0)
		conn.end(conn.serve(lookahead), router.ConnectionReset)
		for range 2 {
			if end := (<-pt.events).(AttemptEnded); end.Outcome != c.outcomes[end.Attempt] {
				t.Errorf("%s: attempt %d ended as %v, want the outcome of the case", c.name, end.Attempt, end.Outcome)
			}
		}
	}
}

// While a connection is dialled for an attempt, its query is answered, its client disconnects, its time to start
// passes or it is given up. The attempt must not be written once the connection is established.
func TestConnectionUpTooLate(t *testing.T) {
	for _, c := range []struct {
		name         string
		whileDialled func(c *conn, query *request.Query)
	}{
		{"its client has disconnected", func(_ *conn, query *request.Query) {
			query.Finish(request.Answer{Verdict: request.Disconnected})
		}},
		{"answered", func(_ *conn, query *request.Query) {
			query.Finish(request.Answer{Verdict: request.Rejected})
		}},
		{"past the time by which it must start", func(c *conn, _ *request.Query) {
			for _, o := range c.queue {
				o.attempt.startBy = time.Now()
			}
		}},
		{"given up", func(c *conn, query *request.Query) { c.cancelAttempt(query, 1) }},
	} {
		pt := newPoolTest(t, nil)
		conn := newConn(pt.pool, "e", pt.listener.Addr().String())
		a := conn.mustAdd(t, "c1", 1)
		c.whileDialled(conn, a.query)
		conn.mustAdd(t, "c2", 2)
		go conn.run()
		t.Log(c.name)
		pt.expectEnd(1, router.Withdrawn)
		engine := pt.accept()
		engine.expectQuery("c2")
		engine.answer("c2", "ACK", "-", "")
		pt.expectEnd(2, router.Succeeded)
		conn.close()
	}
}

// A connection reaches its idle timeout at the moment at which an attempt is added to it. Either the attempt is
// written, or the connection refuses it, so that another can carry it; never both or neither.
func TestIdleCloseRacesNewAttempt(t *testing.T) {
	pt := newPoolTest(t, nil)
	for _, first := range []string{"put", "idle"} {
		c, lookahead, _ := pt.detachedConn()
		a := &attempt{query: newQuery("c1"), deadline: time.Now().Add(time.Minute)}
		taken := true
		c.lastUsed = time.Now().Add(-2 * pt.pool.limits.EngineIdleTimeout)
		if first == "put" {
			taken = c.add(a, 100)
		}
		due := c.takeDue(time.Now(), lookahead, time.Time{})
		if first == "idle" {
			taken = c.add(a, 100)
		}
		written := len(due.write) > 0
		if written != (first == "put") || taken != written || errors.Is(due.err, errIdle) == written {
			t.Errorf("%s first: attempt accepted: %t, entries to write: %d, error: %v", first, taken, len(due.write), due.err)
		}
	}
}
