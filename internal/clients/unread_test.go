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

// TestShutdownSparesQuery guards against a lost query: it arrived before the shutdown closed its session, but the
// session's goroutine had no turn to handle it. The session is closed after its answer. This holds also if the process
// had no turn until the shutdown's deadline has passed.
func TestShutdownSparesQuery(t *testing.T) {
	for _, c := range []struct {
		name   string
		within time.Duration
		read   bool
	}{{"unread", testTimeout, false}, {"read", testTimeout, true}, {"past the deadline", passed, false}} {
		t.Run(c.name, func(t *testing.T) {
			st := newServerTest(t, func(l *limits.Limits) { l.ShutdownLateLooks = int(testTimeout / shutdownLookInterval) })
			p := pauseBetweenQueries(st, nil)
			if c.read {
				p.conn.pauseNext.Store(true)
				p.conn.resume <- true
				p.client.Write(queryMessage(queryText))
				p.conn.awaitPause(t)
			} else {
				p.send(queryMessage(queryText))
			}
			done := make(chan bool)
			go func() { st.server.Shutdown(time.Now().Add(c.within)); close(done) }()
			st.waitUntil("the shutdown has begun", func() bool {
				st.server.mu.Lock()
				defer st.server.mu.Unlock()
				return st.server.draining
			})
			if got, _ := st.readUntil(st.connect(startMessage), ""); got != "E53300$" {
				t.Errorf("new connection: got %s, want E53300$", got)
			}
			p.conn.resume <- true
			p.expectAnswer()
			if got, orderly := st.readToEnd(p.client); got != "$" || !orderly {
				t.Errorf("after the answer: got %s, orderly %t, want an orderly end", got, orderly)
			}
			p.client.Close()
			<-done
		})
	}
}

// TestUnreadQueryIsNotQuiet guards against a quiet period that ends while a query lies unread: a stall would count as
// quiet, and the requests that came in it would be lost.
func TestUnreadQueryIsNotQuiet(t *testing.T) {
	p := pauseBetweenQueries(newServerTest(t, nil), nil)
	p.send(queryMessage(queryText))
	p.waitUntil("no query was read for a quiet period", func() bool { return p.server.QuietTime() > 20*time.Millisecond })
	until := time.Now().Add(200 * time.Millisecond)
	p.server.AwaitQuiet(20*time.Millisecond, until)
	if early := time.Until(until); early > 0 {
		t.Errorf("quiet %v before the time at which it gives up, though a query is unread", early)
	}
	p.conn.resume <- true
	p.expectAnswer()
}

// TestCancelBeforeRejectTimeoutPasses guards against a lost cancel: it came on a connection above the limit, whose time for
// a start-up message has passed while the process had no turn. Its query would run on for a client that has gone.
func TestCancelBeforeRejectTimeoutPasses(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.ClientConnections, l.ClientCloseTimeout = 1, passed })
	conn := st.connect(startMessage)
	_, key := st.readUntil(conn, "Z")
	<-st.conns
	conn.Write(queryMessage(queryText))
	query := st.nextQuery()
	st.pauseNew.Store(true)
	p := &pausedSession{st, st.connect(), <-st.conns}
	p.conn.awaitPause(t)
	p.send(startUpMessage(cancelCode, string(key)))
	p.conn.resume <- true
	select {
	case ev := <-st.events:
		if ev != any(ClientDisconnected{query}) {
			t.Errorf("got event %+v, want ClientDisconnected", ev)
		}
	case <-time.After(testTimeout):
		t.Error("the cancel was not heeded in time")
	}
}
