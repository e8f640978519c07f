package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

func fleetModelCommand() *cobra.Command {
	model := fleet.ModelSearch{
		Nodes:         3,
		Leases:        1,
		Lease:         2,
		Horizon:       5,
		Crashes:       1,
		LeaderChanges: 1,
		MaxInFlight:   2,
		MaxStates:     20_000_000,
	}
	c := &cobra.Command{
		Use:   "model",
		Short: "Check all orders of events in a small model of leases",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return searchModel(c.OutOrStdout(), model)
		},
	}
	c.Flags().IntVar(&model.Nodes, "nodes", model.Nodes, "controllers")
	c.Flags().IntVar(&model.Leases, "works", model.Leases, "leases")
	c.Flags().IntVar(&model.Horizon, "horizon", model.Horizon, "units of time; a lease has 2")
	c.Flags().IntVar(&model.Crashes, "crashes", model.Crashes, "maximum number of restarts")
	c.Flags().IntVar(&model.Losses, "losses", model.Losses, "maximum number of lost messages")
	c.Flags().IntVar(&model.LeaderChanges, "leaders", model.LeaderChanges,
		"maximum number of changes of the quorum's leader")
	c.Flags().IntVar(&model.MaxInFlight, "flight", model.MaxInFlight,
		"maximum number of messages in flight")
	c.Flags().IntVar(&model.MaxStates, "most", model.MaxStates, "maximum number of states")
	return c
}

// searchModel visits all states of the model. It returns an error if an invariant does not hold
// in one of them, or if there are more states than the model's bound.
func searchModel(out io.Writer, model fleet.ModelSearch) error {
	result := model.Search()
	fmt.Fprintf(out, "%d states, %d moves between them\n", result.States, result.Moves)
	switch {
	case result.Broken != "":
		return fmt.Errorf("%s\n%s", result.Broken, strings.Join(result.Path, "\n"))
	case !result.Complete:
		return fmt.Errorf("the model has more states than --most %d; not all were checked",
			model.MaxStates)
	}
	fmt.Fprintln(out, "all states within the bounds: nothing breaks")
	return nil
}
