package clients

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
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

// A client asks for encryption, and sends its first query right behind the start-up message. One session gets
// each kind of answer, and a second answer to the same query has no effect.
func TestAnswers(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startUpMessage(sslCode, ""))
	reply := make([]byte, 1)
	if io.ReadFull(conn, reply); reply[0] != 'N' {
		t.Fatalf("request for encryption: got %q, want N", reply)
	}
	conn.Write(append(startMessage, queryMessage(queryText)...))
	for _, c := range []struct {
		answer request.Answer
		want   string
	}{
		{request.Answer{Verdict: request.Succeeded,
			Pages: [][]byte{[]byte("a\tb\tc\nd\te\tf\n"), []byte("\t\t\n")}}, "TDDDCZ"},
		{request.Answer{Verdict: request.Succeeded}, "TCZ"},
		{request.Answer{Verdict: request.Rejected, RetryAfter: time.Second}, "E53000Z"},
		{request.Answer{Verdict: request.Failed}, "E58000Z"},
	} {
		query := st.nextQuery()
		timeLeft := 1500*time.Millisecond - st.server.limits.AnswerAllowance
		statement := queryText[len(queryFields):]
		if query.Tables != 17 || query.TimeLeft != timeLeft || string(query.Statement) != statement {
			t.Errorf("got query %+v, want table group 17, 1.5 s less the allowance, and the statement without fields", query)
		}
		if !query.Finish(c.answer) || query.Finish(request.Answer{Verdict: request.Failed}) {
			t.Error("the first Finish had no effect, or the second had one")
		}
		got, _ := st.readUntil(conn, "Z")
		if got == sessionStartTypes {
			got, _ = st.readUntil(conn, "Z")
		}
		if got != c.want {
			t.Errorf("%+v: got unexpected messages %s", c.answer, got)
		}
		conn.Write(queryMessage(queryText))
	}
}

// A result is written byte for byte as the protocol requires.
func TestRows(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startMessage, queryMessage(queryText))
	st.nextQuery().Finish(request.Answer{Verdict: request.Succeeded, Pages: [][]byte{[]byte("one\t\tthree\n")}})
	st.readUntil(conn, "Z")
	want := append(pgwire.AppendRowDescription(nil),
		message('D', "\x00\x03\x00\x00\x00\x03one\x00\x00\x00\x00\x00\x00\x00\x05three")...)
	want = append(append(want, message('C', "SELECT 1\x00")...), message('Z', "I")...)
	got := make([]byte, len(want))
	if io.ReadFull(conn, got); !bytes.Equal(got, want) {
		t.Errorf("got %q, want one row of three values, the second empty", got)
	}
}

// Each kind of invalid input gets the error that belongs to it, and nothing of it is passed on.
func TestBadInput(t *testing.T) {
	loadQuery := strings.Replace(queryText, "report", "load", 1)
	replacing := func(from, to string) []byte { return queryMessage(strings.Replace(queryText, from, to, 1)) }
	st := newServerTest(t, nil)
	for _, c := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"empty query", queryMessage(""), "IZ"},
		{"white space alone", queryMessage(" ;\n"), "IZ"},
		{"no fields", queryMessage("SELECT 1 FROM sales_17.orders"), "E22004Z"},
		{"unterminated comment", queryMessage("/* verb=report"), "E22023Z"},
		{"no statement", queryMessage(queryFields), "E22004Z"},
		{"no query class", replacing("verb=report,", ""), "E22004Z"},
		{"unknown query class", replacing("report", "what"), "E22023Z"},
		{"query class that is no word", replacing("report", "re port"), "E22023Z"},
		{"no id", replacing("txn=9b1f03aa5c7e2d41,", ""), "E22004Z"},
		{"short id", replacing("9b1f", "9b1"), "E22023Z"},
		{"id that is not hexadecimal", replacing("9b1f", "9b1g"), "E22023Z"},
		{"no timeout", replacing(",limit=1500", ""), "E22004Z"},
		{"timeout that is no number", replacing("1500", "soon"), "E22023Z"},
		{"negative timeout", replacing("1500", "-1"), "E22023Z"},
		{"infinite timeout", replacing("1500", "+Inf"), "E22023Z"},
		{"timeout of a year", replacing("1500", "31536000000"), "E22023Z"},
		{"estimate that is no number", replacing("1500", "1500,cpu=NaN"), "E22023Z"},
		{"excessive memory estimate", replacing("1500", "1500,est_mb=1e8"), "E22023Z"},
		{"field twice", replacing("limit=1500", "limit=1,limit=2"), "E22023Z"},
		{"field without value", replacing("limit=1500", "limit=1500,cpu"), "E22023Z"},
		{"unknown tenant", replacing("limit", "team=none,limit"), "E22023Z"},
		{"idempotency key that is no word", replacing("limit", "unique=a b,limit"), "E22023Z"},
		{"deduplicated query without idempotency key", queryMessage(loadQuery), "E22004Z"},
		{"no table group", replacing("sales_17", "staging"), "E22023Z"},
		{"extended query", slices.Concat(message('P', "\x00x\x00\x00\x00"), message('D', "S\x00"),
			message('S', "")), "E0A000Z"},
		{"function call", message('F', ""), "E0A000Z"},
		{"copy data outside of a copy", append(message('d', "x"), message('S', "")...), "Z"},
		{"unterminated query text", message('Q', "SELECT 1"), "E08P01$"},
		{"query of two texts", message('Q', "a\x00b\x00"), "E08P01$"},
		{"unknown message", message('!', ""), "E08P01$"},
		{"length below its own size", []byte{'Q', 0, 0, 0, 3}, "E08P01$"},
		{"too long", queryMessage(queryText + strings.Repeat(" ", 1<<20)), "E54000$"},
		{"terminate", message('X', ""), "$"},
	} {
		conn := st.connect(startMessage)
		st.readUntil(conn, "Z")
		conn.Write(c.bytes)
		if got, _ := st.readUntil(conn, "Z"); got != c.want {
			t.Errorf("%s: got unexpected messages %s", c.name, got)
		}
	}
	for _, start := range [][]byte{startUpMessage(2<<16, ""), startUpMessage(3<<16, "user"),
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		{0, 0, 0, 4, 0, 0, 0, 0}, startUpMessage(cancelCode, "short")} {
		if got, _ := st.readUntil(st.connect(start), "Z"); got != "E08P01$" {
			t.Errorf("start-up message %q: got %s, want E08P01$", start, got)
		}
	}
	if len(st.events) > 0 {
		t.Errorf("got event %+v, want none", <-st.events)
	}
}

