package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
	"mintkeel/internal/lab/mutants"
)

// checkTestTimeout is how long the tests of one dropped check may take.
const checkTestTimeout = 5 * time.Minute

// firstFailureBytes is how much is printed of a test output that names no line of a test.
const firstFailureBytes = 300

func fleetChecksCommand() *cobra.Command {
	workers := 1
	name := ""
	c := &cobra.Command{
		Use: "checks",
		Short: "Leave out each check that the configuration's promises rest on, " +
			"and see that histories or the core's tests notice",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return tryDroppedChecks(c.Context(), c.OutOrStdout(), name, workers)
		},
	}
	c.Flags().IntVar(&workers, "workers", workers, "at a time")
	c.Flags().StringVar(&name, "name", name, "those with a name that holds this; empty: all")
	return c
}

// tryDroppedChecks leaves out one check after another, of those with a name that contains the
// given text, and fails if no test notices one.
func tryDroppedChecks(ctx context.Context, out io.Writer, name string, workers int) error {
	var chosen []mutants.Mutant
	names := map[string]string{} // of checks, by their mutant
	for _, dropped := range fleet.DroppedChecks() {
		m, err := dropped.Mutant(".")
		if err != nil {
			return err
		}
		if strings.Contains(dropped.Name, name) {
			chosen = append(chosen, m)
			names[m.String()] = dropped.Name
		}
	}
	tests := []string{
		"-run=Configuration ./internal/lab/fleet", // histories
		"./internal/core/fleet/config",
	}
	missed := 0
	err := mutants.Run(ctx, ".", chosen, tests, workers, checkTestTimeout,
		func(m mutants.Mutant, verdict mutants.Verdict, output string) {
			if verdict != mutants.Killed && verdict != mutants.TimedOut {
				missed++
			}
			fmt.Fprintf(out, "%v: %s\n    %s\n", verdict, names[m.String()], firstFailure(output))
		})
	if err == nil && missed > 0 {
		err = fmt.Errorf("%d dropped checks were not noticed", missed)
	}
	return err
}

// firstFailure is the line of a test's output that says what failed first, or the beginning of
// an output without such a line.
func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(output[:min(len(output), firstFailureBytes)])
}
