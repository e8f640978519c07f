package dissemination

// Parameters of the protocols, times in ms.
const (
	retryInterval  = 1000.0 // after which an unanswered document or request is sent again
	fetchTimeout   = 500.0  // after which a node that fetches the document asks another one
	pingInterval   = 1000.0 // of membership pings, which carry summaries
	treeAttempts   = 3      // attempts to reach a child, before its parent takes over the child's children
	treeFanOut     = 8
	announceFanOut = 4  // controllers to which a new holder of the document announces it at once
	summaryBytes   = 40 // of a summary, in a ping that is sent in any case
)

// protocol is a dissemination protocol on a network.
type protocol interface {
	start()                 // called when the document is agreed on
	nodeStarted(number int) // called when a controller has started without the document
}

// Protocols returns the names of all protocols, in the order of the table.
func Protocols() []string { return []string{"voters push", "tree by region", "summaries and pull"} }

func newProtocol(name string, n *network) protocol {
	switch name {
	case "voters push":
		return newPush(n)
	case "tree by region":
		return newTree(n)
	default:
		return newPull(n)
	}
}

// fetchFromVoter makes a controller that has started ask the voters, one after another, until it has the document.
func (n *network) fetchFromVoter(number, turn int) {
	if n.nodes[number].has || !n.nodes[number].up {
		return
	}
	voter := (number + turn) % n.voters
	n.send(number, voter, 0, func() {
		if n.nodes[voter].has {
			n.sendDocument(voter, number, func() { n.recordReceipt(number) })
		}
	})
	n.after(retryInterval, func() { n.fetchFromVoter(number, turn+1) })
}

// push lets each voter send the document to its share of the controllers until they have acknowledged it.
type push struct {
	*network
	acknowledged []bool
}

func newPush(n *network) *push {
	p := &push{network: n, acknowledged: make([]bool, len(n.nodes))}
	n.onReceived = func(int) {}
	return p
}

func (p *push) start() {
	for to := p.voters; to < len(p.nodes); to++ {
		p.deliver(to%p.voters, to)
	}
}

func (p *push) deliver(voter, to int) {
	if p.acknowledged[to] {
		return
	}
	p.sendDocument(voter, to, func() {
		p.recordReceipt(to)
		p.send(to, voter, 0, func() { p.acknowledged[to] = true })
	})
	p.after(retryInterval, func() { p.deliver(voter, to) })
}

func (p *push) nodeStarted(number int) { p.fetchFromVoter(number, 0) }

// tree sends the document down a tree in each region, from a voter at its root. A parent takes over the children of a child
// that does not answer.
type tree struct {
	*network
	order        [regions][]int // controllers of a region, its root, a voter, first
	place        []int          // index of each controller in its region's order
	acknowledged []bool
}

func newTree(n *network) *tree {
	t := &tree{network: n, place: make([]int, len(n.nodes)), acknowledged: make([]bool, len(n.nodes))}
	for number := range n.nodes {
		at := region(number)
		if number < n.voters && len(t.order[at]) > 0 {
			continue // a further voter already has the document
		}
		t.place[number] = len(t.order[at])
		t.order[at] = append(t.order[at], number)
	}
	n.onReceived = t.forward
	return t
}

func (t *tree) start() {
	for at := range t.order {
		t.forward(t.order[at][0])
	}
}

// forward sends the document from a controller to its children.
func (t *tree) forward(parent int) {
	for _, child := range t.children(parent) {
		t.deliver(parent, child, treeAttempts)
	}
}

func (t *tree) children(parent int) []int {
	order := t.order[region(parent)]
	first := treeFanOut*t.place[parent] + 1
	if first >= len(order) {
		return nil
	}
	return order[first:min(first+treeFanOut, len(order))]
}

func (t *tree) deliver(parent, child, tries int) {
	if t.acknowledged[child] || !t.nodes[parent].up {
		return
	}
	if tries == 0 {
		for _, grandchild := range t.children(child) {
			t.deliver(parent, grandchild, treeAttempts)
		}
		return
	}
	t.sendDocument(parent, child, func() {
		t.recordReceipt(child)
		t.send(child, parent, 0, func() { t.acknowledged[child] = true })
	})
	t.after(retryInterval, func() { t.deliver(parent, child, tries-1) })
}

func (t *tree) nodeStarted(number int) { t.fetchFromVoter(number, 0) }

// pull lets each controller with the document announce it to some others at once, and to another one with each ping. A
// controller fetches the document from the one that announced it.
type pull struct {
	*network
	fetching []bool
}

func newPull(n *network) *pull {
	p := &pull{network: n, fetching: make([]bool, len(n.nodes))}
	n.onReceived = func(number int) { p.announceToSome(number) }
	for number := range n.nodes {
		n.after(pingInterval*n.rng.Float64(), func() { p.ping(number) })
	}
	return p
}

func (p *pull) start() {
	for voter := range p.voters {
		p.announceToSome(voter)
	}
}

func (p *pull) announceToSome(number int) {
	for range announceFanOut {
		p.announce(number, p.rng.Intn(len(p.nodes)), 0)
	}
}

// announce tells a controller that another one has the document. As part of a ping it costs fewer bytes than a message.
func (p *pull) announce(from, to, bytes int) {
	if from == to || !p.nodes[from].has {
		return
	}
	p.send(from, to, bytes, func() { p.fetch(to, from) })
}

func (p *pull) ping(number int) {
	other := p.rng.Intn(len(p.nodes))
	p.announce(number, other, summaryBytes-headerBytes)
	p.announce(other, number, summaryBytes-headerBytes)
	p.after(pingInterval, func() { p.ping(number) })
}

func (p *pull) fetch(number, source int) {
	if p.nodes[number].has || p.fetching[number] {
		return
	}
	p.fetching[number] = true
	p.send(number, source, 0, func() {
		if p.nodes[source].has {
			p.sendDocument(source, number, func() { p.recordReceipt(number) })
		}
	})
	p.after(fetchTimeout, func() {
		p.fetching[number] = false
		if !p.nodes[number].has && p.nodes[number].up {
			p.fetch(number, p.rng.Intn(p.voters))
		}
	})
}

func (p *pull) nodeStarted(number int) { p.fetching[number] = false; p.fetchFromVoter(number, 0) }
