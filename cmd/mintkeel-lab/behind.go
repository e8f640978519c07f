package main

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
	"mintkeel/internal/lab/steps"
)

// overloadMeasurement runs a controller that receives more queries than it has processor time to
// decide, in virtual time.
type overloadMeasurement struct {
	seeds         int
	loads         []float64 // ratio of the queries that arrive to those that can be decided
	decisionTimes []float64 // processor time of an attempt in ms
}

// overloadResult sums up the queries of all seeds at one load.
type overloadResult struct {
	inTime []float64 // by seed: share of the answerable queries that were answered in time
	late   []float64 // by seed: share of the answerable queries that were answered late
	missed int       // queries without a final answer before the client timeout, over all seeds
}

func behindCommand() *cobra.Command {
	m := &overloadMeasurement{
		seeds:         5,
		loads:         []float64{0.9, 1, 1.2, 2, 5, 20},
		decisionTimes: []float64{0.05, 0.2},
	}
	c := &cobra.Command{
		Use:   "behind",
		Short: "Measure, in virtual time, how queries fare when more arrive than can be decided",
		Long: `Measure, in virtual time, how queries fare when more arrive than can be decided.
An attempt takes the processor time that --decide gives, a rejected query a
tenth of that, and a query that finds the queue full a fiftieth. Each load is
also run with a decision module that is not told how long queries waited.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return m.run(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "number of seeds; medians are printed")
	c.Flags().Float64SliceVar(&m.loads, "times", m.loads,
		"ratios of the queries that arrive to those that can be decided")
	c.Flags().Float64SliceVar(&m.decisionTimes, "decide", m.decisionTimes,
		"processor times of an attempt in ms")
	return c
}

func (m *overloadMeasurement) run(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "| a send takes | comes, over what can be decided | in time, of what could be "+
		"| late | missed | not told: in time | late | missed |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, decisionTime := range m.decisionTimes {
		for _, load := range m.loads {
			informed := m.play(decisionTime, load, false)
			blind := m.play(decisionTime, load, true)
			fmt.Fprintf(out, "| %g ms | %g | %.2f | %.2f | %d | %.2f | %.2f | %d |\n", decisionTime, load,
				restart.Median(informed.inTime), restart.Median(informed.late), informed.missed,
				restart.Median(blind.inTime), restart.Median(blind.late), blind.missed)
		}
	}
	return ctx.Err()
}

// play runs all seeds at one load. A blind module is not told how long queries waited before
// they reached it.
func (m *overloadMeasurement) play(decisionTime, load float64, blind bool) overloadResult {
	const decisionsPerRun = 20000 // attempts that can be decided within the length of a run
	var result overloadResult
	for seed := range int64(m.seeds) {
		run := steps.Overload{
			Seed:               seed,
			LoadFactor:         load,
			AttemptTime:        decisionTime,
			RejectionTime:      decisionTime / 10,
			RefusalTime:        decisionTime / 50,
			Length:             decisionTime * decisionsPerRun,
			WithoutArrivalWait: blind,
		}
		outcome := run.Play(newModule)
		answerable := min(float64(outcome.Queries), run.Length/decisionTime)
		result.inTime = append(result.inTime, float64(outcome.InTime)/answerable)
		result.late = append(result.late, float64(outcome.Late)/answerable)
		result.missed += outcome.Missed
	}
	return result
}
