package fleet

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/lab/loopback"
)

// reserveAddress is a loopback address that nothing listens on, and that no other caller is given.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// The leases of a fleet change while it runs: what is new gets a holder, what is not wanted any more is held by nobody.
func TestSetLeases(t *testing.T) {
	dir := t.TempDir()
	addr := reserveAddress(t)
	s, err := Start(blockOf(t, dir, 0, []string{addr}), "n0", nil, nil, quiet)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	await := func(want ...string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			status, err := Call(context.Background(), filepath.Join(dir, "n0"), Request{Action: "status"})
			var listed []string
			for _, w := range status.Leases {
				listed = append(listed, w.Lease)
			}
			slices.Sort(listed)
			slices.Sort(status.Holds)
			if err == nil && slices.Equal(listed, want) && slices.Equal(status.Holds, want) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("leases %v, held %v, not %v: %v", listed, status.Holds, want, err)
			}
		}
	}
	await("w")
	names := []lease.Name{"a", "b"}
	s.SetLeases(names)
	names[0] = "z" // the service has its own copy
	await("a", "b")
	s.SetLeases([]lease.Name{"b", "c"})
	await("b", "c")
	s.SetLeases(nil)
	await()
}

// Another block maintenance counts from the next step on.
func TestSetBlock(t *testing.T) {
	mark := filepath.Join(t.TempDir(), "mark")
	script := mark + ".sh"
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho \"$1 $2 $3\" > "+mark+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	c := NewMaintenanceJob(MaintenanceHost{Log: quiet}, MaintenanceBlock{Within: time.Minute})
	defer c.Close()
	task := maintenance.Task{Engine: "e1", Step: maintenance.Working, Sequence: 7}
	if m := c.step(nil, maintenance.View{}, task); m != nil || c.waits["e1"] != "a person's word that the work is done" {
		t.Errorf("without a program: %+v, waits for %q", m, c.waits["e1"])
	}
	c.SetBlock(MaintenanceBlock{Work: script, Within: time.Minute})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if m := c.step(nil, maintenance.View{}, task); m != nil && m.To == maintenance.Returning {
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
