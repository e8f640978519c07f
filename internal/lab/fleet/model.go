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

// ModelSearch is an exhaustive search of a small model of leases: every order of a bounded number of crashes, lost messages
// and changes of the quorum's leader, and of any pauses. The quorum is modeled as one log; the consensus of its members is
// tested in virtual time instead. Time advances in whole units, and a controller that takes no step while time passes is
// paused.
type ModelSearch struct {
	Nodes, Leases                  int
	Lease                          float64 // in units
	Horizon                        int     // units
	Crashes, Losses, LeaderChanges int
	MaxInFlight                    int       // messages in flight at most
	Rates                          []float64 // of the nodes' clocks; nil: all run at the same rate
	MaxStates                      int       // number of states after which the search is incomplete
	Unfenced                       bool      // a mutant: receivers ignore fencing tokens
}

// SearchResult is the result of a search.
type SearchResult struct {
	States, Moves int
	Complete      bool     // every state within the bounds was reached
	Broken        string   // an invariant that does not hold; empty: all hold
	Path          []string // the moves that lead to the violation
	Overlaps      int      // states in which two nodes may act at once; only clocks that differ by more than the margin allow it
}

// brokenMark is added to the accepted effects once a receiver accepts two holders of one token, or a lower token after a
// higher one.
var brokenMark = lease.Grant{Name: "broken"}

// message is a message in flight.
type message struct {
	to    int // a node; -1: the quorum
	renew *lease.Renew
	held  []lease.Grant
	token uint64
	offer *lease.Grant
	run   uint64
}

// effect is an effect that a holder has begun after it checked its clock, and that has not reached the receiver yet.
type effect struct {
	node  int
	grant lease.Grant
}

// modelState is a state of the model: of the quorum, the nodes, the messages between them and the receivers.
type modelState struct {
	now                            int
	state                          *lease.State
	manager                        *lease.Manager
	clients                        []*lease.Client
	runs                           []uint64
	messages                       []message
	effects                        []effect
	fenced                         map[lease.Name]lease.Token
	accepted                       map[lease.Grant]int
	crashes, losses, leaderChanges int
	path                           *step
}

// step is the move that led to a state, with the steps before it.
type step struct {
	text     string
	previous *step
}

func (s *modelState) copy() *modelState {
	c := *s
	c.state, c.manager = s.state.Copy(), s.manager.Copy()
	c.clients = make([]*lease.Client, len(s.clients))
	for i, h := range s.clients {
		c.clients[i] = h.Copy()
	}
	c.runs, c.messages, c.effects = slices.Clone(s.runs), slices.Clone(s.messages), slices.Clone(s.effects)
	c.fenced = map[lease.Name]lease.Token{}
	for w, e := range s.fenced {
		c.fenced[w] = e
	}
	c.accepted = map[lease.Grant]int{}
	for w, e := range s.accepted {
		c.accepted[w] = e
	}
	return &c
}

// key returns a hash that is equal for states which no later move can distinguish: the sequence numbers of renewals count
// only by the times at which these were sent.
func (s *modelState) key(names []lease.Name) uint64 {
	b := make([]byte, 0, 512)
	put := func(xs ...uint64) {
		for _, x := range xs {
			b = binary.AppendUvarint(b, x)
		}
	}
	grants := func(list []lease.Grant) {
		for _, c := range list {
			b = append(append(b, c.Name...), byte(c.Token))
		}
	}
	put(uint64(s.now), uint64(s.crashes), uint64(s.losses), uint64(s.leaderChanges))
	put(s.runs...)
	for _, w := range names {
		g := s.state.Leases[w]
		put(uint64(g.Token), g.Holder.Run, uint64(s.fenced[w]))
		for e := lease.Token(1); e <= g.Token; e++ {
			put(uint64(s.accepted[lease.Grant{Name: w, Token: e}]))
		}
	}
	put(uint64(s.accepted[brokenMark]))
	for _, x := range s.effects {
		put(uint64(x.node))
		grants([]lease.Grant{x.grant})
	}
	b = s.manager.AppendKey(b, s.state)
	for _, h := range s.clients {
		b = h.AppendKey(b)
	}
	inFlight := make([]string, 0, len(s.messages)) // messages in flight have no order
	for _, f := range s.messages {
		keep := b
		b = nil
		put(uint64(f.to+1), f.run)
		grants(f.held)
		token := f.token
		if f.renew != nil {
			token = f.renew.Sequence
			b = append(b, 'r')
			grants(f.renew.Grants)
		}
		if f.offer != nil {
			b = append(b, 'o')
			grants([]lease.Grant{*f.offer})
		}
		for i, run := range s.runs {
			if run == f.run && token != 0 {
				put(math.Float64bits(s.clients[i].SentAt(token)))
			}
		}
		inFlight = append(inFlight, string(b))
		b = keep
	}
	slices.Sort(inFlight)
	for _, f := range inFlight {
		b = append(append(b, '|'), f...)
	}
	return xxhash.Sum64(b)
}

func (p ModelSearch) local(s *modelState, i int) float64 {
	rate := 1.0
	if p.Rates != nil {
		rate = p.Rates[i]
	}
	return float64(s.now) * rate
}

func (p ModelSearch) holder(s *modelState, i int) lease.Holder {
	return lease.Holder{ID: members.ID(fmt.Sprintf("n%d", i)), Run: s.runs[i]}
}

// Search searches all states breadth-first, up to MaxStates or the first violation.
func (p ModelSearch) Search() (result SearchResult) {
	timing := lease.Timing{Duration: p.Lease}
	first := &modelState{state: &lease.State{}, manager: lease.NewManager(timing, -2*p.Lease), fenced: map[lease.Name]lease.Token{},
		accepted: map[lease.Grant]int{}}
	var names []lease.Name
	for i := range p.Leases {
		names = append(names, lease.Name(fmt.Sprintf("w%d", i)))
	}
	first.state.Apply(lease.Command{Declare: &lease.Declare{Names: names}})
	for i := range p.Nodes {
		first.runs = append(first.runs, uint64(i+1))
		first.clients = append(first.clients, lease.NewClient(p.holder(first, i), timing))
	}
	seen := map[uint64]bool{first.key(names): true}
	queue := []*modelState{first}
	result.Complete = true
	for len(queue) > 0 {
		s := queue[0]
		queue[0], queue = nil, queue[1:]
		result.States++
		if why := p.check(s, &result); why != "" {
			result.Broken = why
			for at := s.path; at != nil; at = at.previous {
				result.Path = append([]string{at.text}, result.Path...)
			}
			result.Complete = false
			return result
		}
		if result.States >= p.MaxStates {
			result.Complete = false
			return result
		}
		for _, next := range p.moves(s, timing, names) {
			result.Moves++
			if key := next.key(names); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return result
}

// check returns an invariant that a state breaks; empty: none. With clocks of one rate no two nodes may act at once, whatever
// pauses there are; and receivers never accept two holders of one fencing token, or a lower token after a higher one.
func (p ModelSearch) check(s *modelState, result *SearchResult) string {
	for w := range s.state.Leases {
		may := 0
		for i, h := range s.clients {
			if _, _, ok := h.CanAct(p.local(s, i), w); ok {
				may++
			}
		}
		if may > 1 {
			if result.Overlaps++; p.Rates == nil {
				return fmt.Sprintf("at %d: %d nodes may act for %s", s.now, may, w)
			}
		}
	}
	if e := s.accepted[brokenMark]; e != 0 {
		return fmt.Sprintf("at %d: a receiver accepted two holders of one token, or a lower token after a higher one", s.now)
	}
	return ""
}
