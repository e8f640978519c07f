package clients

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

const (
	patience = 10 * time.Second // for what must come
	head     = "/* verb=report,txn=9b1f03aa5c7e2d41,limit=1500 */ "
	query    = head + "SELECT 1 FROM sales_17.orders"
)

func startUp(code uint32, rest string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(rest)))
	return append(binary.BigEndian.AppendUint32(b, code), rest...)
}

func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body))), body...)
}

func ask(text string) []byte { return message('Q', text+"\x00") }

var hello = startUp(3<<16, "user\x00app\x00database\x00core\x00\x00")

// front is a server with what it tells the loop.
type front struct {
	t      *testing.T
	server *Server
	addr   string
	events chan any
	full   chan bool // with something in it: the next command is not taken
}

func newFront(t *testing.T, change func(*limits.Limits)) *front {
	l := limits.For(1024, 192, 0, 0, 0)
	if change != nil {
		change(l)
	}
	names := &settings.Names{Classes: map[string]router.ClassID{"report": 0, "load": 1},
		Tenants: map[string]router.TenantID{"acme": 0}}
	f := &front{t: t, events: make(chan any, 100), full: make(chan bool, 1)}
	offer := func(ev QueryArrived) bool {
		select {
		case <-f.full:
			return false
		default:
			f.events <- ev
			return true
		}
	}
	f.server = New(l, names, []router.QueryClass{{}, {Effect: router.Deduplicated}}, offer,
		func() time.Duration { return 250 * time.Millisecond }, func(ev Event) { f.events <- ev }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = listener.Addr().String()
	go f.server.Serve(listener)
	t.Cleanup(func() { listener.Close(); f.server.Close() })
	return f
}

func (f *front) dial(bytes ...[]byte) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	for _, b := range bytes {
		conn.Write(b)
	}
	return conn
}

