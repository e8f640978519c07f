package datapath

import (
	"context"
	"fmt"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
)

// reconnectRows measures the cost of bursts of clients that reconnect: connection, start-up messages and a first query.
func (b *bench) reconnectRows(ctx context.Context) ([]slope.Row, error) {
	row := func(cost, unit string) slope.Row {
		return slope.Row{Role: controllerRole, Cost: "reconnects: " + cost, Unit: unit, Per: "reconnects at once",
			Condition: "a region is gone", Method: methodSockets, Target: reconnectBurst}
	}
	processor, took := row("processor, with each first query", "core s"), row("until all are answered", "s")
	apart := row("processor, without the first queries", "core s")
	sizes, _ := splitByDescriptorLimit(b.reconnects)
	for _, n := range sizes {
		cost, err := b.burst(ctx, n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		processor.Note += unansweredNote(fmt.Sprint(n), cost.service)
		processor.Points = append(processor.Points, slope.Point{Size: size, Value: cost.processor})
		apart.Points = append(apart.Points, slope.Point{Size: size, Value: cost.processor - cost.queries})
		took.Points = append(took.Points, slope.Point{Size: size, Value: cost.took.Seconds()})
	}
	took.Note = fmt.Sprintf("%d at a time, one core for the daemon", workers)
	apart.Note = "what as many queries cost on connections that stand is taken off"
	return []slope.Row{processor, apart, took}, nil
}

// burstCost is the daemon's cost of a burst of reconnects.
type burstCost struct {
	processor float64 // s
	queries   float64 // s, for as many queries on open connections
	took      time.Duration
	service   outcomes // of the first queries
}

func (b *bench) burst(ctx context.Context, n int) (cost burstCost, err error) {
	r, err := b.open(ctx, connectionEngines)
	if err != nil {
		return cost, err
	}
	defer r.close()
	if err := r.connect(ctx, workers); err != nil { // opens the connections to engines
		return cost, err
	}
	before, err := r.daemon.ProcessorTime()
	if err != nil {
		return cost, err
	}
	r.firstQueries = outcomes{}
	began := time.Now()
	if err := r.connect(ctx, workers+n); err != nil {
		return cost, err
	}
	cost.took, cost.service = time.Since(began), r.firstQueries
	after, err := r.daemon.ProcessorTime()
	if err != nil {
		return cost, err
	}
	cost.processor = after - before
	queries := make([]statement, n)
	for i := range queries {
		queries[i] = r.statement(daemon.LookupClass, 1)
	}
	inParallel(n, func(i int) error {
		r.query(ctx, queries[i])
		return nil
	})
	again, err := r.daemon.ProcessorTime()
	cost.queries = again - after
	return cost, err
}
