package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/fleet"
	"mintkeel/internal/lab/restart"
)

func fleetCommand() *cobra.Command {
	var histories, nodes, faults, beside int
	var seed int64
	var virtual, tell, config, processes, goOn bool
	var mintkeel, script string
	c := &cobra.Command{
		Use:   "fleet",
		Short: "Have many controllers get along while parts of the system break, and judge what receivers saw",
		Long: `Have many controllers get along while parts of the system break, and judge what
receivers saw. Each history has a fault script drawn from its seed. It ends with
0 only if nothing broke, and prints the seed and the script of what did, shrunk
where the history is one of virtual time.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if config && processes {
				return configurationProcesses(c, mintkeel, histories, nodes, faults, beside, seed, tell, goOn)
			}
			if config {
				return configurationHistories(c, histories, nodes, faults, beside, seed, goOn)
			}
			if virtual {
				return virtualHistories(c, histories, nodes, faults, beside, seed)
			}
			if script != "" && script != "maintenance" {
				return fmt.Errorf("--script %.40q is none of maintenance", script)
			}
			return processHistories(c, mintkeel, script, histories, nodes, faults, beside, seed, tell)
		},
	}
	c.Flags().IntVar(&histories, "histories", 10, "how many")
	c.Flags().Int64Var(&seed, "seed", 1, "of the first")
	c.Flags().IntVar(&nodes, "nodes", 0, "controllers; 0: 3 to 9, by the seed")
	c.Flags().IntVar(&faults, "faults", 6, "of each history")
	c.Flags().IntVar(&beside, "beside", 1, "histories at a time")
	c.Flags().BoolVar(&virtual, "virtual", false, "in virtual time, in this process")
	c.Flags().BoolVar(&config, "config", false, "of the fleet's configuration, in virtual time; --nodes 0: 3 to 12, by the seed")
	c.Flags().BoolVar(&processes, "processes", false, "with --config: with daemons as processes")
	c.Flags().BoolVar(&goOn, "go-on", false, "with --config: play all, whatever fails")
	c.Flags().StringVar(&script, "script", "", "maintenance: all engines are taken out once meanwhile")
	c.Flags().BoolVar(&tell, "tell", false, "tell each fault as it happens")
	c.Flags().StringVar(&mintkeel, "mintkeel", "", "a daemon built with -tags mintkeel_lab; none: one is built from the sources here")
	c.AddCommand(fleetModelCommand(), fleetMembersCommand(), fleetTakeOverCommand(), fleetOrdersCommand(), fleetSpreadCommand(), fleetDisseminationCommand(),
		fleetChecksCommand())
	return c
}

func nodesOf(nodes int, seed int64) int {
	if nodes > 0 {
		return nodes
	}
	return 3 + int(seed%7)
}

// each plays histories beside each other until one fails.
func each(ctx context.Context, n, beside int, seed int64, play func(seed int64) error) error {
	var next atomic.Int64
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	for range max(1, beside) {
		group.Go(func() {
			for {
				i := next.Add(1) - 1
				mu.Lock()
				stop := failed != nil
				mu.Unlock()
				if i >= int64(n) || stop || ctx.Err() != nil {
					return
				}
				if err := play(seed + i); err != nil {
					mu.Lock()
					failed = err
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	if failed == nil {
		failed = ctx.Err()
	}
	return failed
}

func virtualHistories(c *cobra.Command, n, nodes, faults, beside int, seed int64) error {
	var mu sync.Mutex
	var whole, free []float64
	effects, overlaps, late := 0, 0, 0
	began := time.Now()
	err := each(c.Context(), n, beside, seed, func(seed int64) error {
		p := fleet.UsualPlan(seed, nodesOf(nodes, seed), 3, faults)
		w := fleet.NewWorld(p)
		if why := w.Play(); why != "" {
			short, why := fleet.Shrink(p)
			return fmt.Errorf("seed %d, %d controllers, %d of them voters: %s\n%v", seed, p.Nodes, p.Voters, why, short.Script)
		}
		mu.Lock()
		defer mu.Unlock()
		whole = append(whole, w.Whole)
		for _, f := range w.Checker.Free {
			free = append(free, f...)
		}
		effects, overlaps, late = effects+w.Checker.Effects, overlaps+w.Checker.Overlap, late+w.Checker.Late
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%d histories in virtual time, none broke (%v)\n%d effects taken; %d times another began while one still acted; %d effects that were late\n",
		n, time.Since(began).Round(time.Second), effects, overlaps, late)
	fmt.Fprintf(c.OutOrStdout(), "whole after the last fault: %s ms\nwithout an owner: %s ms\n", spreadOf(whole), spreadOf(free))
	return nil
}

func spreadOf(xs []float64) string {
	if len(xs) == 0 {
		return "none"
	}
	slices.Sort(xs)
	at := func(q float64) float64 { return xs[min(len(xs)-1, int(q*float64(len(xs))))] }
	return fmt.Sprintf("median %.0f, 90th %.0f, 99th %.0f, most %.0f of %d", at(0.5), at(0.9), at(0.99), at(1), len(xs))
}

// labDaemon is the daemon that rigs run: the one at a path or, if that is empty, one that is built from the sources here.
// remove is called when it is needed no more.
func labDaemon(ctx context.Context, path string) (binary string, remove func(), err error) {
	if path != "" {
		return path, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	if binary, err = buildLab(ctx, dir); err != nil {
		remove()
		return "", nil, err
	}
	return binary, remove, nil
}

// buildLab builds the daemon with the lab's levers.
func buildLab(ctx context.Context, dir string) (string, error) {
	path := filepath.Join(dir, "mintkeel")
	build := exec.CommandContext(ctx, "go", "build", "-tags", "mintkeel_lab", "-o", path, "mintkeel/cmd/mintkeel")
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the lab's daemon: %w\n%s", err, out)
	}
	return path, nil
}

func processHistories(c *cobra.Command, mintkeel, script string, n, nodes, faults, beside int, seed int64, tell bool) error {
	mintkeel, remove, err := labDaemon(c.Context(), mintkeel)
	if err != nil {
		return err
	}
	defer remove()
	var mu sync.Mutex
	var sum fleet.Report
	var whole, free, maintained []float64
	err = each(c.Context(), n, beside, seed, func(seed int64) error {
		s := fleet.UsualScene(mintkeel, seed, nodesOf(nodes, seed), faults)
		if script == "maintenance" {
			s.Engines, s.AtOnce = 6, 1+int(seed%2)
		}
		var said []string
		s.Tell = func(line string) {
			if said = append(said, line); tell {
				fmt.Fprintln(c.ErrOrStderr(), line)
			}
		}
		r, err := fleet.PlayProcesses(c.Context(), s)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if r.Broken != "" {
			return fmt.Errorf("seed %d, %d controllers, %d of them voters: %s\n%v\n%s", seed, s.Nodes, s.Voters, r.Broken, s.Script,
				strings.Join(said, "\n"))
		}
		mu.Lock()
		defer mu.Unlock()
		sum.Effects += r.Effects
		sum.Refused += r.Refused
		sum.Taken += r.Taken
		sum.Commands += r.Commands
		sum.Answered += r.Answered
		sum.Shed += r.Shed
		sum.Failed += r.Failed
		sum.Back += r.Back
		if r.Maintained > 0 {
			maintained = append(maintained, float64(r.Maintained)/1e6)
		}
		whole = append(whole, float64(r.Whole)/1e6)
		for _, f := range r.Free {
			free = append(free, float64(f)/1e6)
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%d histories with processes, none broke\n%d effects taken by the endpoint, %d refused there by their token, %d taken by controllers\n",
		n, sum.Effects, sum.Refused, sum.Taken)
	fmt.Fprintf(c.OutOrStdout(), "%d commands: %d answered, %d shed, %d failed, none lost\nwhole after the last fault: %s ms\nbetween two owners' effects: %s ms\n",
		sum.Commands, sum.Answered, sum.Shed, sum.Failed, spreadOf(whole), spreadOf(free))
	if script == "maintenance" {
		fmt.Fprintf(c.OutOrStdout(), "%d engines were taken out once and are back, none while too many were out, no command at one that was told free; after all was whole: %s ms\n",
			sum.Back, spreadOf(maintained))
	}
	return nil
}

func fleetModelCommand() *cobra.Command {
	p := fleet.Small{Nodes: 3, Leases: 1, Lease: 2, Horizon: 5, Crashes: 1, Leaders: 1, Flight: 2, Most: 20_000_000}
	c := &cobra.Command{
		Use:   "model",
		Short: "Look at all orders of a small case of ownership",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			t := p.Search()
			fmt.Fprintf(c.OutOrStdout(), "%d states, %d moves between them\n", t.States, t.Moves)
			switch {
			case t.Broken != "":
				return fmt.Errorf("%s\n%s", t.Broken, strings.Join(t.Path, "\n"))
			case !t.Whole:
				return fmt.Errorf("not all states were looked at: --most is %d", p.Most)
			}
			fmt.Fprintln(c.OutOrStdout(), "all states within the bounds: nothing breaks")
			return nil
		},
	}
	c.Flags().IntVar(&p.Nodes, "nodes", p.Nodes, "controllers")
	c.Flags().IntVar(&p.Leases, "works", p.Leases, "works")
	c.Flags().IntVar(&p.Horizon, "horizon", p.Horizon, "units of time; a lease has 2")
	c.Flags().IntVar(&p.Crashes, "crashes", p.Crashes, "restarts at most")
	c.Flags().IntVar(&p.Losses, "losses", p.Losses, "lost messages at most")
	c.Flags().IntVar(&p.Leaders, "leaders", p.Leaders, "changes of the quorum's leader at most")
	c.Flags().IntVar(&p.Flight, "flight", p.Flight, "messages on their way at most")
	c.Flags().IntVar(&p.Most, "most", p.Most, "states at most")
	return c
}

func fleetMembersCommand() *cobra.Command {
	sizes, seed, long := []int{3, 30, 300, 1000}, int64(1), 2*time.Minute
	c := &cobra.Command{
		Use:   "members",
		Short: "Measure what membership costs, and how often it is wrong, by size of the fleet, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintln(out, "| controllers | trouble | bytes a second | wake-ups a second | suspected wrongly, an hour | taken as gone wrongly, an hour | all know of one killed after |")
			fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- |")
			for _, n := range sizes {
				for _, t := range []struct {
					name   string
					loss   float64
					pauses bool
				}{{"none", 0, false}, {"a tenth of all messages lost", 0.1, false}, {"each second one pauses for 0.2 to 3 s", 0, true}} {
					m := fleet.MeasureMembers(seed, n, t.loss, t.pauses, float64(long)/1e6)
					fmt.Fprintf(out, "| %d | %s | %.0f | %.1f | %.0f | %.0f | %.1f s |\n", n, t.name, m.BytesPerSecond, m.TicksPerSecond, m.FalseSuspicionsPerHour, m.FalseDeathsPerHour, m.DetectionMS/1e3)
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "sizes", sizes, "controllers")
	c.Flags().Int64Var(&seed, "seed", seed, "of the histories")
	c.Flags().DurationVar(&long, "long", long, "virtual time that is measured")
	return c
}

func fleetTakeOverCommand() *cobra.Command {
	seeds, leases := 50, []float64{2, 5, 10, 30}
	c := &cobra.Command{
		Use:   "takeover",
		Short: "Measure for how long a work has no owner, by lease and by how its owner was lost, beside a lock file",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintln(out, "| lease | its owner | without an owner, ms | late effects that were refused |\n| --- | --- | --- | --- |")
			for _, lease := range leases {
				for _, l := range fleet.Losses() {
					var free []float64
					late := 0
					for seed := range int64(seeds) {
						f, n := fleet.TakeOver(seed+1, lease*1000, l)
						free, late = append(free, f), late+n
					}
					fmt.Fprintf(out, "| %g s | %v | %s | %d |\n", lease, l, spreadOf(free), late)
				}
			}
			broke, both, late := 0, 0, 0
			for seed := range int64(20 * seeds) {
				b, l := fleet.LockFile(seed, 4000)
				if both, late = both+b, late+l; b+l > 0 {
					broke++
				}
			}
			fmt.Fprintf(out, "\nA lock file with a time in it, lease 4 s: two acted at once in %d of %d histories of a minute, %d looks of 50 ms; %d effects after a later owner's were taken\n",
				broke, 20*seeds, both, late)
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", seeds, "histories of each kind")
	c.Flags().Float64SliceVar(&leases, "leases", leases, "seconds")
	return c
}

func fleetOrdersCommand() *cobra.Command {
	sizes, seeds, load := []int{10, 80, 300}, 20, 0.6
	c := &cobra.Command{
		Use:   "orders",
		Short: "Measure what taking all engines out once costs, by order and size of the fleet, in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintln(out, "| engines | order | benefit lost | over the settled order | until all were back and warm | out at once |\n| --- | --- | --- | --- | --- | --- |")
			for _, n := range sizes {
				atOnce := max(1, n/10)
				horizon := float64(n) * 120 / float64(atOnce)
				var ours []float64
				for _, p := range fleet.Policies() {
					var losses, over, tooks []float64
					most := 0
					for seed := range int64(seeds) {
						l, took, out := fleet.TakeAll(seed, n, load, p, atOnce, horizon)
						losses, tooks, most = append(losses, l), append(tooks, took), max(most, out)
						if p == fleet.Ours {
							ours = append(ours, l)
						}
						over = append(over, l-ours[seed])
					}
					lost, _ := restart.Around(losses)
					mean, half := restart.Around(over)
					took, _ := restart.Around(tooks)
					end := fmt.Sprintf("%.0f s", took)
					if math.IsInf(took, 1) {
						end = fmt.Sprintf("not in %.0f s", horizon)
					}
					fmt.Fprintf(out, "| %d | %v | %.4f | %+.4f ±%.4f | %s | %d |\n", n, p, lost, mean, half, end, most)
				}
			}
			var best, ours []float64
			for seed := range int64(seeds) {
				b, o := fleet.BestOrder(seed, 5, load)
				best, ours = append(best, b), append(ours, o-b)
			}
			b, _ := restart.Around(best)
			o, half := restart.Around(ours)
			fmt.Fprintf(out, "\nFive engines, one at a time: the best of all orders loses %.4f, the settled one %+.4f ±%.4f more\n", b, o, half)
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "sizes", sizes, "engines")
	c.Flags().IntVar(&seeds, "seeds", seeds, "fleets of each size")
	c.Flags().Float64Var(&load, "load", load, "share of all cores that is asked for")
	return c
}
