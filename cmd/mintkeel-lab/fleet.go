package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// maintenanceScript is the value of --script that takes all engines out of service once.
const maintenanceScript = "maintenance"

// fleetRun runs histories of fleets while faults are injected.
type fleetRun struct {
	historyOptions
	virtual       bool   // in virtual time; false: with daemons as processes
	configuration bool   // histories of the fleet's configuration
	processes     bool   // with configuration: daemons run as processes
	script        string // empty or maintenanceScript
	daemon        string // path of a daemon built with the tag mintkeel_lab; empty: one is built
}

func fleetCommand() *cobra.Command {
	var r fleetRun
	c := &cobra.Command{
		Use: "fleet",
		Short: "Run many controllers together while faults are injected, " +
			"and check what receivers observed",
		Long: `Run many controllers together while faults are injected, and check what receivers
observed. Each history has a fault script drawn from its seed. The exit code is
0 only if no check failed; otherwise the seed and the script of the failed
history are printed, shrunk if the history ran in virtual time.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return r.run(c) },
	}
	c.Flags().IntVar(&r.count, "histories", 10, "number of histories")
	c.Flags().Int64Var(&r.firstSeed, "seed", 1, "seed of the first history")
	c.Flags().IntVar(&r.controllers, "nodes", 0, "controllers; 0: 3 to 9, by the seed")
	c.Flags().IntVar(&r.faults, "faults", 6, "faults per history")
	c.Flags().IntVar(&r.parallel, "beside", 1, "histories that run at a time")
	c.Flags().BoolVar(&r.virtual, "virtual", false, "run in virtual time, in this process")
	c.Flags().BoolVar(&r.configuration, "config", false,
		"histories of the fleet's configuration, in virtual time; --nodes 0: 3 to 12, by the seed")
	c.Flags().BoolVar(&r.processes, "processes", false, "with --config: run daemons as processes")
	c.Flags().BoolVar(&r.keepGoing, "go-on", false,
		"with --config: run all histories even if some fail")
	c.Flags().StringVar(&r.script, "script", "",
		`"maintenance": take all engines out of service once during the history`)
	c.Flags().BoolVar(&r.verbose, "tell", false, "print each fault as it happens")
	c.Flags().StringVar(&r.daemon, "mintkeel", "",
		"path of a daemon built with -tags mintkeel_lab; default: built from the sources here")
	c.AddCommand(fleetModelCommand(), fleetMembersCommand(), fleetTakeoverCommand())
	c.AddCommand(fleetOrdersCommand(), fleetSpreadCommand(), fleetDisseminationCommand())
	c.AddCommand(fleetChecksCommand())
	return c
}

// run runs the kind of histories that the flags ask for.
func (r *fleetRun) run(c *cobra.Command) error {
	switch {
	case r.configuration && r.processes:
		return r.playConfigurationProcesses(c)
	case r.configuration:
		return r.playConfiguration(c)
	case r.virtual:
		return r.playVirtual(c)
	case r.script != "" && r.script != maintenanceScript:
		return fmt.Errorf("--script %.40q is unknown; the only script is maintenance", r.script)
	}
	return r.playProcesses(c)
}
