package socket

import (
	"net"
	"time"
)

// WriteBuffers writes all parts by a deadline, in one system call if the peer takes them at once.
// It returns the number of bytes written, and consumes them from parts.
func (c *Conn) WriteBuffers(parts *net.Buffers, deadline time.Time) (int64, error) {
	c.SetWriteDeadline(deadline)
	return parts.WriteTo(c.Conn)
}