// hears reads messages until one of a kind in until comes, and returns their kinds with errors' codes; the cancel
// key, if it came.
func (f *front) hears(conn net.Conn, until string) (said string, key []byte) {
	f.t.Helper()
	for {
		head := make([]byte, 5)
		if _, err := io.ReadFull(conn, head); err != nil {
			return said + "$", key
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		io.ReadFull(conn, body)
		switch said += string(head[:1]); head[0] {
		case 'E':
			_, code, _ := bytes.Cut(body, []byte("\x00C"))
			said += string(code[:5])
		case 'K':
			key = body
		}
		if strings.Contains(until, string(head[:1])) {
			return said, key
		}
	}
}

func (f *front) taken() *request.Query {
	f.t.Helper()
	select {
	case ev := <-f.events:
		if t, ok := ev.(QueryArrived); ok {
			return t.Query
		}
		f.t.Fatalf("told %+v", ev)
	case <-time.After(patience):
		f.t.Fatal("nothing was taken")
	}
	return nil
}

const welcome = "RSSSSSSKZ"

// A command with its first query right behind the start-up message; each kind of answer, on one session.
func TestAnswers(t *testing.T) {
	f := newFront(t, nil)
	conn := f.dial(startUp(80877103, ""))
	one := make([]byte, 1)
	if io.ReadFull(conn, one); one[0] != 'N' {
		t.Fatalf("encryption answered by %q", one)
	}
	conn.Write(append(hello, ask(query)...))
	for _, c := range []struct {
		answer request.Answer
		said   string
	}{
		{request.Answer{Verdict: request.Succeeded, Pages: [][]byte{[]byte("a\tb\tc\nd\te\tf\n"), []byte("\t\t\n")}},
			"TDDDCZ"},
		{request.Answer{Verdict: request.Succeeded}, "TCZ"},
		{request.Answer{Verdict: request.Rejected, RetryAfter: time.Second}, "E53000Z"},
		{request.Answer{Verdict: request.Failed}, "E58000Z"},
	} {
		cmd := f.taken()
		if cmd.Tables != 17 || cmd.TimeLeft != 1500*time.Millisecond-f.server.limits.AnswerTime || string(cmd.Statement) != query[len(head):] {
			t.Errorf("took %+v", cmd)
		}
		if !cmd.Finish(c.answer) || cmd.Finish(request.Answer{Verdict: request.Failed}) {
			t.Error("not one final answer")
		}
		said, _ := f.hears(conn, "Z")
		if said == welcome {
			said, _ = f.hears(conn, "Z")
		}
		if said != c.said {
			t.Errorf("%+v: said %s", c.answer, said)
		}
		conn.Write(ask(query))
	}
}

// A command that is not taken, as too many wait, is shed at once, with the time for which to stay away; the session
// goes on.
func TestNotTaken(t *testing.T) {
	f := newFront(t, nil)
	conn := f.dial(hello)
	f.hears(conn, "Z")
	f.full <- true
	conn.Write(ask(query))
	want := pgwire.AppendReady(pgwire.AppendShed(nil, 250*time.Millisecond))
	got := make([]byte, len(want))
	if io.ReadFull(conn, got); !bytes.Equal(got, want) {
		t.Errorf("said %q", got)
	}
	conn.Write(ask(query))
	f.taken().Finish(request.Answer{Verdict: request.Succeeded})
	if said, _ := f.hears(conn, "Z"); said != "TCZ" {
		t.Errorf("then said %s", said)
	}
}

func TestRows(t *testing.T) {
	f := newFront(t, nil)
	conn := f.dial(hello, ask(query))
	f.taken().Finish(request.Answer{Verdict: request.Succeeded, Pages: [][]byte{[]byte("one\t\tthree\n")}})
	f.hears(conn, "Z")
	want := append(pgwire.AppendRowDescription(nil), message('D', "\x00\x03\x00\x00\x00\x03one\x00\x00\x00\x00\x00\x00\x00\x05three")...)
	want = append(append(want, message('C', "SELECT 1\x00")...), message('Z', "I")...)
	got := make([]byte, len(want))
	if io.ReadFull(conn, got); !bytes.Equal(got, want) {
		t.Errorf("wrote %q", got)
	}
}

// What no client should write gets a proper error, and nothing is taken.
func TestBadInput(t *testing.T) {
	load := strings.Replace(query, "report", "load", 1)
	with := func(from, to string) []byte { return ask(strings.Replace(query, from, to, 1)) }
	f := newFront(t, nil)
	for _, c := range []struct {
		name  string
		bytes []byte
		said  string
	}{
		{"empty query", ask(""), "IZ"},
		{"blanks alone", ask(" ;\n"), "IZ"},
		{"no fields", ask("SELECT 1 FROM sales_17.orders"), "E22004Z"},
		{"comment without end", ask("/* verb=report"), "E22023Z"},
		{"no statement", ask(head), "E22004Z"},
		{"no profile", with("verb=report,", ""), "E22004Z"},
		{"another profile", with("report", "what"), "E22023Z"},
		{"profile that is no word", with("report", "re port"), "E22023Z"},
		{"no id", with("txn=9b1f03aa5c7e2d41,", ""), "E22004Z"},
		{"short id", with("9b1f", "9b1"), "E22023Z"},
		{"id of no hex", with("9b1f", "9b1g"), "E22023Z"},
		{"no limit", with(",limit=1500", ""), "E22004Z"},
		{"limit of no number", with("1500", "soon"), "E22023Z"},
		{"negative limit", with("1500", "-1"), "E22023Z"},
		{"infinite limit", with("1500", "+Inf"), "E22023Z"},
		{"limit of a year", with("1500", "31536000000"), "E22023Z"},
		{"estimate of no number", with("1500", "1500,cpu=NaN"), "E22023Z"},
		{"memory that nobody has", with("1500", "1500,est_mb=1e8"), "E22023Z"},
		{"field twice", with("limit=1500", "limit=1,limit=2"), "E22023Z"},
		{"field without value", with("limit=1500", "limit=1500,cpu"), "E22023Z"},
		{"another tenant", with("limit", "team=none,limit"), "E22023Z"},
		{"mark that is no word", with("limit", "unique=a b,limit"), "E22023Z"},
		{"uniqued without mark", ask(load), "E22004Z"},
		{"no tables", with("sales_17", "staging"), "E22023Z"},
		{"extended query", append(append(message('P', "\x00x\x00\x00\x00"), message('D', "S\x00")...), message('S', "")...),
			"E0A000Z"},
		{"function call", message('F', ""), "E0A000Z"},
		{"copy data out of turn", append(message('d', "x"), message('S', "")...), "Z"},
		{"query without end", message('Q', "SELECT 1"), "E08P01$"},
		{"query of two texts", message('Q', "a\x00b\x00"), "E08P01$"},
		{"unknown message", message('!', ""), "E08P01$"},
		{"length under its own size", []byte{'Q', 0, 0, 0, 3}, "E08P01$"},
		{"too long", ask(query + strings.Repeat(" ", 1<<20)), "E54000$"},
		{"good bye", message('X', ""), "$"},
	} {
		conn := f.dial(hello)
		f.hears(conn, "Z")
		conn.Write(c.bytes)
		if said, _ := f.hears(conn, "Z"); said != c.said {
			t.Errorf("%s: said %s", c.name, said)
		}
	}
	for _, start := range [][]byte{startUp(2<<16, ""), startUp(3<<16, "user"), []byte("GET / HTTP/1.1\r\n\r\n"),
		{0, 0, 0, 4, 0, 0, 0, 0}, startUp(80877102, "short")} {
		if said, _ := f.hears(f.dial(start), "Z"); said != "E08P01$" {
			t.Errorf("start %q: said %s", start, said)
		}
	}
	if len(f.events) > 0 {
		t.Errorf("told %+v", <-f.events)
	}
}

// A client that leaves is owed nothing more; a key that is not its own gives nothing up.
func TestLeaving(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(f *front, conn net.Conn, key []byte)
		said  string
	}{
		{"cancel", func(f *front, _ net.Conn, key []byte) { f.dial(startUp(80877102, string(key))) }, "E57014Z"},
		{"close", func(_ *front, conn net.Conn, _ []byte) { conn.Close() }, "$"},
		{"good bye", func(_ *front, conn net.Conn, _ []byte) { conn.Write(message('X', "")) }, "$"},
		{"reset", func(_ *front, conn net.Conn, _ []byte) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, "$"},
		{"cut within the next query", func(_ *front, conn net.Conn, _ []byte) {
			conn.Write(ask(query)[:9])
			conn.(*net.TCPConn).CloseWrite()
		}, "$"},
	} {
		f := newFront(t, nil)
		conn := f.dial(hello)
		_, key := f.hears(conn, "Z")
		conn.Write(ask(query))
		cmd := f.taken()
		wrong := append(bytes.Clone(key[:4]), key[4]^1, key[5], key[6], key[7])
		f.hears(f.dial(startUp(80877102, string(wrong))), "") // until it is closed, so has been read
		c.leave(f, conn, key)
		if ev := <-f.events; ev != any(ClientDisconnected{cmd}) {
			t.Errorf("%s: told %+v", c.name, ev)
		}
		if cmd.Finish(request.Answer{Verdict: request.Succeeded}) {
			t.Errorf("%s: answered after its client had left", c.name)
		}
		if said, _ := f.hears(conn, "Z"); said != c.said {
			t.Errorf("%s: said %s", c.name, said)
		}
	}
}

