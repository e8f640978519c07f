package datapath

import (
	"context"
	"fmt"
	"math"
	"time"

	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/standin"
)

// touchInterval is the longest time that client connections are left without a message. It stays below the 5 s after which
// the daemon closes them.
const touchInterval = 3 * time.Second

// connectionEngines is the number of engines for the rows by connections.
const connectionEngines = 40

// connectionCost is the daemon's cost of a number of client connections.
type connectionCost struct {
	resident, descriptors, cores float64
	closed                       int // connections that the daemon had closed
	service                      outcomes
}

// connectionRows measures processor time, memory and descriptors by the number of client connections.
func (b *bench) connectionRows(ctx context.Context) ([]slope.Row, error) {
	idle, err := b.idleConnections(ctx)
	if err != nil {
		return idle, err
	}
	busy, err := b.busyConnections(ctx)
	return append(idle, busy...), err
}

// splitByDescriptorLimit divides sizes into those that the machine's descriptor limit allows and those that it does not.
func splitByDescriptorLimit(sizes []int) (fit []int, skipped []int) {
	for _, n := range sizes {
		if n <= clientLimit() {
			fit = append(fit, n)
		} else {
			skipped = append(skipped, n)
		}
	}
	return fit, skipped
}

func (b *bench) idleConnections(ctx context.Context) ([]slope.Row, error) {
	r, err := b.open(ctx, connectionEngines)
	if err != nil {
		return nil, err
	}
	defer r.close()
	condition := fmt.Sprintf("%d engines, %g statements/s", connectionEngines, b.connectionRate)
	row := func(cost, unit, condition string) slope.Row {
		return slope.Row{Role: controllerRole, Cost: "connections: " + cost, Unit: unit, Per: "client connections",
			Condition: condition, Method: methodSockets}
	}
	memory, open := row("resident memory", "MB", "idle"), row("descriptors", "descriptors", "idle")
	processor := row("processor", "cores", condition)
	sizes, skipped := splitByDescriptorLimit(b.connections)
	for _, n := range sizes {
		cost, err := b.measureConnections(ctx, r, n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		memory.Points = append(memory.Points, slope.Point{Size: size, Value: cost.resident})
		open.Points = append(open.Points, slope.Point{Size: size, Value: cost.descriptors})
		processor.Points = append(processor.Points, slope.Point{Size: size, Value: cost.cores})
		processor.Note += unansweredNote(fmt.Sprintf("%d", n), cost.service)
		if cost.closed > 0 {
			memory.Note += fmt.Sprintf("at %d the daemon had ended %d; ", n, cost.closed)
		}
	}
	if len(skipped) > 0 {
		open.Note += fmt.Sprintf("%v not run: %d descriptors allow %d connections; ", skipped, daemon.DescriptorLimit(), clientLimit())
	}
	memory.Note += "the kernel's buffers are not in it"
	open.Note += "a daemon gives clients 21 of 40 descriptors"
	rows := append(atTargets(memory, clientTargets...), atTargets(open, clientTargets...)...)
	return append(rows, atTargets(processor, clientTargets...)...), nil
}

// measureConnections opens connections up to n and measures their cost while they are idle and then under load. The load
// runs in windows that are short enough that the daemon closes no unused connection; before each one, all connections are
// kept alive.
func (b *bench) measureConnections(ctx context.Context, r *rig, n int) (cost connectionCost, err error) {
	if err := r.connect(ctx, n); err != nil {
		return cost, err
	}
	cost.closed = r.keepAlive()
	if err := r.connect(ctx, n); err != nil {
		return cost, err
	}
	time.Sleep(b.settle / 4)
	if cost.resident, err = r.daemon.Resident(); err != nil {
		return cost, err
	}
	if cost.descriptors, err = r.daemon.Descriptors(); err != nil {
		return cost, err
	}
	windows := int(math.Ceil(float64(b.window) / float64(touchInterval)))
	before, spent, passed := 0.0, 0.0, time.Duration(0)
	for range windows {
		cost.closed += r.keepAlive()
		if before, err = r.daemon.ProcessorTime(); err != nil {
			return cost, err
		}
		began := time.Now()
		served := r.measureLoad(ctx, b.connectionRate, min(b.window, touchInterval), r.drawUsual)
		passed += time.Since(began)
		after, err := r.daemon.ProcessorTime()
		if err != nil {
			return cost, err
		}
		spent += after - before
		cost.service.merge(served)
	}
	cost.cores = spent / passed.Seconds()
	return cost, nil
}

// merge adds the counts of another window. Answer times are not merged.
func (s *outcomes) merge(other outcomes) {
	s.queries += other.queries
	s.answered += other.answered
	s.rejected += other.rejected
	s.failed += other.failed
	s.lost += other.lost
}

// busyConnections measures connections that all wait for an answer at the same time.
func (b *bench) busyConnections(ctx context.Context) ([]slope.Row, error) {
	row := slope.Row{Role: controllerRole, Cost: "connections: resident memory", Unit: "MB", Per: "client connections",
		Condition: "each with an open query", Method: methodSockets}
	sizes, _ := splitByDescriptorLimit(b.busy)
	costs := make([]busyCost, len(sizes))
	err := inParallelLimited(len(sizes), b.parallel, func(i int) (err error) {
		costs[i], err = b.queryOnAll(ctx, sizes[i])
		return err
	})
	if err != nil {
		return nil, err
	}
	for i, n := range sizes {
		cost := costs[i]
		row.Points = append(row.Points, slope.Point{Size: float64(n), Value: cost.resident})
		if cost.open != n {
			row.Note += fmt.Sprintf("of %d queries %d were at engines, %v; ", n, cost.open, cost.service)
		}
	}
	row.Note += "with their connections to engines"
	return atTargets(row, clientTargets...), nil
}

// busyCost is the daemon's cost of connections with one open query each.
type busyCost struct {
	resident float64
	open     int // queries that were running at engines
	service  outcomes
}

// queryOnAll opens n connections, sends a query on each at the same time and measures the cost while the answers are
// pending.
func (b *bench) queryOnAll(ctx context.Context, n int) (cost busyCost, err error) {
	r, err := b.open(ctx, connectionEngines)
	if err != nil {
		return cost, err
	}
	defer r.close()
	if err := r.connect(ctx, n); err != nil {
		return cost, err
	}
	r.keepAlive()
	answers := make(chan standin.Verdict, n)
	for range n {
		s := r.statement(daemon.ReportClass, float64(b.busyWork)/1e6)
		go func() {
			verdict, _ := r.query(ctx, s)
			answers <- verdict
		}()
	}
	time.Sleep(b.busyWork * 2 / 3)
	cost.resident, err = r.daemon.Resident()
	for _, e := range r.engines {
		cost.open += len(e.Running())
	}
	for range n {
		cost.service.add(<-answers, 0)
	}
	return cost, err
}
