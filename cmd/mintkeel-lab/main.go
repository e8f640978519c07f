// Command mintkeel-lab runs the project's own rigs: random simulations, changed operators, kills and measurements. No
// controller needs it. Here are arguments and wiring only.
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
	root := &cobra.Command{
		Use:           "mintkeel-lab",
		Short:         "The rigs on which mintkeel is tested and measured",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(simulateCommand(), mutantsCommand(), killsCommand(), restartCommand(), fuzzCommand(), surgeCommand(), pathCommand(), stepsCommand(), relayCommand(), daemonCommand(), behindCommand(), fleetCommand(), scaleCommand(), playgroundCommand(), queryCommand())
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "mintkeel-lab:", err)
		os.Exit(1)
	}
}
