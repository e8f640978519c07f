package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// maintenanceScript is the value of --script that takes all engines out of service once.
const maintenanceScript = "maintenance"

// fleetRun plays histories of fleets while parts of the system break.
type fleetRun struct {
	historyOptions
	virtual       bool   // in virtual time; false: with daemons as processes
	configuration bool   // histories of the fleet's configuration
	processes     bool   // with configuration: with daemons as processes
	script        string // empty or maintenanceScript
	daemon        string // path of a daemon built with the tag mintkeel_lab; empty: it is built
}

func fleetCommand() *cobra.Command {
	var r fleetRun
	c := &cobra.Command{
		Use: "fleet",
		Short: "Run many controllers together while parts of the system break, " +
			"and judge what receivers saw",
		Long: `Run many controllers together while parts of the system break, and judge what
receivers saw. Each history has a fault script drawn from its seed. It ends with
0 only if nothing broke, and prints the seed and the script of what did, shrunk
where the history is one of virtual time.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return r.run(c) },
	}
	c.Flags().IntVar(&r.count, "histories", 10, "how many")
	c.Flags().Int64Var(&r.firstSeed, "seed", 1, "of the first")
	c.Flags().IntVar(&r.controllers, "nodes", 0, "controllers; 0: 3 to 9, by the seed")
	c.Flags().IntVar(&r.faults, "faults", 6, "of each history")
	c.Flags().IntVar(&r.parallel, "beside", 1, "histories at a time")
	c.Flags().BoolVar(&r.virtual, "virtual", false, "in virtual time, in this process")
	c.Flags().BoolVar(&r.configuration, "config", false,
		"of the fleet's configuration, in virtual time; --nodes 0: 3 to 12, by the seed")
	c.Flags().BoolVar(&r.processes, "processes", false, "with --config: with daemons as processes")
	c.Flags().BoolVar(&r.keepGoing, "go-on", false, "with --config: play all, whatever fails")
	c.Flags().StringVar(&r.script, "script", "",
		"maintenance: all engines are taken out once meanwhile")
	c.Flags().BoolVar(&r.verbose, "tell", false, "print each fault as it happens")
	c.Flags().StringVar(&r.daemon, "mintkeel", "",
		"a daemon built with -tags mintkeel_lab; none: one is built from the sources here")
	c.AddCommand(fleetModelCommand(), fleetMembersCommand(), fleetTakeoverCommand())
	c.AddCommand(fleetOrdersCommand(), fleetSpreadCommand(), fleetDisseminationCommand())
	c.AddCommand(fleetChecksCommand())
	return c
}

// run plays the kind of histories that the flags ask for.
func (r *fleetRun) run(c *cobra.Command) error {
	switch {
	case r.configuration && r.processes:
		return r.playConfigurationProcesses(c)
	case r.configuration:
		return r.playConfiguration(c)
	case r.virtual:
		return r.playVirtual(c)
	case r.script != "" && r.script != maintenanceScript:
		return fmt.Errorf("--script %.40q is none of maintenance", r.script)
	}
	return r.playProcesses(c)
}
