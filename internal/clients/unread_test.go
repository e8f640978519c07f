package clients

import (
	"net"
	"slices"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
)

// passed is a timeout that has always passed: a deadline passes while the process stands still.
const passed = -time.Second

// pausedSession is a session whose goroutine stands still.
type pausedSession struct {
	*serverTest
	client net.Conn
	conn   *pausableConn
}

// pauseBetweenQueries opens a session that has sent a query and received its answer, and whose goroutine stands still
// before it waits for the next message. behind was sent while the query was open.
func pauseBetweenQueries(st *serverTest, behind []byte) *pausedSession {
	st.t.Helper()
	p := &pausedSession{st, st.connect(slices.Concat(startMessage, queryMessage(queryText))), <-st.conns}
	query := st.nextQuery()
	if behind != nil {
		lastQueryAt := func() time.Time {
			st.server.mu.Lock()
			defer st.server.mu.Unlock()
			return st.server.lastQueryAt
		}
		before := lastQueryAt()
		p.client.Write(behind)
		st.waitUntil("the query behind the open one is read", func() bool { return lastQueryAt().After(before) })
	}
	p.conn.pauseNext.Store(true)
	query.Finish(request.Answer{Verdict: request.Failed})
	st.readUntil(p.client, "Z")
	if got, _ := st.readUntil(p.client, "Z"); got != "E58000Z" {
		st.t.Fatalf("first query: got %s, want E58000Z", got)
	}
	p.conn.awaitPause(st.t)
	return p
}

// send sends a message while the session's goroutine stands still, and waits until it has arrived.
func (p *pausedSession) send(b []byte) {
	p.t.Helper()
	p.client.Write(b)
	p.conn.awaitUnread(p.t, len(b))
}

// expectAnswer checks that the next query is passed on and answered.
func (p *pausedSession) expectAnswer() {
	p.t.Helper()
	p.nextQuery().Finish(request.Answer{Verdict: request.Failed})
	if got, _ := p.readUntil(p.client, "Z"); got != "E58000Z" && got != sessionStartTypes {
		p.t.Errorf("got %s, want E58000Z", got)
	}
	if n := p.server.counts.closes.unread.Load(); n > 0 {
		p.t.Errorf("%d sessions were closed with unread input", n)
	}
}

// TestQueryBeforeIdleTimeoutPasses guards against a lost query: it arrived before the session's idle timeout passed, but
// the process had no turn in between, and the runtime reports the timeout first.
func TestQueryBeforeIdleTimeoutPasses(t *testing.T) {
	p := pauseBetweenQueries(newServerTest(t, func(l *limits.Limits) { l.ClientIdleTimeout = passed }), nil)
	p.send(queryMessage(queryText))
	p.conn.resume <- true
	p.expectAnswer()
}

// TestQueryBeforeFirstQueryTimeoutPasses guards against a lost first query, as TestQueryBeforeIdleTimeoutPasses does.
func TestQueryBeforeFirstQueryTimeoutPasses(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.FirstQueryTimeout = passed })
	st.pauseNew.Store(true)
	p := &pausedSession{st, st.connect(), <-st.conns}
	p.conn.awaitPause(t)
	p.send(slices.Concat(startMessage, queryMessage(queryText)))
	p.conn.resume <- true
	p.expectAnswer()
}

// TestQueryBeforeMessageTimeoutPasses guards against a lost query of which the first half was read before the process
// had no turn, and the rest arrived before the message's timeout passed.
func TestQueryBeforeMessageTimeoutPasses(t *testing.T) {
	p := pauseBetweenQueries(newServerTest(t, func(l *limits.Limits) { l.ClientMessageTimeout = passed }), nil)
	query := queryMessage(queryText)
	p.send(query[:9])
	p.conn.pauseNext.Store(true)
	p.conn.resume <- true
	p.conn.awaitPause(t) // it has read the first half
	p.send(query[9:])
	p.conn.resume <- true
	p.expectAnswer()
}

// TestEvictionSparesQuery guards against a lost query: the goroutine of its session has not handled it yet when a new
// connection needs room and evicts the session.
func TestEvictionSparesQuery(t *testing.T) {
	oneSession := func(l *limits.Limits) { l.ClientConnections, l.NewConnectionGrace = 1, 0 }
	expectRejected := func(st *serverTest) {
		t.Helper()
		if got, _ := st.readUntil(st.connect(startMessage), ""); got != "E53300$" {
			t.Errorf("new connection: got %s, want E53300$", got)
		}
	}
	t.Run("unread", func(t *testing.T) {
		p := pauseBetweenQueries(newServerTest(t, oneSession), nil)
		p.send(queryMessage(queryText))
		expectRejected(p.serverTest)
		p.conn.resume <- true
		p.expectAnswer()
	})
	t.Run("read", func(t *testing.T) {
		p := pauseBetweenQueries(newServerTest(t, oneSession), nil)
		p.conn.pauseNext.Store(true)
		p.conn.resume <- true
		p.client.Write(queryMessage(queryText))
		p.conn.awaitPause(t) // it has read the query
		expectRejected(p.serverTest)
		p.conn.resume <- true
		p.expectAnswer()
	})
	t.Run("read behind an open query", func(t *testing.T) {
		p := pauseBetweenQueries(newServerTest(t, oneSession), queryMessage(queryText))
		expectRejected(p.serverTest)
		p.conn.resume <- true
		p.expectAnswer()
	})
}

// A session with unread input is not evicted, but another one is that has been idle for less time.
func TestEvictionTakesNextIdleSession(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.ClientConnections, l.NewConnectionGrace = 2, 0 })
	p := pauseBetweenQueries(st, nil)
	p.send(queryMessage(queryText))
	idle := pauseBetweenQueries(st, nil)
	st.connect(startMessage)
	if got, _ := st.readUntil(idle.client, ""); got != "$" {
		t.Errorf("idle session: got %s, want it closed", got)
	}
	idle.conn.resume <- true
	p.conn.resume <- true
	p.expectAnswer()
}
