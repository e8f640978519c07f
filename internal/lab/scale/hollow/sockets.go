package hollow

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
)

// Sizes in bytes of TCP over IPv4 on Ethernet, with timestamps.
const (
	headerBytes  = 52   // headers of a segment, and thus the size of an acknowledgement
	synBytes     = 60   // of each of the two SYN segments that open a connection
	resetBytes   = 40   // of the RST from a machine where nothing listens
	segmentBytes = 1448 // maximum data in a segment

	openerOverhead   = synBytes + 3*headerBytes // SYN, ACK; FIN, ACK
	acceptorOverhead = synBytes + 2*headerBytes // SYN and ACK; ACK and FIN
)

// Flow counts the traffic of connections, from the point of view of the controllers that opened them.
type Flow struct {
	Opened       int64 `json:"opened"`
	Failed       int64 `json:"failed"`
	Written      int64 `json:"written"` // bytes of data
	Read         int64 `json:"read"`
	SegmentsOut  int64 `json:"segments_out"`
	SegmentsBack int64 `json:"segments_back"`
}

// Forward returns the bytes from openers to acceptors: data, headers, acknowledgements and the segments that open and close
// connections. It counts an acknowledgement for each segment, which is the upper bound.
func (f Flow) Forward() int64 {
	return f.Written + headerBytes*(f.SegmentsOut+f.SegmentsBack) + openerOverhead*f.Opened + synBytes*f.Failed
}

// Backward returns the bytes from acceptors to openers.
func (f Flow) Backward() int64 {
	return f.Read + headerBytes*(f.SegmentsOut+f.SegmentsBack) + acceptorOverhead*f.Opened + resetBytes*f.Failed
}

// Minus returns the increase since an earlier count.
func (f Flow) Minus(earlier Flow) Flow {
	return Flow{f.Opened - earlier.Opened, f.Failed - earlier.Failed, f.Written - earlier.Written, f.Read - earlier.Read,
		f.SegmentsOut - earlier.SegmentsOut, f.SegmentsBack - earlier.SegmentsBack}
}

// Plus returns the sum of two counts.
func (f Flow) Plus(g Flow) Flow {
	return Flow{f.Opened + g.Opened, f.Failed + g.Failed, f.Written + g.Written, f.Read + g.Read,
		f.SegmentsOut + g.SegmentsOut, f.SegmentsBack + g.SegmentsBack}
}

// flowCounter is a Flow for concurrent use.
type flowCounter struct {
	opened, failed, written, read, segmentsOut, segmentsBack atomic.Int64
}

func (c *flowCounter) load() Flow {
	return Flow{c.opened.Load(), c.failed.Load(), c.written.Load(), c.read.Load(), c.segmentsOut.Load(), c.segmentsBack.Load()}
}

// Source ports lie below the system's ephemeral ports. A port is used again only after all others, which takes longer than
// the system keeps a closed connection in TIME_WAIT.
const (
	firstSourcePort = 12000
	sourcePorts     = 20000
	portAttempts    = 8
)

// dialer opens a controller's connections from its own address and counts their traffic.
type dialer struct {
	number     int // of the controller
	source     netip.Addr
	network    Network
	next       atomic.Uint32
	own        *flowCounter
	peers      []flowCounter // traffic of all openers in this process, by the number of the acceptor
	open       atomic.Int64  // connections open now
	partitions *partitions
	loss       loss

	mu    sync.Mutex
	conns map[*countedConn]bool // open connections
}

// newDialer returns the dialer of a controller. The fleets of a process share addresses, so each fleet starts at source ports
// of its own: the system keeps the ports that an earlier fleet has used in TIME_WAIT for a minute.
func newDialer(number int, network Network, peers []flowCounter, p *partitions) *dialer {
	d := &dialer{number: number, source: network.address(number).Addr(), network: network, own: &flowCounter{}, peers: peers,
		partitions: p, conns: map[*countedConn]bool{}}
	d.next.Store(uint32(network.fleet() * sourcePorts / fleetsPerProcess))
	return d
}

func (d *dialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	counters := [2]*flowCounter{d.own, &flowCounter{}}
	peer := d.network.number(addr)
	if peer >= 0 && peer < len(d.peers) {
		counters[1] = &d.peers[peer]
	}
	if err := d.partitions.await(ctx, d.number, peer); err != nil {
		return nil, err
	}
	conn, err := d.connectOver(ctx, addr, counters)
	for _, c := range counters {
		if err != nil {
			c.failed.Add(1)
		} else {
			c.opened.Add(1)
		}
	}
	if err != nil {
		return nil, err
	}
	d.open.Add(1)
	counted := &countedConn{Conn: conn, counters: counters, dialer: d, peer: peer}
	d.mu.Lock()
	d.conns[counted] = true
	d.mu.Unlock()
	if d.partitions.between(d.number, peer) != nil { // the partition began during the connect
		conn.Close()
	}
	return counted, nil
}

// connectOver opens a connection that loses segments if the fleet's network does.
func (d *dialer) connectOver(ctx context.Context, addr string, counters [2]*flowCounter) (net.Conn, error) {
	if d.loss == 0 {
		return d.connect(ctx, addr)
	}
	if err := d.loss.awaitHandshake(ctx); err != nil {
		return nil, err
	}
	conn, err := d.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	return newLossyConn(conn, d.loss, dataRetransmission, func(again int64) {
		for _, c := range counters {
			c.segmentsOut.Add(again)
			c.written.Add(again * headerBytes) // estimates the data of a small segment by the size of its headers
		}
	}), nil
}

// connect opens a connection from the next free source port, of portAttempts at most.
func (d *dialer) connect(ctx context.Context, addr string) (conn net.Conn, err error) {
	for range portAttempts {
		port := firstSourcePort + int(d.next.Add(1)%sourcePorts)
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: d.source.AsSlice(), Port: port}}
		conn, err = dialer.DialContext(ctx, "tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) && !errors.Is(err, syscall.EADDRNOTAVAIL) {
			return conn, err
		}
	}
	return conn, err
}

// countedConn counts the traffic of one connection.
type countedConn struct {
	net.Conn
	counters [2]*flowCounter
	dialer   *dialer
	peer     int // the acceptor's number
	closed   atomic.Bool
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for _, counter := range c.counters {
		counter.read.Add(int64(n))
		counter.segmentsBack.Add(segments(n))
	}
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	for _, counter := range c.counters {
		counter.written.Add(int64(n))
		counter.segmentsOut.Add(segments(n))
	}
	return n, err
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.dialer.open.Add(-1)
		c.dialer.mu.Lock()
		delete(c.dialer.conns, c)
		c.dialer.mu.Unlock()
	}
	return c.Conn.Close()
}

func segments(bytes int) int64 { return int64((bytes + segmentBytes - 1) / segmentBytes) }
