package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/restart"
	"mintkeel/internal/lab/steps"
)

func behindCommand() *cobra.Command {
	seeds, times, decide := 5, []float64{0.9, 1, 1.2, 2, 5, 20}, []float64{0.05, 0.2}
	c := &cobra.Command{
		Use:   "behind",
		Short: "Measure, in virtual time, what becomes of commands when more come than can be decided",
		Long: `Measure, in virtual time, what becomes of commands when more come than can be decided. A send takes the processor so many ms,
a command that is turned away a tenth of that, one that finds the queue full a fiftieth. Beside it the module that is not told
how long commands waited.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintln(out, "| a send takes | comes, over what can be decided | in time, of what could be | late | missed | not told: in time | late | missed |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
			for _, d := range decide {
				for _, x := range times {
					var in, late [2][]float64
					var missed [2]int
					for seed := range int64(seeds) {
						p := steps.Pressed{Seed: seed, Times: x, Decide: d, Away: d / 10, Refused: d / 50, Length: d * 20000}
						for i := range 2 {
							p.Blind = i == 1
							o := p.Play(newModule)
							could := min(float64(o.Commands), p.Length/d)
							in[i], late[i] = append(in[i], float64(o.InTime)/could), append(late[i], float64(o.Late)/could)
							missed[i] += o.Missed
						}
					}
					fmt.Fprintf(out, "| %g ms | %g | %.2f | %.2f | %d | %.2f | %.2f | %d |\n", d, x, restart.Median(in[0]), restart.Median(late[0]),
						missed[0], restart.Median(in[1]), restart.Median(late[1]), missed[1])
				}
			}
			return c.Context().Err()
		},
	}
	c.Flags().IntVar(&seeds, "seeds", seeds, "how many; medians are told")
	c.Flags().Float64SliceVar(&times, "times", times, "what comes, over what can be decided")
	c.Flags().Float64SliceVar(&decide, "decide", decide, "ms of processor time that a send takes")
	return c
}
