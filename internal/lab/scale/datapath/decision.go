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

// The scenes of the decision module, and what a statement is to it.
const (
	stepTables      = 300
	stepHeld        = 1000 // commands, where all engines are full
	stepEvents      = 2    // of a measured step: an arrival and an answer
	statementEvents = 3    // of a statement: these, and a wake-up or a note
	minSteps        = 20   // with the least of which a scene is measured
	maxSteps        = 20000
)

// stepCosts are those of a scene's steps, in microseconds.
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

// stepsOf measures a scene for a while.
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

// coreShare is the share of a core that deciding takes at a controller's statements, where a step costs so many
// microseconds.
func coreShare(step float64) float64 {
	return step * 1e-6 * statementRate * statementEvents / stepEvents
}

// decision measures the decision module's step by engines.
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
