package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/fleet"
)

func maintenanceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "maintenance",
		Short: "Have engines taken out for work, in an order that the controllers settle among themselves",
		Long: `Have engines taken out for work, in an order that the controllers settle among
themselves.

Each command speaks to the controller whose folder is named: the folder of the
block fleet in its operator's file, which has to have a block maintenance. It
passes the order on to whoever conducts.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	var folder string
	var asJSON bool
	c.PersistentFlags().StringVar(&folder, "folder", os.Getenv("MINTKEEL_FLEET"), "the controller's `folder` (MINTKEEL_FLEET)")
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print the whole answer as JSON")
	call := func(c *cobra.Command, o fleet.MaintenanceRequest, print func(io.Writer, *fleet.MaintenanceStatus)) error {
		if folder == "" {
			return errors.New("no folder: set --folder or MINTKEEL_FLEET")
		}
		s, err := fleet.Call(c.Context(), folder, fleet.Request{Action: "maintenance", Maintenance: &o})
		if s.Maintenance == nil {
			return errors.Join(err, errorIf(err == nil, "the controller told nothing of maintenance"))
		}
		if asJSON {
			return errors.Join(printJSON(c, s.Maintenance), err)
		}
		for _, p := range s.Maintenance.Problems {
			fmt.Fprintln(c.OutOrStdout(), p)
		}
		if err == nil {
			print(c.OutOrStdout(), s.Maintenance)
		}
		return err
	}
	named := func(use, short, do string, print func(io.Writer, *fleet.MaintenanceStatus)) *cobra.Command {
		args := strings.Count(use, " ")
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: func(c *cobra.Command, args []string) error {
			o := fleet.MaintenanceRequest{Action: do}
			if len(args) > 0 {
				o.Name = args[0]
			}
			return call(c, o, print)
		}}
	}
	file := func(use, short, do string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			plans, err := fleet.ReadPlans(args[0], text)
			if err != nil {
				return err
			}
			if len(plans) == 0 {
				return fmt.Errorf("%s: holds no plan", args[0])
			}
			return call(c, fleet.MaintenanceRequest{Action: do, Plans: plans}, func(out io.Writer, s *fleet.MaintenanceStatus) {
				if len(s.Problems) == 0 && do == "check" {
					fmt.Fprintln(out, "can be done, as far as can be foreseen")
				} else if do == "plan" {
					printMaintenance(out, s)
				}
			})
		}}
	}
	c.AddCommand(
		file("plan FILE", "Take over the plans of a file, all or none; those of the same names are replaced", "plan"),
		file("check FILE", "Tell whether the plans of a file can be done and, if not, why and what would do", "check"),
		named("status", "Tell plans, and how far the work on each engine is", "status", printMaintenance),
		named("explain", "Tell why an engine was chosen, and why others wait", "status", printReasons),
		named("halt PLAN", "Take no further engine for a plan; who is out comes back", "halt", printMaintenance),
		named("resume PLAN", "Go on with a plan that was halted", "resume", printMaintenance),
		named("withdraw PLAN", "End a plan; who is out comes back", "withdraw", printMaintenance),
		named("done ENGINE", "Say that the work on an engine is done", "done", printMaintenance),
		named("without CONTROLLER", "Do without the confirmation of a controller: your word that it sends to no engine any more", "without", printMaintenance),
	)
	return c
}

func errorIf(is bool, text string) error {
	if is {
		return errors.New(text)
	}
	return nil
}

func printMaintenance(out io.Writer, s *fleet.MaintenanceStatus) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(t, "conducted by %s, epoch %d, state %d\nplan\tat once\tis\n", s.Holder, s.Token, s.Serial)
	for _, p := range s.Plans {
		is := "under way"
		if p.Over {
			is = "withdrawn"
		} else if p.Halted {
			is = "halted"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", p.ID, p.AtOnce, is)
	}
	fmt.Fprintln(t, "engine\tplan\tis\tfor\twaits for")
	for _, x := range s.Tasks {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", x.Engine, x.Plan, x.Step, (time.Duration(x.SinceMS) * time.Millisecond).Round(time.Second), x.Waits)
	}
	t.Flush()
	for _, f := range s.Forecasts {
		fmt.Fprintf(out, "%s will be done between %s and %s, in nine of ten cases\n", f.Plan, f.After.Format(time.RFC3339), f.Before.Format(time.RFC3339))
	}
}

func printReasons(out io.Writer, s *fleet.MaintenanceStatus) {
	for _, r := range s.Reasons {
		fmt.Fprintln(out, r)
	}
	for _, x := range s.Tasks {
		if x.Waits != "" {
			fmt.Fprintf(out, "%s is %s, and waits for %s\n", x.Engine, x.Step, x.Waits)
		}
	}
}
