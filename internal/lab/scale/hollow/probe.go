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

// probe is the job that looks at the fleet from within a controller.
type probe struct {
	mu          sync.Mutex
	expect      int                   // members alive for which it waits; 0: it does not
	alive       int                   // members seen alive at the last look
	knownAt     time.Time             // when there were as many
	awaitedRuns map[members.ID]uint64 // members that are to be seen in another run than this, for knownAt; 0: the run to be noted
	lost        members.ID
	goneAt      time.Time // when the lost member was no longer taken to be alive or suspect
	lookAt      float64
	held        map[lease.Name]lease.Token
	grants      []Grant
}

// Grant is a lease that a controller came to hold.
type Grant struct {
	Lease lease.Name  `json:"lease"`
	Token lease.Token `json:"token"`
	At    time.Time   `json:"at"`
}

const (
	pollInterval = 250.0 // ms between two looks at the members while something is awaited
	maxGrants    = 1000
)

// Began notes a lease that this controller holds from now on.
func (p *probe) Began(_ job.Context, grant lease.Grant) {
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

// Ended notes that a lease is held no more.
func (p *probe) Ended(grant lease.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[grant.Name] == grant.Token {
		delete(p.held, grant.Name)
	}
}

// Tick looks at the members while something is awaited.
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

// awaitMembers has the probe note when it sees so many members alive.
func (p *probe) awaitMembers(expect int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect, p.knownAt, p.awaitedRuns = expect, time.Time{}, nil
}

// awaitRestarts has the probe note when it sees so many members alive, and some of them in another run than now.
func (p *probe) awaitRestarts(expect int, of []members.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expect, p.knownAt, p.awaitedRuns = expect, time.Time{}, map[members.ID]uint64{}
	for _, id := range of {
		p.awaitedRuns[id] = 0
	}
}

// awaitLoss has the probe note when it knows that a member is gone.
func (p *probe) awaitLoss(of members.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost, p.goneAt = of, time.Time{}
}

// View is what a controller has seen of the fleet.
type View struct {
	Number  int          `json:"number"`
	KnownAt time.Time    `json:"known_at"` // zero: not yet
	Alive   int          `json:"alive"`    // members seen alive at the last look while something was awaited
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

// VerdictReceived does nothing.
func (p *probe) VerdictReceived(node.EffectResponse) {}

// MessageReceived leaves messages to other jobs.
func (p *probe) MessageReceived(job.Context, members.ID, []byte) bool { return false }

// StateReceived does nothing.
func (p *probe) StateReceived(job.Context, node.Checkpoint) {}

// Close does nothing.
func (p *probe) Close() {}