// A command must be answered a little before its client gives up, so that the answer comes in time.
func TestWithin(t *testing.T) {
	ses := newSession(newFront(t, func(l *limits.Limits) { l.AnswerTime = 50 * time.Millisecond }).server, nil)
	for _, c := range []struct{ limitMS, want float64 }{{6000, 5950}, {400, 350}, {80, 70}, {0, 0}} {
		if got := ses.within(c.limitMS); got != time.Duration(c.want*1e6) {
			t.Errorf("of %v ms: %v", c.limitMS, got)
		}
	}
}

// A query written before the answer to the last one is taken after it, and its time counts from when it came.
func TestEarlyQuery(t *testing.T) {
	f := newFront(t, nil)
	conn := f.dial(hello, ask(query))
	first := f.taken()
	heard := func() time.Time {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		return f.server.heard
	}
	before := heard()
	conn.Write(ask(query))
	for heard() == before { // until the second has been read
		runtime.Gosched()
	}
	if len(f.events) > 0 {
		t.Error("taken before the first was answered")
	}
	answeredAt := time.Now()
	first.Finish(request.Answer{Verdict: request.Rejected})
	if second := f.taken(); !second.ReadAt.Before(answeredAt) {
		t.Error("its time counts from its turn")
	}
}

// In a full house room is made from who holds it without an open command: first from those who never asked anything,
// then from those who asked longest ago. The newest and who has a command open are spared.
func TestFullHouse(t *testing.T) {
	f := newFront(t, func(l *limits.Limits) { l.Connections, l.FreshTime = 3, 0 })
	answer := func(conn net.Conn) {
		f.taken().Finish(request.Answer{Verdict: request.Rejected})
		f.hears(conn, "E")
		f.hears(conn, "Z")
		for f.server.Quiet() == 0 { // until the session is at rest
			runtime.Gosched()
		}
	}
	stays := f.dial(hello, ask(query))
	answer(stays)
	open := f.dial(hello, ask(query))
	cmd := f.taken()
	silent := f.dial()
	for range 2 { // of the second, whose first message is on its way when the third comes
		f.hears(f.dial(hello, message('X', "")), "")
	}
	if said, _ := f.hears(silent, ""); said != "$" {
		t.Errorf("who never said anything: %s", said)
	}
	next := f.dial(hello, ask(query))
	f.taken()
	last := f.dial(hello, ask(query))
	f.taken()
	if said, _ := f.hears(stays, ""); said != "$" {
		t.Errorf("who asked once and stayed: %s", said)
	}
	if said, _ := f.hears(f.dial(hello), ""); said != "E53300$" {
		t.Errorf("past a house full of open commands: %s", said)
	}
	cmd.Finish(request.Answer{Verdict: request.Succeeded})
	if said, _ := f.hears(open, "C"); said != welcome+"TC" {
		t.Errorf("who has a command open: %s", said)
	}
	said, key := f.hears(next, "Z")
	if also, _ := f.hears(last, "Z"); said != welcome || also != welcome {
		t.Errorf("others with a command open: %s, %s", said, also)
	}
	f.until("who was answered is at rest", func() bool {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		return f.server.waiting[resting].Len() == 1
	})
	f.dial(hello, ask(query)) // in its place
	f.taken()
	f.dial(startUp(80877102, string(key)))
	if said, _ := f.hears(next, "Z"); said != "E57014Z" {
		t.Errorf("who cancels in a full house: %s", said)
	}
}

