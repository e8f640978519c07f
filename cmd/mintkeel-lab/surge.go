package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
)

// surgesAtOnce bounds the runs beside each other.
const surgesAtOnce = 6

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
			outcomes, err := playSurges(c.Context(), scene, seeds, seed)
			if err != nil {
				return err
			}
			printSurges(c.OutOrStdout(), outcomes)
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

// playSurges plays each seed with the rule and without, some at a time.
func playSurges(ctx context.Context, scene restart.Scene, seeds int, first int64) ([]map[restart.Variant]restart.Outcome, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed error
	all := make([]map[restart.Variant]restart.Outcome, seeds)
	room := make(chan bool, surgesAtOnce)
	for i := range seeds {
		all[i] = map[restart.Variant]restart.Outcome{}
		for _, variant := range []restart.Variant{restart.Without, restart.With} {
			scene := scene
			scene.Seed = first + int64(i)
			group.Go(func() {
				room <- true
				defer func() { <-room }()
				out, err := restart.Surge(ctx, scene, variant == restart.With)
				mu.Lock()
				defer mu.Unlock()
				if failed == nil {
					failed = err
				}
				all[i][variant] = out
			})
		}
	}
	group.Wait()
	return all, failed
}

func printSurges(out io.Writer, outcomes []map[restart.Variant]restart.Outcome) {
	fmt.Fprintln(out, "| rule | benefit, 10 s | over without | first 2 s | over without | on cold tables |\n"+
		"| --- | --- | --- | --- | --- | --- |")
	for _, s := range restart.Summarize(outcomes) {
		if s.Variant == restart.Without || s.Variant == restart.With {
			fmt.Fprintf(out, "| %v | %.3f | %+.3f ±%.3f | %.3f | %+.3f ±%.3f | %.3f |\n", s.Variant, s.Benefit, s.OverWithout, s.Interval,
				s.First, s.FirstOver, s.FirstAround, s.Cold)
		}
	}
}
