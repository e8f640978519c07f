package hollow

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

// Parameters of the model of TCP retransmission: TCP waits before it retransmits a lost segment, and twice as long after each
// further loss. Loss therefore appears as delay and as retransmitted bytes.
const (
	dataRetransmission = 200 * time.Millisecond // Linux's minimum retransmission timeout
	synRetransmission  = time.Second
	maxRetransmissions = 6               // of one segment; the deadlines of package links end a connection that is delayed for longer
	lossyQueueLength   = 64              // maximum number of delayed writes of one connection
	lossyWriteTimeout  = 2 * time.Second // to enqueue a write, and to write it to the underlying connection
)

// loss is the probability that a segment is lost.
type loss float64

// drawSegment draws how often a segment is retransmitted and by how much that delays it, given the first timeout.
func (l loss) drawSegment(first time.Duration) (retransmissions int64, delay time.Duration) {
	for wait := first; retransmissions < maxRetransmissions && rand.Float64() < float64(l); wait *= 2 {
		retransmissions++
		delay += wait
	}
	return retransmissions, delay
}

// drawWrite draws the retransmissions of segments that are sent together, and returns their number and the longest delay.
func (l loss) drawWrite(segments int64, first time.Duration) (retransmissions int64, delay time.Duration) {
	for range segments {
		n, segmentDelay := l.drawSegment(first)
		retransmissions += n
		delay = max(delay, segmentDelay)
	}
	return retransmissions, delay
}

// awaitHandshake waits for the delay that lost segments cause when a connection is opened: the longer one of SYN and SYN-ACK,
// and that of the greeting.
func (l loss) awaitHandshake(ctx context.Context) error {
	_, synDelay := l.drawWrite(2, synRetransmission)
	_, greetingDelay := l.drawSegment(dataRetransmission)
	select {
	case <-time.After(synDelay + greetingDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lossyConn delays writes as the loss of segments would, and keeps their order. Writes that are still delayed when the
// connection is closed are lost.
type lossyConn struct {
	net.Conn
	loss              loss
	retransmitTimeout time.Duration // until the first retransmission
	onRetransmit      func(segments int64)
	queue             chan delayedWrite
	done              chan struct{} // closed by Close
	closing           sync.Once
	lastAt            time.Time     // time at which the last write arrives; used only by the writing goroutine
	finished          chan struct{} // closed when deliver has returned
}

// delayedWrite is data and the time at which it arrives.
type delayedWrite struct {
	data []byte
	at   time.Time
}

// newLossyConn wraps a connection. It calls onRetransmit with the number of retransmitted segments of each write.
func newLossyConn(conn net.Conn, l loss, retransmitTimeout time.Duration, onRetransmit func(segments int64)) *lossyConn {
	c := &lossyConn{Conn: conn, loss: l, retransmitTimeout: retransmitTimeout, onRetransmit: onRetransmit, queue: make(chan delayedWrite, lossyQueueLength), done: make(chan struct{}),
		finished: make(chan struct{})}
	go c.deliver()
	return c
}

// Write implements net.Conn. It must not be called concurrently.
func (c *lossyConn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	retransmissions, delay := c.loss.drawWrite(segments(len(b)), c.retransmitTimeout)
	c.onRetransmit(retransmissions)
	c.lastAt = latest(c.lastAt, time.Now().Add(delay))
	deadline := time.NewTimer(lossyWriteTimeout)
	defer deadline.Stop()
	select {
	case c.queue <- delayedWrite{bytes.Clone(b), c.lastAt}:
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	case <-deadline.C:
		return 0, os.ErrDeadlineExceeded
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deliver passes each write to the underlying connection at its time of arrival, until the connection is closed.
func (c *lossyConn) deliver() {
	defer close(c.finished)
	for {
		select {
		case <-c.done:
			return
		case w := <-c.queue:
			select {
			case <-c.done:
				return
			case <-time.After(time.Until(w.at)):
			}
			c.Conn.SetWriteDeadline(time.Now().Add(lossyWriteTimeout))
			if _, err := c.Conn.Write(w.data); err != nil {
				c.Close()
				return
			}
		}
	}
}

// Close implements net.Conn.
func (c *lossyConn) Close() error {
	c.closing.Do(func() { close(c.done) })
	return c.Conn.Close()
}
