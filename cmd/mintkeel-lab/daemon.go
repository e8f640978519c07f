package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/relay"
	"mintkeel/internal/lab/restart"
	"mintkeel/internal/limits"
)

func relayCommand() *cobra.Command {
	var listen, engine string
	c := &cobra.Command{
		Use:    "relay",
		Short:  "Pass commands to one engine without deciding: what a controller is measured against",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			runtime.GOMAXPROCS(1)
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			return relay.Serve(c.Context(), listener, engine, []string{"lookup", "report"}, limits.For(16000, 2048, 0, 0, 0))
		},
	}
	c.Flags().StringVar(&listen, "listen", "", "where clients come")
	c.Flags().StringVar(&engine, "engine", "", "where all commands go")
	return c
}

// mostFull is how many engines can be kept full by commands that may take tenths of a second each.
const mostFull = 20

func daemonCommand() *cobra.Command {
	m := &daemonMeasurement{scene: restart.Usual(), turns: 3, seed: 1, engines: []int{10, 100, 1000}}
	scene := &m.scene
	scene.Learn, scene.Measure, scene.Slow, scene.Rate, scene.Sockets, scene.Hot = 3*time.Second, 6*time.Second, 1, 1000, 16000, 0.05
	c := &cobra.Command{
		Use:   "daemon",
		Short: "Measure the processor time of a command on the whole daemon, by engines, beside a relay and another build",
		Long: `Measure the processor time of a command on the whole daemon against stand-in engines on loopback, as ratios to a relay
that decides nothing and, with --old, to another build of the daemon, in one turn each. Calm is a tenth of what the engines
can do, or the rate; full is the rate with engines that can do only a part of it, so that commands are held.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return m.run(c.Context(), c.OutOrStdout()) },
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().StringVar(&m.old, "old", "", "another build of it to compare with")
	c.Flags().IntVar(&m.turns, "turns", m.turns, "how often each is measured; medians are told")
	c.Flags().Int64Var(&m.seed, "seed", m.seed, "of the first turn")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "commands a second")
	c.Flags().IntVar(&scene.Clients, "clients", scene.Clients, "connections of clients that are open at least")
	c.Flags().IntSliceVar(&m.engines, "engines", m.engines, "how many")
	return c
}

// daemonMeasurement measures the daemon beside a relay.
type daemonMeasurement struct {
	scene   restart.Scene
	engines []int
	turns   int
	seed    int64
	old     string // path of another build; empty: none
}

// daemonRatios are what the turns of one row gave.
type daemonRatios struct {
	overRelay, oldOverRelay, oldOverNew []float64 // of processor time
	inTime, oldInTime                   []float64 // shares
}

func (m *daemonMeasurement) run(ctx context.Context, out io.Writer) error {
	var err error
	if m.scene.Mintkeel, err = filepath.Abs(m.scene.Mintkeel); err != nil {
		return err
	}
	fmt.Fprintln(out, "| engines | state | over the relay | old over the relay | old over new | answered in time, new | old |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, engines := range m.engines {
		for _, full := range []bool{false, true} {
			if full && engines > mostFull {
				continue
			}
			if err := m.row(ctx, out, engines, full); err != nil {
				return err
			}
		}
	}
	return nil
}

// row measures the daemon before so many engines, and prints what it costs.
func (m *daemonMeasurement) row(ctx context.Context, out io.Writer, engines int, full bool) error {
	var ratios daemonRatios
	for turn := range m.turns {
		scene := m.scene
		scene.Engines, scene.Seed, scene.Work = engines, m.seed+int64(turn), workOf(scene, engines, full)
		if err := m.turn(ctx, scene, &ratios); err != nil {
			return err
		}
	}
	state := "calm"
	if full {
		state = "full"
	}
	fmt.Fprintf(out, "| %d | %s | %.2f | %.2f | %.2f | %.3f | %.3f |\n", engines, state, restart.Median(ratios.overRelay),
		restart.Median(ratios.oldOverRelay), restart.Median(ratios.oldOverNew), restart.Median(ratios.inTime), restart.Median(ratios.oldInTime))
	return nil
}

// workOf is the work of a command in ms: where engines are to be full, what they can do together is a part of what is
// asked for.
func workOf(scene restart.Scene, engines int, full bool) float64 {
	const calmShare, mostCalm, cores = 0.1, 20, 4
	canDo := float64(engines) * cores * 1000 / scene.Rate
	if full {
		return canDo
	}
	return min(mostCalm, calmShare*canDo)
}

// turn measures the relay, the daemon and the other build one after the other.
func (m *daemonMeasurement) turn(ctx context.Context, scene restart.Scene, into *daemonRatios) error {
	relayScene := scene
	relayScene.Relay, relayScene.Engines, relayScene.Mintkeel = true, 1, ""
	base, err := restart.Path(ctx, relayScene, "")
	if err != nil {
		return err
	}
	cost, err := restart.Path(ctx, scene, "")
	if err != nil {
		return err
	}
	into.overRelay = append(into.overRelay, cost.Processor/base.Processor)
	into.inTime = append(into.inTime, cost.Benefit)
	if m.old == "" {
		return nil
	}
	scene.Mintkeel = m.old
	before, err := restart.Path(ctx, scene, "")
	if err != nil {
		return err
	}
	into.oldOverRelay = append(into.oldOverRelay, before.Processor/base.Processor)
	into.oldInTime = append(into.oldInTime, before.Benefit)
	into.oldOverNew = append(into.oldOverNew, before.Processor/cost.Processor)
	return nil
}
