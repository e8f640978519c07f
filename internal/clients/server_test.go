package clients

import (
	"bytes"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

const (
	// testTimeout is how long a test waits for an expected event.
	testTimeout = 10 * time.Second
	// queryFields is the comment with the fields of queryText, the text of a valid query.
	queryFields = "/* verb=report,txn=9b1f03aa5c7e2d41,limit=1500 */ "
	queryText   = queryFields + "SELECT 1 FROM sales_17.orders"
	// cancelCode is the code of a cancel request, and sslCode that of a request for encryption.
	cancelCode = 80877102
	sslCode    = 80877103
)

// startUpMessage returns the first message of a connection: a code and its payload.
func startUpMessage(code uint32, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(rest)))
	return append(binary.BigEndian.AppendUint32(b, code), rest...)
}

// message returns a message of a type.
func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body))), body...)
}

// queryMessage returns the message of a simple query.
func queryMessage(text string) []byte { return message('Q', text+"\x00") }

// startMessage opens a session.
var startMessage = startUpMessage(3<<16, "user\x00app\x00database\x00core\x00\x00")

// sessionStartTypes are the types of the messages that the server opens a session with.
const sessionStartTypes = "RSSSSSSKZ"

// serverTest is a running server. The test acts as the event loop and as the clients.
type serverTest struct {
	t          *testing.T
	server     *Server
	address    string
	events     chan any
	rejectNext chan bool // if it holds a value, the next query is not accepted
	conns      chan *pausableConn
	pauseNew   atomic.Bool // the goroutines of new sessions stand still from the start
}

func newServerTest(t *testing.T, change func(*limits.Limits)) *serverTest {
	l := limits.For(1024, 192, 0, 0, 0)
	if change != nil {
		change(l)
	}
	names := &settings.Names{Classes: map[string]router.ClassID{"report": 0, "load": 1},
		Tenants: map[string]router.TenantID{"acme": 0}}
	st := &serverTest{t: t, events: make(chan any, 100), rejectNext: make(chan bool, 1)}
	offer := func(ev QueryArrived) bool {
		select {
		case <-st.rejectNext:
			return false
		default:
			st.events <- ev
			return true
		}
	}
	st.server = New(l, names, []router.QueryClass{{}, {Effect: router.Deduplicated}}, offer,
		func() time.Duration { return 250 * time.Millisecond }, func(ev Event) { st.events <- ev },
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st.address = listener.Addr().String()
	st.conns = make(chan *pausableConn, 100)
	go st.server.Serve(&pausableListener{listener, st.conns, &st.pauseNew})
	t.Cleanup(func() { listener.Close(); st.server.Close() })
	return st
}

// connect opens a connection and writes messages to it.
func (st *serverTest) connect(messages ...[]byte) net.Conn {
	st.t.Helper()
	conn, err := net.Dial("tcp", st.address)
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	for _, b := range messages {
		conn.Write(b)
	}
	return conn
}

// readUntil reads messages until one has a type in until, or until the end of the stream ("$"). It returns the
// types, each error with its code, and the session's cancel key if there was one.
func (st *serverTest) readUntil(conn net.Conn, until string) (types string, key []byte) {
	st.t.Helper()
	for {
		head := make([]byte, 5)
		if _, err := io.ReadFull(conn, head); err != nil {
			return types + "$", key
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		io.ReadFull(conn, body)
		switch types += string(head[:1]); head[0] {
		case 'E':
			_, code, _ := bytes.Cut(body, []byte("\x00C"))
			types += string(code[:5])
		case 'K':
			key = body
		}
		if strings.Contains(until, string(head[:1])) {
			return types, key
		}
	}
}

// readToEnd reads to the end of a connection, and reports whether it ended in order, without a reset.
func (st *serverTest) readToEnd(conn net.Conn) (types string, orderly bool) {
	st.t.Helper()
	types, _ = st.readUntil(conn, "")
	_, err := conn.Read(make([]byte, 1))
	return types, err == io.EOF
}

// nextQuery returns the next query that the server passes on.
func (st *serverTest) nextQuery() *request.Query {
	st.t.Helper()
	select {
	case ev := <-st.events:
		if arrived, ok := ev.(QueryArrived); ok {
			return arrived.Query
		}
		st.t.Fatalf("got event %+v, want QueryArrived", ev)
	case <-time.After(testTimeout):
		st.t.Fatal("no query was passed on in time")
	}
	return nil
}

// expectNoEvent checks that the server has reported no event.
func (st *serverTest) expectNoEvent(what string) {
	st.t.Helper()
	if len(st.events) > 0 {
		st.t.Errorf("%s: got event %+v, want none", what, <-st.events)
	}
}

// waitUntil waits for a condition that another goroutine brings about.
func (st *serverTest) waitUntil(what string, done func() bool) {
	st.t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); runtime.Gosched() {
		if time.Now().After(deadline) {
			st.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// QuietTime returns the time since a client last sent a query; 0 while an answer is not written
// yet.
func (s *Server) QuietTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busySessions > 0 {
		return 0
	}
	return time.Since(s.lastQueryAt)
}
