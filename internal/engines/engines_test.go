package engines

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
	"mintkeel/router"
)

const patience = 10 * time.Second // for what must come

// rig is a pool with one stand-in engine, which says what the test has it say.
type rig struct {
	t        *testing.T
	pool     *Pool
	events   chan any
	listener net.Listener
	conns    chan net.Conn
}

func newRig(t *testing.T, change func(*limits.Limits)) *rig {
	l := limits.For(1024, 192, time.Second, 20*time.Second, 0)
	if change != nil {
		change(l)
	}
	r := &rig{t: t, events: make(chan any, 100), conns: make(chan net.Conn, 10)}
	r.pool = New(l, 100, func(ev Event) { r.events <- ev }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	var err error
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			r.conns <- conn
		}
	}()
	t.Cleanup(func() { r.pool.Close(); r.listener.Close() })
	r.list(router.Ready)
	return r
}

func (r *rig) list(state router.EngineState) {
	r.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: r.listener.Addr().String(), State: state}}, true)
}

func (r *rig) send(cmd *request.Query, number router.AttemptID) {
	r.pool.StartAttempt(cmd, number, "e", time.Minute, 0)
}

// peer is the engine's side of a connection.
type peer struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (r *rig) accept() *peer {
	r.t.Helper()
	select {
	case conn := <-r.conns:
		conn.SetDeadline(time.Now().Add(patience))
		r.t.Cleanup(func() { conn.Close() })
		return &peer{r.t, conn, bufio.NewReader(conn)}
	case <-time.After(patience):
		r.t.Fatal("no connection came")
		return nil
	}
}

// hears checks the next line, which may be given by its beginning.
func (p *peer) hears(want string) string {
	p.t.Helper()
	line, err := p.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, want) {
		p.t.Fatalf("heard %q, %v, not %q", line, err, want)
	}
	return strings.TrimSuffix(line, "\r\n")
}

func (p *peer) hearsDo(id string) {
	p.t.Helper()
	p.hears("do " + id + " profile=report,max=")
	p.hears("SELECT 1 FROM s_1.t\r\n")
}

func (p *peer) says(format string, args ...any) { fmt.Fprintf(p, format, args...) }

