// Package datapath measures the cost of serving clients on one controller and how it grows: statements, connections,
// reconnects, the list of engines, control traffic with engines, the decision module's step, and the effect of the
// replacement of an engine on queries in flight. A real daemon, as a process of its own, serves emulated clients in front
// of emulated engines on loopback.
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

// Options select what is measured, and how.
type Options struct {
	Quick    bool
	Seed     int64
	Only     string // names of sections, separated by commas; empty or the package's own name: all
	Mintkeel string // path of the daemon; empty: the daemon is built from this module
}

// The target sizes of the fleet, as seen by one controller.
const (
	controllers       = 670
	engineCount       = 1100
	statementRate     = 1642 // per second at each controller
	zoneGoneRate      = 1823
	regionGoneRate    = 2463
	clientCount       = 8507 // connections at each controller
	zoneGoneClients   = 9443
	regionGoneClients = 12760
	reconnectBurst    = 4250 // clients that reconnect to a controller when they leave a failed region
	regions           = 3
	bytesBudget       = 17000 // per second, for control traffic
	replacementBudget = 5000  // ms for a change of primary
)

// Role and methods of the rows.
const (
	controllerRole  = "controller"
	methodSockets   = "sockets"
	methodBenchmark = "benchmark"
	methodComputed  = "computed"
)

// plan sets the sizes and durations of the measurements.
type plan struct {
	settle, window time.Duration // time before a cost is measured, and time in which it is measured
	parallel       int           // daemons measured at the same time, where only the cost of each process itself counts

	rates       []float64 // statements per second
	rateEngines int
	engines     []int // numbers of engines at engineRate
	engineRate  float64

	connections    []int
	connectionRate float64       // statements per second while connections are measured
	busy           []int         // numbers of connections with an open query each
	busyWork       time.Duration // engine work of each of these queries

	gaps       []int // numbers of clients that send queries at random times
	gapsSettle time.Duration
	gapsWindow time.Duration

	reconnects []int

	listed      []int // numbers of engines in the list
	listRepeats int

	peers         []int         // numbers of engines whose control traffic is measured
	peersSettle   time.Duration // time under load until the connections to engines are open
	peersWindow   time.Duration
	peersParallel int // sizes of peers measured at the same time

	probed []int // numbers of engines, each measured with probes and without

	stepEngines []int
	stepsWithin time.Duration

	replacedRates   []float64
	replacedRepeats int
	replacedBefore  time.Duration // time under load before the engine fails
	replacedAfter   time.Duration // time under load after the list reports the failure
	hangReportDelay time.Duration // delay until the list reports an engine that hangs
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

// bench is one run of the measurements.
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

// Measure measures the rows of one controller's data path, section by section. Together with an error it returns the rows
// that were measured before it.
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

// choose returns the sections that the names in only select; there are none if all names are those of other packages.
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

// atTargets returns a copy of the row for each target.
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

// target is a target size with the condition under which it applies.
type target struct {
	condition string
	size      float64
}

// inParallelLimited calls f with each number below n, at most limit calls at a time, and joins their errors.
func inParallelLimited(n, limit int, f func(i int) error) error {
	errs := make([]error, n)
	room := make(chan bool, max(1, limit))
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

// Targets of the rows by statements and by connections: the whole fleet runs, a zone has failed (1.11 times the load at
// each remaining controller), or a region has failed (1.5 times the load).
var (
	statementTargets = targetsFor(statementRate, zoneGoneRate, regionGoneRate)
	clientTargets    = targetsFor(clientCount, zoneGoneClients, regionGoneClients)
)

func targetsFor(usual, zoneGone, regionGone float64) []target {
	return []target{{"all are there", usual}, {"a zone is gone", zoneGone}, {"a region is gone", regionGone}}
}
