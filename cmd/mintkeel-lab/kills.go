package main

import (
	"errors"
	"fmt"
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
	n, seed, child := 1000, int64(1), ""
	c := &cobra.Command{
		Use:   "kills",
		Short: "Kill processes that write memory all the time, and see whether what they left can be trusted",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if child != "" {
				return kills.Child(child, os.Stdout)
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			workers := max(1, runtime.NumCPU()/2)
			var mu sync.Mutex
			var group sync.WaitGroup
			var sum kills.Tally
			var failed error
			for w := range workers {
				group.Go(func() {
					t, err := kills.Run(c.Context(), (n+w)/workers, seed+int64(w), func(folder string) *exec.Cmd {
						return exec.Command(self, "kills", "--child", folder)
					}, memory.FileBounds(limits.For(64, 64, 0, 0, 0)))
					mu.Lock()
					defer mu.Unlock()
					if sum.Add(t); err != nil {
						failed = err
					}
				})
			}
			group.Wait()
			fmt.Fprintln(c.OutOrStdout(), sum)
			if failed == nil && sum.Bad() {
				failed = errors.New("what was left can't be trusted")
			}
			return failed
		},
	}
	c.Flags().IntVar(&n, "kills", n, "how many")
	c.Flags().Int64Var(&seed, "seed", seed, "of the moments at which they come")
	c.Flags().StringVar(&child, "child", "", "be the process that is killed, in this folder")
	c.Flags().MarkHidden("child")
	return c
}
