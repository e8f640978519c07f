package links

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
)

var (
	testKeys   = frames.Keys{bytes.Repeat([]byte{1}, 32)}
	otherKeys  = frames.Keys{bytes.Repeat([]byte{2}, 32)}
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
)

// testLinks are the links of one controller in a test, with the messages that they receive.
type testLinks struct {
	*Links
	addr     string
	messages chan Received
}

func openLinks(t *testing.T, name members.ID, fleet string, k frames.Keys, b Bounds) *testLinks {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveLinks(t, listener, name, fleet, k, b)
}

// serveLinks returns the links of a controller that accepts connections from a listener.
func serveLinks(
	t *testing.T, listener net.Listener, name members.ID, fleet string, k frames.Keys, b Bounds,
) *testLinks {
	e := &testLinks{addr: listener.Addr().String(), messages: make(chan Received, 100000)}
	e.Links = New(frames.Hello{Fleet: fleet, Generation: 1, From: name, Run: 7}, k, b,
		func(r Received) { e.messages <- r }, discardLog)
	e.Serve(listener)
	t.Cleanup(e.Close)
	return e
}

func (e *testLinks) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case r := <-e.messages:
		if string(r.Payload) != want || r.Run != 7 {
			t.Errorf("received %q of run %d, want %q", r.Payload, r.Run, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%q did not arrive", want)
	}
}

// eventually waits until a condition holds, and fails the test with the given text after 5 s.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// Messages between two controllers must arrive in order in both directions, even after one has changed to a
// key that the other does not know yet.
func TestMessagesArriveInOrderBothWays(t *testing.T) {
	a, b := openLinks(t, "a", "f", testKeys, DefaultBounds()), openLinks(t, "b", "f", testKeys, DefaultBounds())
	for i := range 100 {
		a.Send("b", b.addr, fmt.Append(nil, i))
	}
	for i := range 100 {
		b.expect(t, fmt.Sprint(i))
	}
	b.Send("a", a.addr, []byte("back"))
	a.expect(t, "back")
	a.SetKeys(append(frames.Keys{otherKeys[0]}, testKeys...)) // b does not know a's new key yet
	b.Send("a", a.addr, []byte("under the old key"))
	a.expect(t, "under the old key")
	a.Send("b", b.addr, []byte("on an open connection"))
	b.expect(t, "on an open connection")
}

// Connections from another fleet, with another key or with an invalid hello must be counted, and none of
// their messages delivered.
func TestForeignAndForgedConnectionsAreCounted(t *testing.T) {
	a := openLinks(t, "a", "f", testKeys, DefaultBounds())
	openLinks(t, "b", "g", testKeys, DefaultBounds()).Send("a", a.addr, []byte("x"))
	eventually(t, "a connection of another fleet is not counted", func() bool { return a.foreign.Load() == 1 })
	openLinks(t, "c", "f", otherKeys, DefaultBounds()).Send("a", a.addr, []byte("x"))
	eventually(t, "a connection with another key is not counted", func() bool { return a.forged.Load() == 1 })
	conn, err := net.Dial("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "\xff\xff\xff\xff and so on")
	eventually(t, "a connection with a claimed length of 4 GB is not counted", func() bool { return a.forged.Load() == 2 })
	if len(a.messages) > 0 {
		t.Error("a message of a rejected connection was delivered")
	}
}

// With a peer that does not read, one that is unreachable, and more peers than the bound, Send must not
// block, and queues and peers must stay within their bounds.
func TestSendNeverWaitsAndIsBounded(t *testing.T) {
	b := DefaultBounds()
	b.MaxPeers, b.QueueMessages, b.QueueBytes, b.DialTimeout, b.WriteTimeout, b.IdleTimeout = 4, 8, 4000,
		100*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond
	a := openLinks(t, "a", "f", testKeys, b)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	began := time.Now()
	for range 1000 {
		a.Send("unresponsive", unresponsive.Addr().String(), make([]byte, 1000))
		a.Send("gone", "127.0.0.1:1", make([]byte, 1000))
	}
	for i := range 50 {
		a.Send(members.ID(fmt.Sprint("n", i)), unresponsive.Addr().String(), []byte("x"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("2050 calls of Send took %v, want at most 1s", took)
	}
	a.mu.Lock()
	n := len(a.peers)
	a.mu.Unlock()
	if n > b.MaxPeers || a.dropped.Load() < 1900 {
		t.Errorf("%d peers and %d dropped messages, want at most 4 peers and at least 1900 dropped", n,
			a.dropped.Load())
	}
	eventually(t, "idle peers are kept",
		func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.peers) == 0 })
}

// A second connection of a controller must end its earlier one. No more connections than the bound may be
// accepted, and Close must leave no goroutine.
func TestLaterConnectionEndsEarlierOnesOfItsSender(t *testing.T) {
	before := runtime.NumGoroutine()
	b := DefaultBounds()
	b.MaxIncoming = 3
	a := openLinks(t, "a", "f", testKeys, b)
	first, second := openLinks(t, "b", "f", testKeys, DefaultBounds()), openLinks(t, "b", "f", testKeys, DefaultBounds())
	first.Send("a", a.addr, []byte("first"))
	a.expect(t, "first")
	second.Send("a", a.addr, []byte("second"))
	a.expect(t, "second")
	eventually(t, "the earlier connection stays open",
		func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.incoming) == 1 })
	for range 5 {
		conn, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	eventually(t, "not all connections over the bound are refused", func() bool { return a.refused.Load() == 3 })
	a.Close()
	first.Close()
	second.Close()
	eventually(t, "goroutines are left after Close", func() bool { return runtime.NumGoroutine() <= before+1 })
}

