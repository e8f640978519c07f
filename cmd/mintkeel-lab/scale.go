package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/scale"
	"mintkeel/internal/lab/scale/slope"
)

// scaleRun measures how costs grow with the fleet size, or prints the rows of earlier runs.
type scaleRun struct {
	options      scale.Options
	only         []string // names of measurements; empty: all
	from         []string // files whose rows are printed instead of measuring
	asJSON       bool
	verbose      bool          // print each figure as it is measured
	timeLimit    time.Duration // the run ends after this time with the rows measured so far
	capacityPage string        // page that lists the costs known to be over their budget
}

func scaleCommand() *cobra.Command {
	r := &scaleRun{timeLimit: 40 * time.Minute, capacityPage: "docs/CAPACITY.md"}
	list := false
	c := &cobra.Command{
		Use: "scale",
		Short: "Measure how each cost grows with the fleet size, and report the costs of " +
			"670 controllers in front of 1,100 engines",
		Long: `Measure how each cost grows with the fleet size, and report the costs of 670
controllers in front of 1,100 engines: for each row the sizes measured, the
fitted slope with its residual, and the value at the target size with the
operators' budget. --quick measures only small fleets, within a minute on two
cores.

The exit code is 1 if a measurement failed, or if a row that was measured at its
target size is over its budget and the capacity page does not list it in a line
of the form "over budget: ROLE: COST (CONDITION)".`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			measurements, err := scale.Select(r.only)
			if err != nil {
				return err
			}
			if list {
				for _, m := range measurements {
					fmt.Fprintln(c.OutOrStdout(), m.Name)
				}
				return nil
			}
			return r.run(c.Context(), measurements, c.OutOrStdout(), c.ErrOrStderr())
		},
	}
	c.Flags().BoolVar(&r.options.Quick, "quick", false,
		"measure only small fleets, all at the same time")
	c.Flags().Int64Var(&r.options.Seed, "seed", 1, "seed of the first history in virtual time")
	c.Flags().IntSliceVar(&r.options.Sizes, "sizes", nil,
		"sizes of the fleets of hollow controllers; default: 30, 100, 300, 670; smaller with --quick")
	c.Flags().StringSliceVar(&r.only, "only", nil, "measurements to run, as --list names them")
	c.Flags().BoolVar(&list, "list", false, "list the measurements")
	c.Flags().BoolVar(&r.asJSON, "json", false, "print the rows with all points as JSON")
	c.Flags().StringSliceVar(&r.from, "from", nil,
		"files written with --json, whose rows are printed instead of measuring")
	c.Flags().BoolVar(&r.verbose, "tell", false, "print each figure as it is measured")
	c.Flags().DurationVar(&r.timeLimit, "within", r.timeLimit,
		"time limit, after which the run ends with the rows measured so far")
	c.Flags().StringVar(&r.capacityPage, "page", r.capacityPage,
		"page that lists the costs known to be over their budget")
	c.AddCommand(scaleShareCommand())
	return c
}

// run measures or reads the rows and prints them, including those measured before a failure. It
// lists the rows over their budget on errs.
func (r *scaleRun) run(ctx context.Context, measurements []scale.Measurement,
	out, errs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, r.timeLimit)
	defer cancel()
	r.options.Command = scaleShareProcess
	if r.verbose {
		r.options.Logf = timestamped(errs)
	}
	var rows []slope.Row
	var failed error
	if len(r.from) > 0 {
		rows, failed = readScaleRows(r.from)
	} else {
		rows, failed = scale.Run(ctx, measurements, r.options)
	}
	printFailed := printScaleRows(out, rows, r.asJSON)
	return errors.Join(failed, printFailed, checkBudgets(errs, rows, r.capacityPage))
}

// timestamped returns a function that writes lines prefixed with the seconds since this call.
func timestamped(w io.Writer) func(format string, args ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		line := append([]any{time.Since(began).Seconds()}, args...)
		fmt.Fprintf(w, "%6.1f s "+format+"\n", line...)
	}
}

// checkBudgets lists the rows over their budget. It returns an error if the page does not list
// one that was measured at its target size; extrapolated rows are not an error.
func checkBudgets(w io.Writer, rows []slope.Row, page string) error {
	known, err := scale.ReadKnownFile(page)
	if err != nil {
		return err
	}
	measured, extrapolated := scale.Excesses(rows)
	unlisted := 0
	for _, excess := range measured {
		listed := "listed in " + page
		if !known[excess] {
			listed = "NOT listed in " + page
			unlisted++
		}
		fmt.Fprintf(w, "%s: measured, %s\n", excess, listed)
	}
	for _, excess := range extrapolated {
		fmt.Fprintf(w, "%s: extrapolated\n", excess)
	}
	if unlisted > 0 {
		return fmt.Errorf("%d rows are over their budget and not listed in the capacity page", unlisted)
	}
	return nil
}
