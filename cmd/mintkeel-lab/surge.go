package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
)

func surgeCommand() *cobra.Command {
	scene, seeds, seed := restart.Usual(), 6, int64(1)
	scene.Learn, scene.Hot, scene.Slow = 8*time.Second, 0.5, 1
	c := &cobra.Command{
		Use:   "surge",
		Short: "Measure what a rule that marks a table group hot is worth when it turns hot at once",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if scene.Mintkeel, err = filepath.Abs(scene.Mintkeel); err != nil {
				return err
			}
			var mu sync.Mutex
			var group sync.WaitGroup
			var failed error
			all := make([]map[restart.Variant]restart.Outcome, seeds)
			turns := make(chan bool, 6) // runs at once
			for i := range seeds {
				all[i] = map[restart.Variant]restart.Outcome{}
				for _, rule := range []bool{false, true} {
					scene := scene
					scene.Seed = seed + int64(i)
					group.Go(func() {
						turns <- true
						defer func() { <-turns }()
						out, err := restart.Surge(c.Context(), scene, rule)
						mu.Lock()
						defer mu.Unlock()
						if failed == nil {
							failed = err
						}
						if rule {
							all[i][restart.With] = out
						} else {
							all[i][restart.Without] = out
						}
					})
				}
			}
			group.Wait()
			if failed != nil {
				return failed
			}
			fmt.Fprintln(c.OutOrStdout(), "| rule | benefit, 10 s | over without | first 2 s | over without | on cold tables |\n"+
				"| --- | --- | --- | --- | --- | --- |")
			for _, s := range restart.Summarize(all) {
				if s.Variant == restart.Without || s.Variant == restart.With {
					fmt.Fprintf(c.OutOrStdout(), "| %v | %.3f | %+.3f ±%.3f | %.3f | %+.3f ±%.3f | %.3f |\n", s.Variant, s.Benefit,
						s.OverWithout, s.Interval, s.First, s.FirstOver, s.FirstAround, s.Cold)
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().IntVar(&seeds, "seeds", seeds, "how many")
	c.Flags().Int64Var(&seed, "seed", seed, "the first")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "commands a second")
	c.Flags().Float64Var(&scene.Hot, "hot", scene.Hot, "share of the commands on the hot table group")
	return c
}
