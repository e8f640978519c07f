package clients

import (
	"bytes"
	"io"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
)

// Too many queries wait for the loop, so one is not accepted. It is rejected at once, with a time to wait,
// and the session goes on.
func TestQueryRejectedWhenLoopIsFull(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startMessage)
	st.readUntil(conn, "Z")
	st.rejectNext <- true
	conn.Write(queryMessage(queryText))
	want := pgwire.AppendReady(pgwire.AppendShed(nil, 250*time.Millisecond))
	got := make([]byte, len(want))
	if io.ReadFull(conn, got); !bytes.Equal(got, want) {
		t.Errorf("said %q", got)
	}
	conn.Write(queryMessage(queryText))
	st.nextQuery().Finish(request.Answer{Verdict: request.Succeeded})
	if said, _ := st.readUntil(conn, "Z"); said != "TCZ" {
		t.Errorf("then said %s", said)
	}
}

// A query must be answered a little before its client gives up, so that the answer arrives in time.
func TestAnswerWithin(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.AnswerAllowance = 50 * time.Millisecond })
	ses := newSession(st.server, nil)
	for _, c := range []struct{ limitMS, want float64 }{{6000, 5950}, {400, 350}, {80, 70}, {0, 0}} {
		if got := ses.answerWithin(c.limitMS); got != time.Duration(c.want*1e6) {
			t.Errorf("of %v ms: %v", c.limitMS, got)
		}
	}
}

// The table group of a statement is that of the table that it reads or writes, whatever names stand in its
// strings and comments.
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
