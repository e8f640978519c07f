// Package links carries messages between the controllers of a fleet: a connection for each that something is sent to, one
// way, opened when it is needed and closed when it is not. It promises nothing: what does not go within a time is
// dropped, which the protocols above take as loss. It stands beside the loop. Each goroutine ends with its connection,
// each connection with a deadline or with the links.
package links

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/fleet/frames"
)

// Bounds are sizes and times.
type Bounds struct {
	Peers    int           // connections out at once; the one idle for the longest time yields
	Incoming int           // connections in at once
	Queue    int           // messages that wait for one
	Bytes    int           // bytes that wait for one
	Dial     time.Duration // to be connected and greeted
	Write    time.Duration // to write a message
	Idle     time.Duration // without a message, after which a connection is closed
	Again    time.Duration // between two tries to reach one, at least
	Rate     int           // bytes a second that one may send here; it is slowed to that

	LeastRate int // bytes a second at which a frame that has begun has to come, beside the time of Write
}

// Usual are the bounds of a fleet of up to a thousand: who pings one member a second, helps some others and talks to the
// council has some ten connections at a time.
func Usual() Bounds {
	return Bounds{Peers: 64, Incoming: 256, Queue: 128, Bytes: 2 << 20, Dial: 2 * time.Second, Write: 2 * time.Second,
		Idle: 20 * time.Second, Again: 200 * time.Millisecond, Rate: 4 << 20, LeastRate: 32 << 10}
}

// Dial opens a connection to an address, within the context's deadline.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Received is a message that came in.
type Received struct {
	From    members.ID
	Run     uint64
	Payload []byte
}

// Links are one controller's. Send may be called by one goroutine.
type Links struct {
	self    frames.Hello
	bounds  Bounds
	receive func(Received) // must not wait long: it holds up one connection
	dial    Dial
	log     *slog.Logger
	ctx     context.Context
	end     context.CancelFunc
	group   sync.WaitGroup
	keys    atomic.Pointer[frames.Keys]

	mu       sync.Mutex
	peers    map[members.ID]*peer
	incoming map[net.Conn]members.ID

	counts
}

type counts struct{ sent, received, dropped, failed, forged, foreign, refused, bytesOut, bytesIn atomic.Int64 }

type peer struct {
	id    members.ID
	addr  string
	queue chan []byte
	bytes atomic.Int64
	used  time.Time
	end   context.CancelFunc
}

// New is links of a controller that says hello as self.
func New(self frames.Hello, keys frames.Keys, b Bounds, receive func(Received), log *slog.Logger) *Links {
	ctx, end := context.WithCancel(context.Background())
	l := &Links{self: self, bounds: b, receive: receive, dial: faultinjection.Dial, log: log, ctx: ctx, end: end, peers: map[members.ID]*peer{},
		incoming: map[net.Conn]members.ID{}}
	l.keys.Store(&keys)
	return l
}

// SetDial has connections opened in another way than the system's. It is called before the first Send.
func (l *Links) SetDial(dial Dial) { l.dial = dial }

// SetKeys takes over other keys, for connections from now on.
func (l *Links) SetKeys(keys frames.Keys) { l.keys.Store(&keys) }

// Close ends all connections and waits for their goroutines.
func (l *Links) Close() {
	l.end()
	l.mu.Lock()
	for c := range l.incoming {
		c.Close()
	}
	l.mu.Unlock()
	l.group.Wait()
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

// Serve takes connections until the links are closed. The listener is closed with them.
func (l *Links) Serve(listener net.Listener) {
	l.group.Go(func() {
		<-l.ctx.Done()
		listener.Close()
	})
	l.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				select { // descriptors are used up, it may be: they come free
				case <-time.After(50 * time.Millisecond):
				case <-l.ctx.Done():
					return
				}
				continue
			}
			l.mu.Lock()
			full := len(l.incoming) >= l.bounds.Incoming || l.ctx.Err() != nil
			if !full {
				l.incoming[conn] = ""
			}
			l.mu.Unlock()
			if full {
				l.refused.Add(1)
				conn.Close()
				continue
			}
			l.group.Go(func() { l.hear(conn) })
		}
	})
}

