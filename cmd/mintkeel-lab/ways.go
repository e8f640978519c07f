package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/ways"
	"mintkeel/router"
)

func waysCommand() *cobra.Command {
	engines, tables, profiles, commands, seconds := 1000, 10000, 100, 500, 120
	c := &cobra.Command{
		Use:   "ways",
		Short: "Weigh ways of keeping what is learned: bytes written, time, learning lost at a kill",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintf(out, "| way | pace | MB written an hour | MB on disk | ms a writing | ms to read | s lost at a kill | "+
				"records found |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
			for _, pace := range []int{1, 5, 30} {
				for _, open := range []func(string) (ways.Way, error){
					func(dir string) (ways.Way, error) { return ways.NewSnapshots(dir) },
					func(dir string) (ways.Way, error) { return ways.NewLog(dir) },
					func(dir string) (ways.Way, error) { return ways.NewStore(dir) },
				} {
					dir, err := os.MkdirTemp("", "ways")
					if err != nil {
						return err
					}
					defer os.RemoveAll(dir)
					w, err := open(dir)
					if err != nil {
						return err
					}
					r, err := ways.Measure(w, dir, ways.NewState(engines, tables, profiles, 1), seconds, commands, pace)
					w.Close()
					if err != nil {
						return fmt.Errorf("%s: %w", r.Name, err)
					}
					fmt.Fprintf(out, "| %s | %d s | %.0f | %.1f | %.1f | %.1f | %.1f | %d |\n", r.Name, r.Pace,
						r.BytesAnHour/(1<<20), r.MBOnDisk, r.WriteMS, r.BackMS, r.LostOnAKill, r.RecordsFound)
				}
			}
			parts := taking(engines, tables, profiles)
			fmt.Fprintf(out, "\ntaking out %d records on the loop, 256 at a time: %d parts, median %v, longest %v\n",
				engines+tables+profiles, len(parts), parts[len(parts)/2], parts[len(parts)-1])
			return nil
		},
	}
	c.Flags().IntVar(&engines, "engines", engines, "how many")
	c.Flags().IntVar(&tables, "tables", tables, "table groups")
	c.Flags().IntVar(&profiles, "profiles", profiles, "how many")
	c.Flags().IntVar(&commands, "commands", commands, "a second")
	c.Flags().IntVar(&seconds, "seconds", seconds, "of the state's time; none is waited for")
	return c
}

// taking is the time of each part in which a module hands out what it has learned, in order.
func taking(engines, tables, profiles int) (parts []time.Duration) {
	m := router.New(1, router.Identity{}, make([]router.MachineKind, 2), make([]router.QueryClass, profiles), nil, router.Capabilities{},
		router.SafetyLimits{})
	listed := router.EndpointsUpdated{Complete: true}
	var l router.Statistics
	for i := range engines {
		id := router.EngineID(fmt.Sprintf("e%08d", i))
		listed.Endpoints = append(listed.Endpoints, router.Endpoint{Engine: id, Kind: -1})
		l.Engines = append(l.Engines, router.EngineStatistics{Engine: id, ThreadsPerCore: 2, Outcomes: 0xff, PoolLeader: id})
	}
	for i := range tables {
		l.Tables = append(l.Tables, router.TableStatistics{Tables: router.TableGroup(i), Demand: 1})
	}
	m.Step(1, []router.Event{listed, router.StatisticsRestored{Statistics: l}})
	for from, more := (router.Cursor{}), true; more; {
		began := time.Now()
		_, from, more = m.Statistics(from, 256)
		parts = append(parts, time.Since(began))
	}
	slices.Sort(parts)
	return parts
}
