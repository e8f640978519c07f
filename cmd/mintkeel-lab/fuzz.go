package main

import (
	"errors"
	"fmt"
	"math/rand"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/exprs"
	"mintkeel/match"
)

// fuzzed is what became of random expressions.
type fuzzed struct {
	compiled, dear, broken, accepted, evaluated int
	wrong                                       []string
	slowest                                     time.Duration
	slowestSource                               string
	steps                                       int // the most of one expression
}

func (f *fuzzed) add(o fuzzed) {
	f.compiled, f.dear, f.broken, f.accepted = f.compiled+o.compiled, f.dear+o.dear, f.broken+o.broken, f.accepted+o.accepted
	f.evaluated, f.steps = f.evaluated+o.evaluated, max(f.steps, o.steps)
	if f.wrong = append(f.wrong, o.wrong...); o.slowest > f.slowest {
		f.slowest, f.slowestSource = o.slowest, o.slowestSource
	}
}

// fuzzOne tries one expression: every fourth is broken.
func fuzzOne(rng *rand.Rand, i int, f *fuzzed) {
	typ := match.Type(rng.Intn(4))
	drawn := exprs.Draw(rng, typ, rng.Intn(7))
	source := drawn.Source
	if i%4 == 0 {
		source = exprs.Break(rng, source)
	}
	e, err := match.Compile(source, typ, &exprs.Schema, match.DefaultBounds())
	var why *match.Error
	switch {
	case err != nil && !errors.As(err, &why):
		f.wrong = append(f.wrong, source)
		return
	case err != nil && i%4 == 0:
		f.broken++
		return
	case err != nil:
		if f.dear++; !strings.Contains(why.Reason, "steps, of") && !strings.Contains(why.Reason, "longer") {
			f.wrong = append(f.wrong, source+": "+err.Error())
		}
		return
	case i%4 == 0:
		f.accepted++ // it still was an expression
	default:
		f.compiled++
	}
	f.steps = max(f.steps, e.Steps())
	var s match.Scratch
	for range 4 {
		row := exprs.Row(rng)
		took, got := timed(e, row, &s)
		f.evaluated++
		for tries := 0; took > f.slowest && tries < 5; tries++ { // the machine may have been elsewhere
			again, _ := timed(e, row, &s)
			took = min(took, again)
		}
		if took > f.slowest {
			f.slowest, f.slowestSource = took, source
		}
		if i%4 != 0 && got != walked(drawn, row) {
			f.wrong = append(f.wrong, source)
		}
	}
}

func timed(e *match.Expr, row match.Row, s *match.Scratch) (time.Duration, any) {
	began := time.Now()
	switch e.Type() {
	case match.Bool:
		b := e.Bool(row, s)
		return time.Since(began), b
	case match.Text:
		t := e.Text(row, s)
		took := time.Since(began)
		return took, strings.Clone(t)
	}
	x := e.Number(row, s)
	return time.Since(began), x
}

func walked(e *exprs.Expr, row match.Row) any {
	switch e.Type {
	case match.Bool:
		return e.Bool(row)
	case match.Text:
		return e.Text(row)
	}
	return e.Number(row)
}

func fuzzCommand() *cobra.Command {
	n, seed := 100000, int64(1)
	c := &cobra.Command{
		Use:   "rules-fuzz",
		Short: "Compile and evaluate random expressions, well-typed and broken, beside a plain evaluation",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			workers := max(1, runtime.NumCPU()/2)
			var mu sync.Mutex
			var group sync.WaitGroup
			var all fuzzed
			for w := range workers {
				group.Go(func() {
					rng := rand.New(rand.NewSource(seed + int64(w)))
					var f fuzzed
					for i := 0; i < (n+w)/workers && c.Context().Err() == nil; i++ {
						fuzzOne(rng, i, &f)
					}
					mu.Lock()
					defer mu.Unlock()
					all.add(f)
				})
			}
			group.Wait()
			fmt.Fprintf(c.OutOrStdout(), "%d well-typed compiled, %d refused as too dear; %d broken refused, %d still were "+
				"expressions; %d evaluations, none failed, %d otherwise than walked\nmost steps %d, slowest evaluation %v: %.200s\n",
				all.compiled, all.dear, all.broken, all.accepted, all.evaluated, len(all.wrong), all.steps, all.slowest,
				all.slowestSource)
			if len(all.wrong) > 0 {
				return fmt.Errorf("%d expressions are wrong, the first: %.500s", len(all.wrong), all.wrong[0])
			}
			return nil
		},
	}
	c.Flags().IntVar(&n, "n", n, "how many")
	c.Flags().Int64Var(&seed, "seed", seed, "by which they are drawn")
	return c
}
