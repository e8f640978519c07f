package dissemination

// Times of all ways, in ms.
const (
	retryAfter    = 1000.0 // of a document or a question that was not answered
	chunkPatience = 500.0  // of one that pulls, before it asks another
	pingEach      = 1000.0 // of membership, which carries summaries
	treeTries     = 3      // of a parent, before it takes on the children of a child that does not answer
	treeFanOut    = 8
	pushedTo      = 4  // controllers that are told at once
	summaryBytes  = 40 // in a ping that is sent anyway
)

// way is one way of dissemination on a network.
type way interface {
	begin()             // the document was agreed on
	started(number int) // a controller has started without the document
}

// Ways are the names of all, in the order of the table.
func Ways() []string { return []string{"voters push", "tree by region", "summaries and pull"} }

func newWay(name string, n *network) way {
	switch name {
	case "voters push":
		return newPush(n)
	case "tree by region":
		return newTree(n)
	default:
		return newPull(n)
	}
}

// askVoter has a controller that started ask voters, one after the other, until it has the document.
func (n *network) askVoter(number, turn int) {
	if n.nodes[number].has || !n.nodes[number].up {
		return
	}
	voter := (number + turn) % n.voters
	n.send(number, voter, 0, func() {
		if n.nodes[voter].has {
			n.sendDocument(voter, number, func() { n.take(number) })
		}
	})
	n.after(retryAfter, func() { n.askVoter(number, turn+1) })
}

// push has each voter send the document to its part of the controllers until they have acknowledged it.
type push struct {
	*network
	acknowledged []bool
}

func newPush(n *network) *push {
	p := &push{network: n, acknowledged: make([]bool, len(n.nodes))}
	n.received = func(int) {}
	return p
}

func (p *push) begin() {
	for to := p.voters; to < len(p.nodes); to++ {
		p.deliver(to%p.voters, to)
	}
}

func (p *push) deliver(voter, to int) {
	if p.acknowledged[to] {
		return
	}
	p.sendDocument(voter, to, func() {
		p.take(to)
		p.send(to, voter, 0, func() { p.acknowledged[to] = true })
	})
	p.after(retryAfter, func() { p.deliver(voter, to) })
}

func (p *push) started(number int) { p.askVoter(number, 0) }

// tree has the leader send the document to a voter of each region, and each controller to its children in a tree of its
// region. A parent takes on the children of a child that does not answer.
type tree struct {
	*network
	order        [regions][]int // the controllers of a region, a voter first
	place        []int          // of each in its region's order
	acknowledged []bool
}

func newTree(n *network) *tree {
	t := &tree{network: n, place: make([]int, len(n.nodes)), acknowledged: make([]bool, len(n.nodes))}
	for number := range n.nodes {
		at := region(number)
		if number < n.voters && len(t.order[at]) > 0 {
			continue // it has the document already
		}
		t.place[number] = len(t.order[at])
		t.order[at] = append(t.order[at], number)
	}
	n.received = t.forward
	return t
}

func (t *tree) begin() {
	for at := range t.order {
		t.forward(t.order[at][0])
	}
}

// forward has a controller send the document to its children.
func (t *tree) forward(parent int) {
	for _, child := range t.children(parent) {
		t.deliver(parent, child, treeTries)
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
			t.deliver(parent, grandchild, treeTries)
		}
		return
	}
	t.sendDocument(parent, child, func() {
		t.take(child)
		t.send(child, parent, 0, func() { t.acknowledged[child] = true })
	})
	t.after(retryAfter, func() { t.deliver(parent, child, tries-1) })
}

func (t *tree) started(number int) { t.askVoter(number, 0) }

// pull has each controller that has the document tell some others at once, and one more with each ping; whoever is told
// fetches it from the teller.
type pull struct {
	*network
	fetching []bool
}

func newPull(n *network) *pull {
	p := &pull{network: n, fetching: make([]bool, len(n.nodes))}
	n.received = func(number int) { p.tellSome(number) }
	for number := range n.nodes {
		n.after(pingEach*n.rng.Float64(), func() { p.ping(number) })
	}
	return p
}

func (p *pull) begin() {
	for voter := range p.voters {
		p.tellSome(voter)
	}
}

func (p *pull) tellSome(number int) {
	for range pushedTo {
		p.tell(number, p.rng.Intn(len(p.nodes)), 0)
	}
}

// tell has one controller tell another that it has the document; as a part of a ping it costs fewer bytes.
func (p *pull) tell(from, to, bytes int) {
	if from == to || !p.nodes[from].has {
		return
	}
	p.send(from, to, bytes, func() { p.fetch(to, from) })
}

func (p *pull) ping(number int) {
	other := p.rng.Intn(len(p.nodes))
	p.tell(number, other, summaryBytes-headerBytes)
	p.tell(other, number, summaryBytes-headerBytes)
	p.after(pingEach, func() { p.ping(number) })
}

func (p *pull) fetch(number, source int) {
	if p.nodes[number].has || p.fetching[number] {
		return
	}
	p.fetching[number] = true
	p.send(number, source, 0, func() {
		if p.nodes[source].has {
			p.sendDocument(source, number, func() { p.take(number) })
		}
	})
	p.after(chunkPatience, func() {
		p.fetching[number] = false
		if !p.nodes[number].has && p.nodes[number].up {
			p.fetch(number, p.rng.Intn(p.voters))
		}
	})
}

func (p *pull) started(number int) { p.fetching[number] = false; p.askVoter(number, 0) }
