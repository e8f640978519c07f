package spread

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/lab/scale/slope"
)

// Options say how much is measured.
type Options struct {
	Quick   bool                             // small fleets and few changes
	Seeds   int                              // histories of each condition; 0: five
	Seed    int64                            // of the first
	Changes int                              // of each history; 0: forty
	Workers int                              // histories at a time; 0: two
	Only    []string                         // names of conditions; none: all
	Largest bool                             // fleets of the largest size alone
	Tell    func(format string, args ...any) // is told of each history; nil: nobody
}

// condition is what happens while versions spread.
type condition struct {
	name string
	play func(ctx context.Context, s *simulation, changes int) error
}

// conditions are all, in the order of the rows.
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

// Times between two changes, in ms. A change that takes longer is looked at to its end all the same.
const (
	apart        = 3500.0
	apartLoss    = 5000.0
	apartZone    = 9000.0
	apartLeader  = 16000.0 // a proposal that is not answered is given up after 15 s
	apartRegion  = 7400.0
	cutFor       = 300000.0
	changesOfCut = 40
	lastWait     = 20000.0 // after the last change
)

// atRest puts one change after another.
func atRest(ctx context.Context, s *simulation, changes int) error {
	return s.putEach(ctx, changes, apart)
}

// underLoss does so while a tenth of all messages is lost.
func underLoss(ctx context.Context, s *simulation, changes int) error {
	s.world.DropMessages(0.1, 1e12)
	if err := s.run(ctx, lastWait); err != nil {
		return err
	}
	return s.putEach(ctx, changes, apartLoss)
}

// putEach puts changes at controllers drawn, with some time between them.
func (s *simulation) putEach(ctx context.Context, changes int, between float64) error {
	for range changes {
		s.put(s.rng.Intn(s.nodes))
		if err := s.run(ctx, between*(0.9+0.2*s.rng.Float64())); err != nil {
			return err
		}
	}
	return s.run(ctx, lastWait)
}

// zoneRestarts has a tenth of the fleet, of one region, restart while a change spreads: each of them ends within 500 ms
// of the put, and is back after 2 to 8 s.
func zoneRestarts(ctx context.Context, s *simulation, changes int) error {
	zone := max(1, s.nodes*ZoneSize/FleetSize)
	for i := range changes {
		region, first := i%Regions, (i/Regions)%(FleetSize/ZoneSize/Regions)*zone*Regions
		s.put(s.outside(region))
		for j := range zone {
			machine := (first + j*Regions + region) % s.nodes
			after := 2000 + 6000*s.rng.Float64()
			s.world.After(500*s.rng.Float64(), func() { s.world.Restart(machine, after) })
		}
		if err := s.run(ctx, apartZone); err != nil {
			return err
		}
	}
	return s.run(ctx, lastWait)
}

// leaderKilled ends the leader when it sees that a change is agreed on, before it tells anybody.
func leaderKilled(ctx context.Context, s *simulation, changes int) error {
	for range changes {
		leader := s.world.Leader()
		s.world.KillLeaderAt(s.world.Configuration().Newest().Number+1, 5000)
		origin := s.rng.Intn(s.nodes)
		if origin == leader {
			origin = (origin + 1) % s.nodes
		}
		s.put(origin)
		if err := s.run(ctx, apartLeader); err != nil {
			return err
		}
	}
	return s.run(ctx, lastWait)
}

// regionCutOff cuts a third of the fleet off for five minutes, in which forty changes are agreed on, again and again.
func regionCutOff(ctx context.Context, s *simulation, changes int) error {
	for i := 0; i < changes; i += changesOfCut {
		region := 1 + i/changesOfCut%(Regions-1)
		heal := s.cutOff(region)
		for range min(changesOfCut, changes-i) {
			if err := s.run(ctx, apartRegion); err != nil {
				return err
			}
			s.put(s.outside(region))
		}
		if err := s.run(ctx, heal-s.world.Now()+lastWait); err != nil {
			return err
		}
		s.settle()
	}
	return nil
}

// cutOff cuts a region off, and returns when that heals.
func (s *simulation) cutOff(region int) (heal float64) {
	inside := func(machine int) bool { return Region(machine) == region }
	s.world.CutOff(inside, cutFor)
	heal = s.world.Now() + cutFor
	for machine := range s.nodes {
		if inside(machine) {
			s.base[machine] = heal
		}
	}
	return heal
}

// outside draws a controller that is not of a region.
func (s *simulation) outside(region int) int {
	for {
		if machine := s.rng.Intn(s.nodes); Region(machine) != region {
			return machine
		}
	}
}

// burst puts a change each second.
func burst(ctx context.Context, s *simulation, changes int) error {
	for range changes {
		s.put(s.rng.Intn(s.nodes))
		if err := s.run(ctx, 1000); err != nil {
			return err
		}
	}
	return s.run(ctx, lastWait)
}

// spreadTimes are the times of all changes of a condition.
type spreadTimes struct {
	Changes    int // put
	Agreed     int
	Lost       int // to another change, as told
	Unanswered int
	Missed     int       // controllers at which an agreed change was not in force at the end, over all changes
	Others     []float64 // ms from put to in force at the last controller that nothing happened to
	Disturbed  []float64 // ms from start or heal to in force at the last of the others
	AgreeAfter []float64 // ms from put to its operator's being told
}

