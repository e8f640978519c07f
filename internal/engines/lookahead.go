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
	// lookaheadBytes is the most that closedByPeer reads ahead.
	lookaheadBytes = 512
	// maxWakeups bounds how often closedByPeer reads again because the loop woke the goroutine.
	maxWakeups = 3
)

// lookaheadConn is a connection that can report, without waiting, whether its other end has closed
// it. A goroutine that is woken to write would not see a close that came at that moment, and its
// attempt would count as one that may have run. One goroutine reads from it.
type lookaheadConn struct {
	net.Conn
	raw   syscall.RawConn      // nil: Conn has none, and a close is seen only by Read
	ahead []byte               // read by closedByPeer, and not yet returned by Read
	err   error                // that follows ahead; nil: none yet
	buf   [lookaheadBytes]byte // holds ahead
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

// Read returns what was read ahead first.
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

// closedByPeer returns the error that the connection has ended with, io.EOF for a close. It is nil
// if no end has come yet, or if more bytes came before it than are read ahead.
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
