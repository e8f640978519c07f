package links

import (
	"context"
	"net"
	"testing"
	"time"
)

// restart closes the links and returns those of the controller's next incarnation on the same listener. The
// port stays open throughout, so that no other program gets it.
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

// After a peer restarts, the first message must go over a connection to the new incarnation, and must not be
// lost in the one to the former incarnation.
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
		t.Errorf("%d connections failed and %d messages were dropped, want none", failed, dropped)
	}
}

// After consecutive refusals by a peer without room, the delay must double up to its bound, with jitter, so
// that senders do not all retry at once. After other failures the delay is constant.
func TestRetryBackoffDoublesUpToItsBound(t *testing.T) {
	b := Bounds{RetryInterval: 200 * time.Millisecond, MaxRetryInterval: time.Second}
	for refusals, middle := range []time.Duration{0, 200, 400, 800, 1000, 1000} {
		middle *= time.Millisecond
		drawn := map[time.Duration]bool{}
		for range 200 {
			wait := b.retryBackoff(refusals)
			drawn[wait] = true
			if refusals > 0 && (wait < middle/2 || wait >= middle*3/2) || refusals == 0 && wait != b.RetryInterval {
				t.Errorf("delay of %v after %d refusals is outside the range of the backoff", wait, refusals)
			}
		}
		if refusals > 0 && len(drawn) < 100 {
			t.Errorf("%d of 200 delays differ after %d refusals, want at least 100", len(drawn), refusals)
		}
	}
	if wait := b.retryBackoff(1 << 40); wait > b.MaxRetryInterval*3/2 {
		t.Errorf("delay of %v after 1<<40 refusals, want at most 1.5 s", wait)
	}
}

// A peer that closes a connection before its challenge must count as one without room. One that accepts a
// connection resets the count, and one that can't be reached does not count.
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
			t.Errorf("counted %d refusals, want %d and a delay within the bound", writer.refusals, refusals)
		}
	}
	writer.peer.addr = b.addr
	if !connect(writer) || writer.refusals != 0 {
		t.Errorf("counted %d refusals after the peer accepted, want a connection and 0", writer.refusals)
	}
	writer.disconnect()
	writer.peer.addr = "127.0.0.1:1"
	if connect(writer) || writer.refusals != 0 {
		t.Errorf("counted %d refusals of an unreachable peer, want no connection and 0", writer.refusals)
	}
}

// If a peer, here one of another fleet, ends each connection right after it was opened, the replacement of
// the second and further ones must be delayed.
func TestConnectionsThatThePeerEndsAtOnceAreDelayed(t *testing.T) {
	b := DefaultBounds()
	b.RetryInterval = time.Minute // "right after" on a slow machine too
	a, foreign := openLinks(t, "a", "f", testKeys, b), openLinks(t, "b", "g", testKeys, DefaultBounds())
	writer := &peerWriter{links: a.Links, peer: &peer{id: "b", addr: foreign.addr}}
	for endings := 1; endings < 4; endings++ {
		writer.retryAt = time.Time{}
		if !writer.connect(context.Background()) {
			t.Fatal("the connection could not be opened")
		}
		<-writer.connectionEnded()
		writer.closeEnded()
		if waits := time.Until(writer.retryAt) > b.RetryInterval/2; waits != (endings > 1) {
			t.Errorf("after %d connections that ended early: delayed: %t, want a delay from the second one on", endings,
				waits)
		}
	}
}
