package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
	"mintkeel/internal/lab/mutants"
	"mintkeel/internal/lab/scale/dissemination"
	"mintkeel/internal/lab/scale/spread"
)

// configurationSum is what histories of a configuration told together.
type configurationSum struct {
	applied, proposed, agreed, lost, refused, unanswered, statuses int
	catchUp, afterPut, afterTold                                   []float64
}

func (s *configurationSum) add(w *fleet.World) {
	c, times := w.Configuration(), w.ConfigurationTimes()
	s.applied += c.Applications
	s.proposed += c.Proposals
	s.agreed += c.Agreed
	s.lost += c.Lost
	s.refused += c.Refused
	s.unanswered += c.Unanswered
	s.statuses += c.Statuses
	s.catchUp = append(s.catchUp, times.CatchUp)
	s.afterPut = append(s.afterPut, times.AfterPut)
	s.afterTold = append(s.afterTold, times.AfterTold)
}

// configurationNodes draws a fleet's size from a seed: 3 to 12.
func configurationNodes(nodes int, seed int64) int {
	if nodes > 0 {
		return nodes
	}
	return 3 + int(seed%10)
}

// configurationHistories plays histories of a fleet's configuration in virtual time. With goOn it plays all of them
// whatever fails, and fails in the end.
func configurationHistories(c *cobra.Command, n, nodes, faults, beside int, seed int64, goOn bool) error {
	var mu sync.Mutex
	var sum configurationSum
	failed, lost := 0, 0
	began := time.Now()
	err := each(c.Context(), n, beside, seed, func(seed int64) error {
		p := fleet.ConfigurationPlan(seed, configurationNodes(nodes, seed), faults)
		w := fleet.NewWorld(p)
		if why := w.Play(); why != "" {
			told := errors.New(fleet.ShrinkConfiguration(p))
			if !goOn {
				return told
			}
			mu.Lock()
			defer mu.Unlock()
			failed++
			fmt.Fprintln(c.ErrOrStderr(), told)
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		if w.Lost() {
			lost++
			return nil
		}
		sum.add(w)
		return nil
	})
	out := c.OutOrStdout() // also where it was cut short: what was played counts
	fmt.Fprintf(out, "%d histories of a configuration in virtual time passed, %d failed (%v)\n", len(sum.catchUp), failed, time.Since(began).Round(time.Second))
	if lost > 0 {
		fmt.Fprintf(out, "%d more broke no promise, and ended without a majority, as the script lost the folders of most voters\n", lost)
	}
	fmt.Fprintf(out, "%d versions applied; %d proposals: %d agreed, %d lost, %d refused, %d not answered; %d statuses\n",
		sum.applied, sum.proposed, sum.agreed, sum.lost, sum.refused, sum.unanswered, sum.statuses)
	fmt.Fprintf(out, "newest in force after the last heal: %s ms\n", spreadOf(sum.catchUp))
	fmt.Fprintf(out, "a put after that in force: %s ms\na status tells it after: %s ms\n", spreadOf(sum.afterPut), spreadOf(sum.afterTold))
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d of %d histories failed", failed, n)
	}
	return err
}

func fleetDisseminationCommand() *cobra.Command {
	o := dissemination.Options{Seed: 1}
	c := &cobra.Command{
		Use:   "dissemination",
		Short: "Compare ways in which a document may reach all controllers, in a model in virtual time",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			dissemination.Print(c.OutOrStdout(), dissemination.Compare(o))
		},
	}
	c.Flags().IntVar(&o.Nodes, "nodes", 670, "controllers")
	c.Flags().IntVar(&o.Seeds, "seeds", 20, "plays of each way under each condition")
	c.Flags().Int64Var(&o.Seed, "seed", o.Seed, "of the first play")
	return c
}

func fleetSpreadCommand() *cobra.Command {
	o := spread.Options{Seed: 1}
	c := &cobra.Command{
		Use:   "spread",
		Short: "Measure how long a version of the configuration takes until it is in force everywhere, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var mu sync.Mutex
			o.Tell = func(format string, args ...any) {
				mu.Lock()
				defer mu.Unlock()
				fmt.Fprintf(c.ErrOrStderr(), format+"\n", args...)
			}
			rows, err := spread.Measure(c.Context(), o)
			for _, r := range rows {
				value, _ := r.AtTarget()
				fmt.Fprintf(c.OutOrStdout(), "| %s | %s | %s | %.0f %s at %.0f, %s | %.2f | %s |\n", r.Role, r.Cost, r.Condition, value, r.Unit, r.Target,
					r.Origin(), r.Ratio(), r.Note)
			}
			return err
		},
	}
	c.Flags().Int64Var(&o.Seed, "seed", o.Seed, "of the first history")
	c.Flags().IntVar(&o.Seeds, "seeds", 5, "histories of each condition")
	c.Flags().IntVar(&o.Changes, "changes", 40, "of each history")
	c.Flags().IntVar(&o.Workers, "workers", 2, "histories at a time")
	c.Flags().StringSliceVar(&o.Only, "only", nil, "some conditions: at rest, 10% loss, ...; none: all")
	c.Flags().BoolVar(&o.Largest, "largest", false, "fleets of 670 alone")
	c.Flags().BoolVar(&o.Quick, "quick", false, "small fleets and few changes")
	return c
}

