package main

import (
	"github.com/spf13/cobra"

	"mintkeel/internal/lab/scale/dissemination"
)

func fleetDisseminationCommand() *cobra.Command {
	options := dissemination.Options{Seed: 1}
	c := &cobra.Command{
		Use:   "dissemination",
		Short: "Compare dissemination protocols for a document to all controllers, in virtual time",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			dissemination.Print(c.OutOrStdout(), dissemination.Compare(options))
		},
	}
	c.Flags().IntVar(&options.Nodes, "nodes", 670, "controllers")
	c.Flags().IntVar(&options.Seeds, "seeds", 20, "runs of each protocol under each condition")
	c.Flags().Int64Var(&options.Seed, "seed", options.Seed, "seed of the first run")
	return c
}
