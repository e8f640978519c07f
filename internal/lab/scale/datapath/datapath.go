// Package datapath measures what serving clients costs one controller, and how that grows: statements, connections,
// reconnects, the list of engines, talk with engines that is no traffic, the decision module's step, and what queries
// in flight see of an engine that is replaced. A real daemon, as a process of its own, serves emulated clients before
// emulated engines on loopback.
package datapath

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
)

// Options say what is measured, and how.
type Options struct {
	Quick    bool
	Seed     int64
	Only     string // names of sections, parted by commas; empty or the package's own name: all
	Mintkeel string // path of the daemon; empty: it is built from this module
}

// What the fleet is built for, as a controller sees it.
const (
	controllers       = 670
	engineCount       = 1100
	statementRate     = 1642 // a second at each controller
	zoneGoneRate      = 1823
	regionGoneRate    = 2463
	clientCount       = 8507 // connections at each controller
	zoneGoneClients   = 9443
	regionGoneClients = 12760
	reconnectBurst    = 4250 // that come to a controller as those of a region leave it
	regions           = 3
	bytesBudget       = 17000 // a second, for control
	replacementBudget = 5000  // ms until a change of primary is over
)

// Words of the rows.
const (
	controllerRole  = "controller"
	methodSockets   = "sockets"
	methodBenchmark = "benchmark"
	methodComputed  = "computed"
)

// plan is how much is measured.
type plan struct {
	settle, window time.Duration // before and while a cost is taken
	parallel       int           // daemons that are measured side by side, where only what each takes itself is counted

	rates       []float64 // statements a second
	rateEngines int
	engines     []int // at engineRate
	engineRate  float64

	connections    []int
	connectionRate float64       // statements a second meanwhile
	busy           []int         // connections with an open query each,
	busyWork       time.Duration // on which an engine works so long

	gaps       []int // clients that ask at random
	gapsSettle time.Duration
	gapsWindow time.Duration

	reconnects []int

	listed      []int // engines
	listRepeats int

	peers         []int         // engines that are talked with
	peersSettle   time.Duration // under load, until connections to engines stand
	peersWindow   time.Duration
	peersParallel int // of them side by side

	probed []int // engines that are probed, and are not

	stepEngines []int
	stepsWithin time.Duration

	replacedRates   []float64
	replacedRepeats int
	replacedBefore  time.Duration // under load, before the engine goes
	replacedAfter   time.Duration // and after the list told
	hangReportDelay time.Duration // until the list tells of one that hangs
}

func fullPlan() plan {
	return plan{
		settle: 2 * time.Second, window: 5 * time.Second, parallel: 1,
		rates:       []float64{250, 500, 1000, statementRate, zoneGoneRate, regionGoneRate},
		rateEngines: engineCount,
		engines:     []int{10, 100, 300, engineCount}, engineRate: statementRate,
		connections: []int{500, 1000, 2000, 4000, clientCount, zoneGoneClients, regionGoneClients}, connectionRate: 400,
		busy: []int{125, 250, 500, 1000}, busyWork: 3500 * time.Millisecond,
		gaps: []int{100, 200, 400, 800}, gapsSettle: 6 * time.Second, gapsWindow: 15 * time.Second,
		reconnects: []int{500, 1000, 2000, reconnectBurst, 8500},
		listed:     []int{10, 100, 300, engineCount}, listRepeats: 50,
		peers: []int{5, 10, 20, 40, 300, engineCount}, peersSettle: 5 * time.Second, peersWindow: 10 * time.Second, peersParallel: 3,
		probed:      []int{100, 300, 600, engineCount},
		stepEngines: []int{10, 100, 300, engineCount}, stepsWithin: 2 * time.Second,
		replacedRates: []float64{200, 400, 800, statementRate}, replacedRepeats: 3,
		replacedBefore: 700 * time.Millisecond, replacedAfter: 1500 * time.Millisecond, hangReportDelay: 2 * time.Second,
	}
}

