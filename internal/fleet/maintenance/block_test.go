package maintenance

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
)

// A reload names a program for the work while a task waits for a person. The program is run with the next
// step.
func TestSetBlockCountsFromTheNextStepOn(t *testing.T) {
	mark := filepath.Join(t.TempDir(), "mark")
	script := mark + ".sh"
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho \"$1 $2 $3\" > "+mark+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	c := NewJob(Host{Log: slog.New(slog.DiscardHandler)}, Block{Within: time.Minute})
	defer c.Close()
	task := core.Task{Engine: "e1", Step: core.Working, Sequence: 7}
	if m := c.step(nil, task); m != nil || c.waits["e1"] != "a person's word that the work is done" {
		t.Errorf("without a program: %+v, waits for %q", m, c.waits["e1"])
	}
	c.SetBlock(Block{Work: script, Within: time.Minute})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if m := c.step(nil, task); m != nil && m.To == core.Returning {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("waits for %q", c.waits["e1"])
		}
	}
	if said, err := os.ReadFile(mark); err != nil || string(said) != "work e1 7\n" {
		t.Errorf("the program was told %q, %v", said, err)
	}
}
