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

// How TCP makes up for a lost segment: it waits, and twice as long after each further loss. Loss shows as lateness, and as
// bytes that go twice.
const (
	dataRetransmission = 200 * time.Millisecond // the least that Linux waits
	synRetransmission  = time.Second
	maxRetransmissions = 6  // of one segment; what is later than that ends by the deadlines of links
	lossyQueue         = 64 // writes on their way on one connection
	lossyWriteTime     = 2 * time.Second
)

// loss is the share of segments that are lost.
type loss float64

// drawSegment draws how often a segment is sent again, and how late it arrives.
func (l loss) drawSegment(first time.Duration) (again int64, late time.Duration) {
	for wait := first; again < maxRetransmissions && rand.Float64() < float64(l); wait *= 2 {
		again++
		late += wait
	}
	return again, late
}

// drawWrite draws the same for a number of segments that are sent together.
func (l loss) drawWrite(segments int64, first time.Duration) (again int64, late time.Duration) {
	for range segments {
		n, after := l.drawSegment(first)
		again += n
		late = max(late, after)
	}
	return again, late
}

// awaitHandshake waits for as long as lost segments hold up the beginning of a connection: SYN, SYN-ACK and the greeting.
func (l loss) awaitHandshake(ctx context.Context) error {
	_, late := l.drawWrite(2, synRetransmission)
	_, greeting := l.drawSegment(dataRetransmission)
	select {
	case <-time.After(late + greeting):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// lossyConn delays what is written as the loss of segments does, in order. What is on its way when it is closed is lost.
type lossyConn struct {
	net.Conn
	loss              loss
	retransmitTimeout time.Duration // until the first retransmission
	onRetransmit      func(segments int64)
	queue             chan delayedWrite
	done              chan struct{}
	closing           sync.Once
	lastAt            time.Time // when the last write arrives; of the one that writes
	finished          chan struct{}
}

// delayedWrite is what arrives at a time.
type delayedWrite struct {
	data []byte
	at   time.Time
}

// newLossyConn counts the segments that go again by a function.
func newLossyConn(conn net.Conn, l loss, first time.Duration, again func(segments int64)) *lossyConn {
	c := &lossyConn{Conn: conn, loss: l, retransmitTimeout: first, onRetransmit: again, queue: make(chan delayedWrite, lossyQueue), done: make(chan struct{}),
		finished: make(chan struct{})}
	go c.deliver()
	return c
}

// Write implements net.Conn. It is for one goroutine.
func (c *lossyConn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	again, late := c.loss.drawWrite(segments(len(b)), c.retransmitTimeout)
	c.onRetransmit(again)
	c.lastAt = latest(c.lastAt, time.Now().Add(late))
	deadline := time.NewTimer(lossyWriteTime)
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

// deliver writes each write once it arrives, until the connection is closed.
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
			c.Conn.SetWriteDeadline(time.Now().Add(lossyWriteTime))
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
