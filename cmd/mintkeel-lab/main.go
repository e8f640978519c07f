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
		Short:         "Run the rigs that test and measure mintkeel",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	// Checks, which end with an error if they find a fault.
	root.AddCommand(simulateCommand(), mutantsCommand(), killsCommand(), rulesFuzzCommand())
	// Measurements of the decision module and of the daemon.
	root.AddCommand(behindCommand(), stepsCommand(), rulesPathCommand(), daemonCommand())
	root.AddCommand(relayCommand(), restartCommand(), surgeCommand())
	// Checks and measurements of many controllers.
	root.AddCommand(fleetCommand(), scaleCommand())
	// A trial of the daemon with emulated engines.
	root.AddCommand(playgroundCommand(), queryCommand())
	return root
}
