package hollow

import (
	"slices"
	"sync"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/job"
)

// probe is a job that observes the fleet from within a controller.
type probe struct {
	mu          sync.Mutex
	expect      int                   // number of members alive that is awaited; 0: none
	alive       int                   // members seen alive at the last poll
	knownAt     time.Time             // when the awaited members were first seen
	awaitedRuns map[members.ID]uint64 // by member: the run to be succeeded by a later one before knownAt is set; 0: to be recorded at the next poll
	lost        members.ID
	goneAt      time.Time // when the lost member was first seen neither alive nor suspect
	lookAt      float64
	held        map[lease.Name]lease.Token
	grants      []Grant
}

// Grant is a lease that a controller has acquired.
type Grant struct {
	Lease lease.Name  `json:"lease"`
	Token lease.Token `json:"token"`
	At    time.Time   `json:"at"`
}

const (
	pollInterval = 250.0 // ms between two polls of the members while something is awaited
	maxGrants    = 1000
)

// LeaseAcquired records a lease that this controller now holds.
func (p *probe) LeaseAcquired(_ job.Context, grant lease.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = map[lease.Name]lease.Token{}
	}
	p.held[grant.Name] = grant.Token
	if len(p.grants) < maxGrants {
		p.grants = append(p.grants, Grant{grant.Name, grant.Token, time.Now()})
	}
}

// LeaseLost records that a lease is no longer held.
func (p *probe) LeaseLost(grant lease.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[grant.Name] == grant.Token {
		delete(p.held, grant.Name)
	}
}

// Tick polls the members while something is awaited.
func (p *probe) Tick(h job.Context, now float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := p.expect > 0 && p.knownAt.IsZero() || p.lost != "" && p.goneAt.IsZero()
	if !waiting || now < p.lookAt {
		return
	}
	p.lookAt = now + pollInterval
	alive, old, lostLives := 0, 0, false
	for _, m := range h.Members() {
		if m.State == members.Alive {
			alive++
		}
		if run, awaited := p.awaitedRuns[m.ID]; awaited && run == 0 {
			p.awaitedRuns[m.ID] = m.Run
			old++
		} else if awaited && run == m.Run {
			old++
		}
		lostLives = lostLives || m.ID == p.lost && m.State <= members.Suspect
	}
	p.alive = alive
	if p.expect > 0 && p.knownAt.IsZero() && alive >= p.expect && old == 0 {
		p.knownAt = time.Now()
	}
	if p.lost != "" && p.goneAt.IsZero() && !lostLives {
		p.goneAt = time.Now()
	}
}

// awaitMembers makes the probe record when it sees the expected number of members alive.
func (p *probe) awaitMembers(expect int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect, p.knownAt, p.awaitedRuns = expect, time.Time{}, nil
}

// awaitRestarts makes the probe record when it sees the expected number of members alive, and the given ones in another run
// than now.
func (p *probe) awaitRestarts(expect int, of []members.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect, p.knownAt, p.awaitedRuns = expect, time.Time{}, map[members.ID]uint64{}
	for _, id := range of {
		p.awaitedRuns[id] = 0
	}
}

// awaitLoss makes the probe record when it knows that a member is gone.
func (p *probe) awaitLoss(of members.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost, p.goneAt = of, time.Time{}
}

// View is what a controller has seen of the fleet.
type View struct {
	Number  int          `json:"number"`
	KnownAt time.Time    `json:"known_at"` // zero: not yet
	Alive   int          `json:"alive"`    // members seen alive at the last poll while something was awaited
	GoneAt  time.Time    `json:"gone_at"`  // zero: not yet
	Holds   []lease.Name `json:"holds,omitempty"`
	Grants  []Grant      `json:"grants,omitempty"`
	Applied []Applied    `json:"applied,omitempty"`
}

func (p *probe) view(number int) View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := View{Number: number, KnownAt: p.knownAt, Alive: p.alive, GoneAt: p.goneAt, Grants: slices.Clone(p.grants)}
	for held := range p.held {
		v.Holds = append(v.Holds, held)
	}
	slices.Sort(v.Holds)
	return v
}

// EffectReceived does nothing.
func (p *probe) EffectReceived(job.Context, members.ID, node.Effect) {}

// EffectResponseReceived does nothing.
func (p *probe) EffectResponseReceived(node.EffectResponse) {}

// MessageReceived leaves messages to other jobs.
func (p *probe) MessageReceived(job.Context, members.ID, []byte) bool { return false }

// StateReceived does nothing.
func (p *probe) StateReceived(job.Context, node.Checkpoint) {}

// Close does nothing.
func (p *probe) Close() {}
