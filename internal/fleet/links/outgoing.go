package links

import (
	"context"
	"net"
	"sync/atomic"
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

// carry writes what is queued for one peer. When a connection fails, what waits behind it is old: it is dropped, and the
// next message tries anew.
func (l *Links) carry(ctx context.Context, p *peer) {
	defer l.forget(p)
	var conn net.Conn
	var out *frames.Writer
	closed := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if conn != nil {
			conn.Close()
			conn, out = nil, nil
		}
	}
	defer closed()
	defer context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if conn != nil {
			conn.SetDeadline(time.Now())
		}
	})()
	idle := time.NewTimer(l.bounds.Idle)
	defer idle.Stop()
	failedAt := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case payload := <-p.queue:
			p.bytes.Add(-int64(len(payload)))
			idle.Reset(l.bounds.Idle)
			if out == nil {
				if time.Since(failedAt) < l.bounds.Again {
					l.dropped.Add(1)
					continue
				}
				c, w, err := l.open(ctx, p)
				if err != nil {
					failedAt = time.Now()
					l.failed.Add(1)
					l.dropped.Add(1)
					continue
				}
				l.mu.Lock()
				conn, out = c, w
				l.mu.Unlock()
			}
			conn.SetWriteDeadline(time.Now().Add(l.bounds.Write))
			if err := out.Write(payload); err != nil {
				failedAt = time.Now()
				l.failed.Add(1)
				closed()
				continue
			}
			l.sent.Add(1)
			l.bytesOut.Add(int64(len(payload)) + 20)
		}
	}
}

func (l *Links) open(ctx context.Context, p *peer) (net.Conn, *frames.Writer, error) {
	ctx, cancel := context.WithTimeout(ctx, l.bounds.Dial)
	defer cancel()
	conn, err := l.dial(ctx, p.addr)
	if err != nil {
		return nil, nil, err
	}
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Now()) })
	defer stop()
	hello := l.self
	hello.To = p.id
	out, err := frames.Open(conn, (*l.keys.Load())[0], hello)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, out, nil
}
