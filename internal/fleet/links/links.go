package links

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/fleet/frames"
)

// Bounds are the limits and timeouts of links.
type Bounds struct {
	MaxPeers      int // peers, each with at most one outgoing connection
	MaxIncoming   int // incoming connections
	QueueMessages int // messages queued for one peer
	QueueBytes    int // bytes queued for one peer

	EvictAfter       time.Duration // idle time after which an incoming connection may be evicted
	DialTimeout      time.Duration // to connect and authenticate
	WriteTimeout     time.Duration // to write a message
	IdleTimeout      time.Duration // idle time after which a connection is closed
	RetryInterval    time.Duration // shortest delay between attempts to connect to one peer
	MaxRetryInterval time.Duration // bound of the delay after refusals, before a jitter of half of it

	ReceiveRate  int // bytes per second that are read from one sender
	MinFrameRate int // bytes per second at which a frame has to arrive, in addition to WriteTimeout
}

// DefaultBounds returns the bounds for a fleet of up to a thousand controllers: one that pings a
// member per second, relays pings for others and writes to the quorum has about ten connections at
// a time. A leader's heartbeats come more often than EvictAfter, so its connections stay; a
// neighbour pings every ten seconds, and opens a new connection if its own was evicted.
func DefaultBounds() Bounds {
	return Bounds{
		MaxPeers:         64,
		MaxIncoming:      256,
		QueueMessages:    128,
		QueueBytes:       2 << 20,
		EvictAfter:       2 * time.Second,
		DialTimeout:      2 * time.Second,
		WriteTimeout:     2 * time.Second,
		IdleTimeout:      20 * time.Second,
		RetryInterval:    200 * time.Millisecond,
		MaxRetryInterval: 3200 * time.Millisecond,
		ReceiveRate:      4 << 20,
		MinFrameRate:     32 << 10,
	}
}

// Dial opens a connection to an address within the context's deadline.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Received is an incoming message.
type Received struct {
	From    members.ID
	Run     uint64 // of the sender
	Payload []byte
}

// Links are the connections of one controller.
type Links struct {
	self    frames.Hello
	bounds  Bounds
	receive func(Received)
	dial    Dial
	log     *slog.Logger
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	group   sync.WaitGroup
	keys    atomic.Pointer[frames.Keys]

	mu       sync.Mutex // guards peers and incoming
	peers    map[members.ID]*peer
	incoming map[net.Conn]*incoming

	counts
}

// counts are the totals since the links were created.
type counts struct {
	sent     atomic.Int64 // messages
	received atomic.Int64 // messages
	dropped  atomic.Int64 // messages that were not sent
	bytesOut atomic.Int64
	bytesIn  atomic.Int64
	failed   atomic.Int64 // outgoing connections that could not be opened or written to
	ended    atomic.Int64 // outgoing connections that the peer ended
	forged   atomic.Int64 // incoming connections that were not authentic
	foreign  atomic.Int64 // incoming connections of another fleet or generation
	refused  atomic.Int64 // incoming connections refused because there was no room
	evicted  atomic.Int64 // idle incoming connections closed to make room
}

// New returns the links of a controller that sends self as its hello. They call receive with each
// incoming message; it must return quickly, as it blocks the message's connection.
func New(
	self frames.Hello, keys frames.Keys, b Bounds, receive func(Received), log *slog.Logger,
) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		self:     self,
		bounds:   b,
		receive:  receive,
		dial:     faultinjection.Dial,
		log:      log,
		ctx:      ctx,
		cancel:   cancel,
		peers:    map[members.ID]*peer{},
		incoming: map[net.Conn]*incoming{},
	}
	l.keys.Store(&keys)
	return l
}

// SetDial replaces the function that opens connections. It must be called before the first Send.
func (l *Links) SetDial(dial Dial) { l.dial = dial }

// SetKeys sets the keys for connections that are opened or accepted from now on.
func (l *Links) SetKeys(keys frames.Keys) { l.keys.Store(&keys) }

// Close ends all connections and waits for their goroutines.
func (l *Links) Close() {
	l.cancel()
	l.closeIncoming()
	l.group.Wait()
}

// closeIncoming closes the incoming connections, which ends their goroutines.
func (l *Links) closeIncoming() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.incoming {
		conn.Close()
	}
}

// LogValue returns the counts as log attributes.
func (l *Links) LogValue() slog.Value {
	l.mu.Lock()
	peers := len(l.peers)
	incoming := len(l.incoming)
	l.mu.Unlock()
	return slog.GroupValue(
		slog.Int("peers", peers),
		slog.Int("incoming", incoming),
		slog.Int64("sent", l.sent.Load()),
		slog.Int64("received", l.received.Load()),
		slog.Int64("dropped", l.dropped.Load()),
		slog.Int64("failed", l.failed.Load()),
		slog.Int64("ended", l.ended.Load()),
		slog.Int64("forged", l.forged.Load()),
		slog.Int64("foreign", l.foreign.Load()),
		slog.Int64("refused", l.refused.Load()),
		slog.Int64("evicted", l.evicted.Load()),
		slog.Int64("bytes_out", l.bytesOut.Load()),
		slog.Int64("bytes_in", l.bytesIn.Load()),
	)
}
