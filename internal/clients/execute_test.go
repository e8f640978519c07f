package clients

import (
	"bytes"
	"net"
	"runtime"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
)

// A client cancels its open query or disconnects, in each possible way. The query is abandoned and its answer
// discarded. A cancel request with a wrong key has no effect.
func TestClientDisconnects(t *testing.T) {
	for _, c := range []struct {
		name       string
		disconnect func(st *serverTest, conn net.Conn, key []byte)
		want       string
	}{
		{"cancel", func(st *serverTest, _ net.Conn, key []byte) {
			st.connect(startUpMessage(cancelCode, string(key)))
		}, "E57014Z"},
		{"close", func(_ *serverTest, conn net.Conn, _ []byte) { conn.Close() }, "$"},
		{"terminate", func(_ *serverTest, conn net.Conn, _ []byte) { conn.Write(message('X', "")) }, "$"},
		{"reset", func(_ *serverTest, conn net.Conn, _ []byte) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, "$"},
		{"end of stream within the next query", func(_ *serverTest, conn net.Conn, _ []byte) {
			conn.Write(queryMessage(queryText)[:9])
			conn.(*net.TCPConn).CloseWrite()
		}, "$"},
	} {
		st := newServerTest(t, nil)
		conn := st.connect(startMessage)
		_, key := st.readUntil(conn, "Z")
		conn.Write(queryMessage(queryText))
		query := st.nextQuery()
		wrongKey := append(bytes.Clone(key[:4]), key[4]^1, key[5], key[6], key[7])
		// The end of the connection shows that the cancel request was handled.
		st.readUntil(st.connect(startUpMessage(cancelCode, string(wrongKey))), "")
		c.disconnect(st, conn, key)
		if ev := <-st.events; ev != any(ClientDisconnected{query}) {
			t.Errorf("%s: got event %+v, want ClientDisconnected", c.name, ev)
		}
		if query.Finish(request.Answer{Verdict: request.Succeeded}) {
			t.Errorf("%s: Finish took effect after the client had disconnected", c.name)
		}
		if got, _ := st.readUntil(conn, "Z"); got != c.want {
			t.Errorf("%s: got unexpected messages %s", c.name, got)
		}
	}
}

// A client sends a query before the answer to its last one. The query is passed on after that answer, but its
// timeout counts from when it arrived.
func TestPipelinedQuery(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startMessage, queryMessage(queryText))
	first := st.nextQuery()
	lastQueryAt := func() time.Time {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return st.server.lastQueryAt
	}
	before := lastQueryAt()
	conn.Write(queryMessage(queryText))
	for lastQueryAt() == before { // until the second has been read
		runtime.Gosched()
	}
	if len(st.events) > 0 {
		t.Error("the second query was passed on before the first was answered")
	}
	answeredAt := time.Now()
	first.Finish(request.Answer{Verdict: request.Rejected})
	if second := st.nextQuery(); !second.ReadAt.Before(answeredAt) {
		t.Error("ReadAt of the second query is after the answer to the first, want when it arrived")
	}
}

// Pipelined queries that exceed the small read buffer, but not ClientMessageBytes, are handled one after
// another.
func TestManyPipelinedQueries(t *testing.T) {
	st := newServerTest(t, nil)
	const count = 100
	conn := st.connect(startMessage, queryMessage(queryText))
	first := st.nextQuery()
	st.readUntil(conn, "Z")
	conn.Write(bytes.Repeat(queryMessage(queryText), count))
	first.Finish(request.Answer{Verdict: request.Failed})
	for range count {
		st.readUntil(conn, "Z")
		st.nextQuery().Finish(request.Answer{Verdict: request.Failed})
	}
	if n := st.server.counts.pipelineFull.Load(); n != 0 {
		t.Errorf("%d clients counted as pipelining too much, want 0", n)
	}
}

// A client pipelines more than ClientMessageBytes behind an open query. It gets its answer, and then the error
// that ends its session.
func TestTooMuchPipelined(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startMessage, queryMessage(queryText))
	query := st.nextQuery()
	st.readUntil(conn, "Z")
	conn.Write(bytes.Repeat(queryMessage(queryText), 4000))
	st.waitUntil("too much is pipelined", func() bool { return st.server.counts.pipelineFull.Load() == 1 })
	query.Finish(request.Answer{Verdict: request.Succeeded})
	if got, orderly := st.readToEnd(conn); got != "TCZE54000$" || !orderly {
		t.Errorf("got %s, orderly %t, want the answer, E54000 and an orderly end", got, orderly)
	}
	st.expectNoEvent("of what it wrote ahead")
}

// A client pipelines queries and disconnects. The disconnect is detected at once, even behind more data than
// is buffered, and no pipelined query is passed on.
func TestDisconnectBehindPipelinedQueries(t *testing.T) {
	for _, pipelined := range []int{1, 20, 400, 4000} {
		st := newServerTest(t, nil)
		conn := st.connect(startMessage, queryMessage(queryText))
		query := st.nextQuery()
		st.readUntil(conn, "Z")
		conn.Write(bytes.Repeat(queryMessage(queryText), pipelined))
		conn.Close()
		select {
		case ev := <-st.events:
			if ev != any(ClientDisconnected{query}) {
				t.Errorf("%d pipelined queries: got event %+v, want ClientDisconnected", pipelined, ev)
			}
		case <-time.After(testTimeout):
			t.Fatalf("%d pipelined queries: the disconnect was not reported", pipelined)
		}
		st.waitUntil("the session has ended", func() bool {
			st.server.mu.Lock()
			defer st.server.mu.Unlock()
			return len(st.server.sessions) == 0
		})
		st.expectNoEvent("of what it wrote ahead")
	}
}

// A cancel request overtakes its query, as the two use different connections. It applies to the query, unless
// it arrived more than EarlyCancelWindow before.
func TestCancelOvertakesQuery(t *testing.T) {
	for _, c := range []struct {
		window time.Duration
		want   string
	}{{testTimeout, "E57014Z"}, {0, "TCZ"}} {
		st := newServerTest(t, func(l *limits.Limits) { l.EarlyCancelWindow = c.window })
		conn := st.connect(startMessage)
		_, key := st.readUntil(conn, "Z")
		// The end of the connection shows that the cancel request has taken effect.
		st.readUntil(st.connect(startUpMessage(cancelCode, string(key))), "")
		conn.Write(queryMessage(queryText))
		if c.window == 0 {
			st.nextQuery().Finish(request.Answer{Verdict: request.Succeeded})
		}
		if got, _ := st.readUntil(conn, "Z"); got != c.want {
			t.Errorf("window %v: got unexpected messages %s", c.window, got)
		}
		st.expectNoEvent("query that was cancelled early")
	}
}
