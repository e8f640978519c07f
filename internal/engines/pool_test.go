package engines

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
	"mintkeel/router"
)

// testTimeout is how long a test waits for an expected event or message.
const testTimeout = 10 * time.Second

// poolTest is a pool with one engine, "e", whose side of the connections the test plays.
type poolTest struct {
	t        *testing.T
	pool     *Pool
	events   chan any
	listener net.Listener
	accepted chan net.Conn
}

func newPoolTest(t *testing.T, change func(*limits.Limits)) *poolTest {
	l := limits.For(1024, 192, time.Second, 20*time.Second, 0)
	if change != nil {
		change(l)
	}
	pt := &poolTest{t: t, events: make(chan any, 100), accepted: make(chan net.Conn, 10)}
	pt.pool = New(l, 100, func(ev Event) { pt.events <- ev }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	var err error
	if pt.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := pt.listener.Accept()
			if err != nil {
				return
			}
			pt.accepted <- conn
		}
	}()
	t.Cleanup(func() { pt.pool.Close(); pt.listener.Close() })
	pt.setState(router.Ready)
	return pt
}

// setState updates the endpoint list with the engine's state.
func (pt *poolTest) setState(state router.EngineState) {
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: pt.listener.Addr().String(), State: state}}, true)
}

// start starts an attempt on the engine.
func (pt *poolTest) start(query *request.Query, number router.AttemptID) {
	pt.pool.StartAttempt(query, number, "e", time.Minute, 0)
}

// accept returns the next connection that the pool has opened.
func (pt *poolTest) accept() *fakeEngine {
	pt.t.Helper()
	select {
	case conn := <-pt.accepted:
		conn.SetDeadline(time.Now().Add(testTimeout))
		pt.t.Cleanup(func() { conn.Close() })
		return &fakeEngine{pt.t, conn, bufio.NewReader(conn)}
	case <-time.After(testTimeout):
		pt.t.Fatal("the pool opened no connection in time")
		return nil
	}
}

// expectEnd checks that the next event is the given attempt's AttemptEnded with an outcome.
func (pt *poolTest) expectEnd(number router.AttemptID, want router.Outcome) AttemptEnded {
	pt.t.Helper()
	select {
	case ev := <-pt.events:
		end, ok := ev.(AttemptEnded)
		if !ok || end.Attempt != number || end.Outcome != want {
			pt.t.Fatalf("got event %+v, want AttemptEnded of attempt %d with outcome %v", ev, number, want)
		}
		return end
	case <-time.After(testTimeout):
		pt.t.Fatalf("got no event in time, want AttemptEnded of attempt %d with outcome %v", number, want)
		return AttemptEnded{}
	}
}

// detachedConn returns a connection to the engine that has no goroutine, so that a test can run its steps in a
// chosen order.
func (pt *poolTest) detachedConn() (*conn, *lookaheadConn, *fakeEngine) {
	pt.t.Helper()
	netConn, err := net.Dial("tcp", pt.listener.Addr().String())
	if err != nil {
		pt.t.Fatal(err)
	}
	pt.t.Cleanup(func() { netConn.Close() })
	lookahead := newLookaheadConn(netConn, pt.pool.limits.EngineQueueBytes)
	c := newConn(pt.pool, "e", pt.listener.Addr().String())
	c.netConn = lookahead
	return c, lookahead, pt.accept()
}

// mustAdd adds an attempt of a new query to the connection.
func (c *conn) mustAdd(t *testing.T, id string, number router.AttemptID) *attempt {
	t.Helper()
	a := &attempt{query: newQuery(id), id: number, deadline: time.Now().Add(time.Minute)}
	if !c.add(a, 100) {
		t.Fatal("the connection did not accept the attempt")
	}
	return a
}

// fakeEngine is the engine's side of a connection.
type fakeEngine struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

// expect checks that the next line begins with want, and returns the line.
func (engine *fakeEngine) expect(want string) string {
	engine.t.Helper()
	line, err := engine.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, want) {
		engine.t.Fatalf("the engine received line %q, error %v, want a line that begins with %q", line, err, want)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// expectQuery checks that the engine receives an attempt of a query.
func (engine *fakeEngine) expectQuery(id string) {
	engine.t.Helper()
	engine.expect("do " + id + " profile=report,max=")
	engine.expect("SELECT 1 FROM s_1.t\r\n")
}

// write sends formatted text to the pool.
func (engine *fakeEngine) write(format string, args ...any) { fmt.Fprintf(engine, format, args...) }

// answer sends an answer, which is a head line and a body, to the pool.
func (engine *fakeEngine) answer(id, word, fields, body string) {
	engine.write("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// newQuery returns a query that was received just now.
func newQuery(id string) *request.Query {
	return &request.Query{
		ID:        id,
		ClassName: "report",
		Statement: []byte("SELECT 1 FROM s_1.t"),
		ReadAt:    time.Now(),
		TimeLeft:  time.Minute,
	}
}

// An attempt past its deadline is given up, and ends as TimedOut when the engine has confirmed the cancel.
func TestAttemptTimesOut(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.pool.StartAttempt(newQuery("c1"), 0, "e", 30*time.Millisecond, 0)
	engine := pt.accept()
	engine.expectQuery("c1")
	engine.expect("undo c1\r\n")
	engine.answer(strings.TrimPrefix(engine.expect("ping "), "ping "), "READY", "-", "")
	pt.expectEnd(0, router.TimedOut)
}

// An attempt that would exceed the limit of connections or of queued bytes ends as NotSent.
func TestAttemptNotSentAtLimits(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.EngineConnections = 1 })
	query := newQuery("c1")
	pt.start(query, 0)
	pt.accept().expectQuery("c1")
	pt.start(query, 1) // needs a second connection
	pt.expectEnd(1, router.NotSent)
	big := newQuery("c2")
	big.Statement = make([]byte, pt.pool.limits.EngineQueueBytes+1)
	pt.start(big, 2)
	pt.expectEnd(2, router.NotSent)
}

// A connection forgets the ids of queries that it has carried, as their number would grow without bound, but not
// while the client of a query may still wait.
func TestUsedIDs(t *testing.T) {
	c := newConn(newPoolTest(t, nil).pool, "e", "")
	live := newQuery("live")
	c.add(&attempt{query: live}, 1e6)
	for i := range 10 * minSweep {
		old := newQuery(fmt.Sprint(i))
		old.ReadAt = time.Now().Add(-time.Hour)
		c.add(&attempt{query: old}, 1e6)
	}
	if len(c.usedIDs) > 2*minSweep || c.add(&attempt{query: live}, 1e6) {
		t.Errorf("%d used ids are kept, want at most 2*minSweep with that of the live query", len(c.usedIDs))
	}
}
