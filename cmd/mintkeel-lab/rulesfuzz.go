package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/exprs"
	"mintkeel/match"
)

const (
	brokenInterval    = 4 // every brokenInterval-th expression is broken before it is compiled
	valueTypes        = 4 // number of values of match.Type
	expressionDepths  = 7 // number of depths drawn for an expression: 0 to 6
	rowsPerExpression = 4 // rows on which each expression is evaluated
	maxConfirmations  = 5 // further evaluations that confirm a new longest time
)

// fuzzTally counts the outcomes of random expressions.
type fuzzTally struct {
	compiled      int // well-typed expressions that compiled
	tooExpensive  int // well-typed expressions that were refused as too long or of too many steps
	refused       int // broken expressions that were refused
	stillValid    int // broken expressions that compiled
	evaluations   int
	wrong         []string // expressions with a wrong value or a wrong reason for their refusal
	slowest       time.Duration
	slowestSource string
	mostSteps     int // of one expression
}

func rulesFuzzCommand() *cobra.Command {
	count := 100000
	seed := int64(1)
	c := &cobra.Command{
		Use: "rules-fuzz",
		Short: "Compile and evaluate random expressions, well-typed and broken, " +
			"and compare with a direct evaluation",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			tally := fuzzExpressions(c.Context(), count, seed)
			tally.print(c.OutOrStdout())
			if len(tally.wrong) > 0 {
				return fmt.Errorf("%d expressions gave a wrong result, the first: %.500s", len(tally.wrong),
					tally.wrong[0])
			}
			return nil
		},
	}
	c.Flags().IntVar(&count, "n", count, "number of expressions")
	c.Flags().Int64Var(&seed, "seed", seed, "seed of the draw")
	return c
}

// fuzzExpressions tries expressions with one worker on each of half of the processors. Each
// worker has a seed of its own.
func fuzzExpressions(ctx context.Context, count int, seed int64) *fuzzTally {
	workers := max(1, runtime.NumCPU()/2)
	var mu sync.Mutex
	var group sync.WaitGroup
	var total fuzzTally
	for worker := range workers {
		group.Go(func() {
			rng := rand.New(rand.NewSource(seed + int64(worker)))
			var tally fuzzTally
			for i := 0; i < (count+worker)/workers && ctx.Err() == nil; i++ {
				tally.tryExpression(rng, i%brokenInterval == 0)
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(&tally)
		})
	}
	group.Wait()
	return &total
}

// tryExpression draws one expression, breaks it if asked to, compiles it and evaluates it.
func (t *fuzzTally) tryExpression(rng *rand.Rand, broken bool) {
	valueType := match.Type(rng.Intn(valueTypes))
	drawn := exprs.Generate(rng, valueType, rng.Intn(expressionDepths))
	source := drawn.Source
	if broken {
		source = exprs.Corrupt(rng, source)
	}
	compiled, err := match.Compile(source, valueType, &exprs.Schema, match.DefaultBounds())
	if err != nil {
		t.addCompileError(source, broken, err)
		return
	}
	if broken {
		t.stillValid++
	} else {
		t.compiled++
	}
	t.mostSteps = max(t.mostSteps, compiled.Steps())
	var scratch match.Scratch
	for range rowsPerExpression {
		row := exprs.RandomRow(rng)
		value := t.evaluate(compiled, source, row, &scratch)
		if !broken && value != evaluateTree(drawn, row) {
			t.wrong = append(t.wrong, source)
		}
	}
}

// addCompileError counts an expression that was refused. A well-typed one may be refused only
// because it is too expensive.
func (t *fuzzTally) addCompileError(source string, broken bool, err error) {
	var refusal *match.Error
	if !errors.As(err, &refusal) {
		t.wrong = append(t.wrong, source)
		return
	}
	if broken {
		t.refused++
		return
	}
	t.tooExpensive++
	if !strings.Contains(refusal.Reason, "steps, of") && !strings.Contains(refusal.Reason, "longer") {
		t.wrong = append(t.wrong, source+": "+err.Error())
	}
}

// evaluate evaluates an expression on a row and records the longest time. A new longest time is
// confirmed by further evaluations, because the process may have been suspended during the first.
func (t *fuzzTally) evaluate(expression *match.Expr, source string, row match.Row,
	scratch *match.Scratch) any {
	took, value := timeEvaluation(expression, row, scratch)
	t.evaluations++
	for tries := 0; took > t.slowest && tries < maxConfirmations; tries++ {
		again, _ := timeEvaluation(expression, row, scratch)
		took = min(took, again)
	}
	if took > t.slowest {
		t.slowest = took
		t.slowestSource = source
	}
	return value
}

func (t *fuzzTally) add(other *fuzzTally) {
	t.compiled += other.compiled
	t.tooExpensive += other.tooExpensive
	t.refused += other.refused
	t.stillValid += other.stillValid
	t.evaluations += other.evaluations
	t.mostSteps = max(t.mostSteps, other.mostSteps)
	t.wrong = append(t.wrong, other.wrong...)
	if other.slowest > t.slowest {
		t.slowest = other.slowest
		t.slowestSource = other.slowestSource
	}
}

func (t *fuzzTally) print(out io.Writer) {
	fmt.Fprintf(out, "%d well-typed compiled, %d refused as too dear; %d broken refused, "+
		"%d still were expressions; %d evaluations, none failed, %d otherwise than walked\n",
		t.compiled, t.tooExpensive, t.refused, t.stillValid, t.evaluations, len(t.wrong))
	fmt.Fprintf(out, "most steps %d, slowest evaluation %v: %.200s\n",
		t.mostSteps, t.slowest, t.slowestSource)
}

// timeEvaluation evaluates a compiled expression and returns the time taken. A text is copied
// after the time is taken, because it may lie in the scratch memory.
func timeEvaluation(expression *match.Expr, row match.Row,
	scratch *match.Scratch) (time.Duration, any) {
	began := time.Now()
	switch expression.Type() {
	case match.Bool:
		value := expression.Bool(row, scratch)
		return time.Since(began), value
	case match.Text:
		value := expression.Text(row, scratch)
		took := time.Since(began)
		return took, strings.Clone(value)
	}
	value := expression.Number(row, scratch)
	return time.Since(began), value
}

// evaluateTree evaluates the drawn expression tree directly, without the matching language.
func evaluateTree(tree *exprs.Expr, row match.Row) any {
	switch tree.Type {
	case match.Bool:
		return tree.Bool(row)
	case match.Text:
		return tree.Text(row)
	}
	return tree.Number(row)
}
