package fleet

import (
	"fmt"
	"slices"

	"mintkeel/internal/core/fleet/lease"
)

// moves returns all states that can follow a state.
func (p ModelSearch) moves(s *modelState, timing lease.Timing, names []lease.Name) []*modelState {
	m := &moveList{search: p, from: s, timing: timing}
	m.passTime()
	m.assign()
	m.changeLeader()
	for i := range p.Nodes {
		m.renew(i)
		m.restart(i)
		for _, name := range names {
			m.beginEffect(i, name)
		}
	}
	for i := range s.messages {
		m.deliverOrLose(i)
	}
	for i := range s.effects {
		m.deliverEffect(i)
	}
	return m.next
}

// moveList collects the states that can follow a state.
type moveList struct {
	search ModelSearch
	from   *modelState
	timing lease.Timing
	next   []*modelState
}

// add adds the state that a change leads to.
func (m *moveList) add(text string, change func(next *modelState)) {
	next := m.from.copy()
	change(next)
	next.path = &step{fmt.Sprintf("%d: %s", m.from.now, text), m.from.path}
	m.next = append(m.next, next)
}

func (m *moveList) passTime() {
	if m.from.now < m.search.Horizon {
		m.add("time passes", func(next *modelState) { next.now++ })
	}
}

// assign has the quorum's leader assign the leases without a holder.
func (m *moveList) assign() {
	p, s := m.search, m.from
	var candidates []lease.Candidate
	for i := range p.Nodes {
		candidates = append(candidates, lease.Candidate{Holder: p.holder(s, i), Willing: true})
	}
	if len(s.manager.Copy().Decide(float64(s.now), s.state, candidates)) == 0 {
		return
	}
	m.add("the leader assigns", func(next *modelState) {
		for _, command := range next.manager.Decide(float64(next.now), next.state, candidates) {
			changed := next.state.Apply(command)
			next.manager.Applied(float64(next.now), command, changed)
			p.offer(next, next.state.Leases[command.Assign.Name])
		}
	})
}

// offer notifies the holder of a lease that it was assigned, if there is room for a message.
func (p ModelSearch) offer(s *modelState, assigned *lease.Lease) {
	for i := range p.Nodes {
		if p.holder(s, i) == assigned.Holder && len(s.messages) < p.MaxInFlight {
			grant := &lease.Grant{Name: assigned.Name, Token: assigned.Token}
			s.messages = append(s.messages, message{to: i, offer: grant, run: assigned.Holder.Run})
		}
	}
}

func (m *moveList) changeLeader() {
	if m.from.leaderChanges < m.search.LeaderChanges {
		m.add("another leads", func(next *modelState) {
			next.leaderChanges++
			next.manager = lease.NewManager(m.timing, float64(next.now))
		})
	}
}

func (m *moveList) renew(i int) {
	p, s := m.search, m.from
	if s.clients[i].Copy().Renewal(p.local(s, i)) == nil || len(s.messages) >= p.MaxInFlight {
		return
	}
	m.add(fmt.Sprintf("n%d renews", i), func(next *modelState) {
		renewal := next.clients[i].Renewal(p.local(next, i))
		next.messages = append(next.messages, message{to: -1, renew: renewal, run: next.runs[i]})
	})
}

func (m *moveList) restart(i int) {
	if m.from.crashes < m.search.Crashes {
		m.add(fmt.Sprintf("n%d restarts", i), func(next *modelState) {
			next.crashes++
			next.runs[i] += 100
			next.clients[i] = lease.NewClient(m.search.holder(next, i), m.timing)
		})
	}
}

// beginEffect has a node check by its clock that it holds a lease, and begin an effect.
func (m *moveList) beginEffect(i int, name lease.Name) {
	s := m.from
	token, _, ok := s.clients[i].CanAct(m.search.local(s, i), name)
	begun := effect{i, lease.Grant{Name: name, Token: token}}
	if ok && len(s.effects) < 2 && !slices.Contains(s.effects, begun) {
		m.add(fmt.Sprintf("n%d begins an effect of %s, token %d", i, name, token), func(next *modelState) {
			next.effects = append(next.effects, begun)
		})
	}
}

func (m *moveList) deliverOrLose(i int) {
	drop := func(next *modelState) { next.messages = slices.Delete(slices.Clone(next.messages), i, i+1) }
	m.add("a message arrives", func(next *modelState) {
		drop(next)
		m.search.arrive(next, m.from.messages[i])
	})
	if m.from.losses < m.search.Losses {
		m.add("a message is lost", func(next *modelState) {
			drop(next)
			next.losses++
		})
	}
}

// deliverEffect delivers an effect to its receiver, which checks the fencing token.
func (m *moveList) deliverEffect(i int) {
	arrived := m.from.effects[i]
	m.add(fmt.Sprintf("the effect of n%d arrives", arrived.node), func(next *modelState) {
		next.effects = slices.Delete(slices.Clone(next.effects), i, i+1)
		if arrived.grant.Token < next.fenced[arrived.grant.Name] {
			if m.search.Unfenced {
				next.accepted[brokenMark] = 1
			}
			return
		}
		next.fenced[arrived.grant.Name] = arrived.grant.Token
		if was, ok := next.accepted[arrived.grant]; ok && was != arrived.node {
			next.accepted[brokenMark] = 1
		}
		next.accepted[arrived.grant] = arrived.node
	})
}

// arrive delivers a message to the quorum or a node.
func (p ModelSearch) arrive(s *modelState, m message) {
	switch {
	case m.renew != nil:
		p.applyRenewal(s, m)
	case m.to >= 0 && s.runs[m.to] == m.run && m.offer != nil:
		s.clients[m.to].AcceptOffer(p.local(s, m.to), *m.offer)
	case m.to >= 0 && s.runs[m.to] == m.run:
		s.clients[m.to].ConfirmRenewal(p.local(s, m.to), m.token, m.held)
	}
}

// applyRenewal applies a renewal to the log and sends the response to its holder.
func (p ModelSearch) applyRenewal(s *modelState, m message) {
	command := lease.Command{Renew: m.renew}
	changed := s.state.Apply(command)
	s.manager.Applied(float64(s.now), command, changed)
	reply := message{token: m.renew.Sequence, run: m.run, to: -1}
	for i := range p.Nodes {
		if s.runs[i] == m.run {
			reply.to = i
		}
	}
	for _, grant := range m.renew.Grants {
		if slices.Contains(changed, grant.Name) {
			reply.held = append(reply.held, grant)
		}
	}
	if reply.to >= 0 && len(s.messages) < p.MaxInFlight {
		s.messages = append(s.messages, reply)
	}
}
