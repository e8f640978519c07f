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

// The queue of arrivals is full, so a query is not accepted. It is rejected at once, with a retry delay, and
// the session continues.
func TestQueryRejectedWhenLoopIsFull(t *testing.T) {
	st := newServerTest(t, nil)
	conn := st.connect(startMessage)
	st.readUntil(conn, "Z")
	st.rejectNext <- true
	conn.Write(queryMessage(queryText))
	want := pgwire.AppendReady(pgwire.AppendRejected(nil, 250*time.Millisecond))
	got := make([]byte, len(want))
	if io.ReadFull(conn, got); !bytes.Equal(got, want) {
		t.Errorf("got %q, want a rejection with a retry delay of 250 ms", got)
	}
	conn.Write(queryMessage(queryText))
	st.nextQuery().Finish(request.Answer{Verdict: request.Succeeded})
	if types, _ := st.readUntil(conn, "Z"); types != "TCZ" {
		t.Errorf("next query: got %s, want TCZ", types)
	}
}

// A query must be answered a little before its client's timeout, so that the answer arrives in time.
func TestAnswerWithin(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.AnswerAllowance = 50 * time.Millisecond })
	ses := newSession(st.server, nil)
	for _, c := range []struct{ timeoutMS, want float64 }{{6000, 5950}, {400, 350}, {80, 70}, {0, 0}} {
		if got := ses.answerWithin(c.timeoutMS); got != time.Duration(c.want*1e6) {
			t.Errorf("client timeout of %v ms: got unexpected %v", c.timeoutMS, got)
		}
	}
}
