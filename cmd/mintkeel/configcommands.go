package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/aymanbagabas/go-udiff"
	"github.com/spf13/cobra"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
)

// Timeouts and intervals of the commands for the fleet's configuration.
const (
	defaultConfigWait  = 19 * time.Second // until a version is in force everywhere
	maxConfigWait      = 10 * time.Minute
	configPollInterval = 250 * time.Millisecond
)

// configCommands builds the commands for the fleet's configuration and holds what they share.
type configCommands struct {
	flags *fleetFlags
	now   func() time.Time
}

func fleetConfigCommand(flags *fleetFlags) *cobra.Command {
	commands := &configCommands{flags: flags, now: time.Now}
	c := &cobra.Command{
		Use:   "config",
		Short: "Change the fleet's configuration, and show where it is in force",
		Long: `Change the fleet's configuration, and show where it is in force: docs/config.md.

Any controller of the fleet forwards the request. Exit codes: 0 in force at all
reachable controllers, 3 agreed and not in force at some of them in time,
4 another version was agreed first, 1 refused, failed or not known, 2 the
command line was not understood.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(commands.put(), commands.rollback(), commands.status())
	c.AddCommand(commands.history(), commands.show(), commands.diff())
	return c
}

// call sends a request to the controller. It may return both an answer and an error; the answer is
// nil only with an error.
func (cc *configCommands) call(
	ctx context.Context, request configuration.Request,
) (*configuration.Answer, error) {
	status, err := cc.flags.call(ctx,
		control.Request{Action: control.ActionConfig, Config: &request})
	if status.Config == nil && err == nil {
		err = errors.New("the controller returned nothing about the fleet's configuration: " +
			"is there a block config in its file?")
	}
	return status.Config, err
}

// readDocument reads a document from a file. An empty or too large one is an error.
func readDocument(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	document, err := io.ReadAll(io.LimitReader(f, config.MaxDocument+1))
	switch {
	case err != nil:
		return nil, err
	case len(document) > config.MaxDocument:
		return nil, fmt.Errorf("%s: has over %d bytes", path, config.MaxDocument)
	case len(document) == 0:
		return nil, fmt.Errorf("%s: is empty: to turn all off, put a file with only a comment", path)
	}
	return document, nil
}

// versionArgs expects one version number per destination, and stores it there.
func versionArgs(destinations ...*uint64) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(len(destinations))(c, args); err != nil {
			return err
		}
		for i, destination := range destinations {
			n, err := strconv.ParseUint(args[i], 10, 64)
			if err != nil || n == 0 {
				return fmt.Errorf("%.40q is not a version number", args[i])
			}
			*destination = n
		}
		return nil
	}
}

func (cc *configCommands) status() *cobra.Command {
	var wait time.Duration
	c := &cobra.Command{
		Use:   "status",
		Short: "Show where the latest version is in force, who refused it, and who is unreachable",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := cc.call(c.Context(), configuration.Request{Action: configuration.ActionStatus})
			if answer == nil {
				return err
			}
			found := configStatus{status: answer.Status, from: answer.From, err: err}
			if found.status != nil && wait > 0 && !found.settled(found.status.Latest.Number) {
				found = cc.awaitInForce(c.Context(), found.status.Latest.Number, wait)
			}
			return cc.printStatus(c, answer.Local, found)
		},
	}
	c.Flags().DurationVar(&wait, "wait", 0,
		"how long to wait until the latest version is in force everywhere")
	return c
}

func (cc *configCommands) history() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the versions that the fleet keeps",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := cc.call(c.Context(), configuration.Request{Action: configuration.ActionHistory})
			if err != nil {
				return err
			}
			if cc.flags.json {
				return printJSON(c, historyViewOf(answer))
			}
			return printHistory(c.OutOrStdout(), answer.Versions)
		},
	}
}

// document requests the document of a version.
func (cc *configCommands) document(
	ctx context.Context, number uint64,
) (*configuration.Answer, error) {
	request := configuration.Request{Action: configuration.ActionShow, Number: number}
	answer, err := cc.call(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", number, err)
	}
	if answer.Document == nil {
		return nil, fmt.Errorf("version %d: %s", number,
			cmp.Or(answer.Reason, "its document was not found"))
	}
	return answer, nil
}

func (cc *configCommands) show() *cobra.Command {
	var number uint64
	return &cobra.Command{
		Use:   "show N",
		Short: "Print the document of a version",
		Args:  versionArgs(&number),
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := cc.document(c.Context(), number)
			if err != nil {
				return err
			}
			if cc.flags.json {
				return printJSON(c, documentView{
					Number:   number,
					Version:  viewOf(answer.Version),
					Document: string(answer.Document),
				})
			}
			_, err = c.OutOrStdout().Write(answer.Document)
			return err
		},
	}
}

func (cc *configCommands) diff() *cobra.Command {
	var older, newer uint64
	return &cobra.Command{
		Use:   "diff N M",
		Short: "Print what changed from one version to another",
		Args:  versionArgs(&older, &newer),
		RunE: func(c *cobra.Command, _ []string) error {
			from, err := cc.document(c.Context(), older)
			if err != nil {
				return err
			}
			to, err := cc.document(c.Context(), newer)
			if err != nil {
				return err
			}
			text := udiff.Unified(fmt.Sprint("version ", older), fmt.Sprint("version ", newer),
				string(from.Document), string(to.Document))
			if cc.flags.json {
				return printJSON(c, diffView{From: older, To: newer, Diff: text})
			}
			_, err = io.WriteString(c.OutOrStdout(), text)
			return err
		},
	}
}
