package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/mutants"
	"mintkeel/internal/lab/simulation"
)

func simulateCommand() *cobra.Command {
	n, seed := 1000, 0
	c := &cobra.Command{
		Use:     "simulate",
		Aliases: []string{"worlds"}, // the name of an earlier version, for one version more
		Short:   "Play random fleets in virtual time and check the seven rules; exit code 1 if one is broken",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			broken, err := playSimulations(c.Context(), n, seed, func(at int, r *simulation.Result) {
				for _, b := range r.Breaches() {
					fmt.Fprintf(c.OutOrStdout(), "world %d: %v\n", at, b)
				}
			}, c)
			if err == nil && broken > 0 {
				err = fmt.Errorf("%d simulations broke a rule", broken)
			}
			return err
		},
	}
	c.Flags().IntVar(&n, "n", n, "how many")
	c.Flags().IntVar(&seed, "seed", seed, "of the first; the others follow")
	return c
}

func playSimulations(ctx context.Context, n, seed int, tell func(int, *simulation.Result), c *cobra.Command) (int, error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var commands, sends, further, cold, restarts, steps, broken, played int
	jobs := make(chan int)
	for range runtime.NumCPU() {
		group.Go(func() {
			for at := range jobs {
				s := simulation.FromSeed(at)
				r := simulation.Play(s, s.Module)
				mu.Lock()
				commands, sends, further = commands+r.Queries, sends+r.Attempts, further+r.Retries
				cold, restarts, steps, played = cold+r.SlowStartAttempts, restarts+r.Restarts, steps+r.Steps, played+1
				if len(r.Breaches()) > 0 {
					broken++
					tell(at, r)
				}
				mu.Unlock()
			}
		})
	}
	for i := range n {
		if ctx.Err() != nil {
			break
		}
		jobs <- seed + i
	}
	close(jobs)
	group.Wait()
	fmt.Fprintf(c.OutOrStdout(), "%d simulations: %d queries, %d attempts, %d retries, %d attempts at cold engines, %d "+
		"restarts, %d steps; %d broke a rule\n", played, commands, sends, further, cold, restarts, steps, broken)
	return broken, ctx.Err()
}

func mutantsCommand() *cobra.Command {
	n, seed, workers := 90, int64(1), max(1, runtime.NumCPU()/2)
	file, within := "router/eligibility.go", time.Minute
	packages := []string{"./router", "./internal/lab/simulation"}
	var funcs []string
	checks := false
	c := &cobra.Command{
		Use:   "mutants",
		Short: "Change one operator of the module at a time and see whether a test notices; run at the repository's root",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list := mutants.All
			if checks {
				list = mutants.Checks
			}
			all, err := list(file)
			if err != nil {
				return err
			}
			if len(funcs) > 0 {
				all = slices.DeleteFunc(all, func(m mutants.Mutant) bool { return !slices.Contains(funcs, m.Func) })
			}
			drawn := mutants.Some(all, n, seed)
			if len(drawn) == 0 {
				return errors.New("no operator to be changed")
			}
			counts := map[mutants.Verdict]int{}
			var passed []mutants.Mutant
			err = mutants.Try(c.Context(), ".", drawn, packages, workers, within,
				func(m mutants.Mutant, v mutants.Verdict, _ string) {
					if counts[v]++; v == mutants.Passed {
						passed = append(passed, m)
					}
				})
			slices.SortFunc(passed, func(a, b mutants.Mutant) int { return cmp.Compare(a.Line, b.Line) })
			for _, m := range passed {
				fmt.Fprintln(c.OutOrStdout(), m)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d of %d changes of %s pass every test; noticed %d, hung %d, invalid %d\n",
				counts[mutants.Passed], len(drawn), file, counts[mutants.Noticed], counts[mutants.TimedOut],
				counts[mutants.Invalid])
			return err
		},
	}
	c.Flags().IntVar(&n, "n", n, "how many")
	c.Flags().Int64Var(&seed, "seed", seed, "by which they are drawn")
	c.Flags().IntVar(&workers, "workers", workers, "tests that run at once")
	c.Flags().StringVar(&file, "file", file, "source file to be changed")
	c.Flags().DurationVar(&within, "within", within, "for the tests of one change")
	c.Flags().StringSliceVar(&funcs, "func", nil, "functions to be changed; all if none is named")
	c.Flags().BoolVar(&checks, "checks", false, "leave out one check at a time, in place of changing operators")
	c.Flags().StringSliceVar(&packages, "packages", packages, "packages whose tests are run")
	return c
}
