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
	id          members.ID
	addr        string
	queue       chan []byte
	queuedBytes atomic.Int64
	usedAt      time.Time // time of the last Send; guarded by Links.mu
	cancel      context.CancelFunc
}

// Send enqueues a message to a controller at an address. It never blocks: a message that does not
// fit into the queue is dropped.
func (l *Links) Send(to members.ID, addr string, payload []byte) {
	if addr == "" || l.ctx.Err() != nil || len(payload) > frames.MaxPayloadBytes {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p != nil && p.addr != addr { // the controller has a new address
		p.cancel()
		delete(l.peers, to)
		p = nil
	}
	if p == nil {
		p = l.addPeer(to, addr)
	}
	p.usedAt = time.Now()
	if !p.enqueue(payload, l.bounds.QueueBytes) {
		l.dropped.Add(1)
	}
}

// addPeer adds a peer and starts its writer. mu is held.
func (l *Links) addPeer(id members.ID, addr string) *peer {
	if len(l.peers) >= l.bounds.MaxPeers {
		l.evictPeer()
	}
	ctx, cancel := context.WithCancel(l.ctx)
	p := &peer{id: id, addr: addr, queue: make(chan []byte, l.bounds.QueueMessages), cancel: cancel}
	l.peers[id] = p
	l.group.Go(func() { l.writeQueued(ctx, p) })
	return p
}

// evictPeer removes the peer with the longest time since its last Send. mu is held.
func (l *Links) evictPeer() {
	var oldest *peer
	for _, p := range l.peers {
		if oldest == nil || p.usedAt.Before(oldest.usedAt) {
			oldest = p
		}
	}
	if oldest != nil {
		oldest.cancel()
		delete(l.peers, oldest.id)
	}
}

// enqueue adds a message to the queue. It returns false if the message does not fit.
func (p *peer) enqueue(payload []byte, maxBytes int) bool {
	size := int64(len(payload))
	if p.queuedBytes.Add(size) > int64(maxBytes) {
		p.queuedBytes.Add(-size)
		return false
	}
	select {
	case p.queue <- payload:
		return true
	default:
		p.queuedBytes.Add(-size)
		return false
	}
}

// removePeer removes a peer whose writer has ended, unless a new peer has replaced it in the table.
func (l *Links) removePeer(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[p.id] == p {
		delete(l.peers, p.id)
	}
}

// outgoing is an open connection to a peer, which sends nothing back but the end of the connection.
type outgoing struct {
	conn     net.Conn
	writer   *frames.Writer
	openedAt time.Time
	ended    chan struct{} // closed once the connection has ended
}

// peerWriter writes the queued messages of one peer. The goroutine of writeQueued owns it.
type peerWriter struct {
	links      *Links
	peer       *peer
	connection *outgoing // nil if there is none
	retryAt    time.Time // before which no connection is opened
	refusals   int       // consecutive refusals
	endedEarly bool      // the peer ended the last connection right after its beginning
}

// writeQueued writes the queued messages of one peer until nothing was queued for IdleTimeout, or
// the context ends. It drops a message while there is no connection and the delay after the last
// failed attempt has not passed, as the message would be outdated by the next attempt.
func (l *Links) writeQueued(ctx context.Context, p *peer) {
	defer l.removePeer(p)
	w := &peerWriter{links: l, peer: p}
	defer w.disconnect()
	idle := time.NewTimer(l.bounds.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			return
		case <-w.connectionEnded():
			w.closeEnded()
		case payload := <-p.queue:
			p.queuedBytes.Add(-int64(len(payload)))
			idle.Reset(l.bounds.IdleTimeout)
			w.write(ctx, payload)
		}
	}
}

// connectionEnded returns a channel that is closed once the connection has ended; nil without a
// connection.
func (w *peerWriter) connectionEnded() <-chan struct{} {
	if w.connection == nil {
		return nil
	}
	return w.connection.ended
}

// closeEnded closes a connection that the peer has ended. If the peer ends connections right after
// they are opened, as one does that rejects this controller's hello, the second and further ones
// are replaced only after RetryInterval.
func (w *peerWriter) closeEnded() {
	w.links.ended.Add(1)
	atOnce := time.Since(w.connection.openedAt) < w.links.bounds.RetryInterval
	if atOnce && w.endedEarly {
		w.retryAt = time.Now().Add(w.links.bounds.RetryInterval)
	}
	w.endedEarly = atOnce
	w.disconnect()
}

func (w *peerWriter) disconnect() {
	if w.connection != nil {
		w.connection.conn.Close()
		w.connection = nil
	}
}

// write writes one message, on a new connection if there is none or the peer has ended the last.
func (w *peerWriter) write(ctx context.Context, payload []byte) {
	select {
	case <-w.connectionEnded():
		w.closeEnded()
	default:
	}
	if w.connection == nil && !w.connect(ctx) {
		w.links.dropped.Add(1)
		return
	}
	now := time.Now()
	w.connection.conn.SetWriteDeadline(now.Add(w.links.bounds.WriteTimeout))
	// The pending read waits for the peer to end the connection; writeQueued closes an idle connection
	// well before this deadline.
	w.connection.conn.SetReadDeadline(now.Add(2 * w.links.bounds.IdleTimeout))
	if err := w.connection.writer.Write(payload); err != nil {
		w.retryAt = time.Now().Add(w.links.bounds.RetryInterval)
		w.links.failed.Add(1)
		w.disconnect()
		return
	}
	w.links.sent.Add(1)
	w.links.bytesOut.Add(int64(len(payload)) + frames.Overhead)
}

// connect opens a connection, unless the delay after the last failure has not passed. It reports
// whether there is a connection.
func (w *peerWriter) connect(ctx context.Context) bool {
	if time.Now().Before(w.retryAt) {
		return false
	}
	connection, err := w.links.open(ctx, w.peer)
	if errors.Is(err, errRefused) {
		w.refusals++
	} else {
		w.refusals = 0
	}
	if err != nil {
		w.retryAt = time.Now().Add(w.links.bounds.retryBackoff(w.refusals))
		w.links.failed.Add(1)
		return false
	}
	w.connection = connection
	return true
}

// retryBackoff returns the delay after a failed attempt to connect. It grows with each consecutive
// refusal by a peer without room and then has jitter, so that refused controllers do not all retry
// at once.
func (b Bounds) retryBackoff(refusals int) time.Duration {
	if refusals == 0 {
		return b.RetryInterval
	}
	wait := b.RetryInterval
	for n := 1; n < refusals && wait < b.MaxRetryInterval; n++ {
		wait *= 2
	}
	wait = min(wait, b.MaxRetryInterval)
	return wait/2 + rand.N(wait)
}

// errRefused means that a peer closed a connection before its challenge, as a peer without room
// does.
var errRefused = errors.New("the peer has no room for a connection")

// open opens a connection to a peer; it is closed when the context ends.
func (l *Links) open(ctx context.Context, p *peer) (*outgoing, error) {
	dialContext, cancel := context.WithTimeout(ctx, l.bounds.DialTimeout)
	defer cancel()
	conn, err := l.dial(dialContext, p.addr)
	if err != nil {
		return nil, err
	}
	deadline, _ := dialContext.Deadline()
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
	connection := &outgoing{
		conn:     conn,
		writer:   writer,
		openedAt: time.Now(),
		ended:    make(chan struct{}),
	}
	l.group.Go(func() {
		defer stop()
		defer close(connection.ended)
		conn.Read(make([]byte, 1)) // returns at the end of the connection, as the peer sends nothing
	})
	return connection, nil
}