// hear takes in what one connection brings.
func (l *Links) hear(conn net.Conn) {
	defer func() {
		conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.incoming, conn)
	}()
	conn.SetDeadline(time.Now().Add(l.bounds.Dial))
	challenge, err := frames.Challenge(conn)
	if err != nil {
		return
	}
	in, err := frames.Accept(conn, challenge, *l.keys.Load(), l.self.Fleet, l.self.Generation, l.self.From)
	if err != nil {
		l.note(conn, err)
		return
	}
	l.mu.Lock()
	for other, id := range l.incoming { // what an earlier run or connection of it still has on its way is void
		if id == in.Hello.From && other != conn {
			other.Close()
		}
	}
	l.incoming[conn] = in.Hello.From
	l.mu.Unlock()
	began, bytes := time.Now(), 0
	for {
		payload, err := l.readFrame(conn, in)
		if err != nil {
			l.note(conn, err)
			return
		}
		l.mu.Lock()
		stale := l.incoming[conn] != in.Hello.From
		l.mu.Unlock()
		if stale {
			return
		}
		l.received.Add(1)
		l.bytesIn.Add(int64(len(payload)) + 20)
		l.receive(Received{in.Hello.From, in.Hello.Run, payload})
		bytes += len(payload) // one that sends more than its rate is read no faster
		if ahead := time.Duration(bytes)*time.Second/time.Duration(l.bounds.Rate) - time.Since(began); ahead > 0 {
			select {
			case <-time.After(min(ahead, time.Second)):
			case <-l.ctx.Done():
				return
			}
		} else if -ahead > time.Second {
			began, bytes = time.Now(), 0
		}
	}
}

// readFrame waits for the next frame and reads it. Once it has begun it has a time by its length: one that was changed on
// its way would else have the messages behind it taken for its payload, unseen by the sender. A slow network gets a large
// frame through in it.
func (l *Links) readFrame(conn net.Conn, in *frames.Reader) ([]byte, error) {
	longest := 2 * l.bounds.Idle
	conn.SetReadDeadline(time.Now().Add(longest))
	length, err := in.Await()
	if err != nil {
		return nil, err
	}
	patience := l.bounds.Write + time.Duration(length)*time.Second/time.Duration(l.bounds.LeastRate)
	conn.SetReadDeadline(time.Now().Add(min(longest, patience)))
	return in.Read()
}

func (l *Links) note(conn net.Conn, err error) {
	switch {
	case errors.Is(err, frames.ErrForged), errors.Is(err, frames.ErrTooLong), errors.Is(err, frames.ErrForm):
		l.forged.Add(1)
		l.log.Warn("fleet: a connection is not authentic", "from", conn.RemoteAddr().String(), "why", err)
	case errors.Is(err, frames.ErrForeign):
		l.foreign.Add(1)
		l.log.Warn("fleet: a connection of another fleet or generation", "from", conn.RemoteAddr().String(), "why", err)
	}
}

// LogValue prints the counts.
func (l *Links) LogValue() slog.Value {
	l.mu.Lock()
	peers, incoming := len(l.peers), len(l.incoming)
	l.mu.Unlock()
	return slog.GroupValue(slog.Int("peers", peers), slog.Int("incoming", incoming), slog.Int64("sent", l.sent.Load()),
		slog.Int64("received", l.received.Load()), slog.Int64("dropped", l.dropped.Load()), slog.Int64("failed", l.failed.Load()),
		slog.Int64("forged", l.forged.Load()), slog.Int64("foreign", l.foreign.Load()), slog.Int64("refused", l.refused.Load()),
		slog.Int64("bytes_out", l.bytesOut.Load()), slog.Int64("bytes_in", l.bytesIn.Load()))
}