func (p *peer) answers(id, word, fields, body string) {
	p.says("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

func (r *rig) ended(number router.AttemptID, want router.Outcome) AttemptEnded {
	r.t.Helper()
	select {
	case ev := <-r.events:
		end, ok := ev.(AttemptEnded)
		if !ok || end.Attempt != number || end.Outcome != want {
			r.t.Fatalf("told %+v, not the end of %d by %v", ev, number, want)
		}
		return end
	case <-time.After(patience):
		r.t.Fatalf("not told the end of %d by %v", number, want)
		return AttemptEnded{}
	}
}

func command(id string) *request.Query {
	return &request.Query{ID: id, ClassName: "report", Statement: []byte("SELECT 1 FROM s_1.t"), ReadAt: time.Now(),
		TimeLeft: time.Minute}
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, says string
		hangUp     bool
		want       router.Outcome
		pages      string
	}{
		{name: "one page", says: "c1 ACK parts=1,report=inflight:7;util:0.5 6\r\na\tb\tc\n\r\n", pages: "a\tb\tc\n"},
		{name: "no rows", says: "c1 ACK - 0\r\n\r\n"},
		{name: "full", says: "c1 AGAIN - 0\r\n\r\n", want: router.EngineFull},
		{name: "over already", says: "c1 STALE - 0\r\n\r\n", want: router.NotSent},
		{name: "error", says: "c1 EIO - 4\r\nsome\r\n", want: router.Errored},
		{name: "reset", hangUp: true, want: router.ConnectionReset},
		{name: "half a line, then the end", says: "c1 ACK parts=1 6\r", hangUp: true, want: router.ConnectionReset},
		{name: "not a word", says: "c1 WHAT - 0\r\n\r\n", want: router.ConnectionReset},
		{name: "no length", says: "c1 ACK - x\r\n\r\n", want: router.ConnectionReset},
		{name: "no line end after the body", says: "c1 ACK - 0\r\nxx", want: router.ConnectionReset},
		{name: "a bare line feed", says: "c1 ACK - 0\n", want: router.ConnectionReset},
		{name: "a field without a value", says: "c1 ACK parts 0\r\n\r\n", want: router.ConnectionReset},
		{name: "a report of no numbers", says: "c1 ACK report=util:x 0\r\n\r\n", want: router.ConnectionReset},
		{name: "a row of two columns", says: "c1 ACK - 4\r\na\tb\n\r\n", want: router.ConnectionReset},
		{name: "a row without an end", says: "c1 ACK - 5\r\na\tb\tc\r\n", want: router.ConnectionReset},
		{name: "a page too long", says: "c1 ACK - 6001\r\n", want: router.ConnectionReset},
		{name: "a line too long", says: "c1 ACK x=" + strings.Repeat("y", 4000), want: router.ConnectionReset},
		{name: "too many pages", says: "c1 ACK parts=1000000 0\r\n\r\n", want: router.ConnectionReset},
		{name: "a page before the first", says: "c1 BLOCK part_no=1 6\r\na\tb\tc\n\r\n", want: router.ConnectionReset},
		{name: "a note, then nothing", says: "c9 EVENT remark=x 0\r\n\r\n", hangUp: true, want: router.ConnectionReset},
	} {
		r := newRig(t, nil)
		cmd := command("c1")
		r.send(cmd, 0)
		p := r.accept()
		p.hearsDo("c1")
		if p.says("%s", c.says); c.hangUp {
			p.Close()
		}
		t.Log(c.name)
		end := r.ended(0, c.want)
		if got := string(join(end.Pages)); got != c.pages {
			t.Errorf("%s: pages %q", c.name, got)
		}
		if c.pages != "" && (end.Load == nil || end.Load.Inflight != 7 || end.Load.Utilization != 0.5 || end.Load.Disk != -1) {
			t.Errorf("%s: load %+v", c.name, end.Load)
		}
	}
}

func join(pages [][]byte) (all []byte) {
	for _, page := range pages {
		all = append(all, page...)
	}
	return all
}

// A result counts when all its pages are in, in their order; a page that is lost is a send that failed.
func TestPages(t *testing.T) {
	for _, c := range []struct {
		name string
		says []string
		want router.Outcome
	}{
		{"out of order", []string{"c1 BLOCK part_no=2 6\r\n3\t3\t3\n\r\n", "c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n"},
			router.Succeeded},
		{"one lost", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n", "c1 EIO - 0\r\n\r\n"}, router.Errored},
		{"one twice", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n", "c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n",
			"c1 BLOCK part_no=2 6\r\n3\t3\t3\n\r\n"}, router.Succeeded},
		{"one twice, but otherwise", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n",
			"c1 BLOCK part_no=1 6\r\n2\t2\t9\n\r\n"}, router.ConnectionReset},
		{"one not asked for", []string{"c1 BLOCK part_no=3 6\r\n2\t2\t2\n\r\n"}, router.ConnectionReset},
		{"the first again", []string{"c1 ACK parts=3 6\r\n1\t1\t1\n\r\n", "c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n",
			"c9 ACK parts=1 0\r\n\r\n", "c1 BLOCK part_no=2 6\r\n3\t3\t3\n\r\n"}, router.Succeeded},
		{"the first again, but otherwise", []string{"c1 ACK parts=3 6\r\n1\t1\t9\n\r\n"}, router.ConnectionReset},
		{"more than a result holds", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\nc1 BLOCK part_no=2 39\r\n" +
			strings.Repeat("long", 9) + "\t\t\n\r\n"}, router.ConnectionReset},
	} {
		r := newRig(t, func(l *limits.Limits) { l.ResultBytes = 48 })
		r.send(command("c1"), 0)
		p := r.accept()
		p.hearsDo("c1")
		p.answers("c1", "ACK", "parts=3", "1\t1\t1\n")
		p.hears("page c1 1\r\n")
		p.hears("page c1 2\r\n")
		for _, s := range c.says {
			p.says("%s", s)
		}
		t.Log(c.name)
		end := r.ended(0, c.want)
		if got := string(join(end.Pages)); c.want == router.Succeeded && got != "1\t1\t1\n2\t2\t2\n3\t3\t3\n" {
			t.Errorf("%s: pages %q", c.name, got)
		}
		if c.want == router.Succeeded {
			p.hears("forget c1\r\n")
		}
	}
}

