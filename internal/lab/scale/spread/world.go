// Package spread measures in virtual time how long a version of the configuration takes from the operator's put until it
// is in force at the last controller of a fleet, at rest and under faults, and how many bytes the configuration costs a
// controller, a voter and the leader. The controllers run the real cores with all their parts; the network, the disks and
// the application of a version are simulated with random delays.
package spread

import (
	"context"
	"fmt"
	"math/rand"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/lab/fleet"
)

// The target fleet, and the assumptions about its network.
const (
	FleetSize      = 670
	Voters         = 7
	Regions        = 3
	ZoneSize       = 67
	withinRegion   = 1.0  // least one-way latency in ms; up to 1 ms is added
	betweenRegions = 80.0 // least one-way latency in ms; up to 1 ms is added
	TimeBudget     = 19000.0
	changeBytes    = 4096
)

// Region returns the region of a controller. The voters are spread over all regions.
func Region(machine int) int { return machine % Regions }

// latency returns the least latency of a message in ms.
func latency(from, to int) float64 {
	if Region(from) == Region(to) {
		return withinRegion
	}
	return betweenRegions
}

// versionChange is a time from which a controller had a version in force.
type versionChange struct {
	at     float64
	number uint64
}

// simulation is a fleet with the times at which versions came into force at its controllers.
type simulation struct {
	world          *fleet.World
	rng            *rand.Rand
	nodes          int
	inForce        [][]versionChange
	reachableSince []float64 // ms, since when a controller can be reached: its last start, or the last heal
	changes        []change
	times          spreadTimes
}

// change is one put of a document.
type change struct {
	at     float64
	agreed float64 // ms, of the reply to the operator; 0: none that it was agreed on
	number uint64
	result config.Result
}

// newSimulation starts a fleet and runs it until its members should know each other.
func newSimulation(ctx context.Context, seed int64, nodes int) (*simulation, error) {
	voters := min(Voters, nodes)
	plan := fleet.Plan{Seed: seed, Nodes: nodes, Voters: voters, Lease: 10000, Membership: members.DefaultConfig(), Config: true, Latency: latency, Direct: true}
	s := &simulation{world: fleet.NewWorld(plan), rng: rand.New(rand.NewSource(seed*31 + 7)), nodes: nodes,
		inForce: make([][]versionChange, nodes), reachableSince: make([]float64, nodes)}
	s.world.Observe(func(machine int, number uint64, started bool) {
		if started {
			s.reachableSince[machine] = s.world.Now()
		}
		s.inForce[machine] = append(s.inForce[machine], versionChange{s.world.Now(), number})
	})
	if err := s.run(ctx, 15000+15*float64(nodes)); err != nil {
		return nil, err
	}
	return s, nil
}

// run runs the simulation for some ms.
func (s *simulation) run(ctx context.Context, duration float64) error {
	const step = 250.0
	end := s.world.Now() + duration
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

// put puts a document at a controller or, if it does not run, at the next one that does.
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

// lags are the times in ms that a change took: until it was in force at the last controller that was not disturbed, counted
// from the put; and at the last of those that restarted or were cut off, counted from their start or heal. A value below 0
// means that there were no such controllers. missed counts the controllers at which it was not in force.
type lags struct {
	undisturbed float64
	disturbed   float64
	missed      int
}

// measureLags measures the lags of a change. It is called when enough time has passed since the put.
func (s *simulation) measureLags(c change) lags {
	l := lags{undisturbed: -1, disturbed: -1}
	for machine := range s.nodes {
		from := max(c.at, s.reachableSince[machine])
		at, ok := s.inForceAt(machine, c.number, from)
		switch {
		case !ok:
			l.missed++
		case s.reachableSince[machine] > c.at:
			l.disturbed = max(l.disturbed, at-from)
		default:
			l.undisturbed = max(l.undisturbed, at-from)
		}
	}
	return l
}

// inForceAt returns the first time, not before from, at which a controller had a version or a later one in force.
func (s *simulation) inForceAt(machine int, number uint64, from float64) (float64, bool) {
	last := versionChange{}
	for _, r := range s.inForce[machine] {
		if r.at > from && r.number >= number {
			if last.number >= number {
				return from, true // the version was in force before
			}
			return r.at, true
		}
		last = r
	}
	return from, last.number >= number
}
