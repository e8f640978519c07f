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

// peer is a controller to which messages are sent.
type peer struct {
	id          members.ID
	addr        string
	queue       chan []byte
	queuedBytes atomic.Int64
	usedAt      time.Time // of the last Send; guarded by Links.mu
	cancel      context.CancelFunc
}

// Send enqueues a message to a controller at an address. It never waits; a message that finds no
// room is dropped.
func (l *Links) Send(to members.ID, addr string, payload []byte) {
	if addr == "" || l.ctx.Err() != nil || len(payload) > frames.MaxPayloadBytes {
		l.dropped.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p != nil && p.addr != addr { // it has moved
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

// addPeer begins to write to a controller. mu is held.
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

// evictPeer closes the peer that was sent nothing for the longest time. mu is held.
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

// enqueue is false where there is no room for the message.
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

// removePeer takes a peer that ended out of the table, unless another one of its name is in it.
func (l *Links) removePeer(p *peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[p.id] == p {
		delete(l.peers, p.id)
	}
}

// outgoing is an open connection to a peer. Nothing comes back on it but its end.
type outgoing struct {
	conn     net.Conn
	writer   *frames.Writer
	openedAt time.Time
	ended    chan struct{} // closed once the peer has ended it
}

// peerWriter writes what is queued for one peer. It belongs to the goroutine of writeQueued.
type peerWriter struct {
	links      *Links
	peer       *peer
	connection *outgoing // nil: none
	retryAt    time.Time // before which no connection is opened
	refusals   int       // in a row
	endedEarly bool      // the peer ended the last connection right after its beginning
}

// writeQueued writes what is queued for one peer until the peer has been idle for a while, or the
// context ends. A message that finds no connection, as the last attempt to connect failed a moment
// ago, is dropped: by the time of the next attempt it would be old.
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

// connectionEnded is closed once the peer has ended the connection; nil without one.
func (w *peerWriter) connectionEnded() <-chan struct{} {
	if w.connection == nil {
		return nil
	}
	return w.connection.ended
}

// closeEnded closes the connection that the peer has ended. If a peer ends connections right after
// their beginning, as one does that does not accept this controller's hello, the second and further
// ones are not replaced at once.
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

// write writes one message, on a new connection if there is none or the peer has ended it.
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
	// The read waits for the peer to end the connection; writeQueued closes an idle one well before.
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

// connect opens a connection, unless the last one failed a moment ago.
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

// retryBackoff is for how long no connection is opened after one that failed. It grows with each
// refusal in a row by a peer that has no room, and has jitter then, so that the controllers that
// were refused do not come back all at once.
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

// errRefused means that a peer closed a connection before the challenge, as one without room does.
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
		conn.Read(make([]byte, 1)) // the peer sends nothing more: whatever comes is the end
	})
	return connection, nil
}
