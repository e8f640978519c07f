package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/memory"
	"mintkeel/internal/store/disk"
	"mintkeel/router"
)

func memoryCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "memory",
		Short: "Show, verify or prune snapshots of statistics",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(memoryShow(), memoryVerify(), memoryPrune())
	return c
}

// What commands take as granted that run without the platform's configuration.
const (
	offlineDescriptors = 64
	offlineMemoryMB    = 256
)

// offlineLimits are the limits of commands that run without the platform's configuration, and
// without connections.
func offlineLimits() *limits.Limits {
	return limits.For(offlineDescriptors, offlineMemoryMB, 0, 0, 0)
}

func memoryShow() *cobra.Command {
	var asJSON, all bool
	c := &cobra.Command{
		Use:   "show FOLDER",
		Short: "Show the newest snapshot of a folder, its age, and what a restore would take of it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			snapshot, _, err := memory.Load(disk.Folder(args[0]), memory.FileBounds(offlineLimits()))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			report := memory.NewReport(snapshot, float64(time.Now().UnixMilli()), restore.DefaultHalfLives())
			if asJSON {
				return printJSON(c, report)
			}
			return printReport(c.OutOrStdout(), report, all)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print all records as JSON")
	c.Flags().BoolVar(&all, "all", false, "print all records, not the first of each kind")
	return c
}

// errDamagedSnapshot ends verify with code 1.
var errDamagedSnapshot = errors.New("can't be trusted whole")

func memoryVerify() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "verify FOLDER",
		Short: "Verify the snapshots of a folder; exit code 1 if one is damaged",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			checks, err := memory.Verify(disk.Folder(args[0]), memory.FileBounds(offlineLimits()))
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			damaged := false
			for _, check := range checks {
				damaged = damaged || !check.Complete
				if asJSON {
					continue
				}
				if check.Complete {
					fmt.Fprintf(c.OutOrStdout(), "%s is whole: %d records of %s\n", check.File, check.Records,
						check.Name)
				} else {
					fmt.Fprintf(c.OutOrStdout(), "%s %s\n", check.File, check.Reason)
				}
			}
			if asJSON {
				if err := printJSON(c, checks); err != nil {
					return err
				}
			}
			if damaged || len(checks) == 0 {
				return fmt.Errorf("%s: %w", args[0], errDamagedSnapshot)
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print what was found as JSON")
	return c
}

func memoryPrune() *cobra.Command {
	var what memory.PruneSelection
	var engines []string
	var tables []int64
	c := &cobra.Command{
		Use: "prune FOLDER",
		Short: "Delete the statistics of an engine, a table group or all; " +
			"no controller may use the folder",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, e := range engines {
				what.Engines = append(what.Engines, router.EngineID(e))
			}
			for _, t := range tables {
				what.Tables = append(what.Tables, router.TableGroup(t))
			}
			if !what.All && len(what.Engines)+len(what.Tables) == 0 {
				return errors.New("name what to forget: --engine, --tables or --all")
			}
			n, err := memory.Prune(disk.Folder(args[0]), memory.FileBounds(offlineLimits()), what)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records forgotten\n", n)
			return nil
		},
	}
	c.Flags().StringSliceVar(&engines, "engine", nil, "forget what is known of this engine")
	c.Flags().Int64SliceVar(&tables, "tables", nil, "forget what is known of this table group")
	c.Flags().BoolVar(&what.All, "all", false, "forget all")
	return c
}
