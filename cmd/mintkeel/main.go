package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed  = 1 // the command failed, for example on a corrupt snapshot
	exitUsage   = 2 // the command line was not understood
	exitPartial = 3 // a version was committed, but may not be in force at all reachable controllers
	exitLost    = 4 // another version was committed first
)

// exitError is an error that determines the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() { os.Exit(execute(os.Args[1:], os.Stdout, os.Stderr)) }

// execute runs one command line and returns the exit code.
func execute(args []string, out, errs io.Writer) int {
	understood := false
	root := &cobra.Command{
		Use:   "mintkeel",
		Short: "A query gateway that decides what runs where, and with how much memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			understood = false
			c.SetOut(errs)
			c.Help()
			return fmt.Errorf("no command")
		},
		PersistentPreRun: func(*cobra.Command, []string) { understood = true },
		SilenceErrors:    true,
		SilenceUsage:     true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand())
	root.AddCommand(memoryCommand(), rulesCommand(), fleetCommand(), maintenanceCommand())
	root.SetOut(out)
	root.SetErr(errs)
	root.SetArgs(normalizeFlags(args))
	if err := root.Execute(); err != nil {
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Fprintln(errs, "mintkeel:", line)
		}
		if coded, ok := errors.AsType[*exitError](err); ok {
			return coded.code
		}
		if understood {
			return exitFailed
		}
		fmt.Fprintln(errs, "mintkeel: see mintkeel --help")
		return exitUsage
	}
	return 0
}

// normalizeFlags turns -config into --config: in earlier versions flags had a single dash.
func normalizeFlags(args []string) []string {
	out := make([]string, len(args))
	for i, arg := range args {
		out[i] = arg
		if arg == "-config" || strings.HasPrefix(arg, "-config=") {
			out[i] = "-" + arg
		}
	}
	return out
}
