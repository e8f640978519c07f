package clients

import (
	"net"
	"runtime"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
)

// More clients connect than the limit allows. Sessions without an open query are evicted: first those that
// never sent one, then those that have been idle for longest. If every session has an open query, a new
// connection is rejected, but it may still cancel a query.
func TestConnectionLimit(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.ClientConnections, l.NewConnectionGrace = 3, 0 })
	rejectQuery := func(conn net.Conn) {
		st.nextQuery().Finish(request.Answer{Verdict: request.Rejected})
		st.readUntil(conn, "E")
		st.readUntil(conn, "Z")
		for st.server.QuietTime() == 0 { // until the session is idle
			runtime.Gosched()
		}
	}
	idle := st.connect(startMessage, queryMessage(queryText))
	rejectQuery(idle)
	busy := st.connect(startMessage, queryMessage(queryText))
	query := st.nextQuery()
	silent := st.connect()
	for range 2 { // the first message of the second is in transit when the third connects
		st.readUntil(st.connect(startMessage, message('X', "")), "")
	}
	if got, _ := st.readUntil(silent, ""); got != "$" {
		t.Errorf("session that sent nothing: got %s, want it closed", got)
	}
	next := st.connect(startMessage, queryMessage(queryText))
	st.nextQuery()
	last := st.connect(startMessage, queryMessage(queryText))
	st.nextQuery()
	if got, _ := st.readUntil(idle, ""); got != "$" {
		t.Errorf("idle session after a query: got %s, want it closed", got)
	}
	if got, _ := st.readUntil(st.connect(startMessage), ""); got != "E53300$" {
		t.Errorf("new connection while every session has an open query: got %s, want E53300$", got)
	}
	query.Finish(request.Answer{Verdict: request.Succeeded})
	if got, _ := st.readUntil(busy, "C"); got != sessionStartTypes+"TC" {
		t.Errorf("session with an open query: got %s, want its answer", got)
	}
	got, key := st.readUntil(next, "Z")
	if gotLast, _ := st.readUntil(last, "Z"); got != sessionStartTypes || gotLast != sessionStartTypes {
		t.Errorf("new sessions with an open query: got %s and %s, want the session start", got, gotLast)
	}
	st.waitUntil("the answered session is idle", func() bool {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return st.server.idle[idleBetweenQueries].Len() == 1
	})
	st.connect(startMessage, queryMessage(queryText)) // evicts the idle session
	st.nextQuery()
	st.connect(startUpMessage(cancelCode, string(key)))
	if got, _ := st.readUntil(next, "Z"); got != "E57014Z" {
		t.Errorf("cancel request while no session can be evicted: got %s, want E57014Z", got)
	}
}

// A session is closed while a query is in transit to it. The query is read and discarded, and the client reads
// an orderly end of the stream. Closing the connection with unread input would reset it.
func TestQueryCrossesClose(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*limits.Limits)
		end    func(st *serverTest)
	}{
		{"idle too long", func(l *limits.Limits) { l.ClientIdleTimeout = 20 * time.Millisecond }, func(*serverTest) {}},
		{"evicted", func(l *limits.Limits) { l.ClientConnections, l.NewConnectionGrace = 1, 0 }, func(st *serverTest) {
			st.connect(startMessage)
		}},
		{"the server shuts down", nil, func(st *serverTest) { go st.server.Shutdown(time.Now().Add(testTimeout)) }},
	} {
		st := newServerTest(t, func(l *limits.Limits) {
			l.ClientCloseTimeout = testTimeout
			l.FirstQueryTimeout = 2 * testTimeout // new connections outlive the test
			if c.change != nil {
				c.change(l)
			}
		})
		conn := st.connect(startMessage, queryMessage(queryText))
		st.nextQuery().Finish(request.Answer{Verdict: request.Failed})
		st.readUntil(conn, "Z")
		st.readUntil(conn, "Z")
		st.waitUntil("the session is idle", func() bool { return st.server.QuietTime() > 0 })
		c.end(st)
		if got, orderly := st.readToEnd(conn); got != "$" || !orderly {
			t.Errorf("%s: got %s, orderly %t, want an orderly end", c.name, got, orderly)
		}
		for range 2000 { // a closed socket would answer the first write with a reset, which fails the next
			if _, err := conn.Write(queryMessage(queryText)); err != nil {
				t.Fatalf("%s: the connection was reset while a query was in transit: %v", c.name, err)
			}
		}
		conn.Close()
		st.waitUntil("the session is closed", func() bool {
			st.server.mu.Lock()
			defer st.server.mu.Unlock()
			return st.server.idle[idleClosing].Len() == 0
		})
		st.expectNoEvent(c.name)
	}
}
