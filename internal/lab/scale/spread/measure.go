package spread

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/lab/scale/slope"
)

// Options configure the measurement.
type Options struct {
	Quick   bool                             // small fleets and few changes
	Seeds   int                              // histories of each condition; 0: five
	Seed    int64                            // of the first history
	Changes int                              // of each history; 0: forty
	Workers int                              // histories that run at a time; 0: two
	Only    []string                         // names of conditions; empty: all
	Largest bool                             // measure only the largest fleet size
	Logf    func(format string, args ...any) // logs each history; nil: no log
}

// condition is the disturbance while versions spread.
type condition struct {
	name string
	play func(ctx context.Context, s *simulation, changes int) error
}

// conditions returns all conditions in the order of the rows.
func conditions() []condition {
	return []condition{
		{"at rest", atRest},
		{"10% loss", underLoss},
		{"leader killed", leaderKilled},
		{"region cut off", regionCutOff},
		{"zone restarts", zoneRestarts},
		{burstName, burst},
	}
}

const burstName = "60 changes in 60 s"

// Times in ms, mainly between two changes. A change that takes longer is still measured to its end.
const (
	changeInterval       = 3500.0
	lossChangeInterval   = 5000.0
	zoneChangeInterval   = 9000.0
	leaderChangeInterval = 16000.0 // more than the 15 s after which an unanswered proposal is given up
	regionChangeInterval = 7400.0
	cutTime              = 300000.0
	changesPerCut        = 40
	finalWait            = 20000.0 // after the last change
)

// atRest puts one change after another without a disturbance.
func atRest(ctx context.Context, s *simulation, changes int) error {
	return s.putChanges(ctx, changes, changeInterval)
}

// underLoss puts one change after another while a tenth of all messages is lost.
func underLoss(ctx context.Context, s *simulation, changes int) error {
	s.world.DropMessages(0.1, 1e12)
	if err := s.run(ctx, finalWait); err != nil {
		return err
	}
	return s.putChanges(ctx, changes, lossChangeInterval)
}

// putChanges puts changes at randomly drawn controllers, with a mean time of between ms between them.
func (s *simulation) putChanges(ctx context.Context, changes int, between float64) error {
	for range changes {
		s.put(s.rng.Intn(s.nodes))
		if err := s.run(ctx, between*(0.9+0.2*s.rng.Float64())); err != nil {
			return err
		}
	}
	return s.run(ctx, finalWait)
}

// zoneRestarts restarts a tenth of the fleet, all in one region, while a change spreads. Each of these controllers stops
// within 500 ms of the put and is back after 2 to 8 s.
func zoneRestarts(ctx context.Context, s *simulation, changes int) error {
	zone := max(1, s.nodes*ZoneSize/FleetSize)
	for i := range changes {
		region, first := i%Regions, (i/Regions)%(FleetSize/ZoneSize/Regions)*zone*Regions
		s.put(s.drawOutside(region))
		for j := range zone {
			machine := (first + j*Regions + region) % s.nodes
			after := 2000 + 6000*s.rng.Float64()
			s.world.After(500*s.rng.Float64(), func() { s.world.Restart(machine, after) })
		}
		if err := s.run(ctx, zoneChangeInterval); err != nil {
			return err
		}
	}
	return s.run(ctx, finalWait)
}

// leaderKilled kills the leader when it learns that a change is agreed on, before it informs any other controller.
func leaderKilled(ctx context.Context, s *simulation, changes int) error {
	for range changes {
		leader := s.world.Leader()
		s.world.KillLeaderAt(s.world.Configuration().Newest().Number+1, 5000)
		origin := s.rng.Intn(s.nodes)
		if origin == leader {
			origin = (origin + 1) % s.nodes
		}
		s.put(origin)
		if err := s.run(ctx, leaderChangeInterval); err != nil {
			return err
		}
	}
	return s.run(ctx, finalWait)
}

// regionCutOff repeatedly cuts off a third of the fleet for five minutes, in which up to forty changes are put.
func regionCutOff(ctx context.Context, s *simulation, changes int) error {
	for i := 0; i < changes; i += changesPerCut {
		region := 1 + i/changesPerCut%(Regions-1)
		heal := s.cutOff(region)
		for range min(changesPerCut, changes-i) {
			if err := s.run(ctx, regionChangeInterval); err != nil {
				return err
			}
			s.put(s.drawOutside(region))
		}
		if err := s.run(ctx, heal-s.world.Now()+finalWait); err != nil {
			return err
		}
		s.recordTimes()
	}
	return nil
}

