package lease

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Candidate is a controller that a lease could be assigned to.
type Candidate struct {
	Holder  Holder
	Slow    bool // it is suspected, or leads: others are preferred
	Willing bool
}

// Manager is the leader's side: it counts leases by its own clock. It is made anew whenever this controller begins to
// lead, and counts all leases from then: what an earlier leader counted is not known.
type Manager struct {
	terms        Terms
	startedAt    float64                 // ms
	renewedAt    map[Name]float64        // ms, when a renewal was last applied here
	backoffUntil map[leaseMember]float64 // ms, until when a member that failed at a lease does not get it
	pending      map[Name]assignment     // proposed and not agreed on yet
	unconfirmed  map[Name]bool           // assigned and not renewed yet
}

// leaseMember is a lease together with a member.
type leaseMember struct {
	name Name
	id   members.ID
}

// assignment is the proposal of an Assign.
type assignment struct {
	renewal uint64
	until   float64 // ms, after which it is proposed again
}

// Waiting times in ms.
const (
	failureBackoff     = 60000.0 // for which a member that failed at a lease does not get it again
	unconfirmedBackoff = 15000.0 // the same for one that did not begin with a lease, or gave it up
	proposalTimeout    = 3000.0  // after which a proposal that was not agreed on is made again
	preferredWait      = 60000.0 // for which a free lease at most waits for the member that an operator named
)

// NewManager begins to lead now.
func NewManager(t Terms, now float64) *Manager {
	return &Manager{
		terms:        t,
		startedAt:    now,
		renewedAt:    map[Name]float64{},
		backoffUntil: map[leaseMember]float64{},
		pending:      map[Name]assignment{},
		unconfirmed:  map[Name]bool{},
	}
}

// Applied takes in an agreed command and the leases that it changed.
func (m *Manager) Applied(now float64, c Command, changed []Name) {
	if c.StoreState != nil || c.LoadState != nil || c.Prefer != nil { // a holder counts its lease by renewals alone, and so does this
		return
	}
	for _, name := range changed {
		m.renewedAt[name], m.unconfirmed[name] = now, c.Assign != nil
		delete(m.pending, name)
	}
	if c.Declare != nil { // a holder that gave a lease up as it was no longer declared is not shutting down
		maps.DeleteFunc(m.backoffUntil, func(of leaseMember, _ float64) bool { return slices.Contains(changed, of.name) })
	}
	if r := c.Release; r != nil && len(changed) > 0 { // it does not get the lease back at once: it may be shutting down
		backoff := unconfirmedBackoff
		if r.Failed {
			backoff = failureBackoff
		}
		m.backoffUntil[leaseMember{r.Grant.Name, r.Holder.ID}] = now + backoff
	}
}

// Renewed tells whether a lease was renewed lately: its holder knows that it holds it. One that has not been renewed for
// two of its intervals may have dropped the lease, and takes it up again if it is offered.
func (m *Manager) Renewed(now float64, name Name) bool {
	at, ever := m.renewedAt[name]
	return ever && !m.unconfirmed[name] && now < at+2*m.terms.RenewEach()
}

// Confirmed tells whether the holders of all these grants have renewed them before.
func (m *Manager) Confirmed(grants []Grant) bool {
	return !slices.ContainsFunc(grants, func(g Grant) bool {
		_, ever := m.renewedAt[g.Name]
		return !ever || m.unconfirmed[g.Name]
	})
}

// Until is when a lease may be assigned to another at the earliest, in ms.
func (m *Manager) Until(name Name) float64 { return m.countedFrom(name) + m.terms.FreeAfter() }

// countedFrom is when the lease began to run by this manager's clock.
func (m *Manager) countedFrom(name Name) float64 { return max(m.startedAt, m.renewedAt[name]) }

// Next is when Decide is to be called at the latest, in ms.
func (m *Manager) Next(now float64, state *State) float64 {
	next := now + m.terms.Lease
	for name, lease := range state.Leases {
		if lease.Held() {
			next = min(next, max(now, m.Until(name)))
		}
	}
	return next
}

// Decide returns the commands that are to be proposed now. A lease stays with its holder as long as that renews it: a
// better candidate gets the next one that comes free.
func (m *Manager) Decide(now float64, state *State, candidates []Candidate) (commands []Command) {
	holding := map[members.ID]int{}
	for _, lease := range state.Leases {
		if lease.Held() && !lease.Retired {
			holding[lease.Holder.ID]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		lease := state.Leases[name]
		if p, ok := m.pending[name]; ok && p.renewal == lease.Renewal && now < p.until {
			continue
		}
		if lease.Retired || lease.Held() && now < m.Until(name) {
			continue
		}
		if lease.Held() && m.unconfirmed[name] { // it never began: it is gone, or another incarnation than is known here
			m.backoffUntil[leaseMember{name, lease.Holder.ID}] = now + unconfirmedBackoff
		}
		to, ok := m.choose(now, lease, candidates, holding)
		if !ok {
			continue
		}
		holding[to.ID]++
		m.pending[name] = assignment{lease.Renewal, now + proposalTimeout}
		commands = append(commands, Command{Assign: &Assign{Name: name, Renewal: lease.Renewal, To: to}})
	}
	return commands
}

// choose finds the next holder of a free lease: the one that an operator named, if it is there within a time; else the one
// that holds fewest, and among equals by a draw that differs by lease, so that leases spread.
func (m *Manager) choose(now float64, lease *Lease, candidates []Candidate, holding map[members.ID]int) (Holder, bool) {
	if lease.Preferred != "" {
		for _, c := range candidates {
			if c.Holder.ID == lease.Preferred && c.Willing {
				return c.Holder, true
			}
		}
		if now < m.countedFrom(lease.Name)+min(preferredWait, m.terms.Lease) {
			return Holder{}, false
		}
	}
	best, found := Candidate{}, false
	for _, c := range candidates {
		expired := c.Holder == lease.Holder && lease.Held() // it did not renew in time: others are preferred
		if !c.Willing || expired && len(candidates) > 1 || now < m.backoffUntil[leaseMember{lease.Name, c.Holder.ID}] {
			continue
		}
		if !found || betterCandidate(lease.Name, c, best, holding) {
			best, found = c, true
		}
	}
	return best.Holder, found
}

// betterCandidate tells whether a is to get a lease rather than b.
func betterCandidate(name Name, a, b Candidate, holding map[members.ID]int) bool {
	if a.Slow != b.Slow {
		return b.Slow
	}
	if n := cmp.Compare(holding[a.Holder.ID], holding[b.Holder.ID]); n != 0 {
		return n < 0
	}
	return draw(name, a.Holder.ID) < draw(name, b.Holder.ID)
}

// hashMultiplier spreads the hash's low bits to its high ones (2^64 divided by the golden ratio).
const hashMultiplier = 0x9e3779b97f4a7c15

// draw is a number that is the same for the same lease and member.
func draw(name Name, id members.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return h.Sum64() * hashMultiplier
}