func quickPlan() plan {
	return plan{
		settle: 200 * time.Millisecond, window: 500 * time.Millisecond, parallel: 4,
		rates:       []float64{250, 500, 750, 1000},
		rateEngines: 50,
		engines:     []int{5, 10, 50, 100}, engineRate: 500,
		connections: []int{100, 200, 400, 800}, connectionRate: 100,
		busy: []int{50, 100, 200, 400}, busyWork: 400 * time.Millisecond,
		reconnects: []int{100, 200, 400, 800},
		listed:     []int{10, 100, 300, engineCount}, listRepeats: 5,
		peers: []int{20, 100, 300, engineCount}, peersSettle: 3 * time.Second, peersWindow: time.Second, peersParallel: 4,
		stepEngines: []int{10, 100, 300, engineCount}, stepsWithin: 30 * time.Millisecond,
		replacedRates: []float64{200, 300, 400, 500}, replacedRepeats: 1,
		replacedBefore: 300 * time.Millisecond, replacedAfter: 500 * time.Millisecond, hangReportDelay: 800 * time.Millisecond,
	}
}

// bench is a run of the measurements.
type bench struct {
	plan
	seed     int64
	mintkeel string
	dir      string
}

type section struct {
	name    string
	measure func(*bench, context.Context) ([]slope.Row, error)
}

var sections = []section{
	{"discovery", (*bench).discovery},
	{"decision", (*bench).decision},
	{"statements", (*bench).statements},
	{"connections", (*bench).connectionRows},
	{"gaps", (*bench).gapRows},
	{"reconnects", (*bench).reconnectRows},
	{"talk", (*bench).talk},
	{"probes", (*bench).probes},
	{"replacement", (*bench).replacement},
}

// Measure takes the rows of one controller's data path, section by section; what was measured before an error is
// returned with it.
func Measure(ctx context.Context, o Options) ([]slope.Row, error) {
	p := fullPlan()
	if o.Quick {
		p = quickPlan()
	}
	return measure(ctx, o, p)
}

func measure(ctx context.Context, o Options, p plan) (rows []slope.Row, err error) {
	chosen := choose(o.Only)
	if len(chosen) == 0 {
		return nil, nil
	}
	b := &bench{plan: p, seed: o.Seed, mintkeel: o.Mintkeel}
	if b.dir, err = os.MkdirTemp("", "datapath"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(b.dir)
	if b.mintkeel == "" {
		if b.mintkeel, err = daemon.Build(ctx, b.dir); err != nil {
			return nil, err
		}
	}
	for _, s := range chosen {
		more, err := s.measure(b, ctx)
		rows = append(rows, more...)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return rows, ctx.Err()
}

// choose lists the sections that are asked for; none where only other packages' rows are.
func choose(only string) (chosen []section) {
	names := strings.Split(only, ",")
	for _, s := range sections {
		for _, name := range names {
			name = strings.TrimPrefix(strings.TrimSpace(name), "datapath/")
			if only == "" || name == "datapath" || name == s.name {
				chosen = append(chosen, s)
				break
			}
		}
	}
	return chosen
}

// atTargets is a row at each of some targets.
func atTargets(row slope.Row, targets ...target) (rows []slope.Row) {
	condition := row.Condition
	for _, t := range targets {
		row.Target, row.Condition = t.size, t.condition
		if condition != "" {
			row.Condition = condition + ", " + t.condition
		}
		rows = append(rows, row)
	}
	return rows
}

// target is a size that the fleet is built for, and when.
type target struct {
	condition string
	size      float64
}

// inParallelLimited calls f for each of n, so many at one time, and joins their errors.
func inParallelLimited(n, beside int, f func(i int) error) error {
	errs := make([]error, n)
	room := make(chan bool, max(1, beside))
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			room <- true
			defer func() { <-room }()
			errs[i] = f(i)
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// What the rows by statements and by connections are built for: all of the fleet is there, a zone is gone (1.11 times as
// much at each controller that is left), a region is gone (1.5 times).
var (
	statementTargets = targetsFor(statementRate, zoneGoneRate, regionGoneRate)
	clientTargets    = targetsFor(clientCount, zoneGoneClients, regionGoneClients)
)

func targetsFor(usual, zoneGone, regionGone float64) []target {
	return []target{{"all are there", usual}, {"a zone is gone", zoneGone}, {"a region is gone", regionGone}}
}
