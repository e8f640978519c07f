package datapath

import (
	"context"
	"fmt"
	"slices"
	"time"

	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/steps"
	"mintkeel/router"
)

// The scenes of the decision module, and the events that a statement causes in it.
const (
	stepTables      = 300
	stepHeld        = 1000 // queries held, if all engines are full
	stepEvents      = 2    // events of a measured step: an arrival and an answer
	statementEvents = 3    // events of a statement: an arrival, an answer, and a wake-up or a note
	minSteps        = 20   // least number of steps with which a scene is measured
	maxSteps        = 20000
)

// stepCosts are statistics of the durations of a scene's steps in microseconds.
type stepCosts struct{ mean, median, p99 float64 }

func summarizeSteps(costs []float64) (out stepCosts) {
	if len(costs) == 0 {
		return out
	}
	sorted := slices.Sorted(slices.Values(costs))
	for _, c := range sorted {
		out.mean += c / float64(len(sorted))
	}
	out.median, out.p99 = quantile(sorted, 0.5), quantile(sorted, 0.99)
	return out
}

func newModule(seed int64, place router.Identity, kinds []router.MachineKind, profiles []router.QueryClass, tenants []router.Tenant,
	allowed router.Capabilities, guards router.SafetyLimits) steps.Module {
	return router.New(seed, place, kinds, profiles, tenants, allowed, guards)
}

// stepsOf measures the steps of a scene for stepsWithin.
func (b *bench) stepsOf(ctx context.Context, engines int, busy steps.Busy) stepCosts {
	scene := steps.Scene{Engines: engines, Tables: stepTables, Busy: busy, Seed: b.seed}
	if busy == steps.Full {
		scene.Queued = stepHeld
	}
	rig := steps.New(scene, newModule)
	rig.Run(minSteps)
	var costs []float64
	for end := time.Now().Add(b.stepsWithin); len(costs) < minSteps || time.Now().Before(end) && len(costs) < maxSteps; {
		if ctx.Err() != nil {
			break
		}
		rig.Advance()
		costs = append(costs, rig.StepOnce())
	}
	return summarizeSteps(costs)
}

// coreShare returns the share of a core that decisions take at statementRate, given the cost of a step in microseconds.
func coreShare(step float64) float64 {
	return step * 1e-6 * statementRate * statementEvents / stepEvents
}

// decision measures the decision module's step by the number of engines.
func (b *bench) decision(ctx context.Context) (rows []slope.Row, err error) {
	for _, busy := range []steps.Busy{steps.Idle, steps.Half, steps.Full} {
		condition := busy.String()
		if busy == steps.Full {
			condition += fmt.Sprintf(", %d held", stepHeld)
		}
		row := func(cost, unit, note string) slope.Row {
			return slope.Row{Role: controllerRole, Cost: "decision: " + cost, Unit: unit, Per: "engines",
				Condition: condition, Method: methodBenchmark, Target: engineCount, Note: note}
		}
		median, p99 := row("median of a step", "µs", "one arrival and one answer"), row("99th of a step", "µs", "")
		share := row(fmt.Sprintf("processor at %d statements/s", statementRate), "cores",
			fmt.Sprintf("mean step, %d events a statement", statementEvents))
		for _, n := range b.stepEngines {
			costs, size := b.stepsOf(ctx, n, busy), float64(n)
			median.Points = append(median.Points, slope.Point{Size: size, Value: costs.median})
			p99.Points = append(p99.Points, slope.Point{Size: size, Value: costs.p99})
			share.Points = append(share.Points, slope.Point{Size: size, Value: coreShare(costs.mean)})
		}
		rows = append(rows, median, p99, share)
	}
	return rows, ctx.Err()
}
