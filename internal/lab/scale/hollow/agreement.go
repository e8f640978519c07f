package hollow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mintkeel/internal/fleet/sharedstatistics"
	"mintkeel/internal/lab/scale/slope"
)

// smallFleetSize is the number of controllers of the fleets in which leases and the digest are measured.
const smallFleetSize = 10

// agreement measures the resource usage of the quorum's leader by the numbers of leases and of voters.
func (m *measurement) agreement(ctx context.Context) ([]slope.Row, error) {
	type point struct{ leases, voters int }
	points := []point{{1, usualVoters}, {4, usualVoters}, {16, usualVoters}, {64, usualVoters}, {16, 1}, {16, 3}, {16, 7}}
	spent := make([]ResourceUsage, len(points))
	err := forEachCase(m, numberRange(0, len(points)), func(i int) (err error) {
		spent[i], err = m.measureLeader(ctx, Spec{Controllers: smallFleetSize, Voters: points[i].voters, Leases: points[i].leases})
		if err != nil {
			return fmt.Errorf("%d leases and %d voters: %w", points[i].leases, points[i].voters, err)
		}
		m.Logf("%d leases and %d voters: the leader uses %.4f cores and %.0f bytes/s", points[i].leases, points[i].voters,
			spent[i].Processor, spent[i].Sent+spent[i].Received)
		return nil
	})
	condition := fmt.Sprintf("at rest, %d controllers", smallFleetSize)
	byLeases := slope.Row{Role: "quorum leader", Per: "leases", Condition: fmt.Sprintf("%s, %d voters", condition, usualVoters),
		Method: "sockets", Target: targetLeases}
	byVoters := slope.Row{Role: "quorum leader", Per: "voters", Condition: condition + ", 16 leases", Method: "sockets", Target: targetVoters}
	var rows []slope.Row
	for _, row := range []slope.Row{byLeases, byVoters} {
		bytes, cores := row, row
		bytes.Cost, bytes.Unit = "agreement: bytes sent and received", "bytes/s"
		cores.Cost, cores.Unit = "agreement: processor", "cores"
		for i, p := range points {
			size := float64(p.leases)
			if row.Per == "voters" {
				size = float64(p.voters)
			}
			if spent[i].Sent == 0 || row.Per == "voters" && p.leases != 16 || row.Per == "leases" && p.voters != usualVoters {
				continue
			}
			bytes.Points = append(bytes.Points, slope.Point{Size: size, Value: spent[i].Sent + spent[i].Received})
			cores.Points = append(cores.Points, slope.Point{Size: size, Value: spent[i].Processor})
		}
		slices.SortFunc(bytes.Points, bySize)
		slices.SortFunc(cores.Points, bySize)
		rows = append(rows, bytes, cores)
	}
	return rows, err
}

func bySize(a, b slope.Point) int { return int(a.Size - b.Size) }

// measureLeader measures the resource usage of a fleet's leader while all leases are held.
func (m *measurement) measureLeader(ctx context.Context, s Spec) (ResourceUsage, error) {
	f, err := m.open(ctx, s)
	if err != nil {
		return ResourceUsage{}, err
	}
	defer f.Close()
	if err := f.Start(numberRange(0, s.Controllers), s.Controllers); err != nil {
		return ResourceUsage{}, err
	}
	for _, name := range s.leases() {
		if _, _, err := f.AwaitHolder(ctx, knownTimeout, name, 0); err != nil {
			return ResourceUsage{}, err
		}
	}
	if err := sleep(ctx, m.settle); err != nil {
		return ResourceUsage{}, err
	}
	leader, interval, err := m.measureWithOneLeader(ctx, f, s.Voters)
	return interval.Mean(leader), err
}

// digestCase is one size of the statistics digest.
type digestCase struct{ engines, tableGroups int }

