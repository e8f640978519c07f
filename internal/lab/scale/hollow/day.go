package hollow

import (
	"cmp"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/slope"
)

// The events of a day, according to the operators, and the parameters of their measurement.
const (
	changesPerDay      = 1000
	replacementsPerDay = 260
	failuresPerDay     = 2

	dayDocumentBytes = 4 << 10 // bytes
	dayVoters        = 7
	dayWindow        = 10 * time.Minute
	dayDaemons       = 10
	downTime         = 30 * time.Second // for which a failed controller is down
	cutTime          = 5 * time.Minute  // for which a region is cut off
	regionInterval   = 3                // a region is every regionInterval-th controller
	cutPuts          = 3
	bytesPerMiB      = 1 << 20
)

// day sets how much of a day is measured.
type day struct {
	window  time.Duration
	daemons int
	cut     time.Duration
	down    time.Duration
}

// MeasureDay measures the control cost of controllers during a part of a day's mix of changes, replacements and failures,
// with real daemons among the hollow controllers. It also measures how long a version takes until it is in force at all
// other controllers while a region is cut off, and at the region's controllers after the heal.
func MeasureDay(ctx context.Context, o Options) ([]slope.Row, error) {
	m := o.measurement()
	d := day{window: dayWindow, daemons: dayDaemons, cut: cutTime, down: downTime}
	if m.Sizes = o.Sizes; m.Sizes == nil {
		m.Sizes = []int{67, targetControllers}
	}
	if o.Quick {
		d = day{window: 10 * time.Second, daemons: 2, cut: 8 * time.Second, down: 3 * time.Second}
		if o.Sizes == nil {
			m.Sizes = []int{20, 30}
		}
	}
	return m.day(ctx, d)
}

func (m *measurement) day(ctx context.Context, d day) ([]slope.Row, error) {
	errs := make([]error, len(m.Sizes))
	var group sync.WaitGroup
	for i, size := range m.Sizes {
		group.Go(func() {
			if err := m.measureDay(ctx, size, d); err != nil {
				errs[i] = fmt.Errorf("%d controllers: %w", size, err)
			}
		})
	}
	group.Wait()
	var rows []slope.Row
	for _, r := range dayRows(d) {
		r.row.Points, r.row.Per, r.row.Method, r.row.Target = m.points(r.figure), "controllers", "sockets", targetControllers
		if len(r.row.Points) > 0 {
			rows = append(rows, r.row)
		}
	}
	return rows, errors.Join(append(errs, m.timeouts...)...)
}

// measureDay measures a fleet of one size.
func (m *measurement) measureDay(ctx context.Context, size int, d day) error {
	voters := min(dayVoters, size-d.daemons-2) | 1
	hollow := size - d.daemons
	f, err := m.open(ctx, Spec{Controllers: hollow, Voters: voters, Leases: leasesAtRest, Configured: true})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(numberRange(0, hollow), size); err != nil {
		return err
	}
	daemons, err := f.startDaemons(ctx, d.daemons, m.Seed)
	if err != nil {
		return err
	}
	defer daemons.close()
	if _, err := f.AwaitAllKnown(ctx, knownTimeout); err != nil && !m.recordTimeout(size, err) {
		return err
	}
	if err := sleep(ctx, m.settle); err != nil {
		return err
	}
	run := &dayRun{measurement: m, fleet: f, daemons: daemons, size: size, hollow: hollow, voters: voters, day: d,
		rng: rand.New(rand.NewSource(m.Seed + int64(size)))}
	if err := run.runMix(ctx); err != nil {
		return err
	}
	daemons.close()
	return run.cutRegion(ctx)
}

// dayRun is the measurement of one fleet.
type dayRun struct {
	*measurement
	fleet    *Fleet
	daemons  *daemons
	size     int // of the fleet, with daemons
	hollow   int
	voters   int
	day      day
	rng      *rand.Rand
	putTimes []time.Duration // times from the put of a version until it was in force at all controllers
}

// plannedEvent is one event of the mix, at a time since the start of the window.
type plannedEvent struct {
	at time.Duration
	do func(context.Context) error
}

// runMix runs a part of a day's mix and records the resource usage of the controllers.
func (r *dayRun) runMix(ctx context.Context) error {
	leader, _, err := r.fleet.AwaitLeader(ctx, leaderTimeout, r.voters)
	if err != nil {
		return err
	}
	before, err := r.fleet.Samples()
	if err != nil {
		return err
	}
	spentBefore, err := r.daemons.usage()
	if err != nil {
		return err
	}
	began := time.Now()
	for _, h := range r.plan() {
		if err := sleep(ctx, h.at-time.Since(began)); err != nil {
			return err
		}
		if err := h.do(ctx); err != nil {
			return err
		}
	}
	if err := sleep(ctx, r.day.window-time.Since(began)); err != nil {
		return err
	}
	after, err := r.fleet.Samples()
	if err != nil {
		return err
	}
	spentAfter, err := r.daemons.usage()
	if err != nil {
		return err
	}
	r.recordMix(Interval{r.fleet.layout(), before, after}, leader)
	r.recordDaemons(spentBefore, spentAfter, time.Since(began))
	r.recordPuts(r.size, "mix", r.putTimes)
	return nil
}

