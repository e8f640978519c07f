package main

import (
	"fmt"
	"io"
	"math"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
	"mintkeel/internal/lab/restart"
)

// orderMeasurement measures the cost of taking every engine out of service once, by the order in
// which the engines are taken.
type orderMeasurement struct {
	sizes []int   // engines of a fleet
	seeds int     // fleets of each size
	load  float64 // share of all cores that queries ask for
}

// orderCosts holds the costs of one policy.
type orderCosts struct {
	lost      []float64 // by seed: share of the benefit that was lost
	durations []float64 // by seed: s until all engines were back and warm; infinite if they never were
	maxOut    int       // maximum number of engines out at once
}

func fleetOrdersCommand() *cobra.Command {
	m := &orderMeasurement{sizes: []int{10, 80, 300}, seeds: 20, load: 0.6}
	c := &cobra.Command{
		Use: "orders",
		Short: "Measure the cost of taking every engine out of service once, by order and fleet size, " +
			"in virtual time",
		Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			m.measurePolicies(c.OutOrStdout())
			m.measureBestOrder(c.OutOrStdout())
		},
	}
	c.Flags().IntSliceVar(&m.sizes, "sizes", m.sizes, "engines")
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "fleets of each size")
	c.Flags().Float64Var(&m.load, "load", m.load, "share of all cores that queries ask for")
	return c
}

// measurePolicies prints a row for each fleet size and policy, compared seed by seed with the
// policy that the daemon uses.
func (m *orderMeasurement) measurePolicies(out io.Writer) {
	const secondsPerEngine = 120 // allowed for taking an engine out and back
	fmt.Fprintln(out, "| engines | order | benefit lost | over the settled order "+
		"| until all were back and warm | out at once |\n| --- | --- | --- | --- | --- | --- |")
	for _, engines := range m.sizes {
		atOnce := max(1, engines/10)
		horizon := float64(engines) * secondsPerEngine / float64(atOnce)
		var settled orderCosts // of the daemon's policy, which comes first in fleet.Policies
		for _, policy := range fleet.Policies() {
			costs := m.measurePolicy(policy, engines, atOnce, horizon)
			if policy == fleet.Planned {
				settled = costs
			}
			var over []float64
			for seed, lost := range costs.lost {
				over = append(over, lost-settled.lost[seed])
			}
			lost, _ := restart.MeanInterval(costs.lost)
			mean, half := restart.MeanInterval(over)
			fmt.Fprintf(out, "| %d | %v | %.4f | %+.4f ±%.4f | %s | %d |\n", engines, policy, lost, mean,
				half, meanDuration(costs.durations, horizon), costs.maxOut)
		}
	}
}

// measurePolicy takes every engine out of service once in the fleet of each seed, at most atOnce
// at a time, within a horizon in s.
func (m *orderMeasurement) measurePolicy(policy fleet.Policy, engines, atOnce int,
	horizon float64) orderCosts {
	var costs orderCosts
	for seed := range int64(m.seeds) {
		lost, took, mostOut := fleet.TakeAll(seed, engines, m.load, policy, atOnce, horizon)
		costs.lost = append(costs.lost, lost)
		costs.durations = append(costs.durations, took)
		costs.maxOut = max(costs.maxOut, mostOut)
	}
	return costs
}

// meanDuration formats the mean of durations in s, or states that one exceeded the horizon.
func meanDuration(durations []float64, horizon float64) string {
	mean, _ := restart.MeanInterval(durations)
	if math.IsInf(mean, 1) {
		return fmt.Sprintf("not in %.0f s", horizon)
	}
	return fmt.Sprintf("%.0f s", mean)
}

// measureBestOrder compares the daemon's policy with the best of all orders, in fleets small
// enough to try every order.
func (m *orderMeasurement) measureBestOrder(out io.Writer) {
	const engines = 5
	var best, over []float64
	for seed := range int64(m.seeds) {
		lostByBest, lostBySettled := fleet.BestOrder(seed, engines, m.load)
		best = append(best, lostByBest)
		over = append(over, lostBySettled-lostByBest)
	}
	meanBest, _ := restart.MeanInterval(best)
	meanOver, half := restart.MeanInterval(over)
	fmt.Fprintf(out, "\nFive engines, one at a time: the best of all orders loses %.4f, "+
		"the settled one %+.4f ±%.4f more\n", meanBest, meanOver, half)
}
