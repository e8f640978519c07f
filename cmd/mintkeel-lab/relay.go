package main

import (
	"net"
	"runtime"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/relay"
	"mintkeel/internal/limits"
)

// Limits of the relay. It may use as many descriptors as the daemon that it is compared with.
const (
	relayDescriptors = daemonDescriptors
	relayMemoryMB    = 2048
)

func relayCommand() *cobra.Command {
	var listen, engine string
	c := &cobra.Command{
		Use:    "relay",
		Short:  "Forward queries to one engine without decisions, the baseline for a controller",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			runtime.GOMAXPROCS(1)
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			granted := limits.For(relayDescriptors, relayMemoryMB, 0, 0, 0)
			return relay.Serve(c.Context(), listener, engine, []string{"lookup", "report"}, granted)
		},
	}
	c.Flags().StringVar(&listen, "listen", "", "listen address for clients")
	c.Flags().StringVar(&engine, "engine", "", "address of the engine")
	return c
}