// Clients that send nothing, or an incomplete message, get an error and are closed in time. Clients that stay
// idle after a query are closed without an error.
func TestSilentClient(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) {
		l.FirstQueryTimeout = 40 * time.Millisecond
		l.ClientMessageTimeout = 30 * time.Millisecond
		l.ClientIdleTimeout = 60 * time.Millisecond
		l.ClientCloseTimeout = 0
	})
	for _, c := range []struct {
		name  string
		bytes [][]byte
		want  string
	}{
		{"nothing", nil, "E08P01$"},
		{"incomplete start-up message", [][]byte{startMessage[:9]}, "E08P01$"},
		{"a start-up message alone", [][]byte{startMessage}, sessionStartTypes + "E08P01$"},
		{"incomplete query", [][]byte{startMessage, queryMessage(queryText)[:20]}, sessionStartTypes + "E08P01$"},
		{"query shorter than its length", [][]byte{startMessage, {'Q', 0, 0, 0x40, 0}, make([]byte, 8000)},
			sessionStartTypes + "E08P01$"},
		{"an empty query, then nothing", [][]byte{startMessage, queryMessage("")}, sessionStartTypes + "IZ$"},
		{"an empty query, then an incomplete one", [][]byte{startMessage, queryMessage(""), queryMessage(queryText)[:9]},
			sessionStartTypes + "IZE08P01$"},
	} {
		if got, _ := st.readUntil(st.connect(c.bytes...), ""); got != c.want {
			t.Errorf("%s: got unexpected messages %s", c.name, got)
		}
	}
}

// A message that is longer than the small read buffer is handled, and so is the message after it. The large
// buffer is released afterwards.
func TestLongMessage(t *testing.T) {
	st := newServerTest(t, nil)
	long := queryText + strings.Repeat(" ", st.server.limits.ClientMessageBytes/2)
	conn := st.connect(startMessage, queryMessage(long), queryMessage(queryText))
	for _, want := range []string{long, queryText} {
		query := st.nextQuery()
		if string(query.Statement) != want[len(queryFields):] {
			t.Errorf("got a statement of %d bytes, want %d", len(query.Statement), len(want)-len(queryFields))
		}
		query.Finish(request.Answer{Verdict: request.Rejected})
	}
	st.readUntil(conn, "Z")
	st.readUntil(conn, "Z")
	st.readUntil(conn, "Z")
	ses := newSession(st.server, conn)
	ses.enlargeBuffer(9000)
	conn.Close()
	if ses.nextMessage(); ses.reader != ses.smallReader {
		t.Error("the large buffer is still in use once it is empty")
	}
}

// No input of a client makes the server panic or hang.
func FuzzSession(f *testing.F) {
	f.Add(append(bytes.Clone(startMessage), queryMessage(queryText)...))
	f.Add([]byte(fmt.Sprint(queryFields)))
	server := New(limits.For(64, 32, 0, 0, 0), &settings.Names{Classes: map[string]router.ClassID{"report": 0}},
		[]router.QueryClass{{}}, func(t QueryArrived) bool {
			t.Query.Finish(request.Answer{Verdict: request.Succeeded})
			return true
		}, nil, func(Event) {}, slog.Default())
	f.Fuzz(func(_ *testing.T, in []byte) {
		serverEnd, clientEnd := net.Pipe()
		go func() { clientEnd.Write(in); clientEnd.Close() }()
		go io.Copy(io.Discard, clientEnd)
		newSession(server, serverEnd).run()
	})
}