// An answer that crosses an undo must not pass for that of the next send: the id goes over another connection, and
// until the engine is known to have heard of the undo its send has no outcome, so that no two are out at once.
func TestAnswerThatCrossesUndo(t *testing.T) {
	r := newRig(t, nil)
	cmd := command("c1")
	r.send(cmd, 0)
	first := r.accept()
	first.hearsDo("c1")
	r.pool.CancelAttempt(cmd, 0, "e")
	first.hears("undo c1\r\n")
	tag := strings.TrimPrefix(first.hears("ping "), "ping ")
	select {
	case ev := <-r.events:
		t.Fatalf("told %+v before the engine heard of the undo", ev)
	default:
	}
	first.answers(tag, "READY", "-", "")
	r.ended(0, router.Cancelled)

	r.send(cmd, 1)
	second := r.accept()
	second.hearsDo("c1")
	first.answers("c1", "ACK", "parts=1", "old\told\told\n")
	other := command("c2") // the first connection still serves others
	r.send(other, 0)
	first.hearsDo("c2")
	first.answers("c2", "ACK", "parts=1", "2\t2\t2\n")
	if end := r.ended(0, router.Succeeded); end.Query != other {
		t.Fatalf("the end of %s", end.Query.ID)
	}
	second.answers("c1", "ACK", "parts=1", "new\tnew\tnew\n")
	if end := r.ended(1, router.Succeeded); string(join(end.Pages)) != "new\tnew\tnew\n" {
		t.Fatalf("pages %q", end.Pages)
	}
}

// What an engine says before it hears of an undo still tells how the send ended.
func TestEndThatCrossesUndo(t *testing.T) {
	for _, c := range []struct {
		word, fields, body string
		want               router.Outcome
	}{
		{"ACK", "parts=1", "1\t1\t1\n", router.Succeeded},
		{"ACK", "parts=2", "1\t1\t1\n", router.Cancelled}, // the rest can't be had any more
		{"AGAIN", "-", "", router.EngineFull},
		{"EIO", "-", "", router.Errored},
	} {
		r := newRig(t, nil)
		cmd := command("c1")
		r.send(cmd, 0)
		p := r.accept()
		p.hearsDo("c1")
		r.pool.CancelAttempt(cmd, 0, "e")
		p.hears("undo c1\r\n")
		p.answers("c1", c.word, c.fields, c.body)
		r.ended(0, c.want)
	}
}

// An engine that is cut off says nothing: a send given up there ends all the same, the next goes over a new
// connection, and one whose connection never comes up never ran.
func TestSilentEngine(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.GiveUpTime = 20 * time.Millisecond })
	cmd := command("c1")
	r.send(cmd, 0)
	p := r.accept()
	p.hearsDo("c1")
	r.pool.CancelAttempt(cmd, 0, "e")
	r.ended(0, router.Cancelled)
	r.listener.Close()
	r.send(command("c2"), 0)
	r.ended(0, router.ConnectFailed)
	p.answers("any", "READY", "-", "") // it is back
	r.pool.CheckHealth("e")
	p.hears("undo")
	p.hears("ping")
}

// Sends share a connection only where there may be no other, so that one bad answer spoils no more than it must.
func TestSpread(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.EngineConns = 3 }) // of which one is kept back
	var peers []*peer
	for i := range 2 {
		id := fmt.Sprint("c", i)
		r.send(command(id), router.AttemptID(i))
		p := r.accept()
		p.hearsDo(id)
		peers = append(peers, p)
	}
	r.send(command("c2"), 2)
	shared, alone := peers[0], peers[1]
	shared.hearsDo("c2")
	shared.says("c2 ACK - x\r\n")
	for range 2 {
		if end := (<-r.events).(AttemptEnded); end.Outcome != router.ConnectionReset || end.Attempt == 1 {
			t.Errorf("told %+v", end)
		}
	}
	alone.answers("c1", "ACK", "-", "")
	r.ended(1, router.Succeeded)
	r.send(command("c3"), 3) // on the idle one
	alone.hearsDo("c3")
}

