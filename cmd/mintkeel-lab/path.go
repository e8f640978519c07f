package main

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
)

func pathCommand() *cobra.Command {
	scene, seeds, seed := restart.Usual(), 5, int64(1)
	scene.Learn, scene.Measure, scene.Slow, scene.Rate, scene.Engines = 3*time.Second, 8*time.Second, 1, 500, 12
	counts := []int{0, 1, 10, 100, 1000, 10000}
	c := &cobra.Command{
		Use:   "rules-path",
		Short: "Measure what rules cost on the daemon's whole path, by their number, as ratios to none in the same turn",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if scene.Mintkeel, err = filepath.Abs(scene.Mintkeel); err != nil {
				return err
			}
			ratios, benefits := make([][]float64, len(counts)), make([][]float64, len(counts))
			for turn := range seeds {
				scene.Seed = seed + int64(turn)
				none := 0.0
				for i, n := range counts { // one at a time: they would take each other's processors
					cost, err := restart.Path(c.Context(), scene, restart.Ruled(n, scene.Groups))
					if err != nil {
						return err
					}
					if i == 0 {
						none = cost.Processor
					}
					ratios[i] = append(ratios[i], cost.Processor/none)
					benefits[i] = append(benefits[i], cost.Benefit)
				}
			}
			fmt.Fprintln(c.OutOrStdout(), "| rules | processor time of a command, over none | benefit |\n| --- | --- | --- |")
			for i, n := range counts {
				mean, half := restart.Around(ratios[i])
				fmt.Fprintf(c.OutOrStdout(), "| %d | %.2f ±%.2f | %.3f |\n", n, mean, half, restart.Median(benefits[i]))
			}
			return nil
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().IntVar(&seeds, "turns", seeds, "how often each number is measured")
	c.Flags().Int64Var(&seed, "seed", seed, "of the first turn")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "commands a second")
	c.Flags().IntSliceVar(&counts, "rules", counts, "how many; the first is what the others are compared with")
	return c
}
