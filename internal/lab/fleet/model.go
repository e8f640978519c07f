package fleet

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Small is the small case that is looked at whole: every order of a bounded number of crashes, pauses, lost messages and
// changes of the council's leader, on the cores of ownership. The council stands as one log; that its members agree is
// the consensus library's part and is played in virtual time. Time goes in whole units; a controller that is not let act
// while time passes is one that pauses.
type Small struct {
	Nodes, Works             int
	Lease                    float64 // in units
	Horizon                  int     // units
	Crashes, Losses, Leaders int
	Flight                   int       // messages on their way at most
	Rates                    []float64 // of the nodes' clocks; nil: all alike
	Most                     int       // states, at which the search ends without a verdict
	Ungated                  bool      // a mutant: receivers let all pass
	Unstopped                bool      // a mutant: an owner looks at its clock no more once it acts
}

// Tally is what the search found.
type Tally struct {
	States, Moves int
	Whole         bool     // all states within the bounds were seen
	Broken        string   // an invariant that does not hold; empty: all do
	Path          []string // the moves to it
	Overlaps      int      // states in which two may act at once, which clocks or pauses past the margin allow
}

type flying struct {
	to    int // a node; -1: the council
	renew *lease.Renew
	held  []lease.Grant
	token uint64
	offer *lease.Grant
	run   uint64
}

// strike is an effect that an owner has begun: it has looked at its clock, and has not reached the receiver.
type strike struct {
	node  int
	claim lease.Grant
}

type small struct {
	now                      int
	state                    *lease.State
	steward                  *lease.Manager
	hands                    []*lease.Client
	runs                     []uint64
	flight                   []flying
	strikes                  []strike
	gate                     map[lease.Name]lease.Token
	owner                    map[lease.Grant]int
	crashes, losses, leaders int
	path                     *step
}

type step struct {
	text string
	last *step
}

func (s *small) copy() *small {
	c := *s
	c.state, c.steward = s.state.Copy(), s.steward.Copy()
	c.hands = make([]*lease.Client, len(s.hands))
	for i, h := range s.hands {
		c.hands[i] = h.Copy()
	}
	c.runs, c.flight, c.strikes = slices.Clone(s.runs), slices.Clone(s.flight), slices.Clone(s.strikes)
	c.gate = map[lease.Name]lease.Token{}
	for w, e := range s.gate {
		c.gate[w] = e
	}
	c.owner = map[lease.Grant]int{}
	for w, e := range s.owner {
		c.owner[w] = e
	}
	return &c
}

// key tells states apart, but for what no later move can tell: numbers of renewals and tokens count for nothing but for
// which is which.
func (s *small) key(names []lease.Name) uint64 {
	b := make([]byte, 0, 512)
	put := func(xs ...uint64) {
		for _, x := range xs {
			b = binary.AppendUvarint(b, x)
		}
	}
	claims := func(list []lease.Grant) {
		for _, c := range list {
			b = append(append(b, c.Name...), byte(c.Token))
		}
	}
	put(uint64(s.now), uint64(s.crashes), uint64(s.losses), uint64(s.leaders))
	put(s.runs...)
	for _, w := range names {
		g := s.state.Leases[w]
		put(uint64(g.Token), g.Holder.Run, uint64(s.gate[w]))
		for e := lease.Token(1); e <= g.Token; e++ {
			put(uint64(s.owner[lease.Grant{Name: w, Token: e}]))
		}
	}
	put(uint64(s.owner[lease.Grant{Name: "broken"}]))
	for _, x := range s.strikes {
		put(uint64(x.node))
		claims([]lease.Grant{x.claim})
	}
	b = s.steward.AppendKey(b, s.state)
	for _, h := range s.hands {
		b = h.AppendKey(b)
	}
	flights := make([]string, 0, len(s.flight)) // what is on its way has no order
	for _, f := range s.flight {
		keep := b
		b = nil
		put(uint64(f.to+1), f.run)
		claims(f.held)
		token := f.token
		if f.renew != nil {
			token = f.renew.Sequence
			b = append(b, 'r')
			claims(f.renew.Grants)
		}
		if f.offer != nil {
			b = append(b, 'o')
			claims([]lease.Grant{*f.offer})
		}
		for i, run := range s.runs {
			if run == f.run && token != 0 {
				put(math.Float64bits(s.hands[i].SentAt(token)))
			}
		}
		flights = append(flights, string(b))
		b = keep
	}
	slices.Sort(flights)
	for _, f := range flights {
		b = append(append(b, '|'), f...)
	}
	return xxhash.Sum64(b)
}

