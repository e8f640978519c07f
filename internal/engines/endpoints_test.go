package engines

import (
	"runtime"
	"testing"
	"time"

	"mintkeel/router"
)

// An engine begins to drain while an attempt waits for a connection to it. The attempt must not be sent; one
// that was sent goes on, also when the engine is gone.
func TestDrainWithdrawsUnsentAttempts(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.start(newQuery("c1"), 0)
	engine := pt.accept()
	engine.expectQuery("c1")
	c := newConn(pt.pool, "e", "127.0.0.1:1") // never run: it stays as while being dialled
	pt.pool.engines["e"].conns = append(pt.pool.engines["e"].conns, c)
	waiting := &attempt{query: newQuery("c2"), id: 5, deadline: time.Now().Add(time.Minute)}
	if !c.add(waiting, 100) {
		t.Fatal("not taken on")
	}
	pt.setState(router.Draining)
	pt.expectEnd(5, router.Withdrawn)
	if len(c.queue) != 0 {
		t.Errorf("%d things left to write", len(c.queue))
	}
	pt.start(newQuery("c3"), 0)
	pt.expectEnd(0, router.NotSent)
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: "0.0.0.0:0", State: router.Gone}}, false)
	engine.answer("c1", "ACK", "-", "")
	pt.expectEnd(0, router.Succeeded)
}

// The endpoint list expires, so another engine may be at a known address. Attempts that wait for a connection
// are withdrawn, and a connection is opened only beside one that is up.
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
	dialling := newConn(pt.pool, "e", "127.0.0.1:1") // never run: it stays as while being dialled
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

// An engine takes the address of another, and the endpoint list does not say yet that the other has gone. It
// must get no attempt that is meant for the other; what runs there may end, and the other gets attempts again
// when it is listed with its address.
func TestAddressReused(t *testing.T) {
	pt := newPoolTest(t, nil)
	pt.start(newQuery("c1"), 1)
	old := pt.accept()
	old.expectQuery("c1")
	dialling := newConn(pt.pool, "e", "127.0.0.1:1") // never run: it stays as while being dialled
	pt.pool.engines["e"].conns = append(pt.pool.engines["e"].conns, dialling)
	dialling.mustAdd(t, "c2", 2)
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "f", Address: pt.listener.Addr().String()}}, false)
	pt.expectEnd(2, router.Withdrawn)
	pt.start(newQuery("c3"), 3)
	pt.expectEnd(3, router.NotSent)
	pt.pool.StartAttempt(newQuery("c4"), 4, "f", time.Minute, 0)
	fresh := pt.accept()
	fresh.expectQuery("c4")
	old.answer("c1", "ACK", "-", "") // what is out there may still end
	pt.expectEnd(1, router.Succeeded)
	// The other is back, at the address that is listed now.
	pt.pool.UpdateEndpoints([]Endpoint{{Engine: "e", Address: pt.listener.Addr().String()}}, false)
	pt.start(newQuery("c5"), 5)
	again := pt.accept()
	again.expectQuery("c5")
}
