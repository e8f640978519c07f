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

// flush writes a batch by a deadline. If that fails, an attempt that was not taken whole counts as
// not written again: it never ran, as engines only run what they have received whole.
//
// An engine may close an idle connection at any moment. If it has, a batch with an attempt is not
// written at all: the closed connection might still take its bytes, and the attempt would count as
// one that may have run.
func (c *conn) flush(batch []outgoing, netConn *lookaheadConn, deadline time.Time) error {
	var parts net.Buffers
	startsAttempt := false
	for _, o := range batch {
		parts = append(parts, o.parts...)
		startsAttempt = startsAttempt || o.attempt != nil
	}
	var taken int64 // bytes
	var err error
	if startsAttempt && netConn.closedByPeer() != nil {
		err = errClosedByEngine
	} else {
		netConn.SetWriteDeadline(deadline)
		taken, err = parts.WriteTo(netConn.Conn)
	}
	if err != nil {
		c.markUnwritten(batch, taken)
	}
	return err
}

// markUnwritten marks the attempts of a batch that were not written whole, after so many bytes of
// the batch were taken.
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
