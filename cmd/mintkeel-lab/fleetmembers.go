package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

// memberCondition is a condition under which membership is measured.
type memberCondition struct {
	name   string
	loss   float64 // share of the messages that are lost
	pauses bool    // every second, one random controller pauses
}

func fleetMembersCommand() *cobra.Command {
	sizes := []int{3, 30, 300, 1000}
	seed := int64(1)
	measured := 2 * time.Minute
	c := &cobra.Command{
		Use: "members",
		Short: "Measure the cost of membership and its false detections by fleet size, " +
			"in virtual time",
		Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			measureMembers(c.OutOrStdout(), sizes, seed, measured)
		},
	}
	c.Flags().IntSliceVar(&sizes, "sizes", sizes, "controllers")
	c.Flags().Int64Var(&seed, "seed", seed, "seed of the histories")
	c.Flags().DurationVar(&measured, "long", measured, "virtual time to measure for")
	return c
}

// measureMembers measures fleets of the given sizes for the given virtual time, and prints a row
// for each size and condition.
func measureMembers(out io.Writer, sizes []int, seed int64, measured time.Duration) {
	conditions := []memberCondition{
		{name: "none"},
		{name: "a tenth of all messages lost", loss: 0.1},
		{name: "each second one pauses for 0.2 to 3 s", pauses: true},
	}
	fmt.Fprintln(out, "| controllers | trouble | bytes a second | wake-ups a second "+
		"| suspected wrongly, an hour | taken as gone wrongly, an hour "+
		"| all know of one killed after |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, size := range sizes {
		for _, condition := range conditions {
			m := fleet.MeasureMembers(seed, size, condition.loss, condition.pauses, milliseconds(measured))
			fmt.Fprintf(out, "| %d | %s | %.0f | %.1f | %.0f | %.0f | %.1f s |\n", size, condition.name,
				m.BytesPerSecond, m.TicksPerSecond, m.FalseSuspicionsPerHour, m.FalseDeathsPerHour,
				m.DetectionMS/1e3)
		}
	}
}
