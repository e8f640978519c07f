package engines

import (
	"net"
	"runtime"
	"strings"
	"testing"

	"mintkeel/internal/limits"
	"mintkeel/router"
)

// Each way in which an engine can end an attempt, and each kind of malformed answer, gives one outcome.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		hangUp     bool
		want       router.Outcome
		pages      string
	}{
		{name: "one page", sent: "c1 ACK parts=1,report=inflight:7;util:0.5 6\r\na\tb\tc\n\r\n", pages: "a\tb\tc\n"},
		{name: "no rows", sent: "c1 ACK - 0\r\n\r\n"},
		{name: "full", sent: "c1 AGAIN - 0\r\n\r\n", want: router.EngineFull},
		{name: "already ended", sent: "c1 STALE - 0\r\n\r\n", want: router.NotSent},
		{name: "error", sent: "c1 EIO - 4\r\nsome\r\n", want: router.Errored},
		{name: "reset", hangUp: true, want: router.ConnectionReset},
		{name: "half a line, then a close", sent: "c1 ACK parts=1 6\r", hangUp: true, want: router.ConnectionReset},
		{name: "unknown word", sent: "c1 WHAT - 0\r\n\r\n", want: router.ConnectionReset},
		{name: "no length", sent: "c1 ACK - x\r\n\r\n", want: router.ConnectionReset},
		{name: "no line end after the body", sent: "c1 ACK - 0\r\nxx", want: router.ConnectionReset},
		{name: "a bare line feed", sent: "c1 ACK - 0\n", want: router.ConnectionReset},
		{name: "a field without a value", sent: "c1 ACK parts 0\r\n\r\n", want: router.ConnectionReset},
		{name: "a report with a value that is not a number", sent: "c1 ACK report=util:x 0\r\n\r\n", want: router.ConnectionReset},
		{name: "a row of two columns", sent: "c1 ACK - 4\r\na\tb\n\r\n", want: router.ConnectionReset},
		{name: "a row without an end", sent: "c1 ACK - 5\r\na\tb\tc\r\n", want: router.ConnectionReset},
		{name: "a page too long", sent: "c1 ACK - 6001\r\n", want: router.ConnectionReset},
		{name: "a line too long", sent: "c1 ACK x=" + strings.Repeat("y", 4000), want: router.ConnectionReset},
		{name: "too many pages", sent: "c1 ACK parts=1000000 0\r\n\r\n", want: router.ConnectionReset},
		{name: "a page before the first", sent: "c1 BLOCK part_no=1 6\r\na\tb\tc\n\r\n", want: router.ConnectionReset},
		{name: "a progress message for another id, then a close", sent: "c9 EVENT remark=x 0\r\n\r\n", hangUp: true, want: router.ConnectionReset},
	} {
		pt := newPoolTest(t, nil)
		query := newQuery("c1")
		pt.start(query, 0)
		engine := pt.accept()
		engine.expectQuery("c1")
		if engine.write("%s", c.sent); c.hangUp {
			engine.Close()
		}
		t.Log(c.name)
		end := pt.expectEnd(0, c.want)
		if got := string(joinPages(end.Pages)); got != c.pages {
			t.Errorf("%s: got pages %q, want those of the case", c.name, got)
		}
		if load := end.Load; c.pages != "" &&
			(load == nil || load.Inflight != 7 || load.Utilization != 0.5 || load.Disk != -1) {
			t.Errorf("%s: got load report %+v, want 7 in flight, utilization 0.5 and disk -1", c.name, load)
		}
	}
}

// joinPages returns the concatenated pages of a result.
func joinPages(pages [][]byte) (all []byte) {
	for _, page := range pages {
		all = append(all, page...)
	}
	return all
}