// Who says nothing, or half a message, is told or closed in time; so is who asked once and stays.
func TestSilence(t *testing.T) {
	f := newFront(t, func(l *limits.Limits) {
		l.FirstTime, l.MessageTime, l.IdleTime, l.CloseTime = 40*time.Millisecond, 30*time.Millisecond, 60*time.Millisecond, 0
	})
	for _, c := range []struct {
		name  string
		bytes [][]byte
		said  string
	}{
		{"nothing", nil, "E08P01$"},
		{"half a start-up message", [][]byte{hello[:9]}, "E08P01$"},
		{"a start-up message alone", [][]byte{hello}, welcome + "E08P01$"},
		{"half a query", [][]byte{hello, ask(query)[:20]}, welcome + "E08P01$"},
		{"a query without end", [][]byte{hello, {'Q', 0, 0, 0x40, 0}, make([]byte, 8000)}, welcome + "E08P01$"},
		{"an empty query, then nothing", [][]byte{hello, ask("")}, welcome + "IZ$"},
		{"an empty query, then half of one", [][]byte{hello, ask(""), ask(query)[:9]}, welcome + "IZE08P01$"},
	} {
		if said, _ := f.hears(f.dial(c.bytes...), ""); said != c.said {
			t.Errorf("%s: said %s", c.name, said)
		}
	}
}

