package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/scale"
	"mintkeel/internal/lab/scale/hollow"
	"mintkeel/internal/lab/scale/slope"
)

func scaleCommand() *cobra.Command {
	var options scale.Options
	var only, from []string
	var list, asJSON, tell bool
	within, page := 40*time.Minute, "docs/CAPACITY.md"
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure how each cost grows with the fleet, and tell what 670 controllers before 1,100 engines cost",
		Long: `Measure how each cost grows with the fleet, and tell what 670 controllers before
1,100 engines cost: for each row the sizes measured, the fitted slope with its
residual, and the value at the target beside the operators' budget. --quick
measures small fleets alone, within a minute on two cores.

It ends with 1 if something could not be measured, or if a row that was measured
at its target is over its budget and the page of the fleet's capacity does not
list it in a line as "over budget: ROLE: COST (CONDITION)".`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			measurements, err := scale.Select(only)
			if err != nil {
				return err
			}
			if list {
				for _, m := range measurements {
					fmt.Fprintln(c.OutOrStdout(), m.Name)
				}
				return nil
			}
			ctx, cancel := context.WithTimeout(c.Context(), within)
			defer cancel()
			options.Command = shareProcess
			if tell {
				options.Tell = teller(c.ErrOrStderr())
			}
			var rows []slope.Row
			var failed error
			if len(from) > 0 {
				rows, failed = readRows(from)
			} else {
				rows, failed = scale.Run(ctx, measurements, options)
			}
			return errors.Join(failed, report(c.OutOrStdout(), rows, asJSON), unlisted(c.ErrOrStderr(), rows, page))
		},
	}
	c.Flags().BoolVar(&options.Quick, "quick", false, "small fleets alone, beside each other")
	c.Flags().Int64Var(&options.Seed, "seed", 1, "of the first history in virtual time")
	c.Flags().IntSliceVar(&options.Sizes, "sizes", nil, "of the fleets of hollow controllers; none: 30, 100, 300, 670, or small ones")
	c.Flags().StringSliceVar(&only, "only", nil, "measurements, as --list names them")
	c.Flags().BoolVar(&list, "list", false, "list the measurements")
	c.Flags().BoolVar(&asJSON, "json", false, "print the rows with all points as JSON")
	c.Flags().StringSliceVar(&from, "from", nil, "files that --json has written: their rows are told, and nothing is measured")
	c.Flags().BoolVar(&tell, "tell", false, "tell each figure as it is measured")
	c.Flags().DurationVar(&within, "within", within, "end after so long, with what was measured")
	c.Flags().StringVar(&page, "page", page, "the page that lists what is known to be over its budget")
	c.AddCommand(shareCommand())
	return c
}

// readRows reads the rows of earlier runs.
func readRows(paths []string) (rows []slope.Row, err error) {
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return rows, err
		}
		var some []slope.Row
		if err := json.Unmarshal(data, &some); err != nil {
			return rows, fmt.Errorf("%s: %w", path, err)
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

// teller writes lines with the time since it was made.
func teller(w io.Writer) func(format string, args ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		fmt.Fprintf(w, "%6.1f s "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
	}
}

// scaleRow is a row as it is printed as JSON, with what follows from its points.
type scaleRow struct {
	slope.Row
	Line     slope.Line `json:"line"`
	AtTarget float64    `json:"at_target"`
	Origin   string     `json:"origin"`
	Ratio    float64    `json:"ratio"`
}

func report(w io.Writer, rows []slope.Row, asJSON bool) error {
	if !asJSON {
		return scale.PrintTable(w, rows)
	}
	whole := make([]scaleRow, len(rows))
	for i, r := range rows {
		value, _ := r.AtTarget()
		whole[i] = scaleRow{Row: r, Line: r.Fit(), AtTarget: value, Origin: r.Origin(), Ratio: r.Ratio()}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(whole)
}

// unlisted tells which rows are over their budget. Those that were measured and that the page does not list are an error.
func unlisted(w io.Writer, rows []slope.Row, page string) error {
	known, err := scale.ReadKnownFile(page)
	if err != nil {
		return err
	}
	measured, extrapolated := scale.Excesses(rows)
	missing := 0
	for _, e := range measured {
		listed := "listed in " + page
		if !known[e] {
			listed = "NOT listed in " + page
			missing++
		}
		fmt.Fprintf(w, "%s: measured, %s\n", e, listed)
	}
	for _, e := range extrapolated {
		fmt.Fprintf(w, "%s: extrapolated\n", e)
	}
	if missing > 0 {
		return unlistedError{missing}
	}
	return nil
}

// unlistedError is rows over their budget that the page does not list.
type unlistedError struct{ rows int }

func (e unlistedError) Error() string {
	return fmt.Sprintf("%d rows are over their budget and not listed as that", e.rows)
}

// shareProcess is a process of this program that runs a share of a hollow fleet on one core, as a controller does.
func shareProcess(ctx context.Context) *exec.Cmd {
	path, err := os.Executable()
	if err != nil {
		path = os.Args[0]
	}
	command := exec.CommandContext(ctx, path, "scale", "share")
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	return command
}

func shareCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "share",
		Short:  "Run a share of a hollow fleet as told on the standard input, until it ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return hollow.ServeChild(c.Context(), os.Stdin, c.OutOrStdout())
		},
	}
}