// An engine that comes new finds room for connections, though others hold all that there may be for each send to have
// one; their idle ones go.
func TestNewEngine(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.EngineConns = 8 })
	for i := range 8 {
		r.send(command(fmt.Sprint("c", i)), router.AttemptID(i))
	}
	for range 6 {
		p := r.accept()
		head := strings.Fields(p.hears("do "))
		p.hears("SELECT")
		p.answers(head[1], "ACK", "-", "")
		<-r.events
	}
	dial := r.listener.Addr().String()
	r.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: dial}, {Engine: "new", Address: dial}}, true)
	r.pool.StartAttempt(command("d"), 0, "new", time.Minute, 0)
	r.accept().hearsDo("d")
	for len(r.pool.engines["e"].live()) > 3 {
		runtime.Gosched()
	}
}

// With more engines than connections each is reached: the connection that has been idle for the longest time makes room,
// and never one that carries a send or waits for an answer to a ping.
func TestMoreEngines(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.EngineConns, l.SpareTime = 4, 0 })
	dial := r.listener.Addr().String()
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{Engine: router.EngineID(fmt.Sprint("e", i)), Address: dial})
	}
	r.pool.UpdateEndpoints(list, true)
	reach := func(i int) *peer {
		t.Helper()
		r.pool.StartAttempt(command(fmt.Sprint("c", i)), router.AttemptID(i), list[i].Engine, time.Minute, 0)
		p := r.accept()
		p.hearsDo(fmt.Sprint("c", i))
		return p
	}
	busy, asked := reach(0), reach(1)
	asked.answers("c1", "ACK", "-", "")
	r.ended(1, router.Succeeded)
	r.pool.CheckHealth("e1")
	asked.hears("ping ")
	for i := 2; i < 12; i++ {
		p := reach(i)
		if open := r.pool.open.Load(); open > 4 {
			t.Errorf("%d connections are open", open)
		}
		p.answers(fmt.Sprint("c", i), "ACK", "-", "")
		r.ended(router.AttemptID(i), router.Succeeded)
	}
	if n := r.pool.yielded.Load(); n != 8 {
		t.Errorf("%d connections made room", n)
	}
	busy.answers("c0", "ACK", "-", "")
	r.ended(0, router.Succeeded)
	r.pool.limits.SpareTime = time.Hour // all were of use just now
	r.pool.StartAttempt(command("d"), 20, "e2", time.Minute, 0)
	r.ended(20, router.NotSent)
	r.pool.limits.SpareTime = 0
	r.pool.SetExpired(true)
	r.pool.StartAttempt(command("e"), 21, "e3", time.Minute, 0)
	r.ended(21, router.NotSent)
}

// A connection that says nothing while it owes something is asked whether it still works. If it doesn't say so, or
// leaves an answer half said, all that is out on it ends, long before it would be missed otherwise.
func TestDeadConnection(t *testing.T) {
	for _, says := range []string{"", "c1 ACK parts=1 6\r\na\tb", "c1 ACK par"} {
		r := newRig(t, func(l *limits.Limits) {
			l.EngineConns, l.PingAfter, l.GiveUpTime, l.RestTime = 1, 20*time.Millisecond, 30*time.Millisecond, 10*time.Millisecond
		})
		r.send(command("c1"), 1)
		r.send(command("c2"), 1)
		p := r.accept()
		p.hearsDo("c1")
		p.hearsDo("c2")
		p.says("%s", says)
		p.hears("ping k\r\n")
		r.ended(1, router.ConnectionReset)
		r.ended(1, router.ConnectionReset)
	}
}

// One that answers pings stays, however long its sends take.
func TestSlowEngine(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.PingAfter = time.Millisecond })
	r.send(command("c1"), 1)
	p := r.accept()
	p.hearsDo("c1")
	for range 20 {
		p.hears("ping k\r\n")
		p.answers("k", "READY", "-", "")
	}
	p.answers("c1", "ACK", "-", "")
	r.ended(1, router.Succeeded)
}

func TestTimeOut(t *testing.T) {
	r := newRig(t, nil)
	r.pool.StartAttempt(command("c1"), 0, "e", 30*time.Millisecond, 0)
	p := r.accept()
	p.hearsDo("c1")
	p.hears("undo c1\r\n")
	p.answers(strings.TrimPrefix(p.hears("ping "), "ping "), "READY", "-", "")
	r.ended(0, router.TimedOut)
}

