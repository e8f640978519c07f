package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/playground"
	"mintkeel/internal/lab/standin"
)

// answerNames maps the answers of a controller to the glossary's terms.
var answerNames = map[standin.Verdict]string{
	standin.Answered: "succeeded",
	standin.Shed:     "rejected",
	standin.Failed:   "failed",
}

func queryCommand() *cobra.Command {
	address := playgroundAddress
	deadline := 2 * time.Second
	statement := playground.Statement{
		Class:  playground.Classes()[0],
		Work:   10 * time.Millisecond,
		Tables: "sales_17.orders",
	}
	c := &cobra.Command{
		Use:   "query",
		Short: "Send a query to a controller of a playground, and print its answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			verdict, took, err := playground.Query(c.Context(), address, statement, deadline)
			if verdict == standin.Lost {
				return fmt.Errorf("no answer: %w", err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s after %v\n", answerNames[verdict],
				took.Round(time.Microsecond))
			return nil
		},
	}
	c.Flags().StringVar(&address, "connect", address, "address of the controller")
	c.Flags().StringVar(&statement.Class, "class", statement.Class,
		"query class: "+strings.Join(playground.Classes(), ", "))
	c.Flags().DurationVar(&statement.Work, "work", statement.Work, "work of the query at an engine")
	c.Flags().StringVar(&statement.Tables, "tables", statement.Tables, "tables that the query reads")
	c.Flags().DurationVar(&deadline, "deadline", deadline, "deadline of the query")
	return c
}