func (p Small) local(s *small, i int) float64 {
	rate := 1.0
	if p.Rates != nil {
		rate = p.Rates[i]
	}
	return float64(s.now) * rate
}

func (p Small) holder(s *small, i int) lease.Holder {
	return lease.Holder{ID: members.ID(fmt.Sprintf("n%d", i)), Run: s.runs[i]}
}

// Search looks at all states.
func (p Small) Search() (t Tally) {
	terms := lease.Terms{Lease: p.Lease}
	first := &small{state: &lease.State{}, steward: lease.NewManager(terms, -2*p.Lease), gate: map[lease.Name]lease.Token{},
		owner: map[lease.Grant]int{}}
	var names []lease.Name
	for i := range p.Works {
		names = append(names, lease.Name(fmt.Sprintf("w%d", i)))
	}
	first.state.Apply(lease.Command{Declare: &lease.Declare{Names: names}})
	for i := range p.Nodes {
		first.runs = append(first.runs, uint64(i+1))
		first.hands = append(first.hands, lease.NewClient(p.holder(first, i), terms))
	}
	seen := map[uint64]bool{first.key(names): true}
	queue := []*small{first}
	t.Whole = true
	for len(queue) > 0 {
		s := queue[0]
		queue[0], queue = nil, queue[1:]
		t.States++
		if why := p.check(s, &t); why != "" {
			t.Broken = why
			for at := s.path; at != nil; at = at.last {
				t.Path = append([]string{at.text}, t.Path...)
			}
			t.Whole = false
			return t
		}
		if t.States >= p.Most {
			t.Whole = false
			return t
		}
		for _, next := range p.moves(s, terms, names) {
			t.Moves++
			if key := next.key(names); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return t
}

// check tells what does not hold: with clocks that go alike nobody may act beside another, whatever pauses; and of one
// epoch there is one owner at the receivers, ever.
func (p Small) check(s *small, t *Tally) string {
	for w := range s.state.Leases {
		may := 0
		for i, h := range s.hands {
			if _, _, ok := h.CanAct(p.local(s, i), w); ok {
				may++
			}
		}
		if may > 1 {
			if t.Overlaps++; p.Rates == nil {
				return fmt.Sprintf("at %d: %d may act for %s", s.now, may, w)
			}
		}
	}
	if e := s.owner[lease.Grant{Name: "broken"}]; e != 0 {
		return fmt.Sprintf("at %d: a receiver took two owners of one epoch, or a lower one after a higher", s.now)
	}
	return ""
}

func (p Small) moves(s *small, terms lease.Terms, names []lease.Name) (next []*small) {
	move := func(text string, do func(c *small)) {
		c := s.copy()
		do(c)
		c.path = &step{fmt.Sprintf("%d: %s", s.now, text), s.path}
		next = append(next, c)
	}
	if s.now < p.Horizon {
		move("time passes", func(c *small) { c.now++ })
	}
	var candidates []lease.Candidate
	for i := range p.Nodes {
		candidates = append(candidates, lease.Candidate{Holder: p.holder(s, i), Willing: true})
	}
	if given := s.steward.Copy().Decide(float64(s.now), s.state, candidates); len(given) > 0 {
		move("the council gives", func(c *small) {
			for _, cmd := range c.steward.Decide(float64(c.now), c.state, candidates) {
				changed := c.state.Apply(cmd)
				c.steward.Applied(float64(c.now), cmd, changed)
				g := c.state.Leases[cmd.Assign.Name]
				for i := range p.Nodes {
					if p.holder(c, i) == g.Holder && len(c.flight) < p.Flight {
						c.flight = append(c.flight, flying{to: i, offer: &lease.Grant{Name: g.Name, Token: g.Token}, run: g.Holder.Run})
					}
				}
			}
		})
	}
	if s.leaders < p.Leaders {
		move("another leads", func(c *small) {
			c.leaders++
			c.steward = lease.NewManager(terms, float64(c.now))
		})
	}
	for i := range p.Nodes {
		if s.hands[i].Copy().Renewal(p.local(s, i)) != nil && len(s.flight) < p.Flight {
			move(fmt.Sprintf("n%d renews", i), func(c *small) {
				c.flight = append(c.flight, flying{to: -1, renew: c.hands[i].Renewal(p.local(c, i)), run: c.runs[i]})
			})
		}
		if s.crashes < p.Crashes {
			move(fmt.Sprintf("n%d restarts", i), func(c *small) {
				c.crashes++
				c.runs[i] += 100
				c.hands[i] = lease.NewClient(p.holder(c, i), terms)
			})
		}
		for _, w := range names {
			e, _, ok := s.hands[i].CanAct(p.local(s, i), w)
			claim := lease.Grant{Name: w, Token: e}
			if ok && len(s.strikes) < 2 && !slices.Contains(s.strikes, strike{i, claim}) {
				move(fmt.Sprintf("n%d begins an effect of %s, epoch %d", i, w, e), func(c *small) {
					c.strikes = append(c.strikes, strike{i, claim})
				})
			}
		}
	}
	for n, f := range s.flight {
		drop := func(c *small) { c.flight = slices.Delete(slices.Clone(c.flight), n, n+1) }
		move("a message arrives", func(c *small) { drop(c); p.arrive(c, f) })
		if s.losses < p.Losses {
			move("a message is lost", func(c *small) { drop(c); c.losses++ })
		}
	}
	for n, x := range s.strikes {
		move(fmt.Sprintf("the effect of n%d arrives", x.node), func(c *small) {
			c.strikes = slices.Delete(slices.Clone(c.strikes), n, n+1)
			if x.claim.Token < c.gate[x.claim.Name] {
				if p.Ungated {
					c.owner[lease.Grant{Name: "broken"}] = 1
				}
				return
			}
			c.gate[x.claim.Name] = x.claim.Token
			if was, ok := c.owner[x.claim]; ok && was != x.node {
				c.owner[lease.Grant{Name: "broken"}] = 1
			}
			c.owner[x.claim] = x.node
		})
	}
	return next
}

func (p Small) arrive(c *small, f flying) {
	switch {
	case f.renew != nil:
		cmd := lease.Command{Renew: f.renew}
		changed := c.state.Apply(cmd)
		c.steward.Applied(float64(c.now), cmd, changed)
		reply := flying{token: f.renew.Sequence, run: f.run, to: -1}
		for i := range p.Nodes {
			if c.runs[i] == f.run {
				reply.to = i
			}
		}
		for _, claim := range f.renew.Grants {
			if slices.Contains(changed, claim.Name) {
				reply.held = append(reply.held, claim)
			}
		}
		if reply.to >= 0 && len(c.flight) < p.Flight {
			c.flight = append(c.flight, reply)
		}
	case f.to >= 0 && c.runs[f.to] == f.run && f.offer != nil:
		c.hands[f.to].Offered(p.local(c, f.to), *f.offer)
	case f.to >= 0 && c.runs[f.to] == f.run:
		c.hands[f.to].Renewed(p.local(c, f.to), f.token, f.held)
	}
}
