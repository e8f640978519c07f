package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"

	"mintkeel/internal/fleet/control"
)

// fleetFlags are the flags of all commands that ask a controller about its fleet.
type fleetFlags struct {
	folder string
	json   bool
}

// call sends a request to the controller that uses the folder.
func (f *fleetFlags) call(ctx context.Context, request control.Request) (control.Status, error) {
	if f.folder == "" {
		return control.Status{}, errors.New("no folder: set --folder or MINTKEEL_FLEET")
	}
	return control.Call(ctx, f.folder, request)
}

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Show the fleet as one of its controllers knows it, and hand over leases",
		Long: `Show the fleet as one of its controllers knows it, and hand over leases.

Each command asks the controller whose folder is given: the folder of the block
fleet in its operator's file. Members are listed as that controller sees them.
A voter lists the leases by the quorum's state as far as it has received it;
a controller that is not a voter lists those that it was last told.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var flags fleetFlags
	c.PersistentFlags().StringVar(&flags.folder, "folder", os.Getenv("MINTKEEL_FLEET"),
		"the controller's `folder` (MINTKEEL_FLEET)")
	c.PersistentFlags().BoolVar(&flags.json, "json", false, "print the whole answer as JSON")
	status := func([]string) control.Request {
		return control.Request{Action: control.ActionStatus}
	}
	trust := func([]string) control.Request { return control.Request{Action: control.ActionTrust} }
	leases := flags.command("leases", "List the leases, their holders and fencing tokens", 0, status,
		printLeases)
	quorum := flags.command("quorum", "Show the voters, the leader, and the role of this controller",
		0, status, printQuorum)
	c.AddCommand(
		flags.command("members", "List the controllers of the fleet and their states", 0, status,
			printMembers),
		leases, hiddenAlias("works", leases),
		quorum, hiddenAlias("council", quorum),
		flags.command("handover LEASE CONTROLLER",
			"Hand a lease over to another controller; complete when leases lists the new holder", 2,
			func(args []string) control.Request {
				return control.Request{Action: control.ActionHandOver, Lease: args[0], To: args[1]}
			}, printLeases),
		flags.command("replace OLD NEW",
			"Replace a voter by another controller; complete when quorum lists the new voter", 2,
			func(args []string) control.Request {
				return control.Request{Action: control.ActionReplace, Old: args[0], To: args[1]}
			}, printQuorum),
		flags.command("trust",
			"Accept this voter's stored state as the latest when not all other voters can confirm it",
			0, trust, printQuorum),
		fleetConfigCommand(&flags),
	)
	return c
}

// command makes a command that sends one request with its arguments and prints the answer.
func (f *fleetFlags) command(
	use, short string, argCount int, request func(args []string) control.Request,
	printText func(io.Writer, control.Status),
) *cobra.Command {
	run := func(c *cobra.Command, args []string) error {
		answer, err := f.call(c.Context(), request(args))
		if err != nil {
			return err
		}
		if f.json {
			return printJSON(c, answer)
		}
		printText(c.OutOrStdout(), answer)
		return nil
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(argCount), RunE: run}
}

// hiddenAlias returns a hidden copy of a command under the name that it had in earlier versions.
func hiddenAlias(formerName string, c *cobra.Command) *cobra.Command {
	hidden := *c
	hidden.Use = formerName
	hidden.Hidden = true
	return &hidden
}
