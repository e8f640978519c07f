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
	// lookaheadBytes is the size of the buffer into which closedByPeer reads ahead.
	lookaheadBytes = 512
	// maxWakeups bounds how often closedByPeer retries a read that was interrupted by wake.
	maxWakeups = 3
)

// lookaheadConn is a connection that can report without blocking whether its peer has closed it. A
// goroutine whose read is interrupted so that it writes would otherwise miss a close that arrives
// at that moment, and its attempt would count as one that may have run. Only one goroutine reads
// from it.
type lookaheadConn struct {
	net.Conn
	raw   syscall.RawConn      // nil: Conn has none, and only Read detects a close
	ahead []byte               // read by closedByPeer but not yet returned by Read
	err   error                // after the bytes in ahead; nil: none yet
	buf   [lookaheadBytes]byte // backs ahead
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

// Read returns the bytes that were read ahead before it reads from the connection.
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

// closedByPeer returns the error that the connection has ended with, io.EOF for a close. It returns
// nil if the connection has not ended, or if more bytes precede the end than are read ahead.
func (c *lookaheadConn) closedByPeer() error {
	if c.raw == nil || len(c.ahead) > 0 || c.err != nil {
		return c.err
	}
	have := 0
	wakeups := 0
	for have < len(c.buf) && c.err == nil {
		n, err := c.readNow(c.buf[have:])
		if errors.Is(err, os.ErrDeadlineExceeded) { // interrupted by wake
			wakeups++
			if wakeups > maxWakeups {
				break
			}
			continue
		}
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) { // no more bytes available
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

// readNow reads once without blocking.
func (c *lookaheadConn) readNow(b []byte) (n int, err error) {
	c.SetReadDeadline(time.Time{})
	var readErr error
	err = c.raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b)
		return true // done, even if there was nothing to read
	})
	return n, cmp.Or(err, readErr)
}
