package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
)

// surgesAtOnce is how many runs, each with a daemon of its own, go on beside each other.
const surgesAtOnce = 6

// surgeMeasurement measures what a rule that marks a table group hot is worth.
type surgeMeasurement struct {
	scene restart.Scene
	seeds int
	seed  int64 // the first
}

func surgeCommand() *cobra.Command {
	m := &surgeMeasurement{scene: restart.Usual(), seeds: 6, seed: 1}
	scene := &m.scene
	scene.Learn = 8 * time.Second
	scene.Hot = 0.5
	scene.Slow = 1
	c := &cobra.Command{
		Use:   "surge",
		Short: "Measure what a rule that marks a table group hot is worth when it turns hot at once",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := makeDaemonPathAbsolute(scene); err != nil {
				return err
			}
			outcomes, err := m.play(c.Context())
			if err != nil {
				return err
			}
			printSurges(c.OutOrStdout(), outcomes)
			return nil
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "how many")
	c.Flags().Int64Var(&m.seed, "seed", m.seed, "the first")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "queries a second")
	c.Flags().Float64Var(&scene.Hot, "hot", scene.Hot, "share of the queries on the hot table group")
	return c
}

// play plays each seed with the rule and without, some at a time. The outcomes are listed by seed.
func (m *surgeMeasurement) play(ctx context.Context) (
	[]map[restart.Variant]restart.Outcome, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var failed error
	all := make([]map[restart.Variant]restart.Outcome, m.seeds)
	slots := make(chan bool, surgesAtOnce)
	for i := range m.seeds {
		all[i] = map[restart.Variant]restart.Outcome{}
		for _, variant := range []restart.Variant{restart.Without, restart.With} {
			scene := m.scene
			scene.Seed = m.seed + int64(i)
			group.Go(func() {
				slots <- true
				defer func() { <-slots }()
				outcome, err := restart.Surge(ctx, scene, variant == restart.With)
				mu.Lock()
				defer mu.Unlock()
				if failed == nil {
					failed = err
				}
				all[i][variant] = outcome
			})
		}
	}
	group.Wait()
	return all, failed
}

func printSurges(out io.Writer, outcomes []map[restart.Variant]restart.Outcome) {
	fmt.Fprintln(out, "| rule | benefit, 10 s | over without | first 2 s | over without "+
		"| on cold tables |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range restart.Summarize(outcomes) {
		if s.Variant != restart.Without && s.Variant != restart.With {
			continue
		}
		fmt.Fprintf(out, "| %v | %.3f | %+.3f ±%.3f | %.3f | %+.3f ±%.3f | %.3f |\n",
			s.Variant, s.Benefit, s.OverWithout, s.Interval, s.First, s.FirstOver, s.FirstInterval, s.Cold)
	}
}
