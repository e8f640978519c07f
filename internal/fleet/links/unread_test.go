package links

import (
	"net"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/socket"
)

// TestFrameBeforeDeadline guards against a connection between controllers that ends, with a frame that came in time, because
// its deadline passed while the process had no turn.
func TestFrameBeforeDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()

	passed := DefaultBounds()
	passed.IdleTimeout = -time.Second
	passed.WriteTimeout = -time.Hour
	l := New(frames.Hello{Fleet: "f", Generation: 1, From: "a", Run: 7}, testKeys, passed, func(Received) {}, discardLog)
	defer l.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	opened := make(chan *frames.Writer, 1)
	go func() {
		writer, err := frames.Open(conn, testKeys[0], frames.Hello{Fleet: "f", Generation: 1, From: "b", Run: 7, To: "a"})
		if err != nil {
			t.Error(err)
		}
		opened <- writer
	}()
	incoming := socket.NewConn(accepted, frames.MaxPayloadBytes)
	reader, err := l.authenticate(incoming)
	if err != nil {
		t.Fatal(err)
	}
	if err := (<-opened).Write([]byte("one")); err != nil {
		t.Fatal(err)
	}
	awaitUnread(t, accepted.(*net.TCPConn))
	payload, err := l.readFrame(incoming, reader)
	if err != nil || string(payload) != "one" {
		t.Errorf("got %q, %v; want the frame that had come", payload, err)
	}
}

// awaitUnread waits until bytes have arrived and are unread.
func awaitUnread(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "nothing arrives", func() (arrived bool) {
		raw.Control(func(fd uintptr) {
			n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			arrived = n > 0
		})
		return arrived
	})
}
