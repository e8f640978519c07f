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

// A client goes while its query is open, in each way in which clients go. The query is abandoned and its
// answer dropped. A cancel request with a wrong key does nothing.
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
		{"good bye", func(_ *serverTest, conn net.Conn, _ []byte) { conn.Write(message('X', "")) }, "$"},
		{"reset", func(_ *serverTest, conn net.Conn, _ []byte) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, "$"},
		{"cut within the next query", func(_ *serverTest, conn net.Conn, _ []byte) {
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
		// Until it is closed, so has been read.
		st.readUntil(st.connect(startUpMessage(cancelCode, string(wrongKey))), "")
		c.disconnect(st, conn, key)
		if ev := <-st.events; ev != any(ClientDisconnected{query}) {
			t.Errorf("%s: told %+v", c.name, ev)
		}
		if query.Finish(request.Answer{Verdict: request.Succeeded}) {
			t.Errorf("%s: answered after its client had left", c.name)
		}
		if got, _ := st.readUntil(conn, "Z"); got != c.want {
			t.Errorf("%s: said %s", c.name, got)
		}
	}
}

// A client sends a query before the answer to the last one. It is handed over after that answer, but its time
// counts from when it came.
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
		t.Error("taken before the first was answered")
	}
	answeredAt := time.Now()
	first.Finish(request.Answer{Verdict: request.Rejected})
	if second := st.nextQuery(); !second.ReadAt.Before(answeredAt) {
		t.Error("its time counts from its turn")
	}
}

// Queries sent ahead that are more than the usual buffer holds, but not too many, are handled one after
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
		t.Errorf("%d times too much", n)
	}
}

// A client sends more behind an open query than is kept. It gets its answer, and then the error that ends its
// session.
func TestTooMuchPipelined(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startMessage, queryMessage(queryText))
	query := st.nextQuery()
	st.readUntil(conn, "Z")
	conn.Write(bytes.Repeat(queryMessage(queryText), 4000))
	st.waitUntil("it is too much", func() bool { return st.server.counts.pipelineFull.Load() == 1 })
	query.Finish(request.Answer{Verdict: request.Succeeded})
	if got, orderly := st.readToEnd(conn); got != "TCZE54000$" || !orderly {
		t.Errorf("said %s, orderly %t", got, orderly)
	}
	st.expectNoEvent("of what it wrote ahead")
}

// A client sends queries ahead and disconnects. That is noticed at once, also behind more than is held of
// what it sent, and nothing of that is handed over.
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
				t.Errorf("%d queries ahead: told %+v", pipelined, ev)
			}
		case <-time.After(testTimeout):
			t.Fatalf("%d queries ahead: not noticed", pipelined)
		}
		st.waitUntil("it has gone", func() bool {
			st.server.mu.Lock()
			defer st.server.mu.Unlock()
			return len(st.server.sessions) == 0
		})
		st.expectNoEvent("of what it wrote ahead")
	}
}

// A cancel request overtakes its query, as they come on two connections. It applies to the query, unless it
// came long before.
func TestCancelOvertakesQuery(t *testing.T) {
	for _, c := range []struct {
		window time.Duration
		want   string
	}{{testTimeout, "E57014Z"}, {0, "TCZ"}} {
		st := newServerTest(t, func(l *limits.Limits) { l.EarlyCancelWindow = c.window })
		conn := st.connect(startMessage)
		_, key := st.readUntil(conn, "Z")
		// Until it is closed, so has taken effect.
		st.readUntil(st.connect(startUpMessage(cancelCode, string(key))), "")
		conn.Write(queryMessage(queryText))
		if c.window == 0 {
			st.nextQuery().Finish(request.Answer{Verdict: request.Succeeded})
		}
		if got, _ := st.readUntil(conn, "Z"); got != c.want {
			t.Errorf("within %v: said %s", c.window, got)
		}
		st.expectNoEvent("of a query whose cancel came ahead")
	}
}
