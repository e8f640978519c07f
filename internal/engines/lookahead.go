package engines

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// lookaheadBytes is how much a look reads at most.
	lookaheadBytes = 512
	// maxWakeups bounds how often a look is begun again because the loop woke the goroutine.
	maxWakeups = 3
)

// lookaheadConn is a connection that can tell, without waiting, whether its other end has closed
// it. A goroutine that is woken to write would not know of an end that came at that moment, and its
// attempt would count as one that may have run. One goroutine reads from it.
type lookaheadConn struct {
	net.Conn
	raw   syscall.RawConn      // nil: it can't be told
	ahead []byte               // was read by a look, and is still to be handed on by Read
	err   error                // what came after that; nil: nothing yet
	buf   [lookaheadBytes]byte // of ahead
}

func newLookaheadConn(conn net.Conn) (*lookaheadConn, error) {
	c := &lookaheadConn{Conn: conn}
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return c, nil
	}
	var err error
	c.raw, err = sys.SyscallConn()
	return c, err
}

// Read hands on what was read ahead first.
func (c *lookaheadConn) Read(b []byte) (int, error) {
	if len(c.ahead) > 0 {
		n := copy(b, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(b)
}

// closedByPeer returns the error that the connection has ended with, as far as has come by now. It
// is nil while the connection is open, and where more has come than is looked at.
func (c *lookaheadConn) closedByPeer() error {
	if c.raw == nil || len(c.ahead) > 0 || c.err != nil {
		return c.err
	}
	have := 0
	wakeups := 0
	for have < len(c.buf) && c.err == nil {
		n, err := c.readNow(c.buf[have:])
		if errors.Is(err, os.ErrDeadlineExceeded) { // the loop woke the goroutine just now
			wakeups++
			if wakeups > maxWakeups {
				break
			}
			continue
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) { // there is no more yet
			break
		}
		switch {
		case err != nil:
			c.err = err
		case n == 0:
			c.err = io.EOF
		default:
			have += n
		}
	}
	c.ahead = c.buf[:have]
	return c.err
}

// readNow reads once, without waiting.
func (c *lookaheadConn) readNow(b []byte) (n int, err error) {
	c.SetReadDeadline(time.Time{})
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b)
		return true // done, also if there was nothing to read
	})
	return n, cmp.Or(err, readErr)
}