// A message longer than the usual buffer is taken, what follows it too, and the large buffer goes.
func TestLongMessage(t *testing.T) {
	f := newFront(t, nil)
	long := query + strings.Repeat(" ", f.server.limits.MessageBytes/2)
	conn := f.dial(hello, ask(long), ask(query))
	for _, want := range []string{long, query} {
		cmd := f.taken()
		if string(cmd.Statement) != want[len(head):] {
			t.Errorf("took a statement of %d bytes, not %d", len(cmd.Statement), len(want)-len(head))
		}
		cmd.Finish(request.Answer{Verdict: request.Rejected})
	}
	f.hears(conn, "Z")
	f.hears(conn, "Z")
	f.hears(conn, "Z")
	ses := newSession(f.server, conn)
	ses.widen(9000)
	conn.Close()
	if ses.next(); ses.r != ses.small {
		t.Error("the large buffer stays")
	}
}

func TestTableGroup(t *testing.T) {
	for _, c := range []struct {
		statement string
		group     int64
		found     bool
	}{
		{"SELECT day, count(*) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17, true},
		{"INSERT INTO sales_5.orders SELECT * FROM staging.batch_9", 5, true},
		{"SELECT 1 FROM staging.b_3 JOIN Sales_5.orders ON true", 5, true},
		{"SELECT 'from a_1.b' FROM c_2.d", 2, true},
		{"SELECT 'it''s from a_1.b' FROM c_2.d", 2, true},
		{`SELECT E'\' from a_1.b' FROM c_2.d`, 2, true},
		{"SELECT $$ from a_1.b $$, $x$ from a_3.b $x$ FROM c_2.d", 2, true},
		{"/* from a_1.b /* nested */ from a_3.b */ SELECT 1 -- from a_4.b\nFROM c_2.d", 2, true},
		{`SELECT "from a_1.b" FROM "c_2"."d"`, 2, true},
		{"SELECT t_9.note FROM c_2.d AS t_9", 2, true},
		{"SELECT 1.5 FROM x, c_2.d", 2, true},
		{"UPDATE ONLY c_2.d SET x = 1", 2, true},
		{"DELETE FROM c_2.d", 2, true},
		{"SELECT 1 FROM staging.d", 0, false},
		{"SELECT 1 FROM staging_4.d", 0, false},
		{"SELECT 1", 0, false},
		{"SELECT 'open FROM c_2.d", 0, false},
		{"SELECT 1 FROM c_x.d", 0, false},
		{"SELECT 1 FROM c_99999999999999999999.d", 0, false},
	} {
		if group, found := pgwire.TableOf([]byte(c.statement)); group.Group != c.group || found != c.found {
			t.Errorf("%s: %d, %t", c.statement, group.Group, found)
		}
	}
}

func FuzzSession(f *testing.F) {
	f.Add(append(bytes.Clone(hello), ask(query)...))
	f.Add([]byte(fmt.Sprint(head)))
	server := New(limits.For(64, 32, 0, 0, 0), &settings.Names{Classes: map[string]router.ClassID{"report": 0}},
		[]router.QueryClass{{}}, func(t QueryArrived) bool {
			t.Query.Finish(request.Answer{Verdict: request.Succeeded})
			return true
		}, nil, func(Event) {}, slog.Default())
	f.Fuzz(func(t *testing.T, in []byte) {
		ours, theirs := net.Pipe()
		go func() { theirs.Write(in); theirs.Close() }()
		go io.Copy(io.Discard, theirs)
		newSession(server, ours).run()
	})
}

// ends reads to the end of a connection, and tells what it heard and whether the end was an orderly one.
func (f *front) ends(conn net.Conn) (said string, orderly bool) {
	f.t.Helper()
	said, _ = f.hears(conn, "")
	_, err := conn.Read(make([]byte, 1))
	return said, err == io.EOF
}

// none checks that nothing is told to the loop: after a session of its own, as the loop hears in order.
func (f *front) none(what string) {
	f.t.Helper()
	if len(f.events) > 0 {
		f.t.Errorf("%s: told %+v", what, <-f.events)
	}
}

// until waits for what another goroutine brings about.
func (f *front) until(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(patience); !done(); runtime.Gosched() {
		if time.Now().After(deadline) {
			f.t.Fatalf("never: %s", what)
		}
	}
}

// Sessions that end while a query crosses: it is read, not taken, and the client finds an orderly end, no reset, as a
// close over what it wrote would be.
func TestQueryCrossesTheEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*limits.Limits)
		end    func(f *front)
	}{
		{"idle too long", func(l *limits.Limits) { l.IdleTime = 20 * time.Millisecond }, func(*front) {}},
		{"room is made of it", func(l *limits.Limits) { l.Connections, l.FreshTime = 1, 0 }, func(f *front) {
			f.dial(hello)
		}},
		{"the controller ends", nil, func(f *front) { go f.server.Shutdown(time.Now().Add(patience)) }},
	} {
		f := newFront(t, func(l *limits.Limits) {
			if l.CloseTime, l.FirstTime = patience, 2*patience; c.change != nil { // who comes new stays to the end
				c.change(l)
			}
		})
		conn := f.dial(hello, ask(query))
		f.taken().Finish(request.Answer{Verdict: request.Failed})
		f.hears(conn, "Z")
		f.hears(conn, "Z")
		f.until("at rest", func() bool { return f.server.Quiet() > 0 })
		c.end(f)
		if said, orderly := f.ends(conn); said != "$" || !orderly {
			t.Errorf("%s: said %s, orderly %t", c.name, said, orderly)
		}
		for range 2000 { // a closed socket would answer the first by a reset, which the next meets
			if _, err := conn.Write(ask(query)); err != nil {
				t.Fatalf("%s: reset under a query that crossed it: %v", c.name, err)
			}
		}
		conn.Close()
		f.until("it is closed", func() bool {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			return f.server.waiting[closing].Len() == 0
		})
		f.none(c.name)
	}
}