// cutOff cuts off a region, and returns the time of the heal.
func (s *simulation) cutOff(region int) (heal float64) {
	inside := func(machine int) bool { return Region(machine) == region }
	s.world.CutOff(inside, cutTime)
	heal = s.world.Now() + cutTime
	for machine := range s.nodes {
		if inside(machine) {
			s.reachableSince[machine] = heal
		}
	}
	return heal
}

// drawOutside draws a controller outside a region.
func (s *simulation) drawOutside(region int) int {
	for {
		if machine := s.rng.Intn(s.nodes); Region(machine) != region {
			return machine
		}
	}
}

// burst puts a change every second.
func burst(ctx context.Context, s *simulation, changes int) error {
	for range changes {
		s.put(s.rng.Intn(s.nodes))
		if err := s.run(ctx, 1000); err != nil {
			return err
		}
	}
	return s.run(ctx, finalWait)
}

// spreadTimes are the counts and times of all changes of a condition.
type spreadTimes struct {
	Changes     int // put
	Agreed      int
	Lost        int // to another change, as reported to the operator
	Unanswered  int
	Missed      int       // controllers without an agreed change in force at the end, summed over all changes
	Undisturbed []float64 // ms from put to in force at the last controller that was not disturbed
	Disturbed   []float64 // ms from start or heal to in force at the last controller that restarted or was cut off
	ToAgreed    []float64 // ms from put to the reply to the operator
}

func (t *spreadTimes) add(o spreadTimes) {
	t.Changes += o.Changes
	t.Agreed += o.Agreed
	t.Lost += o.Lost
	t.Unanswered += o.Unanswered
	t.Missed += o.Missed
	t.Undisturbed = append(t.Undisturbed, o.Undisturbed...)
	t.Disturbed = append(t.Disturbed, o.Disturbed...)
	t.ToAgreed = append(t.ToAgreed, o.ToAgreed...)
}

// recordTimes records the results of the changes so far, while reachableSince still tells which controllers were disturbed.
func (s *simulation) recordTimes() {
	for _, c := range s.changes {
		s.times.Changes++
		switch c.result {
		case config.Committed:
		case config.Conflict:
			s.times.Lost++
			continue
		default:
			s.times.Unanswered++
			continue
		}
		s.times.Agreed++
		l := s.measureLags(c)
		s.times.Missed += l.missed
		if l.undisturbed >= 0 {
			s.times.Undisturbed = append(s.times.Undisturbed, l.undisturbed)
		}
		if l.disturbed >= 0 {
			s.times.Disturbed = append(s.times.Disturbed, l.disturbed)
		}
		s.times.ToAgreed = append(s.times.ToAgreed, c.agreed-c.at)
	}
	s.changes = nil
}

// play runs a condition on one fleet.
func play(ctx context.Context, c condition, seed int64, nodes, changes int) (spreadTimes, error) {
	s, err := newSimulation(ctx, seed, nodes)
	if err != nil {
		return spreadTimes{}, err
	}
	if err := c.play(ctx, s, changes); err != nil {
		return spreadTimes{}, err
	}
	s.recordTimes()
	return s.times, nil
}

// job is one history.
type job struct {
	condition condition
	nodes     int
	changes   int
	seed      int64
	times     spreadTimes
	err       error
}

// Measure measures the spread under all conditions, and the bytes that the configuration costs.
func Measure(ctx context.Context, o Options) ([]slope.Row, error) {
	o = o.withDefaults()
	jobs := o.jobs()
	days := o.days()
	o.runAll(len(days)+len(jobs), func(i int) {
		if i < len(days) {
			days[i].costs, days[i].err = playDay(ctx, o.Seed, days[i].nodes, o.Quick)
			o.logDay(days[i])
			return
		}
		j := jobs[i-len(days)]
		j.times, j.err = play(ctx, j.condition, j.seed, j.nodes, j.changes)
		o.logJob(j)
	})
	var rows []slope.Row
	for _, c := range conditions() {
		if o.selected(c.name) {
			rows = append(rows, conditionRows(c, jobs)...)
		}
	}
	for _, j := range jobs {
		if j.err != nil {
			return rows, fmt.Errorf("%s, seed %d, %d controllers: %w", j.condition.name, j.seed, j.nodes, j.err)
		}
	}
	costs, err := dayRows(days)
	return append(rows, costs...), err
}

