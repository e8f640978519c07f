// Package spread measures in virtual time how long a version of the configuration takes from the operator's put until it
// is in force at the last controller of a fleet, at rest and while parts of the system break, and what the configuration
// costs a controller, a voter and the leader in bytes. The controllers are the real cores with all their parts; the
// network, disks and the application of a version are drawn.
package spread

import (
	"context"
	"fmt"
	"math/rand"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/lab/fleet"
)

// The fleet that is built for, and what is assumed of its network.
const (
	FleetSize      = 670
	Voters         = 7
	Regions        = 3
	ZoneSize       = 67
	withinRegion   = 1.0  // ms one way at least, up to 1 ms more
	betweenRegions = 80.0 // ms one way at least
	Bound          = 19000.0
	changeBytes    = 4096
)

// Region is where a controller is; the voters are spread over all of them.
func Region(machine int) int { return machine % Regions }

// latency is what a message takes at least.
func latency(from, to int) float64 {
	if Region(from) == Region(to) {
		return withinRegion
	}
	return betweenRegions
}

// reach is when a controller had a version, and from when it could have it.
type reach struct {
	at     float64
	number uint64
}

// simulation is a fleet with what came into force where and when.
type simulation struct {
	world   *fleet.World
	rng     *rand.Rand
	nodes   int
	reached [][]reach
	base    []float64 // since when a controller can be reached: its last start, or the last heal
	changes []change
	times   spreadTimes
}

// change is one put.
type change struct {
	at     float64
	agreed float64 // when its operator was told; 0: it was not
	number uint64
	result config.Result
}

// newSimulation starts a fleet and lets it find itself.
func newSimulation(ctx context.Context, seed int64, nodes int) (*simulation, error) {
	voters := min(Voters, nodes)
	plan := fleet.Plan{Seed: seed, Nodes: nodes, Voters: voters, Lease: 10000, Membership: members.DefaultConfig(), Config: true, Latency: latency, Direct: true}
	s := &simulation{world: fleet.NewWorld(plan), rng: rand.New(rand.NewSource(seed*31 + 7)), nodes: nodes,
		reached: make([][]reach, nodes), base: make([]float64, nodes)}
	s.world.Observe(func(machine int, number uint64, started bool) {
		if started {
			s.base[machine] = s.world.Now()
		}
		s.reached[machine] = append(s.reached[machine], reach{s.world.Now(), number})
	})
	if err := s.run(ctx, 15000+15*float64(nodes)); err != nil {
		return nil, err
	}
	return s, nil
}

// run plays for some ms.
func (s *simulation) run(ctx context.Context, long float64) error {
	const step = 250.0
	end := s.world.Now() + long
	for s.world.Now() < end {
		if err := ctx.Err(); err != nil {
			return err
		}
		s.world.Run(min(end, s.world.Now()+step))
	}
	if broken := s.world.Configuration().Broken; broken != "" {
		return fmt.Errorf("the fleet's configuration is broken: %s", broken)
	}
	return nil
}

// put proposes a version at a controller, or at the next one that runs.
func (s *simulation) put(machine int) {
	for !s.world.Runs(machine) {
		machine = (machine + 1) % s.nodes
	}
	s.changes = append(s.changes, change{at: s.world.Now()})
	i := len(s.changes) - 1
	s.world.PutDocument(machine, changeBytes, func(o config.ProposalResult) {
		s.changes[i].result = o.Result
		if o.Result == config.Committed {
			s.changes[i].agreed, s.changes[i].number = s.world.Now(), o.Version.Number
		}
	})
}

// lags are the times that a change took, in ms: until it was in force at the last of the controllers that nothing
// happened to, counted from the put; and at the last of those that restarted or were cut off, counted from their start
// or heal. below 0: there were none. Missed is how many had not got it.
type lags struct {
	others    float64
	disturbed float64
	missed    int
}

// lagsOf looks at a change when enough time has gone since.
func (s *simulation) lagsOf(c change) lags {
	l := lags{others: -1, disturbed: -1}
	for machine := range s.nodes {
		from := max(c.at, s.base[machine])
		at, ok := s.reachedAt(machine, c.number, from)
		switch {
		case !ok:
			l.missed++
		case s.base[machine] > c.at:
			l.disturbed = max(l.disturbed, at-from)
		default:
			l.others = max(l.others, at-from)
		}
	}
	return l
}

// reachedAt is when a controller had a version, or a later one, in force at or after a time.
func (s *simulation) reachedAt(machine int, number uint64, from float64) (float64, bool) {
	last := reach{}
	for _, r := range s.reached[machine] {
		if r.at > from && r.number >= number {
			if last.number >= number {
				return from, true // it had it before
			}
			return r.at, true
		}
		last = r
	}
	return from, last.number >= number
}
