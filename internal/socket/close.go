package socket

import "syscall"

// CloseWrite ends the stream to the peer, which can still send. It does nothing on a connection
// whose two directions can't be closed apart.
func (c *Conn) CloseWrite() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite()
	}
}

// CloseWriteUnlessInput ends the stream to the peer, unless input is unread or was read and is not
// handled yet, and reports whether it did. The two system calls follow each other directly, so that
// what it ends over has crossed the end on its way.
func (c *Conn) CloseWriteUnlessInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unhandled {
		return false
	}
	if c.raw == nil {
		c.CloseWrite()
		return true
	}
	closed := true // a connection that is closed already stays so
	c.raw.Control(func(fd uintptr) {
		closed = peek(fd) != bytesInput
		if closed {
			syscall.Shutdown(int(fd), syscall.SHUT_WR)
		}
	})
	return closed
}
