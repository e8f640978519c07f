package spread

import (
	"context"
	"fmt"

	"mintkeel/internal/lab/scale/slope"
)

const bytesName = "a day's mix"

// A day of the fleet, and the share of it that is played.
const (
	dayMS          = 24 * 3600 * 1000.0
	dayChanges     = 1000
	dayReplaced    = 260
	dayFailed      = 2
	playedShare    = 100.0 // one of so many parts of a day
	controlBytes   = 17000 // a second: the operators' budget for all that is for control
	replacedAfter  = 5000.0
	changesInPart  = dayChanges / playedShare
	replacedInPart = dayReplaced / playedShare
)

// dayCosts are bytes a second of one role, sent and received together.
type dayCosts struct {
	whole, config float64
}

// measureBytes plays a hundredth of a day's mix on fleets of several sizes: 10 changes, 3 replacements and one failure (a
// day has 2: a hundred times too many of these). The mix grows with the fleet, but for the changes.
func (o Options) measureBytes(ctx context.Context) ([]slope.Row, error) {
	sizes := o.sizes()
	costs := make([]map[string]dayCosts, len(sizes))
	errs := make([]error, len(sizes))
	o.each(len(sizes), func(i int) {
		costs[i], errs[i] = playDay(ctx, o.Seed, sizes[i], o.Quick)
		if o.Tell != nil {
			o.Tell("%s, %d controllers, seed %d: bytes a second: %+v; %v", bytesName, sizes[i], o.Seed, costs[i], errs[i])
		}
	})
	var rows []slope.Row
	for _, role := range []string{"controller", "voter", "leader"} {
		all := slope.Row{Role: role, Cost: "all of the fleet's talk: bytes sent and received", Unit: "bytes/s", Per: "controllers", Condition: bytesName,
			Method: "virtual time", Target: FleetSize, Budget: controlBytes,
			Note: "a hundredth of a day: 10 changes of 4 KiB, 3 replacements and 1 failure at 670; messages and 40 bytes each, no handshakes"}
		part := all
		part.Cost, part.Budget = "of which configuration", controlBytes
		for i, size := range sizes {
			if errs[i] == nil {
				all.Points = append(all.Points, slope.Point{Size: float64(size), Value: costs[i][role].whole})
				part.Points = append(part.Points, slope.Point{Size: float64(size), Value: costs[i][role].config})
			}
		}
		rows = append(rows, all, part)
	}
	for i, err := range errs {
		if err != nil {
			return rows, fmt.Errorf("a day's mix at %d: %w", sizes[i], err)
		}
	}
	return rows, nil
}

// playDay plays a part of a day, and tells what a second cost each role.
func playDay(ctx context.Context, seed int64, nodes int, quick bool) (map[string]dayCosts, error) {
	s, err := newSimulation(ctx, seed, nodes)
	if err != nil {
		return nil, err
	}
	long := dayMS / playedShare
	changes := int(changesInPart)
	if quick {
		long, changes = long/5, changes/5
	}
	s.world.CountTraffic()
	leader := s.world.Leader()
	replacements := max(1, int(replacedInPart*float64(nodes)/FleetSize+0.5))
	for range replacements {
		s.world.After(long*s.rng.Float64(), func() { s.world.Replace(Voters+s.rng.Intn(nodes-Voters), replacedAfter) })
	}
	s.world.After(long/2, func() { s.world.Restart(Voters+s.rng.Intn(nodes-Voters), 60000) })
	for range changes {
		s.put(s.rng.Intn(nodes))
		if err := s.run(ctx, long/float64(changes)); err != nil {
			return nil, err
		}
	}
	if s.world.Leader() != leader {
		return nil, fmt.Errorf("another leader than at the beginning")
	}
	return s.dayCosts(long/1000, leader), nil
}

// dayCosts are the means over the controllers of each role.
func (s *simulation) dayCosts(seconds float64, leader int) map[string]dayCosts {
	sums, counts := map[string]dayCosts{}, map[string]float64{}
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
		sums[role] = dayCosts{sum.whole / counts[role], sum.config / counts[role]}
	}
	return sums
}