// startLengthCorruptingProxy starts a proxy to target that changes the length of the second frame after the
// hello on its first connection.
func startLengthCorruptingProxy(t *testing.T, target string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var changed atomic.Bool
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				return
			}
			go func() { io.Copy(conn, upstream); conn.Close() }()
			go func() {
				defer upstream.Close()
				for i := 0; ; i++ {
					frame, err := readRaw(conn)
					if err != nil {
						return
					}
					if i == 2 && !changed.Swap(true) {
						frame[1] ^= 1 // 64 KiB more
					}
					if _, err := upstream.Write(frame); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// readRaw reads one frame with its length and its authentication code.
func readRaw(conn net.Conn) ([]byte, error) {
	const macSize = 16
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return nil, err
	}
	frame := append(head, make([]byte, int(binary.BigEndian.Uint32(head))+macSize)...)
	_, err := io.ReadFull(conn, frame[len(head):])
	return frame, err
}

// If the length of a frame is corrupted in transit, the following messages look like its payload. The
// connection must then end at the frame's deadline, and later messages must arrive over another one.
func TestChangedLengthEndsTheConnection(t *testing.T) {
	b := DefaultBounds()
	b.WriteTimeout, b.RetryInterval = 300*time.Millisecond, 10*time.Millisecond
	receiver, sender := openLinks(t, "a", "f", testKeys, b), openLinks(t, "b", "f", testKeys, b)
	proxy := startLengthCorruptingProxy(t, receiver.addr)
	began := time.Now()
	for n := 0; ; n++ {
		sender.Send("a", proxy, fmt.Append(nil, n))
		time.Sleep(10 * time.Millisecond)
		if receiver.received.Load() > 1 {
			break
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("of %d messages %d arrived, want more than 1", n, receiver.received.Load())
		}
	}
	if took := time.Since(began); took < b.WriteTimeout {
		t.Errorf("the next message arrived after %v, before the write timeout: no length was corrupted", took)
	}
}

// startThrottlingProxy starts a proxy to target that forwards one chunk of bytes at each interval.
func startThrottlingProxy(t *testing.T, target string, chunk int, interval time.Duration) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				conn.Close()
				return
			}
			go func() { io.Copy(conn, upstream); conn.Close() }()
			go func() {
				defer upstream.Close()
				for {
					if _, err := io.CopyN(upstream, conn, int64(chunk)); err != nil {
						return
					}
					time.Sleep(interval)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A large message must arrive even if the network takes longer than the sender's write timeout to carry it.
func TestLargeMessageOverASlowNetwork(t *testing.T) {
	b := DefaultBounds()
	b.WriteTimeout = 100 * time.Millisecond
	receiver, sender := openLinks(t, "a", "f", testKeys, b), openLinks(t, "b", "f", testKeys, b)
	const size, chunk, pause = 64 << 10, 2 << 10, 20 * time.Millisecond // 100 KB/s: 0.64 s
	proxy := startThrottlingProxy(t, receiver.addr, chunk, pause)
	sender.Send("a", proxy, bytes.Repeat([]byte{7}, size))
	sender.Send("a", proxy, make([]byte, chunk)) // fills the last piece
	select {
	case r := <-receiver.messages:
		if len(r.Payload) != size {
			t.Errorf("received %d bytes, want all 64 KiB", len(r.Payload))
		}
	case <-time.After(5 * time.Second):
		t.Errorf("the message did not arrive; %d connections failed", sender.failed.Load())
	}
}

// A connection on which a frame of the largest length arrives slowly must end after the longest time for a
// frame, whatever length the frame claims.
func TestSlowFrameEndsTheConnection(t *testing.T) {
	b := DefaultBounds()
	b.WriteTimeout, b.IdleTimeout, b.MinFrameRate = 50*time.Millisecond, 200*time.Millisecond, 1000
	receiver, sender := openLinks(t, "a", "f", testKeys, b), openLinks(t, "b", "f", testKeys, DefaultBounds())
	proxy := startThrottlingProxy(t, receiver.addr, 256, 10*time.Millisecond) // 25 KB/s: 40 s
	sender.Send("a", proxy, make([]byte, frames.MaxPayloadBytes))
	incoming := func() int {
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		return len(receiver.incoming)
	}
	eventually(t, "the sender does not connect", func() bool { return incoming() == 1 })
	eventually(t, "the connection stays open", func() bool { return incoming() == 0 })
	if receiver.received.Load() > 0 {
		t.Error("the slow message was delivered")
	}
}
