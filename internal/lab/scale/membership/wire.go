package membership

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/links"
)

// Sizes in bytes on the wire, and numbers of transmissions to an unreachable receiver.
const (
	frameOverhead  = 20   // length and MAC of internal/fleet/frames
	segmentHeader  = 52   // IPv4 and TCP with timestamps; also the size of an acknowledgement
	synHeader      = 60   // IPv4 and TCP with the options of a SYN
	resetHeader    = 40   // IPv4 and TCP without options
	segmentPayload = 1448 // maximum in an Ethernet frame
	challengeBytes = 40   // magic and nonce of the listener
	writeAttempts  = 4    // transmissions of each unacknowledged write, and failed writes until the connection is dropped
	dialAttempts   = 2    // SYNs within the timeout of a dial
)

// dialLatencies is the number of one-way latencies until the first message of a new connection arrives: SYN, SYN-ACK, ACK,
// challenge, and then hello and message together.
const dialLatencies = 5

// traffic holds the bytes that each side of a connection sends.
type traffic struct{ sender, receiver int }

// connection carries messages in one direction, from the controller that opened it.
type connection struct {
	run          uint64  // run of the receiver when it was opened
	lastUsed     float64 // ms, time of the last message
	failedWrites int     // writes to a receiver that is unreachable
}

// encoder encodes messages into a buffer that it reuses.
type encoder struct{ buffer bytes.Buffer }

// payload returns the encoding of a message as the node sends it. It is valid until the next call.
func (e *encoder) payload(m *members.Message) ([]byte, error) {
	e.buffer.Reset()
	err := cbor.MarshalToBuffer(node.Message{Members: m}, &e.buffer)
	return e.buffer.Bytes(), err
}

// helloBytes returns the size of a connection's first frame.
func helloBytes(from, to members.ID, run uint64) (int, error) {
	hello := frames.Hello{Fleet: "production", Generation: 1, From: from, Run: run, To: to, Nonce: make([]byte, 32)}
	payload, err := cbor.Marshal(hello)
	return len(payload) + frameOverhead, err
}

// segments returns the traffic of size bytes of data: the sender's segments, and the receiver's acknowledgements, one for
// every two segments.
func segments(size int) traffic {
	n := (size + segmentPayload - 1) / segmentPayload
	return traffic{sender: size + n*segmentHeader, receiver: (n + 1) / 2 * segmentHeader}
}

// handshake returns the traffic of opening and closing a connection: SYN, SYN-ACK, ACK; the challenge, which is acknowledged
// with the hello; the hello of the given size and its acknowledgement; FIN, FIN with ACK, ACK.
func handshake(hello int) traffic {
	helloTraffic := segments(hello)
	return traffic{
		sender:   synHeader + segmentHeader + helloTraffic.sender + 2*segmentHeader,
		receiver: synHeader + challengeBytes + segmentHeader + helloTraffic.receiver + segmentHeader,
	}
}

// peerTable holds a controller's outgoing connections.
type peerTable map[members.ID]*connection

// idleTimeout returns the time in ms for which a connection stays open without a message.
func idleTimeout() float64 { return float64(links.DefaultBounds().IdleTimeout) / 1e6 }

// reuse returns the open connection to a peer, or nil if there is none.
func (p peerTable) reuse(to members.ID, now float64) *connection {
	c := p[to]
	if c == nil || now-c.lastUsed > idleTimeout() {
		return nil
	}
	return c
}

// add adds a new connection. If the table is full, it first removes the least recently used one.
func (p peerTable) add(to members.ID, c *connection) {
	delete(p, to)
	if len(p) >= links.DefaultBounds().MaxPeers {
		var oldest members.ID
		for id, other := range p {
			if oldest == "" || other.lastUsed < p[oldest].lastUsed || other.lastUsed == p[oldest].lastUsed && id < oldest {
				oldest = id
			}
		}
		delete(p, oldest)
	}
	p[to] = c
}
