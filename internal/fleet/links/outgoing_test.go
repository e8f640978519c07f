package links

import (
	"context"
	"net"
	"testing"
	"time"
)

// restart is links of a controller that takes over the listener of a former incarnation, which ends. The
// port is held throughout, so that no other program gets it.
func (e *testLinks) restart(t *testing.T, listener net.Listener, b Bounds) *testLinks {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	inherited, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	e.Close()
	return serveLinks(t, inherited, e.self.From, e.self.Fleet, testKeys, b)
}

// A peer restarts. The first message after that goes over a connection to the new incarnation, and is not
// lost in the one to the former.
func TestPeerRestarts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, b := openLinks(t, "a", "f", testKeys, DefaultBounds()), serveLinks(t, listener, "b", "f", testKeys, DefaultBounds())
	a.Send("b", b.addr, []byte("before"))
	b.expect(t, "before")
	b = b.restart(t, listener, DefaultBounds())
	eventually(t, "the end of the connection is not noticed", func() bool { return a.ended.Load() == 1 })
	a.Send("b", b.addr, []byte("after"))
	b.expect(t, "after")
	if failed, dropped := a.failed.Load(), a.dropped.Load(); failed+dropped > 0 {
		t.Errorf("%d connections failed, %d messages were dropped", failed, dropped)
	}
}

// A peer has no room several times in a row. The waits double up to their bound and are drawn, so that
// senders do not return at once. After another failure the wait is always the same.
func TestRetryBackoffDoublesUpToItsBound(t *testing.T) {
	b := Bounds{RetryInterval: 200 * time.Millisecond, MaxRetryInterval: time.Second}
	for refusals, middle := range []time.Duration{0, 200, 400, 800, 1000, 1000} {
		middle *= time.Millisecond
		drawn := map[time.Duration]bool{}
		for range 200 {
			wait := b.retryBackoff(refusals)
			drawn[wait] = true
			if refusals > 0 && (wait < middle/2 || wait >= middle*3/2) || refusals == 0 && wait != b.RetryInterval {
				t.Errorf("%v after %d refusals", wait, refusals)
			}
		}
		if refusals > 0 && len(drawn) < 100 {
			t.Errorf("%d waits of 200 differ after %d refusals", len(drawn), refusals)
		}
	}
	if wait := b.retryBackoff(1 << 40); wait > b.MaxRetryInterval*3/2 {
		t.Errorf("%v after very many refusals", wait)
	}
}

// A peer that closes connections before its challenge counts as full, one that can't be reached does not,
// and one that accepts ends the count.
func TestRefusalsInARowAreCounted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	a, b := openLinks(t, "a", "f", testKeys, DefaultBounds()), openLinks(t, "b", "f", testKeys, DefaultBounds())
	connect := func(writer *peerWriter) bool {
		writer.retryAt = time.Time{}
		return writer.connect(context.Background())
	}
	writer := &peerWriter{links: a.Links, peer: &peer{id: "b", addr: listener.Addr().String()}}
	for refusals := 1; refusals < 4; refusals++ {
		go func() {
			if conn, err := listener.Accept(); err == nil {
				conn.Close()
			}
		}()
		if connect(writer) || writer.refusals != refusals ||
			time.Until(writer.retryAt) > 2*DefaultBounds().MaxRetryInterval {
			t.Errorf("%d refusals are counted, not %d", writer.refusals, refusals)
		}
	}
	writer.peer.addr = b.addr
	if !connect(writer) || writer.refusals != 0 {
		t.Errorf("%d refusals are counted after it was let in", writer.refusals)
	}
	writer.disconnect()
	writer.peer.addr = "127.0.0.1:1"
	if connect(writer) || writer.refusals != 0 {
		t.Errorf("%d refusals of one that is not there", writer.refusals)
	}
}

// A peer of another fleet ends each connection right after its beginning. From the second one on no other
// is opened at once.
func TestConnectionsThatThePeerEndsAtOnceAreDelayed(t *testing.T) {
	b := DefaultBounds()
	b.RetryInterval = time.Minute // "right after" on a slow machine too
	a, foreign := openLinks(t, "a", "f", testKeys, b), openLinks(t, "b", "g", testKeys, DefaultBounds())
	writer := &peerWriter{links: a.Links, peer: &peer{id: "b", addr: foreign.addr}}
	for endings := 1; endings < 4; endings++ {
		writer.retryAt = time.Time{}
		if !writer.connect(context.Background()) {
			t.Fatal("not connected")
		}
		<-writer.connectionEnded()
		writer.closeEnded()
		if waits := time.Until(writer.retryAt) > b.RetryInterval/2; waits != (endings > 1) {
			t.Errorf("waits after %d such ends: %t", endings, waits)
		}
	}
}
