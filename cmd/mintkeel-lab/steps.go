package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/reference"
	"mintkeel/internal/lab/steps"
	"mintkeel/router"
)

func stepsCommand() *cobra.Command {
	engines, held, tables := []int{10, 100, 1000}, []int{10, 1000, 100000}, []int{10, 1000}
	n, within, old, keys, controllers := 2000, 3*time.Second, true, 0, 1
	c := &cobra.Command{
		Use:   "steps",
		Short: "Measure what a step of the module costs, by engines, held commands and table groups, beside the reference",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintln(out, "| fleet | engines | held | table groups | median µs | 99th | longest | over median | allocations | bytes a held command | longest at start | reference median | 99th | longest | old over new | longest at start |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
			row := func(s steps.Scene) {
				s.Keys, s.Controllers = keys, controllers
				a := measure(s, newModule, n, within)
				fmt.Fprintf(out, "| %v | %d | %d | %d | %.1f | %.1f | %.0f | %.0f | %.1f | %.0f | %.0f |", s.Busy, s.Engines, a.Held, s.Tables, a.Median,
					a.P99, a.Longest, a.Longest/a.Median, a.Allocations, a.Bytes, a.Start)
				if old {
					b := measure(s, oldModule, n, within)
					fmt.Fprintf(out, " %.1f | %.1f | %.0f | %.2f | %.0f |", b.Median, b.P99, b.Longest, b.Median/a.Median, b.Start)
				}
				fmt.Fprintln(out)
			}
			for _, t := range tables {
				for _, e := range engines {
					row(steps.Scene{Engines: e, Tables: t, Busy: steps.Idle})
					row(steps.Scene{Engines: e, Tables: t, Busy: steps.Half})
					for _, h := range held {
						row(steps.Scene{Engines: e, Tables: t, Busy: steps.Full, Held: h})
					}
				}
			}
			return c.Context().Err()
		},
	}
	c.Flags().IntSliceVar(&engines, "engines", engines, "how many")
	c.Flags().IntSliceVar(&held, "held", held, "commands held, where all engines are full")
	c.Flags().IntSliceVar(&tables, "tables", tables, "table groups")
	c.Flags().IntVar(&n, "n", n, "steps of each row, at the most")
	c.Flags().DurationVar(&within, "within", within, "for the steps of a row")
	c.Flags().BoolVar(&old, "reference", old, "measure the reference too")
	c.Flags().IntVar(&keys, "keys", keys, "order keys; 0: none")
	c.Flags().IntVar(&controllers, "controllers", controllers, "side by side")
	return c
}

func newModule(seed int64, place router.Identity, kinds []router.MachineKind, profiles []router.QueryClass, tenants []router.Tenant,
	allowed router.Capabilities, guards router.SafetyLimits) steps.Module {
	return router.New(seed, place, kinds, profiles, tenants, allowed, guards)
}

func oldModule(seed int64, place router.Identity, kinds []router.MachineKind, profiles []router.QueryClass, tenants []router.Tenant,
	allowed router.Capabilities, guards router.SafetyLimits) steps.Module {
	return reference.New(seed, place, kinds, profiles, tenants, allowed, guards)
}

// measure takes a few steps first, and then as many as there is time for.
func measure(s steps.Scene, newModule steps.Make, n int, within time.Duration) steps.Costs {
	g := steps.New(s, newModule)
	few := g.Run(20)
	if most := int(within.Seconds() * 1e6 / max(0.1, few.Median)); most < n {
		n = max(20, most)
	}
	return g.Run(n)
}
