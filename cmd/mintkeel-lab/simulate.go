package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/simulation"
)

// simulationTotals sums up random simulations.
type simulationTotals struct {
	played            int
	queries           int
	attempts          int
	retries           int
	slowStartAttempts int // attempts at engines that were still warming up
	restarts          int // restarts of controllers
	steps             int
	broken            int // simulations that broke a rule
}

func simulateCommand() *cobra.Command {
	count := 1000
	seed := 0
	c := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"worlds"}, // name in an earlier version, kept for one more version
		Short: "Simulate random fleets in virtual time and check the seven rules; " +
			"exit code 1 if one is broken",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			totals, err := playSimulations(c.Context(), c.OutOrStdout(), count, seed)
			totals.print(c.OutOrStdout())
			if err == nil && totals.broken > 0 {
				err = fmt.Errorf("%d simulations broke a rule", totals.broken)
			}
			return err
		},
	}
	c.Flags().IntVar(&count, "n", count, "number of simulations")
	c.Flags().IntVar(&seed, "seed", seed, "seed of the first simulation; the others follow")
	return c
}

// playSimulations runs simulations on all processors and prints each broken rule as it is found.
// If the context ends early, the totals cover the simulations that had run by then.
func playSimulations(ctx context.Context, out io.Writer, count, firstSeed int) (
	simulationTotals, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var totals simulationTotals
	seeds := make(chan int)
	for range runtime.NumCPU() {
		group.Go(func() {
			for seed := range seeds {
				spec := simulation.FromSeed(seed)
				result := simulation.Play(spec, spec.Module)
				mu.Lock()
				totals.add(result)
				for _, breach := range result.Breaches() {
					fmt.Fprintf(out, "world %d: %v\n", seed, breach)
				}
				mu.Unlock()
			}
		})
	}
	for i := range count {
		if ctx.Err() != nil {
			break
		}
		seeds <- firstSeed + i
	}
	close(seeds)
	group.Wait()
	return totals, ctx.Err()
}

func (t *simulationTotals) add(result *simulation.Result) {
	t.played++
	t.queries += result.Queries
	t.attempts += result.Attempts
	t.retries += result.Retries
	t.slowStartAttempts += result.SlowStartAttempts
	t.restarts += result.Restarts
	t.steps += result.Steps
	if len(result.Breaches()) > 0 {
		t.broken++
	}
}

func (t *simulationTotals) print(out io.Writer) {
	fmt.Fprintf(out, "%d simulations: %d queries, %d attempts, %d retries, "+
		"%d attempts at cold engines, %d restarts, %d steps; %d broke a rule\n",
		t.played, t.queries, t.attempts, t.retries, t.slowStartAttempts, t.restarts, t.steps, t.broken)
}
