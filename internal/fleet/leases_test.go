package fleet

import (
	"context"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/lab/loopback"
)

// reserveAddress returns a loopback address that nothing listens on and no other caller gets.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// SetLeases changes the leases of a running fleet: a new lease must get a holder, and a removed one must be
// neither listed nor held.
func TestSetLeasesCountsWhileRunning(t *testing.T) {
	dir := t.TempDir()
	addr := reserveAddress(t)
	s, err := Start(newBlock(t, dir, 0, []string{addr}), "n0", nil, nil, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	await := func(want ...string) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			status, err := control.Call(context.Background(), filepath.Join(dir, "n0"),
				control.Request{Action: "status"})
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
				t.Fatalf("leases listed: %v, held: %v, want %v; last error: %v", listed, status.Holds, want, err)
			}
		}
	}
	await("w")
	names := []lease.Name{"a", "b"}
	s.SetLeases(names)
	names[0] = "z" // must not affect the service, which keeps a copy
	await("a", "b")
	s.SetLeases([]lease.Name{"b", "c"})
	await("b", "c")
	s.SetLeases(nil)
	await()
}
