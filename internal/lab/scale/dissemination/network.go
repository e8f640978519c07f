// Package dissemination compares ways in which a document that the quorum agreed on may reach all controllers of a
// fleet: pushed by the voters, over a tree in each region, and pulled after summaries that are passed on. It is a model in
// virtual time with one network for all ways; the way that the program uses is measured with its real core by package
// spread.
package dissemination

import (
	"math/rand"

	"mintkeel/internal/lab/eventqueue"
)

// The network, as package spread assumes it: times in ms, sizes in bytes.
const (
	regions        = 3
	withinRegion   = 1.0  // one way at least, up to jitter more
	betweenRegions = 80.0 // one way at least
	jitter         = 1.0
	uplink         = 12500.0 // bytes a ms that a controller can send: 100 Mbit/s
	headerBytes    = 60      // of a message, with those of its frame
	chunkBytes     = 32 << 10
)

// node is one controller.
type node struct {
	up       bool
	has      bool    // the document
	had      float64 // ms, when it came
	startAt  float64 // ms, of its last start
	sendFree float64 // ms, when its uplink is free
	sent     int     // bytes
}

// network carries messages between nodes; the first ones are the voters, of which node 0 leads.
type network struct {
	rng    *rand.Rand
	now    float64
	events eventqueue.Queue
	nodes  []node
	voters int
	loss   float64
	size   int // bytes of the document

	received func(to int) // is told of each node that has come to have the document
}

func newNetwork(seed int64, nodes, voters, size int, loss float64) *network {
	n := &network{rng: rand.New(rand.NewSource(seed)), nodes: make([]node, nodes), voters: voters, size: size, loss: loss}
	for i := range n.nodes {
		n.nodes[i].up = true
		n.nodes[i].has = i < voters // a majority has it before it is agreed on
	}
	return n
}

func region(number int) int { return number % regions }

func (n *network) after(delay float64, run func()) {
	n.events.Add(n.now+delay, run)
}

// run lets time pass.
func (n *network) run(until float64) {
	for n.events.NextTime() <= until {
		e := n.events.Pop()
		n.now = e.At
		e.Run()
	}
	n.now = until
}

// send has a message arrive, unless it is lost or one of the two is down.
func (n *network) send(from, to, bytes int, arrived func()) {
	sender := &n.nodes[from]
	if !sender.up {
		return
	}
	bytes += headerBytes
	sender.sent += bytes
	sender.sendFree = max(n.now, sender.sendFree) + float64(bytes)/uplink
	latency := betweenRegions
	if region(from) == region(to) {
		latency = withinRegion
	}
	delay := sender.sendFree - n.now + latency + jitter*n.rng.Float64()
	if n.rng.Float64() < n.loss {
		return
	}
	n.after(delay, func() {
		if n.nodes[to].up {
			arrived()
		}
	})
}

// sendDocument sends the document in chunks; it arrived when all have.
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

// take notes that a node has the document.
func (n *network) take(to int) {
	if at := &n.nodes[to]; !at.has {
		at.has, at.had = true, n.now
		n.received(to)
	}
}

// stop ends a node, with all that it has in memory, and starts it again after a while without the document.
func (n *network) stop(number int, down float64, started func(int)) {
	n.nodes[number].up, n.nodes[number].has = false, false
	n.after(down, func() {
		n.nodes[number].up, n.nodes[number].startAt = true, n.now
		started(number)
	})
}
