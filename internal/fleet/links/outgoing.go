package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
)

// peer is a controller that messages are sent to.
type peer struct {
	id    members.ID
	addr  string
	queue chan []byte
	bytes atomic.Int64
	used  time.Time
	end   context.CancelFunc
}

// Send has a message sent to one, at an address. It never waits; what finds no room is dropped.
func (l *Links) Send(to members.ID, addr string, payload []byte) {
	if addr == "" || l.ctx.Err() != nil || len(payload) > frames.FrameBytes {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p != nil && p.addr != addr { // it has moved
		p.end()
		delete(l.peers, to)
		p = nil
	}
	if p == nil {
		if len(l.peers) >= l.bounds.Peers {
			l.yield()
		}
		ctx, end := context.WithCancel(l.ctx)
		p = &peer{id: to, addr: addr, queue: make(chan []byte, l.bounds.Queue), end: end}
		l.peers[to] = p
		l.group.Go(func() { l.carry(ctx, p) })
	}
	p.used = time.Now()
	if p.bytes.Add(int64(len(payload))) > int64(l.bounds.Bytes) {
		p.bytes.Add(-int64(len(payload)))
		l.dropped.Add(1)
		return
	}
	select {
	case p.queue <- payload:
	default:
		p.bytes.Add(-int64(len(payload)))
		l.dropped.Add(1)
	}
}

// yield ends the peer that was used the longest time ago; mu is held.
func (l *Links) yield() {
	var oldest *peer
	for _, p := range l.peers {
		if oldest == nil || p.used.Before(oldest.used) {
			oldest = p
		}
	}
	if oldest != nil {
		oldest.end()
		delete(l.peers, oldest.id)
	}
}

// forget takes a peer that ended out of the table.
func (l *Links) forget(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[p.id] == p {
		delete(l.peers, p.id)
	}
}

// outgoing is an open connection to a peer. Nothing comes back on it but its end.
type outgoing struct {
	conn   net.Conn
	writer *frames.Writer
	opened time.Time
	ended  chan struct{} // closed once the peer has ended it
}

// carrier writes what is queued for one peer. It is for one goroutine.
type carrier struct {
	links       *Links
	peer        *peer
	connection  *outgoing // nil: none
	retryAt     time.Time // before which none is opened
	refusals    int       // in a row
	endedAtOnce bool      // the peer ended the last connection right after its beginning
}

// carry writes what is queued for one peer until it has been idle for a while, or the context ends. When a connection
// fails, what is enqueued behind it is old: it is dropped, and the next message tries anew.
func (l *Links) carry(ctx context.Context, p *peer) {
	defer l.forget(p)
	c := &carrier{links: l, peer: p}
	defer c.disconnect()
	idle := time.NewTimer(l.bounds.Idle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case <-c.connectionEnded():
			c.dropEnded()
		case payload := <-p.queue:
			p.bytes.Add(-int64(len(payload)))
			idle.Reset(l.bounds.Idle)
			c.write(ctx, payload)
		}
	}
}

// connectionEnded is closed once the peer has ended the connection; nil without one.
func (c *carrier) connectionEnded() <-chan struct{} {
	if c.connection == nil {
		return nil
	}
	return c.connection.ended
}

// dropEnded closes the connection that the peer has ended. One that a peer ends right after its beginning for the second
// time, as it takes this controller for none of its fleet, is not opened anew at once.
func (c *carrier) dropEnded() {
	c.links.ended.Add(1)
	if time.Since(c.connection.opened) >= c.links.bounds.Again {
		c.endedAtOnce = false
	} else if c.endedAtOnce {
		c.retryAt = time.Now().Add(c.links.bounds.Again)
	} else {
		c.endedAtOnce = true
	}
	c.disconnect()
}

func (c *carrier) disconnect() {
	if c.connection != nil {
		c.connection.conn.Close()
		c.connection = nil
	}
}

// write writes one message, on a new connection if there is none or the peer has ended it.
func (c *carrier) write(ctx context.Context, payload []byte) {
	select {
	case <-c.connectionEnded():
		c.dropEnded()
	default:
	}
	if c.connection == nil && !c.connect(ctx) {
		c.links.dropped.Add(1)
		return
	}
	now := time.Now()
	c.connection.conn.SetWriteDeadline(now.Add(c.links.bounds.Write))
	c.connection.conn.SetReadDeadline(now.Add(2 * c.links.bounds.Idle)) // it is closed as idle before
	if err := c.connection.writer.Write(payload); err != nil {
		c.retryAt = time.Now().Add(c.links.bounds.Again)
		c.links.failed.Add(1)
		c.disconnect()
		return
	}
	c.links.sent.Add(1)
	c.links.bytesOut.Add(int64(len(payload)) + frames.Overhead)
}

// connect opens a connection, unless the last one failed a moment ago.
func (c *carrier) connect(ctx context.Context) bool {
	if time.Now().Before(c.retryAt) {
		return false
	}
	connection, err := c.links.open(ctx, c.peer)
	if errors.Is(err, errRefused) {
		c.refusals++
	} else {
		c.refusals = 0
	}
	if err != nil {
		c.retryAt = time.Now().Add(c.links.bounds.retryWait(c.refusals))
		c.links.failed.Add(1)
		return false
	}
	c.connection = connection
	return true
}

// retryWait is how long no connection is opened after one that failed. A peer that has no room is asked less often with
// each refusal in a row, by a draw, so that all that want to reach it do not come back at once.
func (b Bounds) retryWait(refusals int) time.Duration {
	if refusals == 0 {
		return b.Again
	}
	wait := b.Again
	for n := 1; n < refusals && wait < b.Busy; n++ {
		wait *= 2
	}
	wait = min(wait, b.Busy)
	return wait/2 + rand.N(wait)
}

// errRefused is of a peer that closed a connection before it said anything, as one does that has no room.
var errRefused = errors.New("the peer has no room for a connection")

// open opens a connection to a peer; it is closed when the context ends.
func (l *Links) open(ctx context.Context, p *peer) (*outgoing, error) {
	dialing, cancel := context.WithTimeout(ctx, l.bounds.Dial)
	defer cancel()
	conn, err := l.dial(dialing, p.addr)
	if err != nil {
		return nil, err
	}
	deadline, _ := dialing.Deadline()
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	hello := l.self
	hello.To = p.id
	writer, err := frames.Open(conn, (*l.keys.Load())[0], hello)
	if err != nil {
		stop()
		conn.Close()
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			return nil, fmt.Errorf("%w: %w", errRefused, err)
		}
		return nil, err
	}
	connection := &outgoing{conn: conn, writer: writer, opened: time.Now(), ended: make(chan struct{})}
	l.group.Go(func() {
		defer stop()
		defer close(connection.ended)
		conn.Read(make([]byte, 1)) // the peer says nothing: whatever comes is its end
	})
	return connection, nil
}