// A planned end: who is owed an answer has it, also one whose query came behind, and then an orderly end; half a query
// is not waited for; nothing that comes after the end is taken; who comes new is told. Shutdown waits for all that.
func TestShutdown(t *testing.T) {
	f := newFront(t, func(l *limits.Limits) { l.CloseTime, l.IdleTime = patience, 2*patience })
	owed := f.dial(hello, ask(query))
	first := f.taken()
	f.hears(owed, "Z")
	half := f.dial(hello, ask(query)[:12])
	f.hears(half, "Z")
	over := make(chan bool)
	go func() { f.server.Shutdown(time.Now().Add(patience)); close(over) }()
	if said, orderly := f.ends(half); said != "$" || !orderly {
		t.Errorf("half a query: said %s, orderly %t", said, orderly)
	}
	half.Write(ask(query)[12:])
	half.Close()
	new := f.dial(hello)
	if said, orderly := f.ends(new); said != "E53300$" || !orderly {
		t.Errorf("who comes new: said %s, orderly %t", said, orderly)
	}
	new.Close()
	before := time.Now()
	owed.Write(ask(query))
	f.until("the second query is read", func() bool {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		return f.server.heard.After(before)
	})
	select {
	case <-over:
		t.Error("over with an answer owed")
	default:
	}
	first.Finish(request.Answer{Verdict: request.Succeeded})
	pages := slices.Repeat([][]byte{bytes.Repeat([]byte("one\ttwo\tthree\n"), 400)}, 8)
	f.taken().Finish(request.Answer{Verdict: request.Succeeded, Pages: pages})
	if said, orderly := f.ends(owed); said != "TCZT"+strings.Repeat("D", 8*400)+"CZ$" || !orderly {
		t.Errorf("who is owed two answers: said %s, orderly %t", said, orderly)
	}
	owed.Close()
	<-over
	f.none("after the end")
}

