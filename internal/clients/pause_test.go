package clients

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// pausableListener wraps the connections that it accepts, and passes them on to the test.
type pausableListener struct {
	net.Listener
	conns    chan *pausableConn
	pauseNew *atomic.Bool // new connections are paused from the start
}

func (l *pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &pausableConn{TCPConn: conn.(*net.TCPConn), paused: make(chan bool), resume: make(chan bool)}
	c.pauseNext.Store(l.pauseNew.Load())
	select {
	case l.conns <- c:
	default: // the test does not pause connections
	}
	return c, nil
}

// pausableConn is the server's side of a connection. When a test asks for it, the session's goroutine stands still
// where it next sets a read deadline, as a goroutine of a stopped process does.
type pausableConn struct {
	*net.TCPConn
	pauseNext atomic.Bool
	paused    chan bool
	resume    chan bool
}

func (c *pausableConn) SetReadDeadline(at time.Time) error {
	isInterrupt := at.Equal(time.Unix(1, 0)) // which comes from other goroutines
	if !isInterrupt && c.pauseNext.CompareAndSwap(true, false) {
		c.paused <- true
		<-c.resume
	}
	return c.TCPConn.SetReadDeadline(at)
}

// awaitPause waits until the session's goroutine stands still.
func (c *pausableConn) awaitPause(t *testing.T) {
	t.Helper()
	select {
	case <-c.paused:
	case <-time.After(testTimeout):
		t.Fatal("the session did not set a read deadline in time")
	}
}

// awaitUnread waits until this many bytes have arrived and are unread.
func (c *pausableConn) awaitUnread(t *testing.T, size int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, size)
	for deadline := time.Now().Add(testTimeout); ; {
		arrived := 0
		raw.Control(func(fd uintptr) {
			arrived, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		if arrived == size {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d bytes arrived in time", arrived, size)
		}
	}
}
