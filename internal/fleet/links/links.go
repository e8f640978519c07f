// Package links carries messages between the controllers of a fleet: a connection for each that something is sent to, one
// way, opened when it is needed and closed when it is not. It promises nothing: what does not go within a time is
// dropped, which the protocols above take as loss. It stands beside the loop. Each goroutine ends with its connection,
// each connection with a deadline or with the links.
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

// Bounds are sizes and times.
type Bounds struct {
	Peers    int           // connections out at once; the one idle for the longest time yields
	Incoming int           // connections in at once
	Yield    time.Duration // without a message, after which a connection in makes room for another one where there is none
	Queue    int           // messages that wait for one
	Bytes    int           // bytes that wait for one
	Dial     time.Duration // to be connected and greeted
	Write    time.Duration // to write a message
	Idle     time.Duration // without a message, after which a connection is closed
	Again    time.Duration // between two tries to reach one, at least
	Busy     time.Duration // the longest wait between two tries to reach one that has no room, half as long to half as long again
	Rate     int           // bytes a second that one may send here; it is slowed to that

	LeastRate int // bytes a second at which a frame that has begun has to come, beside the time of Write
}

// Usual are the bounds of a fleet of up to a thousand: a controller that pings one member a second, helps some others and
// writes to the quorum has some ten connections at a time. A leader's heartbeats come more often than a connection yields;
// a neighbour pings each ten seconds, and opens another one where its connection has yielded.
func Usual() Bounds {
	return Bounds{Peers: 64, Incoming: 256, Yield: 2 * time.Second, Queue: 128, Bytes: 2 << 20, Dial: 2 * time.Second,
		Write: 2 * time.Second, Idle: 20 * time.Second, Again: 200 * time.Millisecond, Busy: 3200 * time.Millisecond, Rate: 4 << 20, LeastRate: 32 << 10}
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
	cancel  context.CancelFunc
	group   sync.WaitGroup
	keys    atomic.Pointer[frames.Keys]

	mu       sync.Mutex
	peers    map[members.ID]*peer
	incoming map[net.Conn]*incoming

	counts
}

// counts are numbers since the start.
type counts struct {
	sent, received, dropped atomic.Int64 // messages
	bytesOut, bytesIn       atomic.Int64
	failed                  atomic.Int64 // connections out that could not be opened or written to
	ended                   atomic.Int64 // connections out that the peer ended
	forged, foreign         atomic.Int64 // connections in that were not of this fleet
	refused                 atomic.Int64 // connections in that found no room
	evicted                 atomic.Int64 // idle connections in that were ended to make room
}

// New is links of a controller that says hello as self.
func New(self frames.Hello, keys frames.Keys, b Bounds, receive func(Received), log *slog.Logger) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{self: self, bounds: b, receive: receive, dial: faultinjection.Dial, log: log, ctx: ctx, cancel: cancel, peers: map[members.ID]*peer{},
		incoming: map[net.Conn]*incoming{}}
	l.keys.Store(&keys)
	return l
}

// SetDial has connections opened in another way than the system's. It is called before the first Send.
func (l *Links) SetDial(dial Dial) { l.dial = dial }

// SetKeys takes over other keys, for connections from now on.
func (l *Links) SetKeys(keys frames.Keys) { l.keys.Store(&keys) }

// Close ends all connections and waits for their goroutines.
func (l *Links) Close() {
	l.cancel()
	l.mu.Lock()
	for c := range l.incoming {
		c.Close()
	}
	l.mu.Unlock()
	l.group.Wait()
}

// LogValue prints the counts.
func (l *Links) LogValue() slog.Value {
	l.mu.Lock()
	peers, incoming := len(l.peers), len(l.incoming)
	l.mu.Unlock()
	return slog.GroupValue(slog.Int("peers", peers), slog.Int("incoming", incoming), slog.Int64("sent", l.sent.Load()),
		slog.Int64("received", l.received.Load()), slog.Int64("dropped", l.dropped.Load()), slog.Int64("failed", l.failed.Load()), slog.Int64("ended", l.ended.Load()),
		slog.Int64("forged", l.forged.Load()), slog.Int64("foreign", l.foreign.Load()), slog.Int64("refused", l.refused.Load()),
		slog.Int64("evicted", l.evicted.Load()),
		slog.Int64("bytes_out", l.bytesOut.Load()), slog.Int64("bytes_in", l.bytesIn.Load()))
}
