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

// checkTestTimeout bounds the tests of one dropped check.
const checkTestTimeout = 5 * time.Minute

// maxFailureBytes bounds what is printed of a test output that names no line of a test file.
const maxFailureBytes = 300

func fleetChecksCommand() *cobra.Command {
	workers := 1
	name := ""
	c := &cobra.Command{
		Use: "checks",
		Short: "Drop each check that the configuration's guarantees depend on, " +
			"and verify that the histories or the core's tests fail",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return tryDroppedChecks(c.Context(), c.OutOrStdout(), name, workers)
		},
	}
	c.Flags().IntVar(&workers, "workers", workers, "checks that are tested at a time")
	c.Flags().StringVar(&name, "name", name, "only checks whose name contains this; empty: all")
	return c
}

// tryDroppedChecks drops each check whose name contains the given text, one per test run, and
// returns an error if the tests pass without one of them.
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
		err = fmt.Errorf("no test failed for %d dropped checks", missed)
	}
	return err
}

// firstFailure returns the line of a test's output that reports the first failure, or the
// beginning of an output without such a line.
func firstFailure(output string) string {
	for line := range strings.Lines(output) {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(output[:min(len(output), maxFailureBytes)])
}
