package main

import (
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/relay"
	"mintkeel/internal/lab/restart"
	"mintkeel/internal/limits"
)

func relayCommand() *cobra.Command {
	var listen, engine string
	c := &cobra.Command{
		Use:    "relay",
		Short:  "Pass commands to one engine without deciding: what a controller is measured against",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			runtime.GOMAXPROCS(1)
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			return relay.Serve(c.Context(), listener, engine, []string{"lookup", "report"}, limits.For(16000, 2048, 0, 0, 0))
		},
	}
	c.Flags().StringVar(&listen, "listen", "", "where clients come")
	c.Flags().StringVar(&engine, "engine", "", "where all commands go")
	return c
}

// mostFull is how many engines can be kept full by commands that may take tenths of a second each.
const mostFull = 20

func daemonCommand() *cobra.Command {
	scene, turns, seed := restart.Usual(), 3, int64(1)
	scene.Learn, scene.Measure, scene.Slow, scene.Rate, scene.Sockets, scene.Hot = 3*time.Second, 6*time.Second, 1, 1000, 16000, 0.05
	engines, old, times := []int{10, 100, 1000}, "", 0.6
	c := &cobra.Command{
		Use:   "daemon",
		Short: "Measure the processor time of a command on the whole daemon, by engines, beside a relay and another build",
		Long: `Measure the processor time of a command on the whole daemon against stand-in engines on loopback, as ratios to a relay
that decides nothing and, with --old, to another build of the daemon, in one turn each. Calm is a tenth of what the engines
can do, or the rate; full is the rate with engines that can do only a part of it, so that commands are held.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			now, err := filepath.Abs(scene.Mintkeel)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			fmt.Fprintln(out, "| engines | state | over the relay | old over the relay | old over new | answered in time, new | old |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
			for _, n := range engines {
				for _, full := range []bool{false, true} {
					if full && n > mostFull {
						continue
					}
					var ratios, olds, both, in, inOld []float64
					for turn := range turns {
						s := scene
						s.Engines, s.Seed, s.Work = n, seed+int64(turn), 0
						if full { // what they can do together is a part of what is asked for
							s.Work = times * float64(n) * 4 * 1000 / s.Rate / 0.6
						} else {
							s.Work = min(20, 0.1*float64(n)*4*1000/s.Rate)
						}
						r := s
						r.Relay, r.Engines, r.Mintkeel = true, 1, ""
						base, err := restart.Path(c.Context(), r, "")
						if err != nil {
							return err
						}
						s.Mintkeel = now
						cost, err := restart.Path(c.Context(), s, "")
						if err != nil {
							return err
						}
						ratios, in = append(ratios, cost.Processor/base.Processor), append(in, cost.Benefit)
						if old != "" {
							s.Mintkeel = old
							before, err := restart.Path(c.Context(), s, "")
							if err != nil {
								return err
							}
							olds, inOld = append(olds, before.Processor/base.Processor), append(inOld, before.Benefit)
							both = append(both, before.Processor/cost.Processor)
						}
					}
					state := "calm"
					if full {
						state = "full"
					}
					fmt.Fprintf(out, "| %d | %s | %.2f | %.2f | %.2f | %.3f | %.3f |\n", n, state, restart.Median(ratios), restart.Median(olds),
						restart.Median(both), restart.Median(in), restart.Median(inOld))
				}
			}
			return nil
		},
	}
	c.Flags().StringVar(&scene.Mintkeel, "mintkeel", "bin/mintkeel", "the daemon")
	c.Flags().StringVar(&old, "old", "", "another build of it to compare with")
	c.Flags().IntVar(&turns, "turns", turns, "how often each is measured; medians are told")
	c.Flags().Int64Var(&seed, "seed", seed, "of the first turn")
	c.Flags().Float64Var(&scene.Rate, "rate", scene.Rate, "commands a second")
	c.Flags().IntVar(&scene.Clients, "clients", scene.Clients, "connections of clients that are open at least")
	c.Flags().IntSliceVar(&engines, "engines", engines, "how many")
	return c
}
