package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
	"mintkeel/internal/limits"
	"mintkeel/internal/memory"
)

func restartCommand() *cobra.Command {
	scene, seeds, seed := restart.Usual(), 6, int64(1)
	c := &cobra.Command{
		Use:   "restart",
		Short: "Measure what memory is worth at a restart, with real daemons and stand-in engines on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if scene.Mintkeel, err = filepath.Abs(scene.Mintkeel); err != nil {
				return err
			}
			scene.Bounds = memory.FileBounds(limits.For(64, 64, 0, 0, 0))
			var all []map[restart.Variant]restart.Outcome
			for i := range seeds { // a seed's variants run beside each other, so that noise of the machine meets all
				scene := scene
				scene.Seed = seed + int64(i)
				by := map[restart.Variant]restart.Outcome{}
				var mu sync.Mutex
				var group sync.WaitGroup
				var failed error
				for _, v := range restart.Variants() {
					group.Go(func() {
						out, err := restart.Run(c.Context(), scene, v)
						mu.Lock()
						defer mu.Unlock()
						if by[v] = out; err != nil {
							failed = fmt.Errorf("%v: %w", v, err)
						}
					})
				}
				group.Wait()
				if failed != nil {
					return failed
				}
				fmt.Fprintf(c.ErrOrStderr(), "seed %d:", scene.Seed)
				for _, v := range restart.Variants() {
					fmt.Fprintf(c.ErrOrStderr(), " %v %.3f (%.3f)", v, by[v].Benefit, by[v].First)
				}
				fmt.Fprintln(c.ErrOrStderr())
				all = append(all, by)
			}
			fmt.Fprint(c.OutOrStdout(), restart.Table(restart.Summarize(all)))
			return nil
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().IntVar(&seeds, "seeds", seeds, "how many")
	c.Flags().Int64Var(&seed, "seed", seed, "the first")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "commands a second")
	c.Flags().Float64Var(&scene.Slow, "slow", scene.Slow, "times the usual time at the slow engine")
	c.Flags().Float64Var(&scene.Cold, "cold", scene.Cold, "times the work of a command whose tables are not warm")
	c.Flags().DurationVar(&scene.Learn, "learn", scene.Learn, "time ahead of the restart")
	c.Flags().DurationVar(&scene.Measure, "measure", 10*time.Second, "time after it")
	return c
}
