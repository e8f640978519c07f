package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/playground"
	"mintkeel/internal/lab/standin"
)

func playgroundCommand() *cobra.Command {
	o := playground.Options{Folder: "playground", Listen: "127.0.0.1:8443", Engines: 3, Seed: 1}
	c := &cobra.Command{
		Use:   "playground",
		Short: "Run emulated engines and their discovery, and write a configuration to try the daemon with",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p, err := playground.Start(c.Context(), o)
			if err != nil {
				return err
			}
			defer p.Close()
			out := c.OutOrStdout()
			fmt.Fprintf(out, "%d engines run until this command is interrupted. In two other terminals:\n\n", o.Engines)
			fmt.Fprintf(out, "    bin/mintkeel serve --config %s\n    bin/mintkeel-lab query --connect %s\n", p.Config, o.Listen)
			<-c.Context().Done()
			attempts := p.Attempts()
			fmt.Fprintln(out, "\nattempts:")
			for _, engine := range slices.Sorted(maps.Keys(attempts)) {
				fmt.Fprintf(out, "    %s %d\n", engine, attempts[engine])
			}
			return nil
		},
	}
	c.Flags().StringVar(&o.Folder, "folder", o.Folder, "for the configuration")
	c.Flags().StringVar(&o.Listen, "listen", o.Listen, "where the controller is to listen")
	c.Flags().IntVar(&o.Engines, "engines", o.Engines, fmt.Sprintf("1 to %d", playground.MaxEngines))
	c.Flags().Int64Var(&o.Seed, "seed", o.Seed, "of the engines and the controller")
	return c
}

func queryCommand() *cobra.Command {
	connect, deadline := "127.0.0.1:8443", 2*time.Second
	statement := playground.Statement{Class: playground.Classes()[0], Work: 10 * time.Millisecond, Tables: "sales_17.orders"}
	c := &cobra.Command{
		Use:   "query",
		Short: "Send a query to a controller of a playground, and tell what it was answered",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			verdict, took, err := playground.Query(c.Context(), connect, statement, deadline)
			if verdict == standin.Lost {
				return fmt.Errorf("no answer: %w", err)
			}
			names := map[standin.Verdict]string{standin.Answered: "succeeded", standin.Shed: "rejected", standin.Failed: "failed"}
			fmt.Fprintf(c.OutOrStdout(), "%s after %v\n", names[verdict], took.Round(time.Microsecond))
			return nil
		},
	}
	c.Flags().StringVar(&connect, "connect", connect, "where the controller listens")
	c.Flags().StringVar(&statement.Class, "class", statement.Class, "query class: "+strings.Join(playground.Classes(), ", "))
	c.Flags().DurationVar(&statement.Work, "work", statement.Work, "what the query asks of an engine")
	c.Flags().StringVar(&statement.Tables, "tables", statement.Tables, "that it reads")
	c.Flags().DurationVar(&deadline, "deadline", deadline, "of the query")
	return c
}
