package lease

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// Candidate is a controller that a lease can be assigned to.
type Candidate struct {
	Holder  Holder
	Avoid   bool // it is suspect, or leads the quorum: other candidates come first
	Willing bool // it accepts leases
}

// Manager decides on the leader which leases to assign, from when each was last renewed by the
// leader's clock. A controller creates a new one whenever it becomes leader. All leases then count
// as renewed at that time, as it does not know when the former leader saw them renewed. A Manager
// is not safe for concurrent use.
type Manager struct {
	timing       Timing
	startedAt    float64                 // ms
	renewedAt    map[Name]float64        // ms, when an applied command last changed or renewed it
	backoffUntil map[leaseMember]float64 // ms, before which a member does not get a lease
	pending      map[Name]assignment     // proposed and not committed yet
	unconfirmed  map[Name]bool           // assigned and not renewed yet
}

// leaseMember is a pair of a lease and a member.
type leaseMember struct {
	name Name
	id   members.ID
}

// assignment is an Assign that was proposed.
type assignment struct {
	revision uint64
	deadline float64 // ms, after which it is proposed again
}

// NewManager returns the manager of a controller that became leader at now, in ms.
func NewManager(t Timing, now float64) *Manager {
	return &Manager{
		timing:       t,
		startedAt:    now,
		renewedAt:    map[Name]float64{},
		backoffUntil: map[leaseMember]float64{},
		pending:      map[Name]assignment{},
		unconfirmed:  map[Name]bool{},
	}
}

// Applied handles a committed command and the leases that it changed or renewed.
func (m *Manager) Applied(now float64, c Command, changed []Name) {
	if c.StoreState != nil || c.LoadState != nil || c.Prefer != nil {
		return // these extend no lease: holder and leader count from renewals alone
	}
	for _, name := range changed {
		m.renewedAt[name] = now
		m.unconfirmed[name] = c.Assign != nil
		delete(m.pending, name)
	}
	if c.Declare != nil { // a holder that released a lease because it was retired is not shutting down
		isChanged := func(of leaseMember, _ float64) bool { return slices.Contains(changed, of.name) }
		maps.DeleteFunc(m.backoffUntil, isChanged)
	}
	if c.Release != nil && len(changed) > 0 {
		m.backOff(now, c.Release)
	}
}

// backOff keeps a lease for a time from the member that released it, which may be shutting down.
func (m *Manager) backOff(now float64, r *Release) {
	backoff := unconfirmedBackoff
	if r.Failed {
		backoff = failureBackoff
	}
	m.backoffUntil[leaseMember{r.Grant.Name, r.Holder.ID}] = now + backoff
}

// RecentlyRenewed reports whether a lease was renewed within two renew intervals. If not, its
// holder may not know of it or may have dropped it, and resumes it when it is offered again.
func (m *Manager) RecentlyRenewed(now float64, name Name) bool {
	at, ever := m.renewedAt[name]
	return ever && !m.unconfirmed[name] && now < at+2*m.timing.RenewInterval()
}

// Confirmed reports whether each of these grants has been renewed by its holder.
func (m *Manager) Confirmed(grants []Grant) bool {
	return !slices.ContainsFunc(grants, func(g Grant) bool {
		_, ever := m.renewedAt[g.Name]
		return !ever || m.unconfirmed[g.Name]
	})
}

// ReassignableAt returns the earliest time at which a lease may be assigned to another holder, in
// ms.
func (m *Manager) ReassignableAt(name Name) float64 {
	return m.lastRenewedAt(name) + m.timing.ReassignAfter()
}

// lastRenewedAt returns when the lease was last changed or renewed by this manager's clock, in ms;
// at the earliest when the manager was created.
func (m *Manager) lastRenewedAt(name Name) float64 { return max(m.startedAt, m.renewedAt[name]) }

// Next returns the latest time at which Decide has to be called, in ms.
func (m *Manager) Next(now float64, state *State) float64 {
	next := now + m.timing.Duration
	for name, lease := range state.Leases {
		if lease.Held() {
			next = min(next, max(now, m.ReassignableAt(name)))
		}
	}
	return next
}

// Decide returns the commands to propose now. A lease stays with its holder as long as the holder
// renews it: a better candidate gets the next lease that becomes free.
func (m *Manager) Decide(now float64, state *State, candidates []Candidate) (commands []Command) {
	holding := leasesByHolder(state)
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		lease := state.Leases[name]
		if !m.mayAssign(now, lease) {
			continue
		}
		// The holder never renewed: it is dead, or runs under another Run than the leader knew.
		if lease.Held() && m.unconfirmed[name] {
			m.backoffUntil[leaseMember{name, lease.Holder.ID}] = now + unconfirmedBackoff
		}
		to, ok := m.chooseHolder(now, lease, candidates, holding)
		if !ok {
			continue
		}
		holding[to.ID]++
		m.pending[name] = assignment{revision: lease.Revision, deadline: now + proposalTimeout}
		assign := &Assign{Name: name, Revision: lease.Revision, To: to}
		commands = append(commands, Command{Assign: assign})
	}
	return commands
}

// leasesByHolder counts the leases that each member holds, without retired ones.
func leasesByHolder(state *State) map[members.ID]int {
	holding := map[members.ID]int{}
	for _, lease := range state.Leases {
		if lease.Held() && !lease.Retired {
			holding[lease.Holder.ID]++
		}
	}
	return holding
}

// mayAssign reports whether a lease is free or has expired, and no assignment of it is pending.
func (m *Manager) mayAssign(now float64, lease *Lease) bool {
	pending, ok := m.pending[lease.Name]
	if ok && pending.revision == lease.Revision && now < pending.deadline {
		return false
	}
	return !lease.Retired && (!lease.Held() || now >= m.ReassignableAt(lease.Name))
}

// chooseHolder returns the next holder of a free lease: the member that an operator prefers, if it
// becomes a candidate within preferredWait, or else the candidate with the fewest leases. A hash
// that differs by lease breaks ties, so that leases spread over the candidates.
func (m *Manager) chooseHolder(
	now float64, lease *Lease, candidates []Candidate, holding map[members.ID]int,
) (holder Holder, found bool) {
	if lease.Preferred != "" {
		for _, c := range candidates {
			if c.Holder.ID == lease.Preferred && c.Willing {
				return c.Holder, true
			}
		}
		if now < m.lastRenewedAt(lease.Name)+min(preferredWait, m.timing.Duration) {
			return Holder{}, false
		}
	}
	var best Candidate
	for _, c := range candidates {
		// The former holder did not renew in time: any other candidate comes first.
		expired := c.Holder == lease.Holder && lease.Held()
		backingOff := now < m.backoffUntil[leaseMember{lease.Name, c.Holder.ID}]
		if !c.Willing || backingOff || expired && len(candidates) > 1 {
			continue
		}
		if !found || betterCandidate(lease.Name, c, best, holding) {
			best = c
			found = true
		}
	}
	return best.Holder, found
}

// betterCandidate reports whether a comes before b for a lease.
func betterCandidate(name Name, a, b Candidate, holding map[members.ID]int) bool {
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	if n := cmp.Compare(holding[a.Holder.ID], holding[b.Holder.ID]); n != 0 {
		return n < 0
	}
	return spreadHash(name, a.Holder.ID) < spreadHash(name, b.Holder.ID)
}

// hashMultiplier spreads the hash's low bits to its high ones (2^64 divided by the golden ratio).
const hashMultiplier = 0x9e3779b97f4a7c15

// spreadHash returns a hash that orders the members differently for each lease.
func spreadHash(name Name, id members.ID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(id))
	return h.Sum64() * hashMultiplier
}
