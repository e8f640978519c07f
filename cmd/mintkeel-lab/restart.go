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

// restartMeasurement measures what restored statistics are worth at a restart.
type restartMeasurement struct {
	scene     restart.Scene
	seeds     int
	firstSeed int64 // the first
}

func restartCommand() *cobra.Command {
	m := &restartMeasurement{scene: restart.Usual(), seeds: 6, firstSeed: 1}
	scene := &m.scene
	c := &cobra.Command{
		Use: "restart",
		Short: "Measure what restored statistics are worth at a restart, " +
			"with real daemons and stand-in engines on loopback",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return m.run(c.Context(), c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "how many")
	c.Flags().Int64Var(&m.firstSeed, "seed", m.firstSeed, "the first")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "queries a second")
	c.Flags().Float64Var(&scene.Slow, "slow", scene.Slow, "times the usual time at the slow engine")
	c.Flags().Float64Var(&scene.Cold, "cold", scene.Cold,
		"times the work of a query with tables that are not warm")
	c.Flags().DurationVar(&scene.Learn, "learn", scene.Learn, "time ahead of the restart")
	c.Flags().DurationVar(&scene.Measure, "measure", 10*time.Second, "time after it")
	return c
}

// run measures each seed, prints its figures to progress and in the end the table to out.
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

// playRestartVariants plays all variants of a scene beside each other, so that noise of the
// machine affects all of them alike.
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
