package engines

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/router"
)

// A malformed answer ends all attempts of its connection, so attempts share a connection only if no other may be
// opened.
func TestAttemptsShareConnectionsOnlyAtLimit(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.EngineConnections = 3 }) // one of which is reserved
	var peers []*fakeEngine
	for i := range 2 {
		id := fmt.Sprint("c", i)
		pt.start(newQuery(id), router.AttemptID(i))
		engine := pt.accept()
		engine.expectQuery(id)
		peers = append(peers, engine)
	}
	pt.start(newQuery("c2"), 2)
	shared, alone := peers[0], peers[1]
	shared.expectQuery("c2")
	shared.write("c2 ACK - x\r\n")
	for range 2 {
		if end := (<-pt.events).(AttemptEnded); end.Outcome != router.ConnectionReset || end.Attempt == 1 {
			t.Errorf("got %+v, want ConnectionReset of attempts 0 and 2", end)
		}
	}
	alone.answer("c1", "ACK", "-", "")
	pt.expectEnd(1, router.Succeeded)
	pt.start(newQuery("c3"), 3) // over the idle connection
	alone.expectQuery("c3")
}

// An engine joins while another has all connections that the limit allows. The other's idle connections above its
// share are closed, and the new engine gets a connection.
func TestNewEngineGetsConnections(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.EngineConnections = 8 })
	for i := range 8 {
		pt.start(newQuery(fmt.Sprint("c", i)), router.AttemptID(i))
	}
	for range 6 {
		engine := pt.accept()
		head := strings.Fields(engine.expect("do "))
		engine.expect("SELECT")
		engine.answer(head[1], "ACK", "-", "")
		<-pt.events
	}
	address := pt.listener.Addr().String()
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: address}, {Engine: "new", Address: address}}, true)
	pt.pool.StartAttempt(newQuery("d"), 0, "new", time.Minute, 0)
	pt.accept().expectQuery("d")
	for len(pt.pool.engines["e"].liveConns()) > 3 {
		runtime.Gosched()
	}
}

// With more engines than connections each engine can be reached, as the connection that has been idle for the
// longest time is closed. A connection that carries an attempt, waits for the answer to a health check or was
// used just now is kept, and so are all while the endpoint list has expired.
func TestMoreEnginesThanConnections(t *testing.T) {
	pt := newPoolTest(t, func(l *limits.Limits) { l.EngineConnections, l.MinIdleBeforeEviction = 4, 0 })
	address := pt.listener.Addr().String()
	var list []Endpoint
	for i := range 12 {
		list = append(list, Endpoint{Engine: router.EngineID(fmt.Sprint("e", i)), Address: address})
	}
	pt.pool.UpdateEndpoints(list, true)
	reach := func(i int) *fakeEngine {
		t.Helper()
		pt.pool.StartAttempt(newQuery(fmt.Sprint("c", i)), router.AttemptID(i), list[i].Engine, time.Minute, 0)
		engine := pt.accept()
		engine.expectQuery(fmt.Sprint("c", i))
		return engine
	}
	busy, pinged := reach(0), reach(1)
	pinged.answer("c1", "ACK", "-", "")
	pt.expectEnd(1, router.Succeeded)
	pt.pool.CheckHealth("e1")
	pinged.expect("ping ")
	for i := 2; i < 12; i++ {
		engine := reach(i)
		if open := pt.pool.openConns.Load(); open > 4 {
			t.Errorf("%d connections are open, want at most 4", open)
		}
		engine.answer(fmt.Sprint("c", i), "ACK", "-", "")
		pt.expectEnd(router.AttemptID(i), router.Succeeded)
	}
	if n := pt.pool.evictedConns.Load(); n != 8 {
		t.Errorf("%d connections were evicted, want 8", n)
	}
	busy.answer("c0", "ACK", "-", "")
	pt.expectEnd(0, router.Succeeded)
	pt.pool.limits.MinIdleBeforeEviction = time.Hour // all were used within it
	pt.pool.StartAttempt(newQuery("d"), 20, "e2", time.Minute, 0)
	pt.expectEnd(20, router.NotSent)
	pt.pool.limits.MinIdleBeforeEviction = 0
	pt.pool.SetExpired(true)
	pt.pool.StartAttempt(newQuery("e"), 21, "e3", time.Minute, 0)
	pt.expectEnd(21, router.NotSent)
}
