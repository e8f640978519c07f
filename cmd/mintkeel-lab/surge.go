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

// maxConcurrentSurges bounds the runs at the same time; each has a daemon of its own.
const maxConcurrentSurges = 6

// surgeMeasurement measures the benefit of a rule that marks a table group as hot before queries
// surge on it.
type surgeMeasurement struct {
	scene     restart.Scene
	seeds     int
	firstSeed int64
}

func surgeCommand() *cobra.Command {
	m := &surgeMeasurement{scene: restart.Usual(), seeds: 6, firstSeed: 1}
	scene := &m.scene
	scene.Learn = 8 * time.Second
	scene.Hot = 0.5
	scene.Slow = 1
	c := &cobra.Command{
		Use:   "surge",
		Short: "Measure the benefit of a rule that marks a table group as hot before queries surge on it",
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
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "path of the daemon")
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "number of seeds")
	c.Flags().Int64Var(&m.firstSeed, "seed", m.firstSeed, "first seed")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "queries per second")
	c.Flags().Float64Var(&scene.Hot, "hot", scene.Hot, "share of the queries on the hot table group")
	return c
}

// play runs each seed with the rule and without it, up to maxConcurrentSurges runs at a time. It
// returns the outcomes of each seed by variant, and the first error.
func (m *surgeMeasurement) play(ctx context.Context) (
	[]map[restart.Variant]restart.Outcome, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var firstErr error
	outcomes := make([]map[restart.Variant]restart.Outcome, m.seeds)
	slots := make(chan bool, maxConcurrentSurges)
	for i := range m.seeds {
		outcomes[i] = map[restart.Variant]restart.Outcome{}
		for _, variant := range []restart.Variant{restart.Without, restart.With} {
			scene := m.scene
			scene.Seed = m.firstSeed + int64(i)
			group.Go(func() {
				slots <- true
				defer func() { <-slots }()
				outcome, err := restart.Surge(ctx, scene, variant == restart.With)
				mu.Lock()
				defer mu.Unlock()
				if firstErr == nil {
					firstErr = err
				}
				outcomes[i][variant] = outcome
			})
		}
	}
	group.Wait()
	return outcomes, firstErr
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