func (t *spreadTimes) add(o spreadTimes) {
	t.Changes += o.Changes
	t.Agreed += o.Agreed
	t.Lost += o.Lost
	t.Unanswered += o.Unanswered
	t.Missed += o.Missed
	t.Others = append(t.Others, o.Others...)
	t.Disturbed = append(t.Disturbed, o.Disturbed...)
	t.AgreeAfter = append(t.AgreeAfter, o.AgreeAfter...)
}

// settle looks at the changes so far, while it is known what happened to whom.
func (s *simulation) settle() {
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
		l := s.lagsOf(c)
		s.times.Missed += l.missed
		if l.others >= 0 {
			s.times.Others = append(s.times.Others, l.others)
		}
		if l.disturbed >= 0 {
			s.times.Disturbed = append(s.times.Disturbed, l.disturbed)
		}
		s.times.AgreeAfter = append(s.times.AgreeAfter, c.agreed-c.at)
	}
	s.changes = nil
}

// play plays a condition on one fleet.
func play(ctx context.Context, c condition, seed int64, nodes, changes int) (spreadTimes, error) {
	s, err := newSimulation(ctx, seed, nodes)
	if err != nil {
		return spreadTimes{}, err
	}
	if err := c.play(ctx, s, changes); err != nil {
		return spreadTimes{}, err
	}
	s.settle()
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

// Measure measures all conditions, and what the configuration costs in bytes.
func Measure(ctx context.Context, o Options) ([]slope.Row, error) {
	o = o.withDefaults()
	jobs := o.jobs()
	days := o.days()
	o.each(len(days)+len(jobs), func(i int) {
		if i < len(days) {
			days[i].costs, days[i].err = playDay(ctx, o.Seed, days[i].nodes, o.Quick)
			o.tellDay(days[i])
			return
		}
		j := jobs[i-len(days)]
		j.times, j.err = play(ctx, j.condition, j.seed, j.nodes, j.changes)
		o.tell(j)
	})
	var rows []slope.Row
	for _, c := range conditions() {
		if o.chosen(c.name) {
			rows = append(rows, rowsOf(c, jobs)...)
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

// tell tells of a history.
func (o Options) tell(j *job) {
	if o.Tell != nil {
		o.Tell("%s, %d controllers, seed %d: %d of %d changes agreed, %d lost, %d not answered, %d missing; put to last %s; start or heal to last %s; put to agreed %s; %v",
			j.condition.name, j.nodes, j.seed, j.times.Agreed, j.times.Changes, j.times.Lost, j.times.Unanswered, j.times.Missed, summary(j.times.Others),
			summary(j.times.Disturbed), summary(j.times.AgreeAfter), j.err)
	}
}

// summary is a text of times in ms.
func summary(values []float64) string {
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

// chosen tells whether a condition is to be measured.
func (o Options) chosen(name string) bool { return len(o.Only) == 0 || slices.Contains(o.Only, name) }

// sizes are the fleets that are measured; the last one by all seeds and with all changes.
func (o Options) sizes() []int {
	switch {
	case o.Quick:
		return []int{20, 40, 80, 160}
	case o.Largest:
		return []int{FleetSize}
	}
	return []int{85, 170, 335, FleetSize}
}

// jobs are all histories, the longest first.
func (o Options) jobs() (jobs []*job) {
	sizes := o.sizes()
	for i := len(sizes) - 1; i >= 0; i-- {
		for _, c := range conditions() {
			if !o.chosen(c.name) {
				continue
			}
			seeds, changes := o.Seeds, o.Changes
			if i < len(sizes)-1 {
				seeds, changes = 1, max(4, o.Changes/2)
			}
			if c.name == burstName {
				changes = changes * 3 / 2 // sixty of forty
			}
			for seed := range seeds {
				jobs = append(jobs, &job{condition: c, nodes: sizes[i], changes: changes, seed: o.Seed + int64(seed)})
			}
		}
	}
	return jobs
}

// each does something of all numbers below n, some at a time.
func (o Options) each(n int, do func(i int)) {
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

// rowsOf are a condition's rows: what of each size the median, the 99th of a hundred and the most took.
func rowsOf(c condition, jobs []*job) []slope.Row {
	bySize := map[int]*spreadTimes{}
	for _, j := range jobs {
		if j.condition.name == c.name && j.err == nil {
			if bySize[j.nodes] == nil {
				bySize[j.nodes] = &spreadTimes{}
			}
			bySize[j.nodes].add(j.times)
		}
	}
	rows := quantileRows("configuration: put to in force at the last", c.name, bySize, func(t *spreadTimes) []float64 { return t.Others })
	return append(rows, quantileRows("configuration: start or heal to in force at the last", c.name, bySize,
		func(t *spreadTimes) []float64 { return t.Disturbed })...)
}

func quantileRows(cost, condition string, bySize map[int]*spreadTimes, of func(*spreadTimes) []float64) (rows []slope.Row) {
	for _, q := range []struct {
		name  string
		share float64
	}{{"median", 0.5}, {"99th percentile", 0.99}, {"most", 1}} {
		row := slope.Row{Role: "controller", Cost: cost + ", " + q.name, Unit: "ms", Per: "controllers", Condition: condition, Method: "virtual time",
			Target: FleetSize, Budget: Bound, Log: true}
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

// quantile is the least value that so large a share of all does not pass.
func quantile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
