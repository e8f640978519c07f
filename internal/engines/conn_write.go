package engines

import (
	"net"
	"time"
)

// enqueue adds an entry to the write queue and wakes the connection's goroutine. mu is held.
func (c *conn) enqueue(o outgoing) {
	c.queuedBytes += o.size()
	c.queue = append(c.queue, o)
	wake(c.netConn)
}

// enqueueLine adds lines that start no attempt to the write queue. mu is held.
func (c *conn) enqueueLine(b []byte) { c.enqueue(outgoing{parts: net.Buffers{b}}) }

// flush writes a batch by a deadline. If that fails, attempts that the connection did not accept to
// the last byte are marked as not written again: they never ran, as engines run only complete
// requests.
//
// An engine may close an idle connection at any moment. If it has, a batch with an attempt is not
// written at all: the closed connection might still accept the bytes, and the attempt would count
// as one that may have run.
func (c *conn) flush(batch []outgoing, netConn *lookaheadConn, deadline time.Time) error {
	var parts net.Buffers
	startsAttempt := false
	for _, o := range batch {
		parts = append(parts, o.parts...)
		startsAttempt = startsAttempt || o.attempt != nil
	}
	var taken int64 // bytes that the connection has accepted
	var err error
	if startsAttempt && netConn.closedByPeer() != nil {
		err = errClosedByEngine
	} else {
		taken, err = netConn.WriteBuffers(&parts, deadline)
	}
	if err != nil {
		c.markUnwritten(batch, taken)
		return err
	}
	c.startReplyTimeouts(batch)
	return nil
}

// startReplyTimeouts begins the time for the replies to the pings of a batch that was just written:
// it may have waited for long, as the process had no turn.
func (c *conn) startReplyTimeouts(batch []outgoing) {
	for _, o := range batch {
		if o.pingTag != "" {
			c.startReplyTimeout(o.pingTag, o.firstPing)
		}
	}
}

// markUnwritten marks the attempts of a batch of which the connection has not accepted the last
// byte. taken is the number of bytes of the batch that it has accepted.
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
