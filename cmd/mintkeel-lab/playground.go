package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/playground"
)

// playgroundAddress is the default address on which the playground's controller listens and to
// which the command query connects.
const playgroundAddress = "127.0.0.1:8443"

func playgroundCommand() *cobra.Command {
	options := playground.Options{Folder: "playground", Listen: playgroundAddress, Engines: 3, Seed: 1}
	c := &cobra.Command{
		Use: "playground",
		Short: "Run emulated engines and their discovery, " +
			"and write a configuration to try the daemon with",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runPlayground(c.Context(), c.OutOrStdout(), options)
		},
	}
	c.Flags().StringVar(&options.Folder, "folder", options.Folder, "folder for the configuration")
	c.Flags().StringVar(&options.Listen, "listen", options.Listen, "listen address of the controller")
	c.Flags().IntVar(&options.Engines, "engines", options.Engines,
		fmt.Sprintf("number of engines, 1 to %d", playground.MaxEngines))
	c.Flags().Int64Var(&options.Seed, "seed", options.Seed, "seed of the engines and the controller")
	return c
}

// runPlayground runs the engines until the context ends, and then prints the attempts that each
// engine received.
func runPlayground(ctx context.Context, out io.Writer, options playground.Options) error {
	running, err := playground.Start(ctx, options)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintf(out, "%d engines run until this command is interrupted. In two other terminals:\n\n",
		options.Engines)
	fmt.Fprintf(out, "    bin/mintkeel serve --config %s\n    bin/mintkeel-lab query --connect %s\n",
		running.Config, options.Listen)
	<-ctx.Done()
	attempts := running.Attempts()
	fmt.Fprintln(out, "\nattempts:")
	for _, engine := range slices.Sorted(maps.Keys(attempts)) {
		fmt.Fprintf(out, "    %s %d\n", engine, attempts[engine])
	}
	return nil
}
