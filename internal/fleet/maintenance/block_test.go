package maintenance

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
)

// If a reload sets a program for the work while a task waits for a person, the next step must run the
// program.
func TestSetBlockCountsFromTheNextStepOn(t *testing.T) {
	output := filepath.Join(t.TempDir(), "mark")
	script := output + ".sh"
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho \"$1 $2 $3\" > "+output+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	j := NewJob(Host{Log: slog.New(slog.DiscardHandler)}, Block{Within: time.Minute})
	defer j.Close()
	task := core.Task{Engine: "e1", Step: core.Working, Sequence: 7}
	if move := j.step(nil, task); move != nil || j.waitReasons["e1"] != "a person's word that the work is done" {
		t.Errorf("step without a program: got move %+v, waiting for %q, want no move and to wait for a person", move,
			j.waitReasons["e1"])
	}
	j.SetBlock(Block{Work: script, Within: time.Minute})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if move := j.step(nil, task); move != nil && move.To == core.Returning {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no move to the returning step in time: waiting for %q", j.waitReasons["e1"])
		}
	}
	if written, err := os.ReadFile(output); err != nil || string(written) != "work e1 7\n" {
		t.Errorf("arguments of the program: got %q, %v, want \"work e1 7\"", written, err)
	}
}
