package main

import (
	"context"
	"os"
	"os/exec"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/scale/hollow"
)

// scaleShareProcess returns a command that runs this program with a share of a hollow fleet. The
// process has one core, as a controller does.
func scaleShareProcess(ctx context.Context) *exec.Cmd {
	path, err := os.Executable()
	if err != nil {
		path = os.Args[0]
	}
	command := exec.CommandContext(ctx, path, "scale", "share")
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	return command
}

func scaleShareCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "share",
		Short:  "Run a share of a hollow fleet by requests on the standard input, until the input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return hollow.ServeChild(c.Context(), os.Stdin, c.OutOrStdout())
		},
	}
}
