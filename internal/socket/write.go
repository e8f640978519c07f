package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// WriteBuffers writes all parts by a deadline, in one system call if the peer takes them at once.
// Past the deadline it writes what the peer takes without waiting: os.ErrDeadlineExceeded means
// that the peer takes no more. It returns the number of bytes written, and consumes them from
// parts.
func (c *Conn) WriteBuffers(parts *net.Buffers, deadline time.Time) (int64, error) {
	c.SetWriteDeadline(deadline)
	written, err := parts.WriteTo(c.Conn)
	if c.raw == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	late := int64(0)
	c.raw.Control(func(fd uintptr) { late = writeNow(int(fd), parts) }) // fails only if it is closed
	if len(*parts) == 0 {
		err = nil
	}
	return written + late, err
}

// writeNow writes parts until a write would wait or fails, and consumes what was written.
func writeNow(fd int, parts *net.Buffers) (written int64) {
	for len(*parts) > 0 {
		part := (*parts)[0]
		n := 0
		if len(part) > 0 {
			var err error
			n, err = syscall.Write(fd, part)
			if errors.Is(err, syscall.EINTR) {
				continue
			}
			if err != nil {
				return written
			}
		}
		written += int64(n)
		(*parts)[0] = part[n:]
		if n == len(part) {
			*parts = (*parts)[1:]
		}
	}
	return written
}
