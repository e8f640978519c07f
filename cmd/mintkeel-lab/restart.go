package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
	"mintkeel/internal/limits"
	"mintkeel/internal/memory"
)

// restartMeasurement measures the benefit of restored statistics at a restart.
type restartMeasurement struct {
	scene     restart.Scene
	seeds     int
	firstSeed int64
}

func restartCommand() *cobra.Command {
	m := &restartMeasurement{scene: restart.Usual(), seeds: 6, firstSeed: 1}
	scene := &m.scene
	c := &cobra.Command{
		Use: "restart",
		Short: "Measure the benefit of restored statistics at a restart, " +
			"with real daemons and emulated engines on loopback",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return m.run(c.Context(), c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "path of the daemon")
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "number of seeds")
	c.Flags().Int64Var(&m.firstSeed, "seed", m.firstSeed, "first seed")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "queries per second")
	c.Flags().Float64Var(&scene.Slow, "slow", scene.Slow,
		"factor by which the slow engine takes longer than the others")
	c.Flags().Float64Var(&scene.Cold, "cold", scene.Cold,
		"factor by which a query takes more work if its tables are not warm")
	c.Flags().DurationVar(&scene.Learn, "learn", scene.Learn, "time before the restart")
	c.Flags().DurationVar(&scene.Measure, "measure", 10*time.Second, "time after the restart")
	return c
}

// run measures each seed, prints its figures to progress and, at the end, the table to out.
func (m *restartMeasurement) run(ctx context.Context, out, progress io.Writer) error {
	if err := makeDaemonPathAbsolute(&m.scene); err != nil {
		return err
	}
	m.scene.Bounds = memory.FileBounds(limits.For(64, 64, 0, 0, 0))
	var all []map[restart.Variant]restart.Outcome
	for i := range m.seeds {
		scene := m.scene
		scene.Seed = m.firstSeed + int64(i)
		outcomes, err := playRestartVariants(ctx, scene)
		if err != nil {
			return err
		}
		fmt.Fprintf(progress, "seed %d:", scene.Seed)
		for _, variant := range restart.Variants() {
			outcome := outcomes[variant]
			fmt.Fprintf(progress, " %v %.3f (%.3f)", variant, outcome.Benefit, outcome.First)
		}
		fmt.Fprintln(progress)
		all = append(all, outcomes)
	}
	fmt.Fprint(out, restart.Table(restart.Summarize(all)))
	return nil
}

// playRestartVariants runs all variants of a scene at the same time, so that noise of the machine
// affects all of them alike.
func playRestartVariants(ctx context.Context, scene restart.Scene) (
	map[restart.Variant]restart.Outcome, error) {
	outcomes := map[restart.Variant]restart.Outcome{}
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed error
	for _, variant := range restart.Variants() {
		group.Go(func() {
			outcome, err := restart.Run(ctx, scene, variant)
			mu.Lock()
			defer mu.Unlock()
			outcomes[variant] = outcome
			if err != nil {
				failed = fmt.Errorf("%v: %w", variant, err)
			}
		})
	}
	group.Wait()
	return outcomes, failed
}
