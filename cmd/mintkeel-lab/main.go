package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "mintkeel-lab:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "mintkeel-lab",
		Short:         "The rigs on which mintkeel is tested and measured",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	// Checks that end with an error if something is wrong.
	root.AddCommand(simulateCommand(), mutantsCommand(), killsCommand(), rulesFuzzCommand())
	// Measurements of the decision module and of the daemon.
	root.AddCommand(behindCommand(), stepsCommand(), rulesPathCommand(), daemonCommand())
	root.AddCommand(relayCommand(), restartCommand(), surgeCommand())
	// Many controllers.
	root.AddCommand(fleetCommand(), scaleCommand())
	// A first run of the daemon without engines.
	root.AddCommand(playgroundCommand(), queryCommand())
	return root
}
