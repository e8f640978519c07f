package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
)

// rulesMeasurement measures the cost of the operator's rules on the daemon's whole data path.
type rulesMeasurement struct {
	scene     restart.Scene
	counts    []int // numbers of rules; the first is the baseline
	turns     int
	firstSeed int64 // of the first turn
}

func rulesPathCommand() *cobra.Command {
	m := &rulesMeasurement{
		scene:     restart.Usual(),
		counts:    []int{0, 1, 10, 100, 1000, 10000},
		turns:     5,
		firstSeed: 1,
	}
	scene := &m.scene
	scene.Learn = 3 * time.Second
	scene.Measure = 8 * time.Second
	scene.Slow = 1
	scene.Rate = 500
	scene.Engines = 12
	c := &cobra.Command{
		Use: "rules-path",
		Short: "Measure the cost of rules on the daemon's whole data path, by their number, " +
			"as ratios to the first number in the same turn",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return m.run(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "path of the daemon")
	c.Flags().IntVar(&m.turns, "turns", m.turns, "measurements of each number of rules")
	c.Flags().Int64Var(&m.firstSeed, "seed", m.firstSeed, "seed of the first turn")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "queries per second")
	c.Flags().IntSliceVar(&m.counts, "rules", m.counts,
		"numbers of rules; the first is the baseline")
	return c
}

func (m *rulesMeasurement) run(ctx context.Context, out io.Writer) error {
	if err := makeDaemonPathAbsolute(&m.scene); err != nil {
		return err
	}
	// Indexed as m.counts, with one value per turn.
	ratios := make([][]float64, len(m.counts))
	benefits := make([][]float64, len(m.counts))
	for turn := range m.turns {
		m.scene.Seed = m.firstSeed + int64(turn)
		base := 0.0                      // ms of processor time with the first number of rules
		for i, count := range m.counts { // one at a time: runs would compete for the processors
			cost, err := restart.Path(ctx, m.scene, restart.SyntheticRules(count, m.scene.Groups))
			if err != nil {
				return err
			}
			if i == 0 {
				base = cost.Processor
			}
			ratios[i] = append(ratios[i], cost.Processor/base)
			benefits[i] = append(benefits[i], cost.Benefit)
		}
	}
	fmt.Fprintln(out, "| rules | processor time of a command, over none | benefit |\n"+
		"| --- | --- | --- |")
	for i, count := range m.counts {
		mean, half := restart.MeanInterval(ratios[i])
		fmt.Fprintf(out, "| %d | %.2f ±%.2f | %.3f |\n", count, mean, half, restart.Median(benefits[i]))
	}
	return nil
}
