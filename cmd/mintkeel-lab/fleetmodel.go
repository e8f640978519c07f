package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
)

func fleetModelCommand() *cobra.Command {
	model := fleet.Small{
		Nodes:   3,
		Leases:  1,
		Lease:   2,
		Horizon: 5,
		Crashes: 1,
		Leaders: 1,
		Flight:  2,
		Most:    20_000_000,
	}
	c := &cobra.Command{
		Use:   "model",
		Short: "Search all orders of events in a small case of leases",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return searchModel(c.OutOrStdout(), model)
		},
	}
	c.Flags().IntVar(&model.Nodes, "nodes", model.Nodes, "controllers")
	c.Flags().IntVar(&model.Leases, "works", model.Leases, "leases")
	c.Flags().IntVar(&model.Horizon, "horizon", model.Horizon, "units of time; a lease has 2")
	c.Flags().IntVar(&model.Crashes, "crashes", model.Crashes, "restarts at most")
	c.Flags().IntVar(&model.Losses, "losses", model.Losses, "lost messages at most")
	c.Flags().IntVar(&model.Leaders, "leaders", model.Leaders,
		"changes of the quorum's leader at most")
	c.Flags().IntVar(&model.Flight, "flight", model.Flight, "messages on their way at most")
	c.Flags().IntVar(&model.Most, "most", model.Most, "states at most")
	return c
}

// searchModel visits all states of the model. It fails if an invariant does not hold in one, and
// if there were too many states to visit.
func searchModel(out io.Writer, model fleet.Small) error {
	result := model.Search()
	fmt.Fprintf(out, "%d states, %d moves between them\n", result.States, result.Moves)
	switch {
	case result.Broken != "":
		return fmt.Errorf("%s\n%s", result.Broken, strings.Join(result.Path, "\n"))
	case !result.Whole:
		return fmt.Errorf("not all states were looked at: --most is %d", model.Most)
	}
	fmt.Fprintln(out, "all states within the bounds: nothing breaks")
	return nil
}
