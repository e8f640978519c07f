// Package dissemination compares protocols that deliver a document that the quorum agreed on to all controllers of a fleet:
// a push by the voters, a tree in each region, and a pull after gossiped summaries. It is a model in virtual time with the
// same network for all protocols. Package spread measures the protocol that the daemon uses with its real core.
package dissemination

import (
	"math/rand"

	"mintkeel/internal/lab/eventqueue"
)

// The network, with the same assumptions as in package spread: times in ms, sizes in bytes.
const (
	regions        = 3
	withinRegion   = 1.0  // least one-way latency, to which up to jitter is added
	betweenRegions = 80.0 // least one-way latency
	jitter         = 1.0
	uplink         = 12500.0 // bytes per ms that a controller can send: 100 Mbit/s
	headerBytes    = 60      // of a message, including its frame
	chunkBytes     = 32 << 10
)

// node is one controller.
type node struct {
	up           bool
	has          bool    // it has the document
	receivedAt   float64 // ms, when the document arrived
	startedAt    float64 // ms, time of its last start
	uplinkFreeAt float64 // ms, when its uplink becomes free
	sent         int     // bytes sent
}

// network delivers messages between nodes. The first nodes are the voters, and node 0 is the leader.
type network struct {
	rng    *rand.Rand
	now    float64
	events eventqueue.Queue
	nodes  []node
	voters int
	loss   float64
	size   int // bytes of the document

	onReceived func(to int) // called for each node that has received the document
}

func newNetwork(seed int64, nodes, voters, size int, loss float64) *network {
	n := &network{rng: rand.New(rand.NewSource(seed)), nodes: make([]node, nodes), voters: voters, size: size, loss: loss}
	for i := range n.nodes {
		n.nodes[i].up = true
		n.nodes[i].has = i < voters // in the model all voters; a majority has it before it is agreed on
	}
	return n
}

func region(number int) int { return number % regions }

func (n *network) after(delay float64, run func()) {
	n.events.Add(n.now+delay, run)
}

// run plays all events up to a time.
func (n *network) run(until float64) {
	for n.events.NextTime() <= until {
		e := n.events.Pop()
		n.now = e.At
		e.Run()
	}
	n.now = until
}

// send delivers a message, unless it is lost or one of the two nodes is down.
func (n *network) send(from, to, bytes int, arrived func()) {
	sender := &n.nodes[from]
	if !sender.up {
		return
	}
	bytes += headerBytes
	sender.sent += bytes
	sender.uplinkFreeAt = max(n.now, sender.uplinkFreeAt) + float64(bytes)/uplink
	latency := betweenRegions
	if region(from) == region(to) {
		latency = withinRegion
	}
	delay := sender.uplinkFreeAt - n.now + latency + jitter*n.rng.Float64()
	if n.rng.Float64() < n.loss {
		return
	}
	n.after(delay, func() {
		if n.nodes[to].up {
			arrived()
		}
	})
}

// sendDocument sends the document in chunks and calls arrived when all have arrived.
func (n *network) sendDocument(from, to int, arrived func()) {
	chunks := (n.size + chunkBytes - 1) / chunkBytes
	missing := chunks
	for i := range chunks {
		bytes := min(chunkBytes, n.size-i*chunkBytes)
		n.send(from, to, bytes, func() {
			if missing--; missing == 0 {
				arrived()
			}
		})
	}
}

// recordReceipt records that a node has the document.
func (n *network) recordReceipt(to int) {
	if at := &n.nodes[to]; !at.has {
		at.has, at.receivedAt = true, n.now
		n.onReceived(to)
	}
}

// stop stops a node, which loses the document, and starts it again after a time.
func (n *network) stop(number int, down float64, started func(int)) {
	n.nodes[number].up, n.nodes[number].has = false, false
	n.after(down, func() {
		n.nodes[number].up, n.nodes[number].startedAt = true, n.now
		started(number)
	})
}
