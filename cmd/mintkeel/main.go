// Command mintkeel is one controller of the gateway: it takes clients' commands on a socket, has the decision module
// say what runs where, and answers. Here are arguments and wiring only.
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
	exitFailed  = 1 // it can't be done: a configuration that can't be used, a memory that can't be trusted
	exitUsage   = 2 // it was not understood
	exitPartial = 3 // a version was agreed, and is not known to be in force at each controller that is heard
	exitLost    = 4 // another version was agreed first
)

// exitError is an error of a command that ends with a code of its own.
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
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), memoryCommand(), rulesCommand(), fleetCommand(), maintenanceCommand())
	root.SetOut(out)
	root.SetErr(errs)
	root.SetArgs(dashes(args))
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

// dashes takes the flags of earlier versions, which had one dash, as the same with two.
func dashes(args []string) []string {
	out := make([]string, len(args))
	for i, arg := range args {
		if out[i] = arg; arg == "-config" || strings.HasPrefix(arg, "-config=") {
			out[i] = "-" + arg
		}
	}
	return out
}