// An attempt succeeds when all pages of its result were received, in any order. A page may be received twice,
// but not with different content. If the engine has lost a page, the attempt fails.
func TestPages(t *testing.T) {
	for _, c := range []struct {
		name string
		sent []string
		want router.Outcome
	}{
		{"out of order", []string{"c1 BLOCK part_no=2 6\r\n3\t3\t3\n\r\n", "c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n"},
			router.Succeeded},
		{"one lost", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n", "c1 EIO - 0\r\n\r\n"}, router.Errored},
		{"one twice", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n", "c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n",
			"c1 BLOCK part_no=2 6\r\n3\t3\t3\n\r\n"}, router.Succeeded},
		{"one twice, with different content", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n",
			"c1 BLOCK part_no=1 6\r\n2\t2\t9\n\r\n"}, router.ConnectionReset},
		{"one that was not requested", []string{"c1 BLOCK part_no=3 6\r\n2\t2\t2\n\r\n"}, router.ConnectionReset},
		{"the first again", []string{"c1 ACK parts=3 6\r\n1\t1\t1\n\r\n", "c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\n",
			"c9 ACK parts=1 0\r\n\r\n", "c1 BLOCK part_no=2 6\r\n3\t3\t3\n\r\n"}, router.Succeeded},
		{"the first again, with different content", []string{"c1 ACK parts=3 6\r\n1\t1\t9\n\r\n"}, router.ConnectionReset},
		{"result too large", []string{"c1 BLOCK part_no=1 6\r\n2\t2\t2\n\r\nc1 BLOCK part_no=2 39\r\n" +
			strings.Repeat("long", 9) + "\t\t\n\r\n"}, router.ConnectionReset},
	} {
		pt := newPoolTest(t, func(l *limits.Limits) { l.ResultBytes = 48 })
		pt.start(newQuery("c1"), 0)
		engine := pt.accept()
		engine.expectQuery("c1")
		engine.answer("c1", "ACK", "parts=3", "1\t1\t1\n")
		engine.expect("page c1 1\r\n")
		engine.expect("page c1 2\r\n")
		for _, s := range c.sent {
			engine.write("%s", s)
		}
		t.Log(c.name)
		end := pt.expectEnd(0, c.want)
		if got := string(joinPages(end.Pages)); c.want == router.Succeeded && got != "1\t1\t1\n2\t2\t2\n3\t3\t3\n" {
			t.Errorf("%s: got pages %q, want three rows in order", c.name, got)
		}
		if c.want == router.Succeeded {
			engine.expect("forget c1\r\n")
		}
	}
}

// Each kind of progress message is reported as the module's term for it.
func TestProgressMessages(t *testing.T) {
	pt := newPoolTest(t, nil)
	query := newQuery("c1")
	pt.start(query, 3)
	engine := pt.accept()
	engine.expectQuery("c1")
	for _, c := range []struct {
		fields string
		want   AttemptProgress
	}{
		{"remark=progress,value=0.25", AttemptProgress{query, 3, router.ProgressDone, 0.25}},
		{"remark=spill_mb,value=12", AttemptProgress{query, 3, router.ProgressSpilling, 12}},
		{"remark=blocked,value=1", AttemptProgress{query, 3, router.ProgressWaitsForMemory, 1}},
		{"remark=blocked,value=2", AttemptProgress{query, 3, router.ProgressWaitsForTables, 2}},
	} {
		engine.answer("c1", "EVENT", "-", "") // without a remark: ignored
		engine.answer("c1", "EVENT", c.fields, "")
		if got := <-pt.events; got != any(c.want) {
			t.Errorf("%s: got event %+v, want the AttemptProgress of the case", c.fields, got)
		}
	}
}

// An engine repeats its answer to an attempt some milliseconds later, unchanged or changed. The duplicates must
// not affect later attempts on the connection.
func TestDuplicateAnswer(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.EngineConnections = 1 })
	pt.start(newQuery("c1"), 1)
	engine := pt.accept()
	engine.expectQuery("c1")
	engine.answer("c1", "ACK", "parts=1", "1\t1\t1\n")
	pt.expectEnd(1, router.Succeeded)
	pt.start(newQuery("c2"), 2)
	engine.expectQuery("c2")
	engine.answer("c1", "ACK", "parts=1", "1\t1\t1\n")
	engine.answer("c1", "EIO", "-", "")
	engine.answer("c1", "BLOCK", "part_no=3", "1\t1\t1\n")
	engine.answer("c2", "ACK", "parts=1", "2\t2\t2\n")
	if end := pt.expectEnd(2, router.Succeeded); string(joinPages(end.Pages)) != "2\t2\t2\n" {
		t.Errorf("got pages %q, want those of c2", end.Pages)
	}
}

// An engine reports progress and then answers that it did not run the attempt. The attempt ends as Errored, as
// it may have taken effect.
func TestRejectedAfterProgress(t *testing.T) {
	for _, word := range []string{"AGAIN", "STALE"} {
		pt := newPoolTest(t, nil)
		pt.start(newQuery("c1"), 1)
		engine := pt.accept()
		engine.expectQuery("c1")
		engine.answer("c1", "EVENT", "remark=progress,value=0.1", "")
		<-pt.events
		engine.answer("c1", word, "-", "")
		pt.expectEnd(1, router.Errored)
	}
}

// An engine resets a connection after an answer. The answer counts, and the next attempt goes over another
// connection.
func TestResetAfterAnswer(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.start(newQuery("c1"), 1)
	engine := pt.accept()
	engine.expectQuery("c1")
	engine.answer("c1", "ACK", "-", "")
	pt.expectEnd(1, router.Succeeded)
	engine.Conn.(*net.TCPConn).SetLinger(0)
	engine.Close()
	for len(pt.pool.engines["e"].liveConns()) > 0 { // until the pool has noticed the reset
		runtime.Gosched()
	}
	pt.start(newQuery("c2"), 2)
	pt.accept().expectQuery("c2")
}
