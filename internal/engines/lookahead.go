package engines

import (
	"errors"
	"net"

	"mintkeel/internal/socket"
)

// lookaheadBytes is the size of the buffer into which closedByPeer reads ahead.
const lookaheadBytes = 512

// lookaheadConn is a connection that can report without blocking whether its peer has closed it. A
// goroutine whose read is interrupted so that it writes would otherwise miss a close that arrives
// at that moment, and its attempt would count as one that may have run. Only one goroutine reads
// from it.
type lookaheadConn struct {
	*socket.Conn
	ahead []byte               // read by closedByPeer but not yet returned by Read
	err   error                // after the bytes in ahead; nil: none yet
	buf   [lookaheadBytes]byte // backs ahead
}

// newLookaheadConn returns a connection that reads at most maxLateBytes past a read deadline.
func newLookaheadConn(conn net.Conn, maxLateBytes int) *lookaheadConn {
	return &lookaheadConn{Conn: socket.NewConn(conn, maxLateBytes)}
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
	if len(c.ahead) > 0 || c.err != nil {
		return c.err
	}
	have := 0
	for have < len(c.buf) {
		n, err := c.ReadArrived(c.buf[have:])
		if errors.Is(err, socket.ErrNoInput) {
			break
		}
		if err != nil {
			c.err = err
			break
		}
		have += n
	}
	c.ahead = c.buf[:have]
	if have > 0 {
		c.MarkUnhandled()
	}
	return c.err
}
