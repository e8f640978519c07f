package engines

import (
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/router"
)

// An engine is cut off and says nothing any more. A cancelled attempt there ends all the same, the next one
// goes over a new connection, and as that does not come up it never ran. When the engine speaks again its
// connection is used again.
func TestSilentEngine(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.PingTimeout = 20 * time.Millisecond })
	query := newQuery("c1")
	pt.start(query, 0)
	engine := pt.accept()
	engine.expectQuery("c1")
	pt.pool.CancelAttempt(query, 0, "e")
	pt.expectEnd(0, router.Cancelled)
	pt.listener.Close()
	pt.start(newQuery("c2"), 0)
	pt.expectEnd(0, router.ConnectFailed)
	engine.answer("any", "READY", "-", "") // it is back
	pt.pool.CheckHealth("e")
	engine.expect("undo")
	engine.expect("ping")
}

// A connection falls silent while it owes something, perhaps within an answer. It is pinged, and as nothing
// comes its attempts end, long before their deadlines.
func TestDeadConnection(t *testing.T) {
	for _, sent := range []string{"", "c1 ACK parts=1 6\r\na\tb", "c1 ACK par"} {
		pt := newPoolTest(t, func(l *limits.Limits) {
			l.EngineConnections = 1
			l.PingAfter = 20 * time.Millisecond
			l.PingTimeout = 30 * time.Millisecond
			l.AnswerTimeout = 10 * time.Millisecond
		})
		pt.start(newQuery("c1"), 1)
		pt.start(newQuery("c2"), 1)
		engine := pt.accept()
		engine.expectQuery("c1")
		engine.expectQuery("c2")
		engine.write("%s", sent)
		engine.expect("ping k\r\n")
		pt.expectEnd(1, router.ConnectionReset)
		pt.expectEnd(1, router.ConnectionReset)
	}
}

// An engine that answers pings keeps its connection, however long its attempts take.
func TestSlowEngineAnswersPings(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.PingAfter = time.Millisecond })
	pt.start(newQuery("c1"), 1)
	engine := pt.accept()
	engine.expectQuery("c1")
	for range 20 {
		engine.expect("ping k\r\n")
		engine.answer("k", "READY", "-", "")
	}
	engine.answer("c1", "ACK", "-", "")
	pt.expectEnd(1, router.Succeeded)
}
