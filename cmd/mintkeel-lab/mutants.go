package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/mutants"
)

// mutationTest changes a source file in one place at a time and runs the tests on each mutant.
type mutationTest struct {
	count       int    // mutants to draw
	seed        int64  // of the draw
	file        string // source file to change
	funcs       []string
	packages    []string      // packages whose tests are run
	workers     int           // mutants that are tested at a time
	testTimeout time.Duration // for the tests of one mutant
	checks      bool          // drop one check at a time instead of changing operators
}

func mutantsCommand() *cobra.Command {
	t := &mutationTest{
		count:       90,
		seed:        1,
		file:        "router/eligibility.go",
		packages:    []string{"./router", "./internal/lab/simulation"},
		workers:     max(1, runtime.NumCPU()/2),
		testTimeout: time.Minute,
	}
	c := &cobra.Command{
		Use: "mutants",
		Short: "Change one operator of the module at a time and check whether a test fails; " +
			"run at the repository's root",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return t.run(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().IntVar(&t.count, "n", t.count, "number of mutants to draw")
	c.Flags().Int64Var(&t.seed, "seed", t.seed, "seed of the draw")
	c.Flags().IntVar(&t.workers, "workers", t.workers, "mutants that are tested at a time")
	c.Flags().StringVar(&t.file, "file", t.file, "source file to change")
	c.Flags().DurationVar(&t.testTimeout, "within", t.testTimeout,
		"timeout for the tests of one mutant")
	c.Flags().StringSliceVar(&t.funcs, "func", nil, "functions to change; default: all")
	c.Flags().BoolVar(&t.checks, "checks", false,
		"drop one check at a time instead of changing operators")
	c.Flags().StringSliceVar(&t.packages, "packages", t.packages, "packages whose tests are run")
	return c
}

func (t *mutationTest) run(ctx context.Context, out io.Writer) error {
	drawn, err := t.draw()
	if err != nil {
		return err
	}
	counts := map[mutants.Verdict]int{}
	var survivors []mutants.Mutant
	err = mutants.Run(ctx, ".", drawn, t.packages, t.workers, t.testTimeout,
		func(m mutants.Mutant, verdict mutants.Verdict, _ string) {
			counts[verdict]++
			if verdict == mutants.Survived {
				survivors = append(survivors, m)
			}
		})
	slices.SortFunc(survivors, func(a, b mutants.Mutant) int { return cmp.Compare(a.Line, b.Line) })
	for _, m := range survivors {
		fmt.Fprintln(out, m)
	}
	fmt.Fprintf(out, "%d of %d mutants of %s survived; %d killed, %d timed out, %d invalid\n",
		counts[mutants.Survived], len(drawn), t.file, counts[mutants.Killed], counts[mutants.TimedOut],
		counts[mutants.Invalid])
	return err
}

// draw chooses the mutants to test.
func (t *mutationTest) draw() ([]mutants.Mutant, error) {
	list := mutants.OperatorMutants
	if t.checks {
		list = mutants.ConditionMutants
	}
	all, err := list(t.file)
	if err != nil {
		return nil, err
	}
	if len(t.funcs) > 0 {
		all = slices.DeleteFunc(all, func(m mutants.Mutant) bool {
			return !slices.Contains(t.funcs, m.Func)
		})
	}
	drawn := mutants.Sample(all, t.count, t.seed)
	if len(drawn) == 0 {
		return nil, errors.New("the chosen functions have nothing to change")
	}
	return drawn, nil
}