// logJob logs the result of a history.
func (o Options) logJob(j *job) {
	if o.Logf != nil {
		o.Logf("%s, %d controllers, seed %d: %d of %d changes agreed, %d lost, %d not answered, %d missing; put to last %s; start or heal to last %s; put to agreed %s; %v",
			j.condition.name, j.nodes, j.seed, j.times.Agreed, j.times.Changes, j.times.Lost, j.times.Unanswered, j.times.Missed, summarize(j.times.Undisturbed),
			summarize(j.times.Disturbed), summarize(j.times.ToAgreed), j.err)
	}
}

// summarize formats the median, the 99th percentile and the maximum of times in ms.
func summarize(values []float64) string {
	if len(values) == 0 {
		return "none"
	}
	return fmt.Sprintf("median %.0f, 99th %.0f, most %.0f of %d", quantile(values, 0.5), quantile(values, 0.99), quantile(values, 1), len(values))
}

func (o Options) withDefaults() Options {
	if o.Seeds == 0 {
		o.Seeds = 5
	}
	if o.Changes == 0 {
		o.Changes = 40
	}
	if o.Workers == 0 {
		o.Workers = 2
	}
	if o.Quick {
		o.Seeds, o.Changes = 1, 4
	}
	return o
}

// selected reports whether a condition is to be measured.
func (o Options) selected(name string) bool { return len(o.Only) == 0 || slices.Contains(o.Only, name) }

// sizes returns the fleet sizes to measure. The last one is measured with all seeds and all changes.
func (o Options) sizes() []int {
	switch {
	case o.Quick:
		return []int{20, 40, 80, 160}
	case o.Largest:
		return []int{FleetSize}
	}
	return []int{85, 170, 335, FleetSize}
}

// jobs returns all histories, those of the largest fleet first.
func (o Options) jobs() (jobs []*job) {
	sizes := o.sizes()
	for i := len(sizes) - 1; i >= 0; i-- {
		for _, c := range conditions() {
			if !o.selected(c.name) {
				continue
			}
			seeds, changes := o.Seeds, o.Changes
			if i < len(sizes)-1 {
				seeds, changes = 1, max(4, o.Changes/2)
			}
			if c.name == burstName {
				changes = changes * 3 / 2 // sixty by default, with forty changes otherwise
			}
			for seed := range seeds {
				jobs = append(jobs, &job{condition: c, nodes: sizes[i], changes: changes, seed: o.Seed + int64(seed)})
			}
		}
	}
	return jobs
}

// runAll calls a function with each number below n, Workers calls at a time.
func (o Options) runAll(n int, do func(i int)) {
	next := make(chan int)
	var group sync.WaitGroup
	for range o.Workers {
		group.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	group.Wait()
}

// conditionRows returns the rows of a condition: the median, the 99th percentile and the maximum of the times at each size.
func conditionRows(c condition, jobs []*job) []slope.Row {
	bySize := map[int]*spreadTimes{}
	for _, j := range jobs {
		if j.condition.name == c.name && j.err == nil {
			if bySize[j.nodes] == nil {
				bySize[j.nodes] = &spreadTimes{}
			}
			bySize[j.nodes].add(j.times)
		}
	}
	rows := quantileRows("configuration: put to in force at the last", c.name, bySize, func(t *spreadTimes) []float64 { return t.Undisturbed })
	return append(rows, quantileRows("configuration: start or heal to in force at the last", c.name, bySize,
		func(t *spreadTimes) []float64 { return t.Disturbed })...)
}

func quantileRows(cost, condition string, bySize map[int]*spreadTimes, of func(*spreadTimes) []float64) (rows []slope.Row) {
	for _, q := range []struct {
		name  string
		share float64
	}{{"median", 0.5}, {"99th percentile", 0.99}, {"most", 1}} {
		row := slope.Row{Role: "controller", Cost: cost + ", " + q.name, Unit: "ms", Per: "controllers", Condition: condition, Method: "virtual time",
			Target: FleetSize, Budget: TimeBudget, Log: true}
		for _, size := range sortedSizes(bySize) {
			t := bySize[size]
			if values := of(t); len(values) > 0 {
				row.Points = append(row.Points, slope.Point{Size: float64(size), Value: quantile(values, q.share)})
				row.Note = fmt.Sprintf("largest: %d of %d changes agreed, %d lost, %d looked at; missing at the end: %d", t.Agreed, t.Changes, t.Lost, len(values), t.Missed)
			}
		}
		if len(row.Points) > 0 {
			rows = append(rows, row)
		}
	}
	return rows
}

func sortedSizes(bySize map[int]*spreadTimes) (sizes []int) {
	for size := range bySize {
		sizes = append(sizes, size)
	}
	slices.Sort(sizes)
	return sizes
}

// quantile returns the value at the given share of the sorted values.
func quantile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
