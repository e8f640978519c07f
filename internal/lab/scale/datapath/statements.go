package datapath

import (
	"context"
	"fmt"
	"time"

	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
)

// sessionsFor returns a number of sessions so small that the daemon does not close them as idle: from a rate of 10 on, each
// session gets a query every two seconds on average.
func sessionsFor(rate float64) int { return max(20, int(2*rate)) }

// loadCost is the daemon's cost of a time under load.
type loadCost struct {
	cores   float64
	service outcomes
	traffic standin.Traffic
}

// measureCost runs a load for the settling time, which is not counted, and then for a window in which it measures the cost.
func (b *bench) measureCost(ctx context.Context, r *rig, rate float64) (out loadCost, err error) {
	r.measureLoad(ctx, rate, b.settle, r.drawUsual)
	trafficBefore := r.traffic()
	before, err := r.daemon.ProcessorTime()
	if err != nil {
		return out, err
	}
	began := time.Now()
	out.service = r.measureLoad(ctx, rate, b.window, r.drawUsual)
	passed := time.Since(began)
	after, err := r.daemon.ProcessorTime()
	out.cores = (after - before) / passed.Seconds()
	out.traffic = r.traffic().Sub(trafficBefore)
	return out, err
}

// statements measures the processor time by statements per second, and by the number of engines at one rate.
func (b *bench) statements(ctx context.Context) ([]slope.Row, error) {
	byRate, err := b.statementRates(ctx)
	if err != nil {
		return byRate, err
	}
	byEngines, err := b.statementEngines(ctx)
	return append(byRate, byEngines...), err
}

func (b *bench) statementRates(ctx context.Context) ([]slope.Row, error) {
	r, err := b.open(ctx, b.rateEngines)
	if err != nil {
		return nil, err
	}
	defer r.close()
	row := slope.Row{Role: controllerRole, Cost: "data path: processor", Unit: "cores", Per: "statements/s",
		Condition: fmt.Sprintf("%d engines", b.rateEngines), Method: methodSockets}
	answer := slope.Row{Role: controllerRole, Cost: "data path: 99th of answer times", Unit: "ms", Per: "statements/s",
		Condition: row.Condition, Method: methodSockets, Note: "an engine works for 10 to 30 ms of it"}
	for _, rate := range b.rates {
		if err := r.connect(ctx, sessionsFor(rate)); err != nil {
			return nil, err
		}
		cost, err := b.measureCost(ctx, r, rate)
		if err != nil {
			return nil, err
		}
		row.Points = append(row.Points, slope.Point{Size: rate, Value: cost.cores})
		answer.Points = append(answer.Points, slope.Point{Size: rate, Value: cost.service.quantile(0.99)})
		row.Note += unansweredNote(fmt.Sprintf("%g/s", rate), cost.service)
	}
	return append(atTargets(row, statementTargets...), atTargets(answer, statementTargets...)...), nil
}

// unansweredNote describes the answers to clients at one size. It is empty if all queries were answered.
func unansweredNote(size string, s outcomes) string {
	if s.answered == s.queries {
		return ""
	}
	return fmt.Sprintf("at %s %v; ", size, s)
}

func (b *bench) statementEngines(ctx context.Context) ([]slope.Row, error) {
	row := slope.Row{Role: controllerRole, Cost: "data path: processor", Unit: "cores", Per: "engines",
		Condition: fmt.Sprintf("%g statements/s", b.engineRate), Method: methodSockets, Target: engineCount}
	costs := make([]loadCost, len(b.engines))
	err := inParallelLimited(len(b.engines), b.parallel, func(i int) (err error) {
		costs[i], err = b.measureCostWith(ctx, b.engines[i], b.engineRate, true)
		return err
	})
	if err != nil {
		return nil, err
	}
	for i, n := range b.engines {
		cost := costs[i]
		row.Points = append(row.Points, slope.Point{Size: float64(n), Value: cost.cores})
		row.Note += unansweredNote(fmt.Sprintf("%d", n), cost.service)
	}
	return []slope.Row{row}, nil
}

// measureCostWith measures the cost of a new daemon in front of a number of engines, with probes allowed or not.
func (b *bench) measureCostWith(ctx context.Context, engines int, rate float64, probes bool) (loadCost, error) {
	r, err := b.openWith(ctx, engines, probes)
	if err != nil {
		return loadCost{}, err
	}
	defer r.close()
	if err := r.connect(ctx, sessionsFor(rate)); err != nil {
		return loadCost{}, err
	}
	return b.measureCost(ctx, r, rate)
}
