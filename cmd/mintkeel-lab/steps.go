package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/steps"
)

// stepMeasurement measures what a step of the decision module costs.
type stepMeasurement struct {
	engines       []int
	held          []int // queries held, where all engines are full
	tableGroups   []int
	steps         int           // of each row, at most
	within        time.Duration // for the steps of a row
	withReference bool          // measure the reference too
	orderingKeys  int           // 0: none
	controllers   int
}

func stepsCommand() *cobra.Command {
	m := &stepMeasurement{
		engines:       []int{10, 100, 1000},
		held:          []int{10, 1000, 100000},
		tableGroups:   []int{10, 1000},
		steps:         2000,
		within:        3 * time.Second,
		withReference: true,
		controllers:   1,
	}
	c := &cobra.Command{
		Use: "steps",
		Short: "Measure what a step of the module costs, by engines, held queries and table groups, " +
			"beside the reference",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return m.run(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().IntSliceVar(&m.engines, "engines", m.engines, "how many")
	c.Flags().IntSliceVar(&m.held, "held", m.held, "queries held, where all engines are full")
	c.Flags().IntSliceVar(&m.tableGroups, "tables", m.tableGroups, "table groups")
	c.Flags().IntVar(&m.steps, "n", m.steps, "steps of each row, at the most")
	c.Flags().DurationVar(&m.within, "within", m.within, "for the steps of a row")
	c.Flags().BoolVar(&m.withReference, "reference", m.withReference, "measure the reference too")
	c.Flags().IntVar(&m.orderingKeys, "keys", m.orderingKeys, "ordering keys; 0: none")
	c.Flags().IntVar(&m.controllers, "controllers", m.controllers, "side by side")
	return c
}

func (m *stepMeasurement) run(ctx context.Context, out io.Writer) error {
	fmt.Fprintln(out, "| fleet | engines | held | table groups | median µs | 99th | longest "+
		"| over median | allocations | bytes a held command | longest at start "+
		"| reference median | 99th | longest | old over new | longest at start |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "+
		"| --- | --- | --- | --- | --- |")
	for _, tables := range m.tableGroups {
		for _, engines := range m.engines {
			m.printRow(out, steps.Scene{Engines: engines, Tables: tables, Busy: steps.Idle})
			m.printRow(out, steps.Scene{Engines: engines, Tables: tables, Busy: steps.Half})
			for _, held := range m.held {
				m.printRow(out, steps.Scene{Engines: engines, Tables: tables, Busy: steps.Full, Queued: held})
			}
		}
	}
	return ctx.Err()
}

// printRow measures one scene and prints its row.
func (m *stepMeasurement) printRow(out io.Writer, scene steps.Scene) {
	scene.Keys = m.orderingKeys
	scene.Controllers = m.controllers
	costs := m.measure(scene, newModule)
	fmt.Fprintf(out, "| %v | %d | %d | %d | %.1f | %.1f | %.0f | %.0f | %.1f | %.0f | %.0f |",
		scene.Busy, scene.Engines, costs.Queued, scene.Tables, costs.Median, costs.P99, costs.Longest,
		costs.Longest/costs.Median, costs.Allocations, costs.Bytes, costs.Start)
	if m.withReference {
		former := m.measure(scene, newReference)
		fmt.Fprintf(out, " %.1f | %.1f | %.0f | %.2f | %.0f |",
			former.Median, former.P99, former.Longest, former.Median/costs.Median, former.Start)
	}
	fmt.Fprintln(out)
}

// measure runs a few steps to learn how long one takes, and then as many as there is time for.
func (m *stepMeasurement) measure(scene steps.Scene, newModule steps.Constructor) steps.Costs {
	const (
		fewest       = 20  // steps that are run in any case
		shortestStep = 0.1 // µs that a step is taken to last at least
	)
	rig := steps.New(scene, newModule)
	first := rig.Run(fewest)
	affordable := int(m.within.Seconds() * 1e6 / max(shortestStep, first.Median))
	if affordable < m.steps {
		return rig.Run(max(fewest, affordable))
	}
	return rig.Run(m.steps)
}
