package engines

import (
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/router"
)

// An engine is unreachable and sends nothing. A cancelled attempt ends all the same. The next attempt goes over
// a new connection and ends as ConnectFailed, as that can't be established. Once the engine has sent something,
// its first connection is used again.
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
	engine.answer("any", "READY", "-", "") // the engine is reachable again
	pt.pool.CheckHealth("e")
	engine.expect("undo")
	engine.expect("ping")
}

// An engine stops sending while it has open attempts, possibly in the middle of an answer. It is pinged, and as
// it does not answer, the attempts end long before their deadlines.
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

// The connection to an engine that answers pings is kept, however long its attempts take.
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