// A client that wrote ahead and leaves is noticed at once, also behind more than is held of what it wrote; what it wrote
// ahead is not taken.
func TestLeavingBehindQueries(t *testing.T) {
	for _, ahead := range []int{1, 20, 400, 4000} {
		f := newFront(t, nil)
		conn := f.dial(hello, ask(query))
		cmd := f.taken()
		f.hears(conn, "Z")
		conn.Write(bytes.Repeat(ask(query), ahead))
		conn.Close()
		select {
		case ev := <-f.events:
			if ev != any(ClientDisconnected{cmd}) {
				t.Errorf("%d queries ahead: told %+v", ahead, ev)
			}
		case <-time.After(patience):
			t.Fatalf("%d queries ahead: not noticed", ahead)
		}
		f.until("it has gone", func() bool {
			f.server.mu.Lock()
			defer f.server.mu.Unlock()
			return len(f.server.sessions) == 0
		})
		f.none("of what it wrote ahead")
	}
}

// A client that writes more behind an open command than is held has its answer, and is told why its session ends then.
func TestFlood(t *testing.T) {
	f := newFront(t, nil)
	conn := f.dial(hello, ask(query))
	cmd := f.taken()
	f.hears(conn, "Z")
	conn.Write(bytes.Repeat(ask(query), 4000))
	f.until("it is too much", func() bool { return f.server.counts.flooded.Load() == 1 })
	cmd.Finish(request.Answer{Verdict: request.Succeeded})
	if said, orderly := f.ends(conn); said != "TCZE54000$" || !orderly {
		t.Errorf("said %s, orderly %t", said, orderly)
	}
	f.none("of what it wrote ahead")
}

// Queries written ahead that are more than the usual buffer holds, but not too many, are taken one after another.
func TestManyEarlyQueries(t *testing.T) {
	f := newFront(t, nil)
	const all = 100
	conn := f.dial(hello, ask(query))
	first := f.taken()
	f.hears(conn, "Z")
	conn.Write(bytes.Repeat(ask(query), all))
	first.Finish(request.Answer{Verdict: request.Failed})
	for range all {
		f.hears(conn, "Z")
		f.taken().Finish(request.Answer{Verdict: request.Failed})
	}
	if n := f.server.counts.flooded.Load(); n != 0 {
		t.Errorf("%d times too much", n)
	}
}

// A cancel that overtakes its query, as they come on two connections, holds for it; one that is long past does not.
func TestCancelOvertakesItsQuery(t *testing.T) {
	for _, c := range []struct {
		within time.Duration
		said   string
	}{{patience, "E57014Z"}, {0, "TCZ"}} {
		f := newFront(t, func(l *limits.Limits) { l.CancelTime = c.within })
		conn := f.dial(hello)
		_, key := f.hears(conn, "Z")
		f.hears(f.dial(startUp(80877102, string(key))), "") // until it is closed, so has been heeded
		conn.Write(ask(query))
		if c.within == 0 {
			f.taken().Finish(request.Answer{Verdict: request.Succeeded})
		}
		if said, _ := f.hears(conn, "Z"); said != c.said {
			t.Errorf("within %v: said %s", c.within, said)
		}
		f.none("of a query whose cancel came ahead")
	}
}
