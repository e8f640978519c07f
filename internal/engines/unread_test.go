package engines

import (
	"runtime"
	"testing"
	"time"

	"mintkeel/router"
)

// awaitInput waits until the engine's bytes have arrived, unread.
func awaitInput(t *testing.T, c *lookaheadConn) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !c.HasInput(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("nothing arrived in time")
		}
	}
}

// writeDue writes what is due, as the connection's goroutine does.
func (c *conn) writeDue(t *testing.T, to *lookaheadConn) {
	t.Helper()
	due := c.takeDue(time.Now(), to, time.Time{})
	if due.err != nil {
		t.Fatal(due.err)
	}
	if err := c.flush(due.write, to, time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
}

// TestAnswersBeforeDeadlines guards against engines that count as silent or too late because the process had no turn: a
// deadline has passed while the engine's answer lies unread. The answer counts, and nothing is given up or ended.
func TestAnswersBeforeDeadlines(t *testing.T) {
	passed := time.Now().Add(-time.Minute)
	for _, c := range []struct {
		name string
		set  func(c *conn) // the deadline that has passed
	}{
		{"attempt", func(c *conn) { c.attempts["c1"].deadline = passed }},
		{"reply to a ping", func(c *conn) { c.pingedAt = passed }},
		{"health check", func(c *conn) { c.healthChecks["p1"] = passed }},
		{"reply to a give-up", func(c *conn) {
			c.attempts["c1"].givenUp = true
			c.attempts["c1"].giveUpOutcome = router.Cancelled
			c.attempts["c1"].giveUpBy = passed
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			pt := newPoolTest(t, nil)
			conn, lookahead, engine := pt.detachedConn()
			conn.checkHealth("p1")
			conn.mustAdd(t, "c1", 1)
			conn.writeDue(t, lookahead)
			engine.expect("ping p1")
			engine.expectQuery("c1")
			conn.mu.Lock()
			c.set(conn)
			conn.mu.Unlock()
			engine.answer("p1", "READY", "-", "")
			engine.answer("c1", "ACK", "parts=1", "1\t1\t1\n")
			awaitInput(t, lookahead)
			go func() { conn.end(conn.serve(lookahead), router.ConnectionReset) }()
			if ev, ok := (<-pt.events).(HealthCheckEnded); !ok || ev.Outcome != router.Succeeded {
				t.Errorf("got event %+v, want a health check that succeeded", ev)
			}
			pt.expectEnd(1, router.Succeeded)
			conn.checkHealth("p2")
			engine.expect("ping p2") // the attempt was not given up: no undo came before
			conn.close()
		})
	}
}

// TestRestOfAnswerBeforeTimeout guards against a connection that ends because the rest of an answer counts as overdue
// while it lies unread.
func TestRestOfAnswerBeforeTimeout(t *testing.T) {
	pt := newPoolTest(t, nil)
	conn, lookahead, engine := pt.detachedConn()
	engine.write("c1 ACK parts=1 6\r\n1\t1\t1\n\r\n")
	awaitInput(t, lookahead)
	if due := conn.takeDue(time.Now(), lookahead, time.Now().Add(-time.Minute)); due.err != nil {
		t.Errorf("got %v, want no error while input is unread", due.err)
	}
}

// TestReplyTimeoutBeginsAtWrite guards against an engine that counts as silent because its ping had waited to be written
// for longer than the time for the reply.
func TestReplyTimeoutBeginsAtWrite(t *testing.T) {
	pt := newPoolTest(t, nil)
	conn, lookahead, engine := pt.detachedConn()
	conn.checkHealth("p1")
	conn.mu.Lock()
	conn.pingedAt = time.Now().Add(-time.Minute)
	conn.healthChecks["p1"] = conn.pingedAt
	conn.mu.Unlock()
	go func() { conn.end(conn.serve(lookahead), router.ConnectionReset) }()
	engine.expect("ping p1")
	engine.answer("p1", "READY", "-", "")
	if ev, ok := (<-pt.events).(HealthCheckEnded); !ok || ev.Outcome != router.Succeeded {
		t.Errorf("got event %+v, want a health check that succeeded", ev)
	}
	conn.close()
}
