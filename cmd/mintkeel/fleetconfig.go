package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/aymanbagabas/go-udiff"
	"github.com/spf13/cobra"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
)

// Times of the commands about the fleet's configuration.
const (
	usualConfigWait = 19 * time.Second // for a version to be in force everywhere
	mostConfigWait  = 10 * time.Minute
	configPollEvery = 250 * time.Millisecond
)

// configCommands are the commands about the fleet's configuration, with what they share.
type configCommands struct {
	flags *fleetFlags
	now   func() time.Time
}

func fleetConfigCommand(flags *fleetFlags) *cobra.Command {
	commands := &configCommands{flags: flags, now: time.Now}
	c := &cobra.Command{
		Use:   "config",
		Short: "Put the fleet's configuration in force, and tell where it is",
		Long: `Put the fleet's configuration in force, and tell where it is: docs/config.md.

Any controller of the fleet passes the order on. Exit codes: 0 in force at all
controllers that are heard, 3 agreed and not in force at some of them within the
time, 4 another version was agreed first, 1 refused, failed or not known, 2 the
command line was not understood.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(commands.put(), commands.rollback(), commands.status(), commands.history(), commands.show(), commands.diff())
	return c
}

// ask sends an order to the controller. The answer may come with an error; it is never nil without one.
func (cc *configCommands) ask(ctx context.Context, order configuration.Request) (*configuration.Answer, error) {
	status, err := cc.flags.call(ctx, control.Request{Action: "config", Config: &order})
	if status.Config == nil && err == nil {
		err = errors.New("the controller told nothing of the fleet's configuration: is there a block config in its file?")
	}
	return status.Config, err
}

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	author, reason string
	expect         uint64
	wait           time.Duration
}

func (f *changeFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.reason, "reason", "", "why; kept with the version")
	c.Flags().StringVar(&f.author, "author", "", "who; kept with the version (the user)")
	c.Flags().Uint64Var(&f.expect, "expect", 0, "the newest version that you have seen, 0: none; with a newer one nothing is done")
	c.Flags().DurationVar(&f.wait, "wait", usualConfigWait, "how long to wait until it is in force everywhere")
}

// check tells what is wrong with the flags.
func (f *changeFlags) check() error {
	switch {
	case f.reason == "":
		return errors.New("--reason is missing")
	case len(f.reason) > config.MaxReason:
		return fmt.Errorf("--reason has over %d bytes", config.MaxReason)
	case len(f.author) > config.MaxAuthor:
		return fmt.Errorf("--author has over %d bytes", config.MaxAuthor)
	case f.wait < 0 || f.wait > mostConfigWait:
		return fmt.Errorf("--wait is not from 0 to %v", mostConfigWait)
	}
	return nil
}

// order is the part of an order that the flags say.
func (f *changeFlags) order(c *cobra.Command, action configuration.Action) configuration.Request {
	order := configuration.Request{Action: action, Author: f.author, Reason: f.reason}
	if order.Author == "" {
		order.Author = userName()
	}
	if c.Flags().Changed("expect") {
		order.Expect = &f.expect
	}
	return order
}

func userName() string {
	name := os.Getenv("USER")
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	return name[:min(len(name), config.MaxAuthor)]
}

func (cc *configCommands) put() *cobra.Command {
	var flags changeFlags
	c := &cobra.Command{
		Use:   "put FILE",
		Short: "Have a file agreed as the next version, and wait until it is in force",
		Args: func(c *cobra.Command, args []string) error {
			return cmp.Or(cobra.ExactArgs(1)(c, args), flags.check())
		},
		RunE: func(c *cobra.Command, args []string) error {
			document, err := readDocument(args[0])
			if err != nil {
				return err
			}
			order := flags.order(c, configuration.ActionPut)
			order.Document = document
			return cc.change(c, order, flags.wait)
		},
	}
	flags.add(c)
	return c
}

func (cc *configCommands) rollback() *cobra.Command {
	var flags changeFlags
	var number uint64
	c := &cobra.Command{
		Use:   "rollback N",
		Short: "Have the document of an earlier version agreed as a new one, and wait until it is in force",
		Args: func(c *cobra.Command, args []string) error {
			return cmp.Or(numbers(&number)(c, args), flags.check())
		},
		RunE: func(c *cobra.Command, _ []string) error {
			order := flags.order(c, configuration.ActionRollback)
			order.Number = number
			return cc.change(c, order, flags.wait)
		},
	}
	flags.add(c)
	return c
}

// readDocument reads a file that is to be put.
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
		return nil, fmt.Errorf("%s: is empty: put a file with a comment to turn all off", path)
	}
	return document, nil
}

// numbers has as many arguments as places, each the number of a version.
func numbers(places ...*uint64) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(len(places))(c, args); err != nil {
			return err
		}
		for i, place := range places {
			n, err := strconv.ParseUint(args[i], 10, 64)
			if err != nil || n == 0 {
				return fmt.Errorf("%.40q is no number of a version", args[i])
			}
			*place = n
		}
		return nil
	}
}

// change asks for a new version, waits until it is in force, and tells how it ended.
func (cc *configCommands) change(c *cobra.Command, order configuration.Request, wait time.Duration) error {
	answer, err := cc.ask(c.Context(), order)
	switch {
	case err != nil && answer == nil:
		return cc.unanswered(err)
	case err != nil && answer.Result == "": // the controller tells that nothing was done, and why
		return err
	}
	outcome := changeOutcome{Result: answer.Result, Reason: answer.Reason, Version: viewOf(answer.Version)}
	if answer.Result != "agreed" || answer.Version == nil {
		return cc.finish(c, outcome, notAgreed(answer, err))
	}
	number := answer.Version.Number
	if !cc.flags.json {
		fmt.Fprintf(c.OutOrStdout(), "version %d is agreed\n", number)
	}
	found := cc.await(c.Context(), number, wait)
	outcome.setStatus(found, cc.now())
	return cc.finish(c, outcome, found.verdict(number, wait))
}

// unanswered is the error of an order that has no answer: unless no controller was reached, it may have been carried out.
func (cc *configCommands) unanswered(err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" || cc.flags.folder == "" {
		return err
	}
	return fmt.Errorf("%w\nit may have been agreed all the same: see mintkeel fleet config history", err)
}

// notAgreed is the error of an order whose answer is another than that it was agreed.
func notAgreed(answer *configuration.Answer, err error) error {
	switch answer.Result {
	case "lost":
		newest := "a newer version"
		if v := answer.Version; v != nil {
			newest = fmt.Sprintf("version %d by %s (%s)", v.Number, oneLine(v.Author), oneLine(v.Reason))
		}
		return &exitError{exitLost, fmt.Errorf("nothing was done: %s was agreed first", newest)}
	case "refused":
		return errors.Join(errors.New("refused"), errorIf(answer.Reason != "", answer.Reason), err)
	}
	why := cmp.Or(answer.Reason, "no answer in time")
	return errors.Join(fmt.Errorf("not known whether it was agreed: %s\nsee mintkeel fleet config history", why), err)
}

// await asks for the status until a version is in force at all controllers that are heard, or can't be, or the time is up.
func (cc *configCommands) await(ctx context.Context, number uint64, wait time.Duration) configStatus {
	end := cc.now().Add(wait)
	var found configStatus
	for {
		answer, err := cc.ask(ctx, configuration.Request{Action: configuration.ActionStatus})
		if err == nil && answer.Status != nil {
			found = configStatus{status: answer.Status, from: answer.From}
		} else if err != nil {
			found.err = err
		}
		if found.settled(number) || !cc.now().Before(end) {
			return found
		}
		select {
		case <-ctx.Done():
			return found
		case <-time.After(min(configPollEvery, end.Sub(cc.now()))):
		}
	}
}

// finish prints how a change ended. The error holds its exit code.
func (cc *configCommands) finish(c *cobra.Command, outcome changeOutcome, err error) error {
	if cc.flags.json {
		return cmp.Or(err, printJSON(c, outcome))
	}
	if outcome.line != "" {
		fmt.Fprintln(c.OutOrStdout(), outcome.line)
	}
	return err
}

func (cc *configCommands) status() *cobra.Command {
	var wait time.Duration
	c := &cobra.Command{
		Use:   "status",
		Short: "Tell where the latest version is in force, who refused it, and who is not heard",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := cc.ask(c.Context(), configuration.Request{Action: configuration.ActionStatus})
			if answer == nil {
				return err
			}
			found := configStatus{status: answer.Status, from: answer.From, err: err}
			if found.status != nil && wait > 0 && !found.settled(found.status.Latest.Number) {
				found = cc.await(c.Context(), found.status.Latest.Number, wait)
			}
			return cc.printStatus(c, answer.Local, found)
		},
	}
	c.Flags().DurationVar(&wait, "wait", 0, "how long to wait until it is in force everywhere")
	return c
}

func (cc *configCommands) history() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the versions that the fleet remembers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := cc.ask(c.Context(), configuration.Request{Action: configuration.ActionHistory})
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

// document asks for the document of a version.
func (cc *configCommands) document(ctx context.Context, number uint64) (*configuration.Answer, error) {
	answer, err := cc.ask(ctx, configuration.Request{Action: configuration.ActionShow, Number: number})
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", number, err)
	}
	if answer.Document == nil {
		return nil, fmt.Errorf("version %d: %s", number, cmp.Or(answer.Reason, "its document was not found"))
	}
	return answer, nil
}

func (cc *configCommands) show() *cobra.Command {
	var number uint64
	return &cobra.Command{
		Use:   "show N",
		Short: "Print the document of a version",
		Args:  numbers(&number),
		RunE: func(c *cobra.Command, _ []string) error {
			answer, err := cc.document(c.Context(), number)
			if err != nil {
				return err
			}
			if cc.flags.json {
				return printJSON(c, documentView{Number: number, Version: viewOf(answer.Version), Document: string(answer.Document)})
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
		Args:  numbers(&older, &newer),
		RunE: func(c *cobra.Command, _ []string) error {
			from, err := cc.document(c.Context(), older)
			if err != nil {
				return err
			}
			to, err := cc.document(c.Context(), newer)
			if err != nil {
				return err
			}
			text := udiff.Unified(fmt.Sprint("version ", older), fmt.Sprint("version ", newer), string(from.Document), string(to.Document))
			if cc.flags.json {
				return printJSON(c, diffView{From: older, To: newer, Diff: text})
			}
			_, err = io.WriteString(c.OutOrStdout(), text)
			return err
		},
	}
}
