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

	"mintkeel/internal/fleet/control"
	"mintkeel/internal/fleet/maintenance"
)

func maintenanceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "maintenance",
		Short: "Take engines out of service for maintenance, in an order that the controllers plan",
		Long: `Take engines out of service for maintenance, in an order that the controllers
plan.

Each command asks the controller whose folder is given: the folder of the block
fleet in its operator's file, which must also have a block maintenance. It forwards
the request to the holder of the maintenance lease.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	m := &maintenanceCaller{}
	c.PersistentFlags().StringVar(&m.folder, "folder", os.Getenv("MINTKEEL_FLEET"),
		"the controller's `folder` (MINTKEEL_FLEET)")
	c.PersistentFlags().BoolVar(&m.asJSON, "json", false, "print the whole answer as JSON")
	c.AddCommand(
		m.fileCommand("plan FILE",
			"Submit the plans of a file, all or none; those of the same names are replaced",
			maintenance.ActionPlan, printMaintenance),
		m.fileCommand("check FILE",
			"Check whether the plans of a file are feasible; if not, print why and what would be",
			maintenance.ActionCheck, printCheck),
		m.nameCommand("status",
			"Show the plans and the current step of each engine",
			maintenance.ActionStatus, printMaintenance),
		m.nameCommand("explain",
			"Explain why an engine was chosen, and why others wait",
			maintenance.ActionStatus, printReasons),
		m.nameCommand("halt PLAN",
			"Halt a plan: no more engines are taken out, and those that are out return",
			maintenance.ActionHalt, printMaintenance),
		m.nameCommand("resume PLAN",
			"Resume a halted plan",
			maintenance.ActionResume, printMaintenance),
		m.nameCommand("withdraw PLAN",
			"End a plan; engines that are out return",
			maintenance.ActionWithdraw, printMaintenance),
		m.nameCommand("done ENGINE",
			"Mark the work on an engine as done",
			maintenance.ActionDone, printMaintenance),
		m.nameCommand("without CONTROLLER",
			"Continue without the confirmation of a controller: you vouch that it uses no engine any more",
			maintenance.ActionWithout, printMaintenance),
	)
	return c
}

// maintenanceCaller sends maintenance requests to a controller and prints the answers.
type maintenanceCaller struct {
	folder string
	asJSON bool
}

// maintenancePrinter prints an answer as text.
type maintenancePrinter func(io.Writer, *maintenance.Status)

// call sends a request and prints the answer.
func (m *maintenanceCaller) call(
	c *cobra.Command, request maintenance.Request, printText maintenancePrinter,
) error {
	if m.folder == "" {
		return errors.New("no folder: set --folder or MINTKEEL_FLEET")
	}
	s, err := control.Call(c.Context(), m.folder,
		control.Request{Action: control.ActionMaintenance, Maintenance: &request})
	if s.Maintenance == nil {
		return errors.Join(err, errorIf(err == nil, "the controller returned no maintenance status"))
	}
	if m.asJSON {
		return errors.Join(printJSON(c, s.Maintenance), err)
	}
	for _, problem := range s.Maintenance.Problems {
		fmt.Fprintln(c.OutOrStdout(), problem)
	}
	if err == nil {
		printText(c.OutOrStdout(), s.Maintenance)
	}
	return err
}

// nameCommand makes a command whose argument, if its use line has one, is the name in the request.
func (m *maintenanceCaller) nameCommand(
	use, short, action string, printText maintenancePrinter,
) *cobra.Command {
	count := strings.Count(use, " ")
	run := func(c *cobra.Command, args []string) error {
		request := maintenance.Request{Action: action}
		if len(args) > 0 {
			request.Name = args[0]
		}
		return m.call(c, request, printText)
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(count), RunE: run}
}

// fileCommand makes a command that sends the plans in a file.
func (m *maintenanceCaller) fileCommand(
	use, short, action string, printText maintenancePrinter,
) *cobra.Command {
	run := func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		plans, err := maintenance.ReadPlans(args[0], text)
		if err != nil {
			return err
		}
		if len(plans) == 0 {
			return fmt.Errorf("%s: contains no plan", args[0])
		}
		return m.call(c, maintenance.Request{Action: action, Plans: plans}, printText)
	}
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: run}
}

// printCheck prints that plans are feasible, unless there are problems, which call has printed.
func printCheck(out io.Writer, s *maintenance.Status) {
	if len(s.Problems) == 0 {
		fmt.Fprintln(out, "feasible, as far as can be foreseen")
	}
}

func printMaintenance(out io.Writer, s *maintenance.Status) {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintf(t, "conducted by %s, token %d, state %d\nplan\tmax unavailable\tstate\n", s.Holder,
		s.Token, s.Serial)
	for _, p := range s.Plans {
		is := "in progress"
		if p.Withdrawn {
			is = "withdrawn"
		} else if p.Halted {
			is = "halted"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\n", p.ID, p.MaxUnavailable, is)
	}
	fmt.Fprintln(t, "engine\tplan\tstep\tfor\twaits for")
	for _, x := range s.Tasks {
		since := (time.Duration(x.SinceMS) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", x.Engine, x.Plan, x.Step, since, x.Waits)
	}
	t.Flush()
	for _, f := range s.Forecasts {
		fmt.Fprintf(out, "%s will be done between %s and %s, in nine of ten cases\n", f.Plan,
			f.After.Format(time.RFC3339), f.Before.Format(time.RFC3339))
	}
}

func printReasons(out io.Writer, s *maintenance.Status) {
	for _, r := range s.Reasons {
		fmt.Fprintln(out, r)
	}
	for _, x := range s.Tasks {
		if x.Waits != "" {
			fmt.Fprintf(out, "%s is %s, and waits for %s\n", x.Engine, x.Step, x.Waits)
		}
	}
}
