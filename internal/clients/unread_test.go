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
// before it waits for the next message.
func pauseBetweenQueries(st *serverTest) *pausedSession {
	st.t.Helper()
	p := &pausedSession{st, st.connect(slices.Concat(startMessage, queryMessage(queryText))), <-st.conns}
	query := st.nextQuery()
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
	p := pauseBetweenQueries(newServerTest(t, func(l *limits.Limits) { l.ClientIdleTimeout = passed }))
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
	p := pauseBetweenQueries(newServerTest(t, func(l *limits.Limits) { l.ClientMessageTimeout = passed }))
	query := queryMessage(queryText)
	p.send(query[:9])
	p.conn.pauseNext.Store(true)
	p.conn.resume <- true
	p.conn.awaitPause(t) // it has read the first half
	p.send(query[9:])
	p.conn.resume <- true
	p.expectAnswer()
}