// What waits for a connection to an engine that comes to drain must not go out; what is out there goes on.
func TestDrain(t *testing.T) {
	r := newRig(t, nil)
	r.send(command("c1"), 0)
	p := r.accept()
	p.hearsDo("c1")
	c := newConn(r.pool, "e", "127.0.0.1:1") // never run: it stays as while being dialled
	r.pool.engines["e"].conns = append(r.pool.engines["e"].conns, c)
	waiting := &send{cmd: command("c2"), number: 5, until: time.Now().Add(time.Minute)}
	if !c.put(waiting, 100) {
		t.Fatal("not taken on")
	}
	r.list(router.Draining)
	r.ended(5, router.Withdrawn)
	if len(c.out) != 0 {
		t.Errorf("%d things left to write", len(c.out))
	}
	r.send(command("c3"), 0)
	r.ended(0, router.NotSent)
	r.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: "0.0.0.0:0", State: router.Gone}}, false)
	p.answers("c1", "ACK", "-", "")
	r.ended(0, router.Succeeded)
}

// While the list has expired, a connection is opened only beside one that is up.
func TestExpired(t *testing.T) {
	r := newRig(t, nil)
	r.pool.SetExpired(true)
	r.send(command("c1"), 0)
	r.ended(0, router.NotSent)
	r.pool.SetExpired(false)
	again := command("c2")
	r.send(again, 1)
	first := r.accept()
	first.hearsDo("c2")
	waits := newConn(r.pool, "e", "127.0.0.1:1") // never run: it stays as while being dialled
	r.pool.engines["e"].conns = append(r.pool.engines["e"].conns, waits)
	waits.puts(t, "c9", 9)
	r.pool.SetExpired(true)
	r.ended(9, router.Withdrawn)
	waits.end(errIdle, router.ConnectFailed)
	r.send(again, 2)
	second := r.accept()
	second.hearsDo("c2")
	first.Close()
	second.Close()
	<-r.events
	<-r.events
	for len(r.pool.engines["e"].live()) > 0 {
		runtime.Gosched()
	}
	r.send(command("c3"), 3)
	r.ended(3, router.NotSent)
}

// At a limit a send ends as one that never went out.
func TestLimits(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.EngineConns = 1 })
	cmd := command("c1")
	r.send(cmd, 0)
	r.accept().hearsDo("c1")
	r.send(cmd, 1) // needs a second connection
	r.ended(1, router.NotSent)
	big := command("c2")
	big.Statement = make([]byte, r.pool.limits.QueueBytes+1)
	r.send(big, 2)
	r.ended(2, router.NotSent)
}

// Ids that a connection has carried are not kept for ever, and not dropped while their commands may live.
func TestUsedIDs(t *testing.T) {
	c := newConn(newRig(t, nil).pool, "e", "")
	live := command("live")
	c.put(&send{cmd: live}, 1e6)
	for i := range 10 * leastSweep {
		old := command(fmt.Sprint(i))
		old.ReadAt = time.Now().Add(-time.Hour)
		c.put(&send{cmd: old}, 1e6)
	}
	if len(c.used) > 2*leastSweep || c.put(&send{cmd: live}, 1e6) {
		t.Errorf("%d ids kept", len(c.used))
	}
}

func TestNotes(t *testing.T) {
	r := newRig(t, nil)
	cmd := command("c1")
	r.send(cmd, 3)
	p := r.accept()
	p.hearsDo("c1")
	for _, c := range []struct {
		fields string
		want   AttemptProgress
	}{
		{"remark=progress,value=0.25", AttemptProgress{cmd, 3, router.ProgressDone, 0.25}},
		{"remark=spill_mb,value=12", AttemptProgress{cmd, 3, router.ProgressSpilling, 12}},
		{"remark=blocked,value=1", AttemptProgress{cmd, 3, router.ProgressWaitsForMemory, 1}},
		{"remark=blocked,value=2", AttemptProgress{cmd, 3, router.ProgressWaitsForTables, 2}},
	} {
		p.answers("c1", "EVENT", "-", "") // not yet over, and no note
		p.answers("c1", "EVENT", c.fields, "")
		if got := <-r.events; got != any(c.want) {
			t.Errorf("%s: %+v", c.fields, got)
		}
	}
}

