package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
)

const (
	daemonDescriptors = 16000 // descriptor limit of the daemon and of the relay

	// maxFullEngines bounds the engines of a row with full engines: queries that run for some
	// tenths of a second cannot keep more of them full.
	maxFullEngines = 20
)

// daemonMeasurement compares the processor time of a query on the daemon with that on a relay.
type daemonMeasurement struct {
	scene     restart.Scene
	engines   []int
	turns     int
	firstSeed int64  // of the first turn
	oldDaemon string // path of another build; empty: none
}

// daemonRatios holds the results of one row, one value per turn.
type daemonRatios struct {
	// ratios of processor time
	overRelay, oldOverRelay, oldOverNew []float64
	// shares of the highest possible benefit
	inTime, oldInTime []float64
}

func daemonCommand() *cobra.Command {
	m := &daemonMeasurement{
		scene:     restart.Usual(),
		engines:   []int{10, 100, 1000},
		turns:     3,
		firstSeed: 1,
	}
	scene := &m.scene
	scene.Learn = 3 * time.Second
	scene.Measure = 6 * time.Second
	scene.Slow = 1
	scene.Rate = 1000
	scene.Sockets = daemonDescriptors
	scene.Hot = 0.05
	c := &cobra.Command{
		Use: "daemon",
		Short: "Measure the processor time of a query on the whole daemon by the number of engines, " +
			"compared with a relay and another build",
		Long: `Measure the processor time of a query on the whole daemon in front of emulated
engines on loopback, as ratios to a relay that decides nothing and, with --old,
to another build of the daemon, all in the same turn. In the state "calm" the
queries ask for a tenth of the engines' capacity or less; in the state "full"
they ask for all of it on average, so that some queries are held.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return m.run(c.Context(), c.OutOrStdout()) },
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "path of the daemon")
	c.Flags().StringVar(&m.oldDaemon, "old", "", "path of another build to compare with")
	c.Flags().IntVar(&m.turns, "turns", m.turns, "measurements of each row; medians are printed")
	c.Flags().Int64Var(&m.firstSeed, "seed", m.firstSeed, "seed of the first turn")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "queries per second")
	c.Flags().IntVar(&scene.Clients, "clients", scene.Clients,
		"least number of open client connections")
	c.Flags().IntSliceVar(&m.engines, "engines", m.engines, "numbers of engines")
	return c
}

func (m *daemonMeasurement) run(ctx context.Context, out io.Writer) error {
	if err := makeDaemonPathAbsolute(&m.scene); err != nil {
		return err
	}
	fmt.Fprintln(out, "| engines | state | over the relay | old over the relay | old over new "+
		"| answered in time, new | old |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, engines := range m.engines {
		for _, full := range []bool{false, true} {
			if full && engines > maxFullEngines {
				continue
			}
			if err := m.printRow(ctx, out, engines, full); err != nil {
				return err
			}
		}
	}
	return nil
}

// printRow measures the daemon in front of some engines and prints its row.
func (m *daemonMeasurement) printRow(ctx context.Context, out io.Writer, engines int,
	full bool) error {
	var ratios daemonRatios
	for turn := range m.turns {
		scene := m.scene
		scene.Engines = engines
		scene.Seed = m.firstSeed + int64(turn)
		scene.Work = workOfQuery(scene.Rate, engines, full)
		if err := m.measureTurn(ctx, scene, &ratios); err != nil {
			return err
		}
	}
	state := "calm"
	if full {
		state = "full"
	}
	fmt.Fprintf(out, "| %d | %s | %.2f | %.2f | %.2f | %.3f | %.3f |\n", engines, state,
		restart.Median(ratios.overRelay), restart.Median(ratios.oldOverRelay),
		restart.Median(ratios.oldOverNew), restart.Median(ratios.inTime),
		restart.Median(ratios.oldInTime))
	return nil
}

// workOfQuery returns the work of a query in ms on one core, at a rate in queries per second. At
// calm engines the queries ask for a tenth of the engines' capacity or less; at full engines for
// all of it on average, so that some queries are held.
func workOfQuery(rate float64, engines int, full bool) float64 {
	const (
		calmShare   = 0.1 // of the engines' capacity
		maxCalmWork = 20  // ms
		cores       = 4   // of an engine
	)
	capacity := float64(engines) * cores * 1000 / rate
	if full {
		return capacity
	}
	return min(maxCalmWork, calmShare*capacity)
}

// measureTurn measures the relay, the daemon and the other build one after another, because they
// would compete for the processors if they ran at the same time.
func (m *daemonMeasurement) measureTurn(ctx context.Context, scene restart.Scene,
	ratios *daemonRatios) error {
	relayScene := scene
	relayScene.Relay = true
	relayScene.Engines = 1
	relayScene.Mintkeel = ""
	relay, err := restart.Path(ctx, relayScene, "")
	if err != nil {
		return err
	}
	daemon, err := restart.Path(ctx, scene, "")
	if err != nil {
		return err
	}
	ratios.overRelay = append(ratios.overRelay, daemon.Processor/relay.Processor)
	ratios.inTime = append(ratios.inTime, daemon.Benefit)
	if m.oldDaemon == "" {
		return nil
	}
	scene.Mintkeel = m.oldDaemon
	old, err := restart.Path(ctx, scene, "")
	if err != nil {
		return err
	}
	ratios.oldOverRelay = append(ratios.oldOverRelay, old.Processor/relay.Processor)
	ratios.oldInTime = append(ratios.oldInTime, old.Benefit)
	ratios.oldOverNew = append(ratios.oldOverNew, old.Processor/daemon.Processor)
	return nil
}
