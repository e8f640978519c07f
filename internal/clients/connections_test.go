package clients

import (
	"net"
	"runtime"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
)

// All connections are taken, and more come. Room is made of the sessions that have no open query: first of
// those that never sent one, then of those that have been idle for longest. If all have one open, a new
// connection is rejected, but it may still cancel.
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
	for range 2 { // the first message of the second is on its way when the third comes
		st.readUntil(st.connect(startMessage, message('X', "")), "")
	}
	if got, _ := st.readUntil(silent, ""); got != "$" {
		t.Errorf("the one that sent nothing: %s", got)
	}
	next := st.connect(startMessage, queryMessage(queryText))
	st.nextQuery()
	last := st.connect(startMessage, queryMessage(queryText))
	st.nextQuery()
	if got, _ := st.readUntil(idle, ""); got != "$" {
		t.Errorf("the one that sent a query and stayed: %s", got)
	}
	if got, _ := st.readUntil(st.connect(startMessage), ""); got != "E53300$" {
		t.Errorf("a new one while all have a query open: %s", got)
	}
	query.Finish(request.Answer{Verdict: request.Succeeded})
	if got, _ := st.readUntil(busy, "C"); got != sessionStartTypes+"TC" {
		t.Errorf("the one with a query open: %s", got)
	}
	got, key := st.readUntil(next, "Z")
	if gotLast, _ := st.readUntil(last, "Z"); got != sessionStartTypes || gotLast != sessionStartTypes {
		t.Errorf("others with a query open: %s, %s", got, gotLast)
	}
	st.waitUntil("the answered session is idle", func() bool {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return st.server.idle[idleBetweenQueries].Len() == 1
	})
	st.connect(startMessage, queryMessage(queryText)) // in its place
	st.nextQuery()
	st.connect(startUpMessage(cancelCode, string(key)))
	if got, _ := st.readUntil(next, "Z"); got != "E57014Z" {
		t.Errorf("a cancel request while all are taken: %s", got)
	}
}

// A session is closed while a query is on its way to it. The query is read and dropped, and the client finds
// an orderly end. A close over unread bytes would be a reset.
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
			l.FirstQueryTimeout = 2 * testTimeout // new connections stay to the end of the test
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
			t.Errorf("%s: said %s, orderly %t", c.name, got, orderly)
		}
		for range 2000 { // a closed socket would answer the first by a reset, which the next meets
			if _, err := conn.Write(queryMessage(queryText)); err != nil {
				t.Fatalf("%s: reset under a query that crossed it: %v", c.name, err)
			}
		}
		conn.Close()
		st.waitUntil("it is closed", func() bool {
			st.server.mu.Lock()
			defer st.server.mu.Unlock()
			return st.server.idle[idleClosing].Len() == 0
		})
		st.expectNoEvent(c.name)
	}
}