// dialled is a connection of the pool's that no goroutine runs: a test takes its steps one by one, in the order that is
// to be shown.
func (r *rig) dialled() (*conn, *source, *peer) {
	r.t.Helper()
	up, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { up.Close() })
	from, err := newSource(up)
	if err != nil {
		r.t.Fatal(err)
	}
	c := newConn(r.pool, "e", r.listener.Addr().String())
	c.net = up
	return c, from, r.accept()
}

func (c *conn) puts(t *testing.T, id string, number router.AttemptID) *send {
	t.Helper()
	s := &send{cmd: command(id), number: number, until: time.Now().Add(time.Minute)}
	if !c.put(s, 100) {
		t.Fatal("not taken on")
	}
	return s
}

// An engine ends a connection in the moment in which a command is to be written to it: nothing is, so it never ran, and
// may go elsewhere whatever its profile. What the engine has answered ahead of the end counts.
func TestEndMeetsWrite(t *testing.T) {
	r := newRig(t, nil)
	c, from, p := r.dialled()
	c.puts(t, "c1", 1)
	batch, _, err := c.next(time.Now(), from, time.Time{})
	if err := errors.Join(err, c.flush(batch, from, time.Now().Add(patience))); err != nil {
		t.Fatal(err)
	}
	p.hearsDo("c1")
	p.answers("c1", "ACK", "parts=1", "1\t1\t1\n")
	p.Close()
	for from.look() == nil { // until its end has come
		runtime.Gosched()
	}
	c.puts(t, "c2", 2)
	c.end(c.serve(from), router.ConnectionReset)
	r.ended(1, router.Succeeded)
	r.ended(2, router.ConnectFailed)
}

// cut takes so many bytes, and fails then.
type cut struct {
	net.Conn
	left int
}

func (c *cut) Write(b []byte) (int, error) {
	n := min(c.left, len(b))
	if c.left -= n; n < len(b) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

// A connection breaks before, in and after the write of a command: it may have run if the last byte went out, and never
// ran otherwise.
func TestBreaksUnderWrite(t *testing.T) {
	r := newRig(t, nil)
	for _, c := range []struct {
		name  string
		taken func(first, both int) int
		ends  map[router.AttemptID]router.Outcome
	}{
		{"before", func(int, int) int { return 0 }, map[router.AttemptID]router.Outcome{1: router.ConnectFailed, 2: router.ConnectFailed}},
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
		conn := newConn(r.pool, "e", "")
		for number := range router.AttemptID(2) {
			conn.puts(t, fmt.Sprint("c", number), number+1)
		}
		first, both := conn.out[0].size(), conn.queued
		from, err := newSource(&cut{Conn: ours, left: c.taken(first, both)})
		if err != nil {
			t.Fatal(err)
		}
		conn.end(conn.serve(from), router.ConnectionReset)
		for range 2 {
			if end := (<-r.events).(AttemptEnded); end.Outcome != c.ends[end.Attempt] {
				t.Errorf("%s: send %d ended as %v", c.name, end.Attempt, end.Outcome)
			}
		}
	}
}

// A connection that comes up after its command was answered, given up, or left by its client carries nothing of it.
func TestComesUpTooLate(t *testing.T) {
	for _, c := range []struct {
		name string
		over func(c *conn, cmd *request.Query)
	}{
		{"its client has gone", func(_ *conn, cmd *request.Query) {
			cmd.Finish(request.Answer{Verdict: request.Disconnected})
		}},
		{"answered", func(_ *conn, cmd *request.Query) { cmd.Finish(request.Answer{Verdict: request.Rejected}) }},
		{"past the time by which it was to begin", func(c *conn, _ *request.Query) {
			for _, it := range c.out {
				it.send.begin = time.Now()
			}
		}},
		{"given up", func(c *conn, cmd *request.Query) { c.giveUp(cmd, 1) }},
	} {
		r := newRig(t, nil)
		conn := newConn(r.pool, "e", r.listener.Addr().String())
		s := conn.puts(t, "c1", 1)
		c.over(conn, s.cmd)
		conn.puts(t, "c2", 2)
		go conn.run()
		t.Log(c.name)
		r.ended(1, router.Withdrawn)
		p := r.accept()
		p.hearsDo("c2")
		p.answers("c2", "ACK", "-", "")
		r.ended(2, router.Succeeded)
		conn.stop()
	}
}

// An engine that comes where another was gets nothing that is meant for that one, whose end is not told yet.
func TestAddressUsedAgain(t *testing.T) {
	r := newRig(t, nil)
	r.send(command("c1"), 1)
	old := r.accept()
	old.hearsDo("c1")
	waits := newConn(r.pool, "e", "127.0.0.1:1") // never run: it stays as while being dialled
	r.pool.engines["e"].conns = append(r.pool.engines["e"].conns, waits)
	waits.puts(t, "c2", 2)
	r.pool.UpdateEndpoints([]Endpoint{{Engine: "f", Address: r.listener.Addr().String()}}, false)
	r.ended(2, router.Withdrawn)
	r.send(command("c3"), 3)
	r.ended(3, router.NotSent)
	r.pool.StartAttempt(command("c4"), 4, "f", time.Minute, 0)
	fresh := r.accept()
	fresh.hearsDo("c4")
	old.answers("c1", "ACK", "-", "") // what is out there may still end
	r.ended(1, router.Succeeded)
	r.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: r.listener.Addr().String()}}, false) // and it is back, at the address that is named now
	r.send(command("c5"), 5)
	again := r.accept()
	again.hearsDo("c5")
}

