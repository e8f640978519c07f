package socket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrNoInput says that no input has arrived.
var ErrNoInput = errors.New("no input has arrived")

// Conn is a connection whose unread input can be asked for. One goroutine at a time reads from it;
// the other methods may be called by any goroutine.
//
// A connection that has no descriptor, such as a net.Pipe, behaves as if no input were unread.
type Conn struct {
	net.Conn
	raw          syscall.RawConn // nil: Conn has no descriptor
	maxLateBytes int

	// Owned by the reader:
	buffer  []byte             // of the current read
	read    int                // bytes read into buffer
	readErr error              // of the current read
	tryRead func(uintptr) bool // readOnce, which is bound only once

	mu        sync.Mutex // guards all below and each system call that reads; nothing blocks under it
	unhandled bool       // the last read returned something, and the reader has not asked for more
	deadline  time.Time  // the read deadline
	lateBytes int        // read since the deadline was set to another time and has passed
	silentAt  time.Time  // see SilentAt
}

// NewConn returns a Conn that reads from and writes to conn. It reads at most maxLateBytes past a
// read deadline.
func NewConn(conn net.Conn, maxLateBytes int) *Conn {
	c := &Conn{Conn: conn, maxLateBytes: maxLateBytes}
	c.tryRead = c.readOnce
	if sys, ok := conn.(syscall.Conn); ok {
		c.raw, _ = sys.SyscallConn() // fails only for a connection that was closed
	}
	return c
}

// Read reads from the connection. What it returns counts as unhandled until the reader asks for
// more and there is nothing: until then HasInput reports it.
//
// Past the read deadline, Read returns what has arrived. os.ErrDeadlineExceeded means that nothing
// has: the peer was silent until now. So that a peer that goes on sending can't hold up its reader,
// it is also returned after maxLateBytes, until SetReadDeadline sets another deadline.
func (c *Conn) Read(b []byte) (int, error) {
	if c.raw == nil || len(b) == 0 {
		return c.readBlind(b)
	}
	c.buffer = b
	err := c.raw.Read(c.tryRead)
	c.buffer = nil
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.readLate(b, err)
	}
	if err != nil {
		return 0, err
	}
	return c.result()
}

// readLate reads what has arrived after the read deadline passed, or returns deadlineErr.
func (c *Conn) readLate(b []byte, deadlineErr error) (int, error) {
	lookedAt := time.Now()
	c.mu.Lock()
	left := c.maxLateBytes - c.lateBytes
	c.mu.Unlock()
	n := 0
	err := ErrNoInput
	if left > 0 {
		n, err = c.ReadArrived(b[:min(len(b), left)])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(err, ErrNoInput) {
		c.silentAt = lookedAt
		return 0, deadlineErr
	}
	c.lateBytes += n
	return n, err
}

// readBlind reads from a connection whose socket can't be looked at.
func (c *Conn) readBlind(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silentAt = time.Now()
	}
	return n, err
}

// SilentAt returns the time until which the peer is known to have sent nothing more than was read:
// when a read last found its deadline passed and the socket empty. Whoever declares the peer silent
// compares with this time, not with the clock.
func (c *Conn) SilentAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silentAt
}

// SetReadDeadline sets the deadline of reads; zero is none.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if !t.Equal(c.deadline) {
		c.lateBytes = 0
	}
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// ReadArrived reads what has arrived, without waiting and whatever the read deadline. The error is
// ErrNoInput if nothing has arrived.
func (c *Conn) ReadArrived(b []byte) (int, error) {
	if c.raw == nil || len(b) == 0 {
		return 0, ErrNoInput
	}
	arrived := false
	c.buffer = b
	err := c.raw.Control(func(fd uintptr) { arrived = c.readOnce(fd) })
	c.buffer = nil
	if err != nil {
		return 0, err
	}
	if !arrived {
		return 0, ErrNoInput
	}
	return c.result()
}

// readOnce reads once into buffer, and reports whether there was input, an end or an error.
func (c *Conn) readOnce(fd uintptr) (done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.read, c.readErr = syscall.Read(int(fd), c.buffer)
		if !errors.Is(c.readErr, syscall.EINTR) {
			break
		}
	}
	c.unhandled = !errors.Is(c.readErr, syscall.EAGAIN)
	return c.unhandled
}

// result returns the result of the last system call that read.
func (c *Conn) result() (int, error) {
	if c.readErr != nil {
		return 0, &net.OpError{
			Op:     "read",
			Net:    c.LocalAddr().Network(),
			Source: c.LocalAddr(),
			Addr:   c.RemoteAddr(),
			Err:    os.NewSyscallError("read", c.readErr),
		}
	}
	if c.read == 0 {
		return 0, io.EOF
	}
	return c.read, nil
}

// input is what a peek at the receive buffer finds.
type input int

const (
	noInput    input = iota
	bytesInput       // at least one byte
	endInput         // the peer's end of the stream, or an error
)

// peek looks at the receive buffer without taking anything from it.
func peek(fd uintptr) input {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return noInput
		case err != nil || n == 0:
			return endInput
		}
		return bytesInput
	}
}

// HasInput reports whether input, the peer's end of the stream included, is unread, or was read and
// not handled yet.
func (c *Conn) HasInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.unhandled {
		return c.unhandled
	}
	found := noInput
	c.raw.Control(func(fd uintptr) { found = peek(fd) }) // fails only for a closed connection
	return found != noInput
}

// MarkUnhandled has the input that was read count as unhandled until the reader asks for more and
// there is nothing: its reader has taken a part of it from a buffer and will go on with the rest.
func (c *Conn) MarkUnhandled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unhandled = true
}

// interruptDeadline is a read deadline in the past.
var interruptDeadline = time.Unix(1, 0)

// Interrupt ends the read in which the reader waits, and further reads until the next call of
// SetReadDeadline, as if their deadline had passed. It does not count as another deadline.
func (c *Conn) Interrupt() { c.Conn.SetReadDeadline(interruptDeadline) }
