package main

import (
	"fmt"
	"io"
	"sync"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/lab/scale/spread"
)

func fleetSpreadCommand() *cobra.Command {
	options := spread.Options{Seed: 1}
	c := &cobra.Command{
		Use: "spread",
		Short: "Measure how long a version of the configuration takes until it is in force everywhere, " +
			"in virtual time",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var mu sync.Mutex // histories run beside each other
			options.Tell = func(format string, args ...any) {
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintf(c.ErrOrStderr(), format+"\n", args...)
			}
			rows, err := spread.Measure(c.Context(), options)
			for _, row := range rows {
				printSpreadRow(c.OutOrStdout(), row)
			}
			return err
		},
	}
	c.Flags().Int64Var(&options.Seed, "seed", options.Seed, "of the first history")
	c.Flags().IntVar(&options.Seeds, "seeds", 5, "histories of each condition")
	c.Flags().IntVar(&options.Changes, "changes", 40, "of each history")
	c.Flags().IntVar(&options.Workers, "workers", 2, "histories at a time")
	c.Flags().StringSliceVar(&options.Only, "only", nil,
		"some conditions: at rest, 10% loss, ...; none: all")
	c.Flags().BoolVar(&options.Largest, "largest", false, "fleets of 670 alone")
	c.Flags().BoolVar(&options.Quick, "quick", false, "small fleets and few changes")
	return c
}

// printSpreadRow prints what one cost is at its target.
func printSpreadRow(out io.Writer, row slope.Row) {
	value, _ := row.AtTarget()
	fmt.Fprintf(out, "| %s | %s | %s | %.0f %s at %.0f, %s | %.2f | %s |\n", row.Role, row.Cost,
		row.Condition, value, row.Unit, row.Target, row.Origin(), row.Ratio(), row.Note)
}
