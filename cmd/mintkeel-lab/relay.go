package main

import (
	"net"
	"runtime"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/relay"
	"mintkeel/internal/limits"
)

// What the relay is granted: as many descriptors as the daemon that it is compared with.
const (
	relayDescriptors = daemonDescriptors
	relayMemoryMB    = 2048
)

func relayCommand() *cobra.Command {
	var listen, engine string
	c := &cobra.Command{
		Use:    "relay",
		Short:  "Pass queries to one engine without deciding: what a controller is measured against",
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
	c.Flags().StringVar(&listen, "listen", "", "where clients connect")
	c.Flags().StringVar(&engine, "engine", "", "where all queries go")
	return c
}
