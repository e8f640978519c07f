package spread

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"mintkeel/internal/lab/scale/slope"
)

const dayName = "a day's mix"

// A day of the fleet, and the part of it that is simulated.
const (
	dayMS            = 24 * 3600 * 1000.0
	dayChanges       = 1000
	dayReplaced      = 260
	dayFailed        = 2
	partsOfDay       = 200.0 // a run simulates one of this many parts of a day
	controlBytes     = 17000 // per second: the operators' budget for all control traffic
	replacementDelay = 5000.0
	changesInPart    = dayChanges / partsOfDay
	replacedInPart   = dayReplaced / partsOfDay
)

// roleBytes are the bytes per second of one role, sent and received together.
type roleBytes struct {
	whole, config float64
}

// day is a part of a day's mix on a fleet of one size, with its costs by role.
type day struct {
	nodes int
	costs map[string]roleBytes
	err   error
}

// days returns the days to simulate, the largest fleet first, or none if they are not selected.
func (o Options) days() (days []*day) {
	if o.selected(dayName) {
		for _, size := range slices.Backward(o.sizes()) {
			days = append(days, &day{nodes: size})
		}
	}
	return days
}

// logDay logs the costs of a part of a day.
func (o Options) logDay(d *day) {
	if o.Logf != nil {
		o.Logf("%s, %d controllers, seed %d: bytes per second sent and received, in total and of the configuration: %+v; error %v", dayName, d.nodes, o.Seed, d.costs, d.err)
	}
}

// dayRows returns the rows of the bytes by role in a two-hundredth of a day: 5 changes, one replacement at 670 controllers,
// and one failure. As a day has only two failures, that is a hundred times too many.
func dayRows(days []*day) (rows []slope.Row, err error) {
	for _, role := range []string{"controller", "voter", "leader"} {
		all := slope.Row{Role: role, Cost: "all of the fleet's talk: bytes sent and received", Unit: "bytes/s", Per: "controllers", Condition: dayName,
			Method: "virtual time", Target: FleetSize, Budget: controlBytes,
			Note: "a two-hundredth of a day: 5 changes of 4 KiB, 1 replacement and 1 failure at 670; messages and 40 bytes each, no handshakes"}
		part := all
		part.Cost = "of which configuration"
		for _, d := range slices.Backward(days) {
			if d.err == nil {
				all.Points = append(all.Points, slope.Point{Size: float64(d.nodes), Value: d.costs[role].whole})
				part.Points = append(part.Points, slope.Point{Size: float64(d.nodes), Value: d.costs[role].config})
			}
		}
		if len(all.Points) > 0 {
			rows = append(rows, all, part)
		}
	}
	for _, d := range days {
		if d.err != nil {
			err = errors.Join(err, fmt.Errorf("a day's mix at %d: %w", d.nodes, d.err))
		}
	}
	return rows, err
}

// playDay simulates a part of a day, and returns the bytes per second of each role.
func playDay(ctx context.Context, seed int64, nodes int, quick bool) (map[string]roleBytes, error) {
	s, err := newSimulation(ctx, seed, nodes)
	if err != nil {
		return nil, err
	}
	duration := dayMS / partsOfDay
	changes := int(changesInPart)
	if quick {
		duration, changes = duration/5, changes/5
	}
	s.world.CountTraffic()
	leader := s.world.Leader()
	replacements := max(1, int(replacedInPart*float64(nodes)/FleetSize+0.5))
	for range replacements {
		s.world.After(duration*s.rng.Float64(), func() { s.world.Replace(Voters+s.rng.Intn(nodes-Voters), replacementDelay) })
	}
	s.world.After(duration/2, func() { s.world.Restart(Voters+s.rng.Intn(nodes-Voters), 60000) })
	for range changes {
		s.put(s.rng.Intn(nodes))
		if err := s.run(ctx, duration/float64(changes)); err != nil {
			return nil, err
		}
	}
	if s.world.Leader() != leader {
		return nil, fmt.Errorf("the leader changed during the simulated part of the day")
	}
	return s.dayCosts(duration/1000, leader), nil
}

// dayCosts returns the means over the controllers of each role.
func (s *simulation) dayCosts(seconds float64, leader int) map[string]roleBytes {
	sums, counts := map[string]roleBytes{}, map[string]float64{}
	for machine := range s.nodes {
		role := "controller"
		switch {
		case machine == leader:
			role = "leader"
		case machine < Voters:
			role = "voter"
		}
		t := s.world.Traffic(machine)
		sum := sums[role]
		sum.whole += (t.Sent + t.Received) / seconds
		sum.config += (t.ConfigSent + t.ConfigReceived) / seconds
		sums[role] = sum
		counts[role]++
	}
	for role, sum := range sums {
		sums[role] = roleBytes{sum.whole / counts[role], sum.config / counts[role]}
	}
	return sums
}
