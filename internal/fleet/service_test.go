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

func blockOf(t *testing.T, dir string, i int, addrs []string) *Block {
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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// Three services in one process find each other and agree on the holder of a lease. An operator hands it
// over, requests that make no sense fail, and another controller takes it when the holder shuts down.
func TestServicesAgreeOnAHolderAndHandOver(t *testing.T) {
	dir := t.TempDir()
	var addrs []string
	for range 3 {
		addrs = append(addrs, reserveAddress(t))
	}
	var all []*Service
	for i := range addrs {
		s, err := Start(blockOf(t, dir, i, addrs), fmt.Sprint("n", i), nil, nil, quiet)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	closed := map[*Service]bool{}
	defer func() {
		for _, s := range all {
			if !closed[s] {
				s.Close()
			}
		}
	}()
	owner := func() string {
		for i, s := range all {
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
	wait := func(what string, is func(owner string) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !is(owner()); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	wait("nobody owns the work", func(o string) bool { return o != "" })
	first := owner()
	to := "n0"
	if first == to {
		to = "n1"
	}
	if _, err := control.Call(context.Background(), filepath.Join(dir, "n2"),
		control.Request{Action: "handover", Lease: "w", To: to}); err != nil {
		t.Fatal(err)
	}
	wait("not handed over", func(o string) bool { return o == to })
	for _, bad := range []control.Request{{Action: "handover", Lease: "x", To: to}, {Action: "handover",
		Lease: "w", To: "z"}, {Action: "trust"}, {Action: "jump"}, {Action: "replace", Old: "z"}} {
		if _, err := control.Call(context.Background(), filepath.Join(dir, "n2"), bad); err == nil {
			t.Errorf("%+v is done", bad)
		}
	}
	for i, s := range all {
		if fmt.Sprint("n", i) == to {
			s.Stop()
			wait("the owner ended and nobody took over", func(o string) bool { return o != "" && o != to })
			s.Close()
			closed[s] = true
		}
	}
	if err := all[2].SetKeys(); err != nil {
		t.Error(err)
	}
}

// A service can't start for the lack of a key, a folder or an address, or with a name that can't be one.
// The error names the field.
func TestStartReportsWhatAnOperatorHasToMend(t *testing.T) {
	dir := t.TempDir()
	good := func() *Block { return blockOf(t, dir, 0, []string{"127.0.0.1:0"}) }
	for what, change := range map[string]func(*Block){
		"key_file": func(b *Block) { b.KeyFile = filepath.Join(dir, "none") },
		"folder":   func(b *Block) { b.Folder = filepath.Join(dir, "no", "such") },
		"listen":   func(b *Block) { b.Listen = "203.0.113.1:1" },
	} {
		b := good()
		change(b)
		if s, err := Start(b, "n0", nil, nil, quiet); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
			if s != nil {
				s.Close()
			}
		}
	}
	if _, err := Start(good(), "a name with spaces", nil, nil, quiet); err == nil {
		t.Error("any name is taken")
	}
}

// The consensus library panics where its state is broken. That must end the session, and not the daemon.
func TestSafelyTurnsPanicsIntoErrors(t *testing.T) {
	if err := safely(func() error { panic("broken") }); err == nil || !strings.Contains(err.Error(), "broken") {
		t.Error(err)
	}
	some := errors.New("some")
	if err := safely(func() error { return some }); err != some {
		t.Error(err)
	}
}
