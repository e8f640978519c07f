package links

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
)

// connectSenders connects a number of controllers to one, in order, and returns them.
func connectSenders(t *testing.T, to *testLinks, count int) []*testLinks {
	t.Helper()
	senders := make([]*testLinks, count)
	for i := range senders {
		senders[i] = openLinks(t, members.ID(fmt.Sprint("n", i)), "f", testKeys, DefaultBounds())
		senders[i].sendTo(t, to, fmt.Sprint("first of ", i))
	}
	return senders
}

// sendTo sends a message and checks that it arrives.
func (e *testLinks) sendTo(t *testing.T, to *testLinks, message string) {
	t.Helper()
	e.Send("a", to.addr, []byte(message))
	to.expect(t, message)
}

// With all incoming connections in use, the one that has been idle for the longest time must be evicted for a
// new one. Its sender must notice, and its next message must arrive over another connection.
func TestIdleConnectionIsEvicted(t *testing.T) {
	b := DefaultBounds()
	b.MaxIncoming, b.EvictAfter = 3, time.Nanosecond
	a := openLinks(t, "a", "f", testKeys, b)
	senders := connectSenders(t, a, 3)
	senders[0].sendTo(t, a, "second of 0") // the longest idle one is n1 now
	late := openLinks(t, "late", "f", testKeys, DefaultBounds())
	late.sendTo(t, a, "late")
	eventually(t, "n1 does not notice the end of its connection", func() bool { return senders[1].ended.Load() == 1 })
	if ended := senders[0].ended.Load() + senders[2].ended.Load(); ended > 0 || a.refused.Load() > 0 {
		t.Errorf("%d other connections ended and %d were refused, want none", ended, a.refused.Load())
	}
	senders[1].sendTo(t, a, "second of 1")
	if failed := senders[1].failed.Load() + senders[1].dropped.Load(); failed > 0 || a.evicted.Load() != 2 {
		t.Errorf("n1: %d messages or connections failed, and %d connections were evicted, want 0 and 2", failed,
			a.evicted.Load())
	}
}

// With all incoming connections in recent use, a new one must be refused, and accepted once there is room.
func TestBusyConnectionsStay(t *testing.T) {
	b := DefaultBounds()
	b.MaxIncoming, b.EvictAfter = 3, time.Hour
	a := openLinks(t, "a", "f", testKeys, b)
	senders := connectSenders(t, a, 3)
	fastRetry := DefaultBounds()
	fastRetry.RetryInterval, fastRetry.MaxRetryInterval = time.Millisecond, 10*time.Millisecond
	late := openLinks(t, "late", "f", testKeys, fastRetry)
	late.Send("a", a.addr, []byte("refused"))
	eventually(t, "the new connection is not refused", func() bool { return a.refused.Load() > 0 })
	for i, s := range senders {
		s.sendTo(t, a, fmt.Sprint("second of ", i))
	}
	senders[2].Close()
	eventually(t, "the new sender is not accepted once there is room", func() bool {
		late.Send("a", a.addr, []byte("late"))
		return len(a.messages) > 0
	})
	if a.evicted.Load() > 0 {
		t.Errorf("%d connections in recent use were evicted, want none", a.evicted.Load())
	}
}

// Connections that never authenticate must displace at most MaxIncoming/unauthenticatedDivisor idle
// connections.
func TestStrangersDisplaceFew(t *testing.T) {
	const maxIncoming = 8
	b := DefaultBounds()
	b.MaxIncoming, b.EvictAfter = maxIncoming, time.Nanosecond
	a := openLinks(t, "a", "f", testKeys, b)
	connectSenders(t, a, maxIncoming)
	for range maxIncoming {
		conn, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	eventually(t, "not every unauthenticated connection displaced one or was refused", func() bool { return a.evicted.Load()+a.refused.Load() == maxIncoming })
	if evicted := a.evicted.Load(); evicted != maxIncoming/unauthenticatedDivisor {
		t.Errorf("%d of %d unauthenticated connections displaced others, want the bound", evicted, maxIncoming)
	}
}

// bufferedConn is a connection that buffers writes, so that a test can send several as one.
type bufferedConn struct {
	net.Conn
	buffer *bytes.Buffer // nil for unbuffered writes
}

func (g *bufferedConn) Write(b []byte) (int, error) {
	if g.buffer != nil {
		return g.buffer.Write(b)
	}
	return g.Conn.Write(b)
}

// If a controller restarts and connects again, frames of its former incarnation that were read but not yet
// delivered must be dropped.
func TestFramesReadAheadOfAnEndedConnectionAreDropped(t *testing.T) {
	first, release, got := make(chan bool), make(chan bool), make(chan string, 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	receive := func(r Received) {
		got <- string(r.Payload)
		if string(r.Payload) == "one" {
			close(first)
			<-release
		}
	}
	a := New(frames.Hello{Fleet: "f", Generation: 1, From: "a", Run: 7}, testKeys, DefaultBounds(), receive, discardLog)
	a.Serve(listener)
	t.Cleanup(a.Close)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	buffered := &bufferedConn{Conn: conn}
	writer, err := frames.Open(buffered, testKeys[0], frames.Hello{Fleet: "f", Generation: 1, From: "b", Run: 7, To: "a"})
	if err != nil {
		t.Fatal(err)
	}
	buffered.buffer = &bytes.Buffer{}
	writer.Write([]byte("one"))
	writer.Write([]byte("two")) // is read together with the first frame
	conn.Write(buffered.buffer.Bytes())
	<-first
	again := openLinks(t, "b", "f", testKeys, DefaultBounds())
	again.Send("a", listener.Addr().String(), []byte("again"))
	for _, want := range []string{"one", "again"} {
		select {
		case payload := <-got:
			if payload != want {
				t.Fatalf("received %q, want %q", payload, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%q did not arrive", want)
		}
	}
	close(release)
	a.Close() // waits for the former connection's goroutine
	if len(got) > 0 {
		t.Errorf("%q of the former connection was delivered after the new connection", <-got)
	}
}
