package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/steps"
)

// stepMeasurement measures the cost of a step of the decision module.
type stepMeasurement struct {
	engines       []int
	held          []int // queries held, if all engines are full
	tableGroups   []int
	steps         int           // maximum per row
	timeBudget    time.Duration // for the steps of a row
	withReference bool          // measure the reference as well
	orderingKeys  int           // 0: none
	controllers   int
}

func stepsCommand() *cobra.Command {
	m := &stepMeasurement{
		engines:       []int{10, 100, 1000},
		held:          []int{10, 1000, 100000},
		tableGroups:   []int{10, 1000},
		steps:         2000,
		timeBudget:    3 * time.Second,
		withReference: true,
		controllers:   1,
	}
	c := &cobra.Command{
		Use: "steps",
		Short: "Measure the cost of a step of the decision module by engines, held queries and " +
			"table groups, compared with the reference",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return m.run(c.Context(), c.OutOrStdout())
		},
	}
	c.Flags().IntSliceVar(&m.engines, "engines", m.engines, "numbers of engines")
	c.Flags().IntSliceVar(&m.held, "held", m.held, "numbers of queries held, if all engines are full")
	c.Flags().IntSliceVar(&m.tableGroups, "tables", m.tableGroups, "numbers of table groups")
	c.Flags().IntVar(&m.steps, "n", m.steps, "maximum number of steps per row")
	c.Flags().DurationVar(&m.timeBudget, "within", m.timeBudget, "time budget for the steps of a row")
	c.Flags().BoolVar(&m.withReference, "reference", m.withReference, "measure the reference as well")
	c.Flags().IntVar(&m.orderingKeys, "keys", m.orderingKeys, "ordering keys; 0: none")
	c.Flags().IntVar(&m.controllers, "controllers", m.controllers, "controllers side by side")
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

// measure runs a few steps to estimate the time per step, and then as many as the time budget
// allows.
func (m *stepMeasurement) measure(scene steps.Scene, newModule steps.Constructor) steps.Costs {
	const (
		minSteps     = 20  // steps that always run
		shortestStep = 0.1 // lower bound in µs of the estimated time per step
	)
	rig := steps.New(scene, newModule)
	first := rig.Run(minSteps)
	affordable := int(m.timeBudget.Seconds() * 1e6 / max(shortestStep, first.Median))
	if affordable < m.steps {
		return rig.Run(max(minSteps, affordable))
	}
	return rig.Run(m.steps)
}
