package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/spf13/cobra"

	"mintkeel/internal/fleet/control"
)

// fleetFlags are the flags of all commands that speak to a controller about its fleet.
type fleetFlags struct {
	folder string
	json   bool
}

// call sends a request to the controller of the folder.
func (f *fleetFlags) call(ctx context.Context, request control.Request) (control.Status, error) {
	if f.folder == "" {
		return control.Status{}, errors.New("no folder: set --folder or MINTKEEL_FLEET")
	}
	return control.Call(ctx, f.folder, request)
}

func fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Look at the fleet as one of its controllers knows it, and hand leases over",
		Long: `Look at the fleet as one of its controllers knows it, and hand leases over.

Each command speaks to the controller whose folder is named: the folder of the
block fleet in its operator's file. Members are what that controller believes;
leases are the quorum's word where it is a voter, and else what it
was told last.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var asked fleetFlags
	c.PersistentFlags().StringVar(&asked.folder, "folder", os.Getenv("MINTKEEL_FLEET"), "the controller's `folder` (MINTKEEL_FLEET)")
	c.PersistentFlags().BoolVar(&asked.json, "json", false, "print the whole answer as JSON")
	renamed := func(old string, c *cobra.Command) *cobra.Command { // the name of an earlier version, for one version more
		hidden := *c
		hidden.Use, hidden.Hidden = old, true
		return &hidden
	}
	one := func(use, short string, args int, request func(args []string) control.Request, printText func(io.Writer, control.Status)) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(c *cobra.Command, args []string) error {
			s, err := asked.call(c.Context(), request(args))
			if err != nil {
				return err
			}
			if asked.json {
				return printJSON(c, s)
			}
			printText(c.OutOrStdout(), s)
			return nil
		}}
	}
	status := func([]string) control.Request { return control.Request{Action: "status"} }
	leases := one("leases", "List the leases, their holders and fencing tokens", 0, status, printLeases)
	quorum := one("quorum", "Tell which controllers vote on leases, which leads, and what this one is", 0, status, printQuorum)
	c.AddCommand(
		one("members", "List the controllers of the fleet and what is believed of each", 0, status, printMembers),
		leases, renamed("works", leases),
		quorum, renamed("council", quorum),
		one("handover LEASE CONTROLLER", "Hand a lease over to another controller; done when leases tells so", 2, func(args []string) control.Request {
			return control.Request{Action: "handover", Lease: args[0], To: args[1]}
		}, printLeases),
		one("replace OLD NEW", "Replace a voter by another controller; done when quorum tells so", 2,
			func(args []string) control.Request {
				return control.Request{Action: "replace", Old: args[0], To: args[1]}
			}, printQuorum),
		one("trust", "Say that this voter's folder is the latest there is, where not all others can vouch for it", 0,
			func([]string) control.Request { return control.Request{Action: "trust"} }, printQuorum),
		fleetConfigCommand(&asked),
	)
	return c
}
