package kills

import (
	"context"
	"os"
	"os/exec"
	"testing"

	"mintkeel/internal/limits"
	"mintkeel/internal/memory"
)

// The process that is killed is this test program, run with the environment variable.
func TestMain(m *testing.M) {
	if folder := os.Getenv("MINTKEEL_KILLS_FOLDER"); folder != "" {
		Child(folder, os.Stdout)
		return
	}
	os.Exit(m.Run())
}

// No snapshot is corrupt or lost after 25 kills; `mintkeel-lab kills` does a thousand.
func TestKills(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	tally, err := Run(context.Background(), 25, 1, func(folder string) *exec.Cmd {
		cmd := exec.Command(self)
		cmd.Env = append(os.Environ(), "MINTKEEL_KILLS_FOLDER="+folder)
		return cmd
	}, memory.FileBounds(limits.For(64, 64, 0, 0, 0)))
	if err != nil || tally.Failed() || tally.Snapshots < 25 {
		t.Errorf("%v, error %v; want no error, nothing corrupt or lost, and at least 25 snapshots", tally, err)
	}
}