func fleetChecksCommand() *cobra.Command {
	workers, name := 1, ""
	c := &cobra.Command{
		Use:   "checks",
		Short: "Leave out each check that the configuration's promises rest on, and see that histories or the core's tests notice",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var chosen []mutants.Mutant
			names := map[string]string{}
			for _, d := range fleet.DroppedChecks() {
				m, err := d.Mutant(".")
				if err != nil {
					return err
				}
				if name == "" || strings.Contains(d.Name, name) {
					chosen = append(chosen, m)
					names[m.String()] = d.Name
				}
			}
			tests := []string{"-run=Configuration ./internal/lab/fleet", "./internal/core/fleet/config"} // histories, then the core's own tests
			missed := 0
			err := mutants.Try(c.Context(), ".", chosen, tests, workers, 5*time.Minute, func(m mutants.Mutant, v mutants.Verdict, text string) {
				if v != mutants.Noticed && v != mutants.TimedOut {
					missed++
				}
				fmt.Fprintf(c.OutOrStdout(), "%v: %s\n    %s\n", v, names[m.String()], firstFailure(text))
			})
			if err == nil && missed > 0 {
				err = fmt.Errorf("%d dropped checks were not noticed", missed)
			}
			return err
		},
	}
	c.Flags().IntVar(&workers, "workers", workers, "at a time")
	c.Flags().StringVar(&name, "name", name, "those whose name holds this; empty: all")
	return c
}

// firstFailure is the line that tells what failed first.
func firstFailure(text string) string {
	for line := range strings.Lines(text) {
		if strings.Contains(line, "_test.go:") {
			return strings.TrimSpace(line)
		}
	}
	return strings.TrimSpace(text[:min(len(text), 300)])
}

// configurationProcesses plays histories of a fleet's configuration with daemons as processes.
func configurationProcesses(c *cobra.Command, mintkeel string, n, nodes, faults, beside int, seed int64, tell, goOn bool) error {
	mintkeel, remove, err := labDaemon(c.Context(), mintkeel)
	if err != nil {
		return err
	}
	defer remove()
	var mu sync.Mutex
	var sum fleet.Report
	failed := 0
	var catchUp, afterPut []float64
	err = each(c.Context(), n, beside, seed, func(seed int64) error {
		s := fleet.ConfigurationScene(mintkeel, seed, nodesOf(nodes, seed), faults)
		var told []string
		s.Tell = func(line string) {
			mu.Lock()
			defer mu.Unlock()
			if told = append(told, line); tell {
				fmt.Fprintln(c.ErrOrStderr(), line)
			}
		}
		r, err := fleet.PlayProcesses(c.Context(), s)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		mu.Lock()
		defer mu.Unlock()
		if r.Broken != "" {
			broken := fmt.Errorf("seed %d, %d controllers, %d of them voters: %s\n%v\n%s", seed, s.Nodes, s.Voters, r.Broken, s.Script, strings.Join(told, "\n"))
			if !goOn {
				return broken
			}
			failed++
			fmt.Fprintln(c.ErrOrStderr(), broken)
			return nil
		}
		sum.ConfigProposals += r.ConfigProposals
		sum.ConfigAgreed += r.ConfigAgreed
		sum.ConfigApplied += r.ConfigApplied
		sum.ConfigRefused += r.ConfigRefused
		sum.ConfigStatuses += r.ConfigStatuses
		catchUp = append(catchUp, float64(r.ConfigCatchUp)/1e6)
		afterPut = append(afterPut, float64(r.ConfigAfterPut)/1e6)
		return nil
	})
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%d histories of a configuration with processes passed, %d failed\n%d proposals, %d agreed; %d versions applied, %d refused by one that can't use them; %d statuses\n", len(catchUp), failed,
		sum.ConfigProposals, sum.ConfigAgreed, sum.ConfigApplied, sum.ConfigRefused, sum.ConfigStatuses)
	fmt.Fprintf(out, "newest in force once all was whole: %s ms\na put after that in force: %s ms\n", spreadOf(catchUp), spreadOf(afterPut))
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d of %d histories failed", failed, n)
	}
	return err
}
