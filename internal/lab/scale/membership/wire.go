package membership

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/links"
)

// Sizes in bytes of what goes over a socket beside the payload.
const (
	frameOverhead  = 20   // length and MAC of internal/fleet/frames
	segmentHeader  = 52   // IPv4 and TCP with timestamps; an acknowledgement is no more than that
	synHeader      = 60   // IPv4 and TCP with the options of a SYN
	resetHeader    = 40   // IPv4 and TCP without options
	segmentPayload = 1448 // of an Ethernet frame
	challengeBytes = 40   // magic and nonce of the listener
	writeAttempts  = 4    // transmissions of what is never acknowledged, until the connection is given up
	dialAttempts   = 2    // SYNs within the time that a dial has
)

// dialLatencies is how many one-way latencies pass until the first message of a new connection is there: SYN, SYN-ACK,
// ACK, challenge, then hello and message together.
const dialLatencies = 5

// traffic is what one message costs either side.
type traffic struct{ sender, receiver int }

// connection is one way, from the controller that opened it.
type connection struct {
	run    uint64  // of the receiver when it was opened
	used   float64 // ms
	writes int     // to a receiver that is out of reach
}

// encoder works out sizes; its buffer is used again.
type encoder struct{ buffer bytes.Buffer }

// payload is the encoding of a message as the node sends it; it is valid until the next call.
func (e *encoder) payload(m *members.Message) ([]byte, error) {
	e.buffer.Reset()
	err := cbor.MarshalToBuffer(node.Message{Members: m}, &e.buffer)
	return e.buffer.Bytes(), err
}

// helloBytes is the size of a connection's first frame.
func helloBytes(from, to members.ID, run uint64) (int, error) {
	hello := frames.Hello{Fleet: "production", Generation: 1, From: from, Run: run, To: to, Nonce: make([]byte, 32)}
	payload, err := cbor.Marshal(hello)
	return len(payload) + frameOverhead, err
}

// segments is the size on the socket of some bytes, and of their acknowledgements: one for two segments.
func segments(size int) traffic {
	n := (size + segmentPayload - 1) / segmentPayload
	return traffic{sender: size + n*segmentHeader, receiver: (n + 1) / 2 * segmentHeader}
}

// handshake is what opening a connection and closing it again costs: SYN, SYN-ACK, ACK; the challenge, whose
// acknowledgement goes with the hello; the hello; FIN, FIN with ACK, ACK.
func handshake(hello int) traffic {
	greeting := segments(hello)
	return traffic{
		sender:   synHeader + segmentHeader + greeting.sender + 2*segmentHeader,
		receiver: synHeader + challengeBytes + segmentHeader + greeting.receiver + segmentHeader,
	}
}

// peerTable is a controller's connections out.
type peerTable map[members.ID]*connection

// idleTimeout is for how long a connection stays open without a message, in ms.
func idleTimeout() float64 { return float64(links.DefaultBounds().IdleTimeout) / 1e6 }

// reuse is the connection that is open to a peer, nil if there is none.
func (p peerTable) reuse(to members.ID, now float64) *connection {
	c := p[to]
	if c == nil || now-c.used > idleTimeout() {
		return nil
	}
	return c
}

// add takes in a new connection; the one unused for the longest time yields to it.
func (p peerTable) add(to members.ID, c *connection) {
	delete(p, to)
	if len(p) >= links.DefaultBounds().MaxPeers {
		var oldest members.ID
		for id, other := range p {
			if oldest == "" || other.used < p[oldest].used || other.used == p[oldest].used && id < oldest {
				oldest = id
			}
		}
		delete(p, oldest)
	}
	p[to] = c
}
