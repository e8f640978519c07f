package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
)

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	author, reason string
	expect         uint64
	wait           time.Duration
}

func (f *changeFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.reason, "reason", "",
		"the `reason` for the change; stored with the version")
	c.Flags().StringVar(&f.author, "author", "",
		"the `author` of the change; stored with the version (the current user)")
	c.Flags().Uint64Var(&f.expect, "expect", 0,
		"fail without a change unless the latest version is this one, 0: none")
	c.Flags().DurationVar(&f.wait, "wait", defaultConfigWait,
		"how long to wait until the version is in force everywhere")
}

// check validates the flags.
func (f *changeFlags) check() error {
	switch {
	case f.reason == "":
		return errors.New("--reason is missing")
	case len(f.reason) > config.MaxReason:
		return fmt.Errorf("--reason has over %d bytes", config.MaxReason)
	case len(f.author) > config.MaxAuthor:
		return fmt.Errorf("--author has over %d bytes", config.MaxAuthor)
	case f.wait < 0 || f.wait > maxConfigWait:
		return fmt.Errorf("--wait is not from 0 to %v", maxConfigWait)
	}
	return nil
}

// request builds the part of a request that the flags set.
func (f *changeFlags) request(c *cobra.Command, action configuration.Action) configuration.Request {
	request := configuration.Request{Action: action, Author: f.author, Reason: f.reason}
	if request.Author == "" {
		request.Author = userName()
	}
	if c.Flags().Changed("expect") {
		request.Expect = &f.expect
	}
	return request
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
		Short: "Propose a file as the next version, and wait until it is in force",
		Args: func(c *cobra.Command, args []string) error {
			return cmp.Or(cobra.ExactArgs(1)(c, args), flags.check())
		},
		RunE: func(c *cobra.Command, args []string) error {
			document, err := readDocument(args[0])
			if err != nil {
				return err
			}
			request := flags.request(c, configuration.ActionPut)
			request.Document = document
			return cc.change(c, request, flags.wait)
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
		Short: "Propose the document of an earlier version as a new one, and wait until it is in force",
		Args: func(c *cobra.Command, args []string) error {
			return cmp.Or(versionArgs(&number)(c, args), flags.check())
		},
		RunE: func(c *cobra.Command, _ []string) error {
			request := flags.request(c, configuration.ActionRollback)
			request.Number = number
			return cc.change(c, request, flags.wait)
		},
	}
	flags.add(c)
	return c
}

// change requests a new version, waits until it is in force, and prints the outcome.
func (cc *configCommands) change(
	c *cobra.Command, request configuration.Request, wait time.Duration,
) error {
	answer, err := cc.call(c.Context(), request)
	switch {
	case err != nil && answer == nil:
		return cc.noAnswerError(err)
	case err != nil && answer.Result == "": // nothing was done, and the error says why
		return err
	}
	outcome := changeOutcome{
		Result:  answer.Result,
		Reason:  answer.Reason,
		Version: viewOf(answer.Version),
	}
	if answer.Result != configuration.ResultAgreed || answer.Version == nil {
		return cc.printOutcome(c, outcome, rejectionError(answer, err))
	}
	number := answer.Version.Number
	if !cc.flags.json {
		fmt.Fprintf(c.OutOrStdout(), "version %d is agreed\n", number)
	}
	found := cc.awaitInForce(c.Context(), number, wait)
	outcome.setStatus(found, cc.now())
	return cc.printOutcome(c, outcome, found.resultError(number, wait))
}

// noAnswerError returns the error for a request that got no answer. It adds that the request may
// have been executed, unless no controller was reached.
func (cc *configCommands) noAnswerError(err error) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" || cc.flags.folder == "" {
		return err
	}
	return fmt.Errorf("%w\nit may have been agreed nevertheless: see mintkeel fleet config history",
		err)
}

// rejectionError returns the error for a change that was not committed, or is not known to be.
func rejectionError(answer *configuration.Answer, err error) error {
	switch answer.Result {
	case configuration.ResultLost:
		newest := "a newer version"
		if v := answer.Version; v != nil {
			newest = fmt.Sprintf("version %d by %s (%s)", v.Number, oneLine(v.Author), oneLine(v.Reason))
		}
		return &exitError{exitLost, fmt.Errorf("nothing was done: %s was agreed first", newest)}
	case configuration.ResultRefused:
		return errors.Join(errors.New("refused"), errorIf(answer.Reason != "", answer.Reason), err)
	}
	why := cmp.Or(answer.Reason, "no answer in time")
	unknown := fmt.Errorf("not known whether it was agreed: %s\nsee mintkeel fleet config history",
		why)
	return errors.Join(unknown, err)
}

// awaitInForce polls the status until the version is settled or the wait has elapsed. It returns
// the last status.
func (cc *configCommands) awaitInForce(
	ctx context.Context, number uint64, wait time.Duration,
) configStatus {
	end := cc.now().Add(wait)
	var found configStatus
	for {
		answer, err := cc.call(ctx, configuration.Request{Action: configuration.ActionStatus})
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
		case <-time.After(min(configPollInterval, end.Sub(cc.now()))):
		}
	}
}

// printOutcome prints the outcome of a change, and returns the error that holds the exit code.
func (cc *configCommands) printOutcome(c *cobra.Command, outcome changeOutcome, err error) error {
	if cc.flags.json {
		return cmp.Or(err, printJSON(c, outcome))
	}
	if outcome.line != "" {
		fmt.Fprintln(c.OutOrStdout(), outcome.line)
	}
	return err
}
