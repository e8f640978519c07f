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

// Grants assumed by commands that run without the platform's configuration.
const (
	offlineDescriptors = 64
	offlineMemoryMB    = 256
)

// offlineLimits returns the limits of commands that run without the platform's configuration and
// open no connections.
func offlineLimits() *limits.Limits {
	return limits.For(offlineDescriptors, offlineMemoryMB, 0, 0, 0)
}

func memoryShow() *cobra.Command {
	var asJSON, all bool
	c := &cobra.Command{
		Use:   "show FOLDER",
		Short: "Show the newest snapshot in a folder, its age, and which records a restore would use",
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
	c.Flags().BoolVar(&all, "all", false, "print all records, not only the first ones of each kind")
	return c
}

// errDamagedSnapshot makes verify exit with code 1.
var errDamagedSnapshot = errors.New("has a damaged snapshot, or none at all")

func memoryVerify() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "verify FOLDER",
		Short: "Verify the snapshots in a folder; exit code 1 if one is damaged or there is none",
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
					fmt.Fprintf(c.OutOrStdout(), "%s is complete: %d records of %s\n", check.File, check.Records,
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
			"no controller may be using the folder",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for _, e := range engines {
				what.Engines = append(what.Engines, router.EngineID(e))
			}
			for _, t := range tables {
				what.Tables = append(what.Tables, router.TableGroup(t))
			}
			if !what.All && len(what.Engines)+len(what.Tables) == 0 {
				return errors.New("nothing selected: set --engine, --tables or --all")
			}
			n, err := memory.Prune(disk.Folder(args[0]), memory.FileBounds(offlineLimits()), what)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d records deleted\n", n)
			return nil
		},
	}
	c.Flags().StringSliceVar(&engines, "engine", nil, "delete the statistics of this `engine`")
	c.Flags().Int64SliceVar(&tables, "tables", nil, "delete the statistics of this table `group`")
	c.Flags().BoolVar(&what.All, "all", false, "delete all statistics")
	return c
}