// An answer that comes again some milliseconds later, or otherwise, spoils nothing of what follows on its connection.
func TestSecondAnswer(t *testing.T) {
	r := newRig(t, func(l *limits.Limits) { l.EngineConns = 1 })
	r.send(command("c1"), 1)
	p := r.accept()
	p.hearsDo("c1")
	p.answers("c1", "ACK", "parts=1", "1\t1\t1\n")
	r.ended(1, router.Succeeded)
	r.send(command("c2"), 2)
	p.hearsDo("c2")
	p.answers("c1", "ACK", "parts=1", "1\t1\t1\n")
	p.answers("c1", "EIO", "-", "")
	p.answers("c1", "BLOCK", "part_no=3", "1\t1\t1\n")
	p.answers("c2", "ACK", "parts=1", "2\t2\t2\n")
	if end := r.ended(2, router.Succeeded); string(join(end.Pages)) != "2\t2\t2\n" {
		t.Errorf("pages %q", end.Pages)
	}
}

// An engine that has told of progress can't tell afterwards that the command never ran.
func TestTurnedAwayAfterProgress(t *testing.T) {
	for _, word := range []string{"AGAIN", "STALE"} {
		r := newRig(t, nil)
		r.send(command("c1"), 1)
		p := r.accept()
		p.hearsDo("c1")
		p.answers("c1", "EVENT", "remark=progress,value=0.1", "")
		<-r.events
		p.answers("c1", word, "-", "")
		r.ended(1, router.Errored)
	}
}

// A connection is of no more use in the moment in which a command is put on it: whichever comes first, either the command
// is written, or another connection takes it.
func TestIdleMeetsPut(t *testing.T) {
	r := newRig(t, nil)
	for _, first := range []string{"put", "idle"} {
		c, from, _ := r.dialled()
		s := &send{cmd: command("c1"), until: time.Now().Add(time.Minute)}
		taken := true
		c.idleAt = time.Now().Add(-2 * r.pool.limits.EngineIdle)
		if first == "put" {
			taken = c.put(s, 100)
		}
		batch, _, err := c.next(time.Now(), from, time.Time{})
		if first == "idle" {
			taken = c.put(s, 100)
		}
		if written := len(batch) > 0; written != (first == "put") || taken != written || errors.Is(err, errIdle) == written {
			t.Errorf("%s first: taken on %t, %d written, %v", first, taken, len(batch), err)
		}
	}
}

// An engine that resets a connection after an answer has answered; what follows goes over another.
func TestResetAfterAnswer(t *testing.T) {
	r := newRig(t, nil)
	r.send(command("c1"), 1)
	p := r.accept()
	p.hearsDo("c1")
	p.answers("c1", "ACK", "-", "")
	r.ended(1, router.Succeeded)
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
	for len(r.pool.engines["e"].live()) > 0 { // until it is seen
		runtime.Gosched()
	}
	r.send(command("c2"), 2)
	r.accept().hearsDo("c2")
}