// digest measures the cost of the statistics digest for its holder, voters and other controllers, by the numbers of engines
// and of table groups.
func (m *measurement) digest(ctx context.Context) ([]slope.Row, error) {
	const manyGroups, manyEngines = 1000, 300
	cases := []digestCase{{10, manyGroups}, {100, manyGroups}, {300, manyGroups}, {targetEngines, manyGroups},
		{manyEngines, 10}, {manyEngines, 100}, {manyEngines, 3000}}
	spent := make([]digestUsage, len(cases))
	err := forEachCase(m, numberRange(0, len(cases)), func(i int) (err error) {
		spent[i], err = m.measureDigestCase(ctx, cases[i])
		if err != nil {
			return fmt.Errorf("digest of %d engines and %d table groups: %w", cases[i].engines, cases[i].tableGroups, err)
		}
		m.Logf("digest of %d engines and %d table groups: %+.3f", cases[i].engines, cases[i].tableGroups, spent[i])
		return nil
	})
	var rows []slope.Row
	for _, per := range []string{"engines", "table groups"} {
		for _, role := range []struct {
			name string
			of   func(digestUsage) ResourceUsage
		}{
			{"lease holder", func(s digestUsage) ResourceUsage { return s.holder }},
			{"voter", func(s digestUsage) ResourceUsage { return s.voter }},
			{"controller", func(s digestUsage) ResourceUsage { return s.controller }},
		} {
			row := slope.Row{Role: role.name, Per: per, Method: "sockets", Target: targetEngines, Condition: fmt.Sprintf("%d table groups", manyGroups)}
			if per == "table groups" {
				row.Target, row.Condition = 3000, fmt.Sprintf("%d engines", manyEngines)
			}
			bytes, cores := row, row
			bytes.Cost, bytes.Unit, bytes.Budget = "digest: bytes sent and received", "bytes/s", budgetBytes
			bytes.Note = fmt.Sprintf("with membership of %d controllers and %d voters", smallFleetSize, usualVoters)
			cores.Cost, cores.Unit, cores.Budget = "digest: processor", "cores", budgetCores
			cores.Note = fmt.Sprintf("%s; the statistics of %d controllers are merged, of up to 64 in a large fleet", bytes.Note, smallFleetSize)
			if role.name == "controller" {
				bytes.Note += "; each is asked four times in nine rounds here, and far less often in a large fleet"
			}
			for i, c := range cases {
				size, counts := float64(c.engines), c.tableGroups == manyGroups
				if per == "table groups" {
					size, counts = float64(c.tableGroups), c.engines == manyEngines
				}
				if s := role.of(spent[i]); counts && s.Sent > 0 {
					bytes.Points = append(bytes.Points, slope.Point{Size: size, Value: s.Sent + s.Received})
					cores.Points = append(cores.Points, slope.Point{Size: size, Value: s.Processor})
				}
			}
			slices.SortFunc(bytes.Points, bySize)
			slices.SortFunc(cores.Points, bySize)
			rows = append(rows, bytes, cores)
		}
	}
	return rows, err
}

// digestUsage is the resource usage of the digest's holder, of voters that do not hold it, and of other controllers.
type digestUsage struct{ holder, voter, controller ResourceUsage }

func (m *measurement) measureDigestCase(ctx context.Context, c digestCase) (digestUsage, error) {
	s := Spec{Controllers: smallFleetSize, Voters: usualVoters, OneHolder: true, Digest: true, Engines: c.engines, TableGroups: c.tableGroups}
	f, err := m.open(ctx, s)
	if err != nil {
		return digestUsage{}, err
	}
	defer f.Close()
	if err := f.Start(numberRange(0, s.Controllers), s.Controllers); err != nil {
		return digestUsage{}, err
	}
	holder, _, err := f.AwaitHolder(ctx, knownTimeout, sharedstatistics.Lease, 0)
	if err != nil {
		return digestUsage{}, err
	}
	if _, err := f.AwaitAllKnown(ctx, knownTimeout); err != nil {
		return digestUsage{}, err
	}
	const round = 5 * time.Second // interval at which the holder gathers statistics and publishes the digest
	rounds := time.Duration(2)
	if !m.Quick {
		rounds = 4
	}
	if err := sleep(ctx, round); err != nil {
		return digestUsage{}, err
	}
	interval, err := m.measureInterval(ctx, f, rounds*round)
	if err != nil {
		return digestUsage{}, err
	}
	others := func(from, to int) []int {
		return slices.DeleteFunc(numberRange(from, to), func(n int) bool { return n == holder })
	}
	return digestUsage{interval.Mean(holder), interval.Mean(others(0, s.Voters)...), interval.Mean(others(s.Voters, s.Controllers)...)}, nil
}
