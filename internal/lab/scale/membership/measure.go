// Package membership measures the cost of the membership protocol for a controller, and how long a change takes until all
// controllers know of it, by fleet size. It drives tables of internal/core/fleet/members in virtual time, with the frame
// sizes of internal/fleet/frames, and counts the overhead of sockets: TCP and IP headers, acknowledgements, and the opening
// and closing of connections under the bounds of internal/fleet/links.
package membership

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"mintkeel/internal/lab/scale/slope"
)

// Options configure the measurement.
type Options struct {
	Quick bool  // measure small fleets, within some seconds
	Seeds int   // histories of each size and scenario; 0: 5, or 2 with Quick
	Seed  int64 // of the first one; 0: 1

	fleetSizes []int // for tests: used instead of the default sizes
}

const (
	controllers = 670 // target size of the fleet
	bytesBudget = 17_000.0
	coresBudget = 0.021
	bytesPerMB  = 1e6
	budgetNote  = "the budget is that of all control traffic together"
	maxWorkers  = 2
)

func (o Options) sizes() []int {
	if len(o.fleetSizes) > 0 {
		return o.fleetSizes
	}
	if o.Quick {
		return []int{10, 20, 40, 80}
	}
	return []int{30, 100, 300, controllers}
}

func (o Options) withDefaults() Options {
	if o.Seeds <= 0 && o.Quick {
		o.Seeds = 2
	}
	if o.Seeds <= 0 {
		o.Seeds = 5
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	return o
}

// scenario is a simulation and the costs that are reported of it.
type scenario struct {
	name    string
	play    func(context.Context, plan) (outcome, error)
	columns []column
}

func scenarios(o Options) []scenario {
	events := 4
	if o.Quick {
		events = 2
	}
	under := func(t disturbance) scenario {
		play := func(ctx context.Context, p plan) (outcome, error) { return steady(ctx, p, t, events) }
		return scenario{t.name, play, steadyColumns}
	}
	return []scenario{
		under(atRest),
		under(tenthLost),
		under(withPauses),
		{"a tenth restarts within 5 s", zoneRestarts, zoneColumns},
		{"a third is cut off for 5 min", regionCutOff, regionColumns},
	}
}

// task is one history. Its outcome has a place of its own, so that the results do not depend on the order of the tasks.
type task struct {
	scenario scenario
	plan     plan
	outcome  *outcome
}

// Measure runs all scenarios at all sizes and returns a row for each cost.
func Measure(ctx context.Context, o Options) ([]slope.Row, error) {
	o = o.withDefaults()
	processor, err := processorRow(ctx, o)
	if err != nil {
		return nil, err
	}
	memory, err := memoryRow(o)
	if err != nil {
		return nil, err
	}
	rows := []slope.Row{processor, memory}
	var tasks []task
	all := scenarios(o)
	outcomes := make([][][]outcome, len(all)) // by scenario, size and seed
	for i, scenario := range all {
		for _, size := range o.sizes() {
			list := make([]outcome, o.Seeds)
			outcomes[i] = append(outcomes[i], list)
			for j := range list {
				tasks = append(tasks, task{scenario, plan{size, o.Seed + int64(j), farLatency}, &list[j]})
			}
		}
	}
	if err := playAll(ctx, o, tasks); err != nil {
		return nil, err
	}
	for i, scenario := range all {
		for _, column := range scenario.columns {
			rows = append(rows, column.row(scenario.name, o, outcomes[i]))
		}
	}
	return rows, nil
}

// playAll runs the tasks, the largest fleets first, and stops at the first error.
func playAll(ctx context.Context, o Options, tasks []task) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	workers := min(maxWorkers, runtime.GOMAXPROCS(0))
	if o.Quick {
		workers = 1
	}
	queue := make(chan task, len(tasks))
	slices.SortStableFunc(tasks, func(a, b task) int { return b.plan.size - a.plan.size })
	for _, t := range tasks {
		queue <- t
	}
	close(queue)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for t := range queue {
				if ctx.Err() != nil {
					return
				}
				result, err := t.scenario.play(ctx, t.plan)
				if err != nil {
					cancel(fmt.Errorf("%s, %d controllers, seed %d: %w", t.scenario.name, t.plan.size, t.plan.seed, err))
					return
				}
				*t.outcome = result
			}
		})
	}
	group.Wait()
	return context.Cause(ctx)
}