// plan returns the events of the window in order: at least one of each kind, spread evenly.
func (r *dayRun) plan() (plan []plannedEvent) {
	const hoursOfDay = 24
	share := r.day.window.Hours() / hoursOfDay
	for _, kind := range []struct {
		perDay float64
		do     func(context.Context) error
	}{
		{changesPerDay, r.put},
		{replacementsPerDay, r.replace},
		{failuresPerDay, r.crash},
	} {
		count := int(math.Ceil(kind.perDay * share))
		for i := range count {
			at := (float64(i) + 0.2 + 0.6*r.rng.Float64()) / float64(count)
			plan = append(plan, plannedEvent{time.Duration(at * float64(r.day.window)), kind.do})
		}
	}
	slices.SortFunc(plan, func(a, b plannedEvent) int { return cmp.Compare(a.at, b.at) })
	return plan
}

// put proposes a document at a voter, and records when it is in force at all controllers, including the daemons.
func (r *dayRun) put(ctx context.Context) error {
	began := time.Now()
	version, err := r.fleet.Put(r.rng.Intn(r.voters), r.document())
	if err != nil {
		return err
	}
	last, err := r.fleet.AwaitInForce(ctx, knownTimeout, version)
	if err == nil {
		err = r.daemons.awaitInForce(ctx, knownTimeout, version)
	}
	if err != nil && r.recordTimeout(r.size, err) {
		return nil
	}
	if err != nil {
		return err
	}
	if now := time.Now(); last.Before(now) && len(r.daemons.processes) > 0 {
		last = now // daemons are polled after the hollow controllers
	}
	r.putTimes = append(r.putTimes, last.Sub(began))
	return nil
}

// document returns a configuration that daemons accept, padded with a comment of random bytes.
func (r *dayRun) document() []byte {
	const head = "log {\n level = \"info\"\n}\n# "
	data := make([]byte, (dayDocumentBytes-len(head))/2)
	r.rng.Read(data)
	return []byte(head + hex.EncodeToString(data) + "\n")
}

// replace stops an ordinary controller and starts it again at once.
func (r *dayRun) replace(_ context.Context) error {
	number := r.drawOrdinary()
	if err := r.fleet.Stop([]int{number}); err != nil {
		return err
	}
	return r.fleet.Start([]int{number}, r.size)
}

// crash stops an ordinary controller and starts it again after the down time.
func (r *dayRun) crash(ctx context.Context) error {
	number := r.drawOrdinary()
	if err := r.fleet.Stop([]int{number}); err != nil {
		return err
	}
	if err := sleep(ctx, r.day.down); err != nil {
		return err
	}
	return r.fleet.Start([]int{number}, r.size)
}

// drawOrdinary draws a controller that shares its process with others.
func (r *dayRun) drawOrdinary() int { return r.voters + 1 + r.rng.Intn(r.hollow-r.voters-1) }

func (r *dayRun) recordMix(v Interval, leader int) {
	followers := slices.DeleteFunc(numberRange(0, r.voters), func(n int) bool { return n == leader })
	r.recordUsage(r.size, "mix/leader", v.Mean(leader))
	r.recordUsage(r.size, "mix/voter", v.Mean(followers...))
	r.recordUsage(r.size, "mix/controller", v.Mean(r.voters))
	r.recordUsage(r.size, "mix/packed", v.Mean(numberRange(r.voters+1, r.hollow)...))
	r.Logf("%d controllers, a day's mix: controller %+.4g, leader %+.4g", r.size, v.Mean(r.voters), v.Mean(leader))
}

func (r *dayRun) recordDaemons(before, after []daemonUsage, duration time.Duration) {
	cores, memory := 0.0, 0.0
	for i := range before {
		cores = max(cores, (after[i].processor-before[i].processor)/duration.Seconds())
		memory = max(memory, after[i].resident*bytesPerMiB/bytesPerMB)
	}
	if len(before) > 0 {
		r.record(r.size, "mix/daemon/cores", cores)
		r.record(r.size, "mix/daemon/resident", memory)
		r.Logf("%d controllers, a day's mix: of %d daemons, at most %.4f cores and %.1f MB", r.size, len(before), cores, memory)
	}
}

// recordPuts records the median and the longest time until versions were in force.
func (m *measurement) recordPuts(size int, figure string, took []time.Duration) {
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	median, longest := took[len(took)/2], took[len(took)-1]
	m.record(size, figure+"/put/median", milliseconds(median))
	m.record(size, figure+"/put/longest", milliseconds(longest))
	m.Logf("%d controllers, %s: %d versions in force at the last controller after a median of %v, at most %v", size, figure, len(took),
		median.Round(time.Millisecond), longest.Round(time.Millisecond))
}

