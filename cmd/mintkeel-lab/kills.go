package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"

	"github.com/spf13/cobra"

	"mintkeel/internal/lab/kills"
	"mintkeel/internal/limits"
	"mintkeel/internal/memory"
)

func killsCommand() *cobra.Command {
	count := 1000
	seed := int64(1)
	childFolder := ""
	c := &cobra.Command{
		Use: "kills",
		Short: "Kill processes that write snapshots continuously, " +
			"and check whether the files that they leave can be trusted",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if childFolder != "" {
				return kills.Child(childFolder, os.Stdout)
			}
			return killWriters(c.Context(), c.OutOrStdout(), count, seed)
		},
	}
	c.Flags().IntVar(&count, "kills", count, "number of kills")
	c.Flags().Int64Var(&seed, "seed", seed, "seed of the times of the kills")
	c.Flags().StringVar(&childFolder, "child", "", "run as the process to be killed, in this folder")
	c.Flags().MarkHidden("child")
	return c
}

// killWriters kills child processes of this program, using half of the processors, and prints
// what their folders contained.
func killWriters(ctx context.Context, out io.Writer, count int, seed int64) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	child := func(folder string) *exec.Cmd { return exec.Command(self, "kills", "--child", folder) }
	bounds := memory.FileBounds(limits.For(64, 64, 0, 0, 0))
	workers := max(1, runtime.NumCPU()/2)
	var mu sync.Mutex
	var group sync.WaitGroup
	var total kills.Tally
	var failed error
	for worker := range workers {
		group.Go(func() {
			tally, err := kills.Run(ctx, (count+worker)/workers, seed+int64(worker), child, bounds)
			mu.Lock()
			defer mu.Unlock()
			total.Add(tally)
			if err != nil {
				failed = err
			}
		})
	}
	group.Wait()
	fmt.Fprintln(out, total)
	if failed == nil && total.Failed() {
		failed = errors.New("a killed process left a snapshot that can't be trusted")
	}
	return failed
}
