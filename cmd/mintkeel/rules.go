package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/operator"
	"mintkeel/internal/settings"
)

func rulesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rules",
		Short: "Check, explain, test or benchmark the operator's rules",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(rulesCheck(), rulesExplain(), rulesTest(), rulesBench())
	return c
}

// readRules reads the operator's rules. It fails if there are none.
func (s *configSources) readRules() (*rules.Set, *settings.Facts, error) {
	config, file, err := s.read()
	if err != nil {
		return nil, nil, err
	}
	if file.Rules == nil {
		return nil, nil, errors.New("there are no rules: set --operator to a file with rules")
	}
	return file.Rules, config.facts, nil
}

func rulesCheck() *cobra.Command {
	var from configSources
	c := &cobra.Command{
		Use:   "check",
		Short: "Validate the rules, and print the maximum number of steps of each",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			set, _, err := from.readRules()
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 2, 8, 2, ' ', 0)
			fmt.Fprintln(t, "rule\tmax steps\tindexed by")
			for i := range set.Len() {
				fmt.Fprintf(t, "%s\t%d\t%s\n", set.Name(i), set.Steps(i), set.IndexedBy(i))
			}
			return t.Flush()
		},
	}
	from.addFlags(c)
	return c
}

func rulesExplain() *cobra.Command {
	var from configSources
	var application, listener string
	c := &cobra.Command{
		Use:   "explain QUERY",
		Short: "Show which rules match a query as a client would write it, and why",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, facts, err := from.readRules()
			if err != nil {
				return err
			}
			query, err := clients.RuleInput([]byte(args[0]), &facts.Names, application, listener)
			if err != nil {
				return err
			}
			printExplanation(c.OutOrStdout(), set, &query, facts)
			return nil
		},
	}
	from.addFlags(c)
	c.Flags().StringVar(&application, "application", "", "the client's application_name")
	c.Flags().StringVar(&listener, "listener", "",
		"the controller's address that the client connected to")
	return c
}

// printExplanation prints the rules that were tried on a query, each with the steps of its
// evaluation, and the verdict.
func printExplanation(
	out io.Writer, set *rules.Set, query *rules.Query, facts *settings.Facts,
) {
	verdict, tried := set.Explain(query)
	for _, rule := range tried {
		outcome := "does not match"
		if rule.Matched {
			outcome = "matches"
		}
		fmt.Fprintf(out, "%s: %s\n", rule.Name, outcome)
		for _, step := range rule.Steps {
			fmt.Fprintf(out, "%s%s = %s\n", strings.Repeat("  ", step.Depth+1), step.Text, step.Value)
		}
	}
	fmt.Fprintf(out, "%d of %d rules were tried; the others require something that the query lacks\n",
		len(tried), set.Len())
	if verdict.Rejection != "" {
		fmt.Fprintf(out, "refused: %s\n", verdict.Rejection)
		return
	}
	fmt.Fprintf(out, "profile %s, key %q, hot %t, kinds %v, zones %v, "+
		"estimate capped at %gms, labels %v\n",
		operator.RuleFacts(facts).ClassNames[verdict.Class], verdict.OrderingKey, verdict.Hot,
		verdict.Kinds, verdict.Zones, verdict.EstimateCap, verdict.Labels)
}

func rulesTest() *cobra.Command {
	var from configSources
	c := &cobra.Command{
		Use:   "test CASES",
		Short: "Run a file of test cases against the rules; exit code 1 if one fails",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, facts, err := from.readRules()
			if err != nil {
				return err
			}
			cases, err := operator.ReadCases(args[0], facts)
			if err != nil {
				return err
			}
			failed := 0
			for i := range cases {
				wrong := cases[i].Run(set)
				if len(wrong) > 0 {
					failed++
				}
				for _, why := range wrong {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", cases[i].Name, why)
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "%d passed, %d failed\n", len(cases)-failed, failed)
			if failed > 0 {
				return fmt.Errorf("%d cases are not as expected", failed)
			}
			return nil
		},
	}
	from.addFlags(c)
	return c
}

func rulesBench() *cobra.Command {
	var from configSources
	duration := time.Second
	c := &cobra.Command{
		Use:   "bench QUERY",
		Short: "Measure the cost of the rules on a query, relative to one rule that never matches",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			set, facts, err := from.readRules()
			if err != nil {
				return err
			}
			query, err := clients.RuleInput([]byte(args[0]), &facts.Names, "", "")
			if err != nil {
				return err
			}
			one, problems := rules.Compile([]rules.Rule{{Name: "one", When: `tenant == "\x"`}},
				operator.RuleFacts(facts), operator.RuleBounds())
			if problems != nil {
				return problems[0]
			}
			base := measureRules(one, &query, duration/2)
			own := measureRules(set, &query, duration/2)
			fmt.Fprintf(c.OutOrStdout(), "%d rules cost %.1f times a rule that never matches\n", set.Len(),
				own/base)
			return nil
		},
	}
	from.addFlags(c)
	c.Flags().DurationVar(&duration, "for", duration, "how long to measure")
	return c
}

// measureRules applies the rules to a query for the given duration, and returns the mean time of
// one application in ns.
func measureRules(set *rules.Set, query *rules.Query, duration time.Duration) float64 {
	const batch = 100 // applications between two readings of the clock
	var scratch rules.Scratch
	count := 0
	began := time.Now()
	for ; time.Since(began) < duration; count += batch {
		for range batch {
			set.Apply(query, &scratch)
		}
	}
	return float64(time.Since(began).Nanoseconds()) / float64(count)
}