// cutRegion cuts off a region with a minority of the voters and puts versions meanwhile. It records how long they take until
// they are in force outside the region, and how long after the heal the newest one takes until it is in force inside.
func (r *dayRun) cutRegion(ctx context.Context) error {
	region, rest := r.regions()
	if err := r.fleet.Cut(region); err != nil {
		return err
	}
	began := time.Now()
	votersOfRest := slices.DeleteFunc(slices.Clone(rest), func(n int) bool { return n >= r.voters })
	if _, _, err := r.fleet.awaitLeaderAmong(ctx, leaderTimeout, votersOfRest, len(votersOfRest)); err != nil {
		return err
	}
	var newest uint64
	var took []time.Duration
	for i := range cutPuts {
		if err := sleep(ctx, r.day.cut*time.Duration(i+1)/(cutPuts+1)-time.Since(began)); err != nil {
			return err
		}
		put := time.Now()
		version, err := r.fleet.Put(rest[0], r.document())
		if err != nil {
			return err
		}
		last, err := r.fleet.awaitInForceAt(ctx, knownTimeout, version, rest)
		if err != nil {
			return err
		}
		newest, took = version, append(took, last.Sub(put))
	}
	r.recordPuts(r.size, "cut", took)
	if err := sleep(ctx, r.day.cut-time.Since(began)); err != nil {
		return err
	}
	healed := time.Now() // before Heal, which takes a while: the first controllers may be up to date before it returns
	if err := r.fleet.Heal(); err != nil {
		return err
	}
	last, err := r.fleet.AwaitInForce(ctx, knownTimeout, newest)
	if err != nil {
		return err
	}
	r.record(r.size, "heal/put/longest", milliseconds(last.Sub(healed)))
	r.Logf("%d controllers: the region of %d had the newest version %v after its heal", r.size, len(region),
		last.Sub(healed).Round(time.Millisecond))
	return nil
}

// regions returns the hollow controllers inside a region, every third one including voters, and those outside.
func (r *dayRun) regions() (inside, outside []int) {
	for number := range r.hollow {
		if number%regionInterval == regionInterval-1 {
			inside = append(inside, number)
		} else {
			outside = append(outside, number)
		}
	}
	return inside, outside
}

// dayRows returns the rows of a day's mix, without their points.
func dayRows(d day) (rows []sizeRow) {
	mix := fmt.Sprintf("a day's mix for %v", d.window)
	cut := fmt.Sprintf("a region cut off for %v", d.cut)
	for _, role := range []struct{ figure, name, note string }{
		{"controller", "controller", "alone in its process"},
		{"voter", "voter", "one that follows, alone in its process"},
		{"leader", "quorum leader", "alone in its process; the one that led at the beginning"},
	} {
		figure := "mix/" + role.figure
		rows = append(rows,
			sizeRow{figure + "/bytes", slope.Row{Role: role.name, Cost: "control: bytes sent and received", Unit: "bytes/s", Condition: mix,
				Budget: budgetBytes, Note: role.note}},
			sizeRow{figure + "/cores", slope.Row{Role: role.name, Cost: "control: processor", Unit: "cores", Condition: mix,
				Budget: budgetCores, Note: role.note}},
			sizeRow{figure + "/memory", slope.Row{Role: role.name, Cost: "control: private memory", Unit: "MB", Condition: mix,
				Budget: budgetMB, Note: role.note}})
	}
	rows = append(rows,
		sizeRow{"mix/packed/bytes", slope.Row{Role: "controller", Cost: "control: bytes sent and received, mean of many", Unit: "bytes/s",
			Condition: mix, Budget: budgetBytes}},
		sizeRow{"mix/daemon/cores", slope.Row{Role: "daemon", Cost: "processor without clients", Unit: "cores", Condition: mix,
			Budget: budgetCores, Note: "the most of the daemons"}},
		sizeRow{"mix/daemon/resident", slope.Row{Role: "daemon", Cost: "resident memory without clients", Unit: "MB", Condition: mix,
			Budget: budgetMB, Note: "the most of the daemons; with the program's pages"}})
	for _, when := range []struct{ figure, condition, note string }{
		{"mix", mix, "daemons among them, which are looked at each 50 ms"},
		{"cut", cut, "the rest; connections are closed, new ones hang"},
		{"heal", cut + ", then healed", "the region, from its heal"},
	} {
		for _, which := range []string{"median", "longest"} {
			rows = append(rows, sizeRow{when.figure + "/put/" + which, slope.Row{Role: "fleet",
				Cost: "configuration: from put to in force at the last, " + which, Unit: "ms", Log: true, Budget: budgetInForce,
				Condition: when.condition, Note: when.note}})
		}
	}
	return rows
}
