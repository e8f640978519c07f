package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/control"
)

func newBlock(t *testing.T, dir string, i int, addrs []string) *Block {
	t.Helper()
	key := filepath.Join(dir, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	b := &Block{Name: "t", Generation: 1, Listen: addrs[i], Advertise: addrs[i], KeyFile: key,
		Folder: filepath.Join(dir, fmt.Sprint("n", i)),
		Voters: map[members.ID]string{}, Leases: []lease.Name{"w"}, Lease: time.Second, Willing: true}
	for j, addr := range addrs {
		b.Voters[members.ID(fmt.Sprint("n", j))] = addr
	}
	return b
}

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// Three services in one process must find each other and agree on the holder of a lease. An operator can
// hand the lease over, invalid requests fail, and another controller acquires it when the holder shuts down.
func TestServicesAgreeOnAHolderAndHandOver(t *testing.T) {
	dir := t.TempDir()
	var addrs []string
	for range 3 {
		addrs = append(addrs, reserveAddress(t))
	}
	var services []*Service
	for i := range addrs {
		s, err := Start(newBlock(t, dir, i, addrs), fmt.Sprint("n", i), nil, nil, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		services = append(services, s)
	}
	closed := map[*Service]bool{}
	defer func() {
		for _, s := range services {
			if !closed[s] {
				s.Close()
			}
		}
	}()
	holder := func() string {
		for i, s := range services {
			if closed[s] {
				continue
			}
			st, err := control.Call(context.Background(), filepath.Join(dir, fmt.Sprint("n", i)),
				control.Request{Action: "status"})
			if err == nil && len(st.Holds) > 0 {
				return st.Self
			}
		}
		return ""
	}
	wait := func(failure string, condition func(holder string) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !condition(holder()); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(failure)
			}
		}
	}
	wait("no controller holds the lease", func(o string) bool { return o != "" })
	firstHolder := holder()
	to := "n0"
	if firstHolder == to {
		to = "n1"
	}
	if _, err := control.Call(context.Background(), filepath.Join(dir, "n2"),
		control.Request{Action: "handover", Lease: "w", To: to}); err != nil {
		t.Fatal(err)
	}
	wait("the lease was not handed over", func(o string) bool { return o == to })
	for _, invalid := range []control.Request{{Action: "handover", Lease: "x", To: to}, {Action: "handover",
		Lease: "w", To: "z"}, {Action: "trust"}, {Action: "jump"}, {Action: "replace", Old: "z"}} {
		if _, err := control.Call(context.Background(), filepath.Join(dir, "n2"), invalid); err == nil {
			t.Errorf("no error for the invalid request %+v", invalid)
		}
	}
	for i, s := range services {
		if fmt.Sprint("n", i) == to {
			s.Stop()
			wait("no controller acquired the lease of the holder that shut down", func(o string) bool { return o != "" && o != to })
			s.Close()
			closed[s] = true
		}
	}
	if err := services[2].SetKeys(); err != nil {
		t.Error(err)
	}
}

// A service with a missing key file, an unusable folder or listen address, or an invalid name must fail to
// start, with an error that names the field.
func TestStartReportsWhatAnOperatorHasToMend(t *testing.T) {
	dir := t.TempDir()
	valid := func() *Block { return newBlock(t, dir, 0, []string{"127.0.0.1:0"}) }
	for field, change := range map[string]func(*Block){
		"key_file": func(b *Block) { b.KeyFile = filepath.Join(dir, "none") },
		"folder":   func(b *Block) { b.Folder = filepath.Join(dir, "no", "such") },
		"listen":   func(b *Block) { b.Listen = "203.0.113.1:1" },
	} {
		b := valid()
		change(b)
		if s, err := Start(b, "n0", nil, nil, discardLog); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("invalid %s: got error %v, want one that names the field", field, err)
			if s != nil {
				s.Close()
			}
		}
	}
	if _, err := Start(valid(), "a name with spaces", nil, nil, discardLog); err == nil {
		t.Error("no error for an invalid controller name")
	}
}

// The consensus library panics on an inconsistent state. That must end the session, and not the daemon.
func TestSafelyTurnsPanicsIntoErrors(t *testing.T) {
	if err := safely(func() error { panic("broken") }); err == nil || !strings.Contains(err.Error(), "broken") {
		t.Error(err)
	}
	want := errors.New("some")
	if err := safely(func() error { return want }); err != want {
		t.Error(err)
	}
}
