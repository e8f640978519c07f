package engines

import (
	"runtime"
	"testing"
	"time"

	"mintkeel/router"
)

// An engine begins to drain while an attempt waits for a connection to it. The attempt must not be sent. One
// that was sent continues, even when the engine is gone.
func TestDrainWithdrawsUnsentAttempts(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.start(newQuery("c1"), 0)
	engine := pt.accept()
	engine.expectQuery("c1")
	c := newConn(pt.pool, "e", "127.0.0.1:1") // run is not called, so it stays as if it were being dialled
	pt.pool.engines["e"].conns = append(pt.pool.engines["e"].conns, c)
	waiting := &attempt{query: newQuery("c2"), id: 5, deadline: time.Now().Add(time.Minute)}
	if !c.add(waiting, 100) {
		t.Fatal("the connection did not accept the attempt")
	}
	pt.setState(router.Draining)
	pt.expectEnd(5, router.Withdrawn)
	if len(c.queue) != 0 {
		t.Errorf("the write queue has %d entries, want none", len(c.queue))
	}
	pt.start(newQuery("c3"), 0)
	pt.expectEnd(0, router.NotSent)
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: "0.0.0.0:0", State: router.Gone}}, false)
	engine.answer("c1", "ACK", "-", "")
	pt.expectEnd(0, router.Succeeded)
}

// The endpoint list expires, so another engine may listen at a known address. Attempts that wait for a
// connection are withdrawn, and an engine is dialled only if it has an established connection.
func TestExpiredEndpointList(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.pool.SetExpired(true)
	pt.start(newQuery("c1"), 0)
	pt.expectEnd(0, router.NotSent)
	pt.pool.SetExpired(false)
	again := newQuery("c2")
	pt.start(again, 1)
	first := pt.accept()
	first.expectQuery("c2")
	dialling := newConn(pt.pool, "e", "127.0.0.1:1") // run is not called, so it stays as if it were being dialled
	pt.pool.engines["e"].conns = append(pt.pool.engines["e"].conns, dialling)
	dialling.mustAdd(t, "c9", 9)
	pt.pool.SetExpired(true)
	pt.expectEnd(9, router.Withdrawn)
	dialling.end(errIdle, router.ConnectFailed)
	pt.start(again, 2)
	second := pt.accept()
	second.expectQuery("c2")
	first.Close()
	second.Close()
	<-pt.events
	<-pt.events
	for len(pt.pool.engines["e"].liveConns()) > 0 {
		runtime.Gosched()
	}
	pt.start(newQuery("c3"), 3)
	pt.expectEnd(3, router.NotSent)
}

// An engine is listed at the address of another, which is not listed as gone yet. It must not get attempts that
// are meant for the other. An attempt that was sent to the other may finish, and the other gets attempts again
// once it is listed with an address.
func TestAddressReused(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.start(newQuery("c1"), 1)
	old := pt.accept()
	old.expectQuery("c1")
	dialling := newConn(pt.pool, "e", "127.0.0.1:1") // run is not called, so it stays as if it were being dialled
	pt.pool.engines["e"].conns = append(pt.pool.engines["e"].conns, dialling)
	dialling.mustAdd(t, "c2", 2)
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "f", Address: pt.listener.Addr().String()}}, false)
	pt.expectEnd(2, router.Withdrawn)
	pt.start(newQuery("c3"), 3)
	pt.expectEnd(3, router.NotSent)
	pt.pool.StartAttempt(newQuery("c4"), 4, "f", time.Minute, 0)
	fresh := pt.accept()
	fresh.expectQuery("c4")
	old.answer("c1", "ACK", "-", "") // sent before the address changed
	pt.expectEnd(1, router.Succeeded)
	// The other engine is listed with its address again.
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: pt.listener.Addr().String()}}, false)
	pt.start(newQuery("c5"), 5)
	again := pt.accept()
	again.expectQuery("c5")
}
