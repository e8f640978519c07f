package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

// takeoverMeasurement measures for how long a lease has no holder after its holder is lost.
type takeoverMeasurement struct {
	seeds     int       // histories of each kind
	durations []float64 // lease durations in s
}

func fleetTakeoverCommand() *cobra.Command {
	m := &takeoverMeasurement{seeds: 50, durations: []float64{2, 5, 10, 30}}
	c := &cobra.Command{
		Use: "takeover",
		Short: "Measure for how long a lease has no holder, by its duration and by how its holder " +
			"was lost, compared with a lock file",
		Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			m.measureLeases(c.OutOrStdout())
			m.measureLockFile(c.OutOrStdout())
		},
	}
	c.Flags().IntVar(&m.seeds, "seeds", m.seeds, "histories of each kind")
	c.Flags().Float64SliceVar(&m.durations, "leases", m.durations, "lease durations in seconds")
	return c
}

// measureLeases prints a row for each lease duration and each way to lose the holder.
func (m *takeoverMeasurement) measureLeases(out io.Writer) {
	fmt.Fprintln(out, "| lease | its owner | without an owner, ms "+
		"| late effects that were refused |\n"+
		"| --- | --- | --- | --- |")
	for _, seconds := range m.durations {
		for _, loss := range fleet.Losses() {
			var unheld []float64
			refused := 0
			for seed := range int64(m.seeds) {
				free, late := fleet.TakeOver(seed+1, seconds*1000, loss)
				unheld = append(unheld, free)
				refused += late
			}
			fmt.Fprintf(out, "| %g s | %v | %s | %d |\n", seconds, loss, distribution(unheld), refused)
		}
	}
}

// measureLockFile prints how often exclusion fails with a lock file in place of a lease.
func (m *takeoverMeasurement) measureLockFile(out io.Writer) {
	const (
		historiesPerSeed = 20   // a lock file fails more rarely than a lease is taken over
		leaseTime        = 4000 // ms
	)
	histories := historiesPerSeed * m.seeds
	broken := 0
	overlaps := 0
	late := 0
	for seed := range int64(histories) {
		overlapsOfOne, lateOfOne := fleet.LockFile(seed, leaseTime)
		overlaps += overlapsOfOne
		late += lateOfOne
		if overlapsOfOne+lateOfOne > 0 {
			broken++
		}
	}
	fmt.Fprintf(out, "\nA lock file with a time in it, lease 4 s: two acted at once in %d of %d "+
		"histories of a minute, %d looks of 50 ms; %d effects after a later owner's were taken\n",
		broken, histories, overlaps, late)
}
