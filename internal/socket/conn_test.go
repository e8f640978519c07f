package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// connPair returns a Conn that reads at most maxLateBytes late, and its peer.
func connPair(t *testing.T, maxLateBytes int) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); peer.Close() })
	return NewConn(conn, maxLateBytes), peer.(*net.TCPConn)
}

func awaitInput(t *testing.T, c *Conn) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !c.HasInput(); {
		if time.Now().After(deadline) {
			t.Fatal("no input arrived in time")
		}
	}
}

// TestReadPastDeadline guards against a deadline that hides input: what arrived before the deadline was looked at is
// read, and only then the deadline counts. A peer that goes on sending can't put it off without end.
func TestReadPastDeadline(t *testing.T) {
	c, peer := connPair(t, 6)
	peer.Write([]byte("12345678"))
	awaitInput(t, c)
	passed := time.Now().Add(-time.Second)
	b := make([]byte, 4)
	for _, want := range []int{4, 2, 0, 0} {
		c.SetReadDeadline(passed)
		n, err := c.Read(b)
		if n != want || (err == nil) != (want > 0) || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read %d bytes, %v; want %d of 6 bytes past the deadline", n, err, want)
		}
	}
	c.SetReadDeadline(passed.Add(time.Millisecond)) // another deadline
	if n, err := c.Read(b); n != 2 || err != nil {
		t.Errorf("read %d bytes, %v; want the last 2", n, err)
	}
}

// TestInputUntilHandled guards against a connection that counts as silent while its reader still handles what it read.
func TestInputUntilHandled(t *testing.T) {
	c, peer := connPair(t, 100)
	if c.HasInput() {
		t.Error("input before the peer has sent any")
	}
	peer.Write([]byte("1"))
	awaitInput(t, c)
	if c.CloseWriteUnlessInput() {
		t.Error("closed over unread input")
	}
	c.Read(make([]byte, 9))
	if !c.HasInput() || c.CloseWriteUnlessInput() {
		t.Error("closed over input that was read and is not handled")
	}
	c.Interrupt() // the reader asks for more, and there is nothing
	if _, err := c.Read(make([]byte, 9)); !errors.Is(err, os.ErrDeadlineExceeded) || c.HasInput() {
		t.Errorf("read: %v, input %t; want the deadline and no input", err, c.HasInput())
	}
	if _, err := c.ReadArrived(make([]byte, 9)); !errors.Is(err, ErrNoInput) {
		t.Errorf("read without waiting: %v, want ErrNoInput", err)
	}
	c.MarkUnhandled()
	if c.CloseWriteUnlessInput() {
		t.Error("closed over input that is marked as unhandled")
	}
	c.ReadArrived(make([]byte, 9))
	if !c.CloseWriteUnlessInput() {
		t.Error("not closed without input")
	}
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the peer reads %v, want EOF", err)
	}
	peer.CloseWrite()
	awaitInput(t, c) // the end is input, too
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 9)); err != io.EOF {
		t.Errorf("after the peer's end: %v, want EOF", err)
	}
}
