package engines

import (
	"net"
	"time"
)

// enqueue has the connection's goroutine write something. mu is held.
func (c *conn) enqueue(o outgoing) {
	c.queuedBytes += o.size()
	c.queue = append(c.queue, o)
	wake(c.netConn)
}

// enqueueLine has the connection's goroutine write lines that start no attempt. mu is held.
func (c *conn) enqueueLine(b []byte) { c.enqueue(outgoing{parts: net.Buffers{b}}) }

// flush writes a batch by a deadline. If that fails, an attempt whose last byte was not taken
// counts as not written again: it never ran, as engines run what they have received whole. So
// nothing is written where an attempt is in the batch and the engine has closed the connection
// already, as it may close an idle one at any moment.
func (c *conn) flush(batch []outgoing, to *lookaheadConn, deadline time.Time) error {
	var parts net.Buffers
	startsAttempt := false
	for _, o := range batch {
		parts = append(parts, o.parts...)
		startsAttempt = startsAttempt || o.attempt != nil
	}
	var taken int64 // bytes
	var err error
	if startsAttempt && to.closedByPeer() != nil {
		err = errClosedByEngine
	} else {
		to.SetWriteDeadline(deadline)
		taken, err = parts.WriteTo(to.Conn)
	}
	if err != nil {
		c.markUnwritten(batch, taken)
	}
	return err
}

// markUnwritten has the attempts of a batch of which only some bytes were taken count as not
// written.
func (c *conn) markUnwritten(batch []outgoing, taken int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range batch {
		taken -= int64(o.size())
		if taken < 0 && o.attempt != nil {
			o.attempt.written = false
		}
	}
}
