package datapath

import (
	"context"
	"fmt"

	"mintkeel/internal/lab/scale/slope"
)

// probes measures the processor time of pings to engines by the number of engines, as the difference between a daemon with
// probes and one without. Each engine receives its usual share of the controller's statements.
func (b *bench) probes(ctx context.Context) ([]slope.Row, error) {
	if len(b.probed) == 0 {
		return nil, nil
	}
	row := slope.Row{Role: controllerRole, Cost: "talk with engines: processor of pings", Unit: "cores", Per: "engines",
		Condition: fmt.Sprintf("%.2f statements/s an engine", engineShare), Method: methodSockets, Target: engineCount,
		Note: "a daemon with probes less one without, one pair for each size: pairs scatter by 0.04 on a busy machine, so no budget is held against it"}
	for _, n := range b.probed {
		rate := engineShare * float64(n)
		with, err := b.measureCostWith(ctx, n, rate, true)
		if err != nil {
			return nil, err
		}
		without, err := b.measureCostWith(ctx, n, rate, false)
		if err != nil {
			return nil, err
		}
		row.Points = append(row.Points, slope.Point{Size: float64(n), Value: with.cores - without.cores})
		row.Note += fmt.Sprintf("; at %d %.4f with %d pings, %.4f with %d", n, with.cores, with.traffic.Pings, without.cores,
			without.traffic.Pings)
	}
	return []slope.Row{row}, nil
}
