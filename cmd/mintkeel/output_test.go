package main

// Operators' programs read the --json output of commands, and commands talk to controllers of other versions. A renamed
// field breaks those programs and controllers, while this build still works with itself. So these tests compare the complete
// output of each command, and the request that it sends, with those of an earlier build.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"mintkeel/internal/fleet/control"
	"mintkeel/internal/lab/golden"
)

// storedControl is a controller's control socket that answers each request with testdata/status.json and records the
// requests.
type storedControl struct {
	folder   string
	status   []byte
	requests chan string
}

func newStoredControl(t *testing.T) *storedControl {
	t.Helper()
	text, err := os.ReadFile("testdata/status.json")
	if err != nil {
		t.Fatal(err)
	}
	var status bytes.Buffer
	if err := json.Compact(&status, text); err != nil {
		t.Fatal(err)
	}
	server := &storedControl{folder: t.TempDir(), status: append(status.Bytes(), '\n'), requests: make(chan string, 8)}
	listener, err := net.Listen("unix", filepath.Join(server.folder, "control.sock"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(conn).ReadString('\n')
			server.requests <- line
			conn.Write(server.status)
			conn.Close()
		}
	}()
	return server
}

// run runs a command against the socket, and returns the requests that it sent and its output with the exit code.
func (server *storedControl) run(args ...string) (requests, out string) {
	var printed, errs strings.Builder
	code := execute(append(args, "--folder", server.folder, "--json"), &printed, &errs)
	for len(server.requests) > 0 {
		requests += <-server.requests
	}
	return requests, fmt.Sprintf("%s%scode %d\n", printed.String(), errs.String(), code)
}

// lastHeardField matches the time at which a controller was last heard from, which depends on when the test runs.
var lastHeardField = regexp.MustCompile(`"last_heard": "[^"]*"`)

func TestFleetOutputIsStable(t *testing.T) {
	for name, args := range map[string][]string{
		"members":         {"fleet", "members"},
		"leases":          {"fleet", "leases"},
		"quorum":          {"fleet", "quorum"},
		"handover":        {"fleet", "handover", "digest", "n2"},
		"replace":         {"fleet", "replace", "n1", "n4"},
		"trust":           {"fleet", "trust"},
		"config-status":   {"fleet", "config", "status"},
		"config-history":  {"fleet", "config", "history"},
		"config-show":     {"fleet", "config", "show", "7"},
		"config-diff":     {"fleet", "config", "diff", "7", "7"},
		"config-put":      {"fleet", "config", "put", "testdata/document.hcl", "--reason", "r", "--author", "a", "--expect", "6", "--wait", "0s"},
		"config-rollback": {"fleet", "config", "rollback", "7", "--reason", "r", "--author", "a", "--wait", "0s"},
		"plan":            {"maintenance", "plan", "testdata/plans.hcl"},
		"check":           {"maintenance", "check", "testdata/plans.hcl"},
		"status":          {"maintenance", "status"},
		"explain":         {"maintenance", "explain"},
		"halt":            {"maintenance", "halt", "kernel"},
		"resume":          {"maintenance", "resume", "kernel"},
		"withdraw":        {"maintenance", "withdraw", "kernel"},
		"done":            {"maintenance", "done", "e1"},
		"without":         {"maintenance", "without", "n3"},
	} {
		t.Run(name, func(t *testing.T) {
			requests, out := newStoredControl(t).run(args...)
			golden.File(t, filepath.Join("requests", name+".json"), []byte(requests))
			file := name + ".txt"
			switch { // most fleet commands print the whole answer, as do all maintenance commands: each group shares a golden file
			case args[0] == "maintenance":
				file = "maintenance.txt"
			case args[1] != "config":
				file = "fleet.txt"
			}
			golden.File(t, filepath.Join("output", file), lastHeardField.ReplaceAll([]byte(out), []byte(`"last_heard": "TIME"`)))
		})
	}
}

// printed returns what commands print for a value with --json.
func printed(t *testing.T, value any) []byte {
	t.Helper()
	var out bytes.Buffer
	command := &cobra.Command{}
	command.SetOut(&out)
	if err := printJSON(command, value); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// TestOutputOfAllFieldsIsStable compares the output of values in which every field is set, which no real answer has.
func TestOutputOfAllFieldsIsStable(t *testing.T) {
	version := &versionView{Number: 7, Hash: "a1", Size: 8, Author: "ann", Reason: "more room", Time: "2026-12-02T05:06:07Z",
		RollbackOf: 5}
	report := reportView{Controller: "n4", Version: 6, Reason: "no space left", LastHeard: "2026-12-02T05:06:07Z"}
	status := &statusView{Local: &localView{Version: 6, Latest: 7, Confirmed: true}, Known: true, From: "n1", Latest: version,
		Controllers: 9, InForce: 8, Everywhere: true, Counts: map[uint64]int{7: 8}, Refused: []reportView{report},
		Behind: []reportView{report}, NotHeard: []reportView{report}, More: 2, CollectedMS: 60_000, TooShort: true}
	for _, c := range []struct {
		name  string
		value any
	}{
		{"change", changeOutcome{Result: "agreed", Reason: "a reason", Version: version, Status: status}},
		{"history", historyView{From: "n1", Versions: []*versionView{version}}},
		{"document", documentView{Number: 7, Version: version, Document: "log {\n}\n"}},
		{"diff", diffView{From: 6, To: 7, Diff: "-a\n+b\n"}},
	} {
		golden.AllSet(t, c.value)
		golden.File(t, filepath.Join("output", "all-"+c.name+".txt"), printed(t, c.value))
	}
}

// ageFields matches the fields of records whose values depend on when the test runs.
var ageFields = regexp.MustCompile(`"(age_ms|weighs)": [-+.0-9e]+`)

func TestMemoryOutputIsStable(t *testing.T) {
	for _, name := range []string{"show", "verify"} {
		var out, errs strings.Builder
		if code := execute([]string{"memory", name, "testdata/memory", "--json"}, &out, &errs); code != 0 {
			t.Errorf("exit code %d, want 0: %s", code, errs.String())
		}
		stable := ageFields.ReplaceAll([]byte(out.String()), []byte(`"$1": 0`))
		golden.File(t, filepath.Join("output", "memory-"+name+".txt"), stable)
	}
}

func TestCheckOutputIsStable(t *testing.T) {
	dir := t.TempDir()
	file, bad := filepath.Join(dir, "config.json"), filepath.Join(dir, "bad.hcl")
	text := strings.NewReplacer("%DISCOVERY%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(validConfig)
	golden.Write(t, file, []byte(text))
	golden.Write(t, bad, []byte("log {\n level = 1\n}\nx = 1\n"))
	for name, args := range map[string][]string{
		"check":     {"check", "--config", file, "--operator", "", "--json"},
		"check-bad": {"check", "--config", file, "--operator", bad, "--json"},
	} {
		var out, errs strings.Builder
		code := execute(args, &out, &errs)
		stable := strings.ReplaceAll(fmt.Sprintf("%scode %d\n", out.String(), code), dir, "DIR")
		golden.File(t, filepath.Join("output", name+".txt"), []byte(stable))
	}
}

func TestVersionOutputIsStable(t *testing.T) {
	value := buildInfo{Version: "v1.2.3", Go: "go1.26", Revision: "abc", Modified: true}
	golden.AllSet(t, value)
	golden.File(t, filepath.Join("output", "version.txt"), printed(t, value))
}

// TestStoredStartIsReadAsBefore pins the names in the configuration that the platform gives a controller. A renamed field
// would silently be read as its zero value.
func TestStoredStartIsReadAsBefore(t *testing.T) {
	text, err := os.ReadFile("testdata/start.json")
	if err != nil {
		t.Fatal(err)
	}
	config, err := parseControllerConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	var p strings.Builder
	fmt.Fprintf(&p, "name %s\nlisten %s\nseed %x\ncores %v\nmemory MB %d\ndescriptors %d\nfeed %s\nknown %d\nprofiles %d\n", config.Name,
		config.Listen, uint64(config.seed), config.Grants.Cores, config.Grants.MemoryMB, config.Grants.Descriptors, config.Discovery, config.InitialEndpoints.Number, len(config.facts.Classes))
	for _, update := range config.endpointUpdates {
		fmt.Fprintf(&p, "update %d, whole %v\n", update.Number, update.Complete)
		for _, e := range update.Endpoints {
			fmt.Fprintf(&p, "  engine %s at %s, state %d, zone %s, kind %d, cell %d, since %v\n", e.Engine, e.Address, int(e.State), e.Zone,
				int(e.Kind), int(e.Cell), e.StartedAt)
		}
	}
	golden.File(t, "start.golden", []byte(p.String()))
}

// TestStoredStatusIsReadable decodes a complete answer of an earlier build, and encodes it again without a difference.
func TestStoredStatusIsReadable(t *testing.T) {
	text, err := os.ReadFile("testdata/status.json")
	if err != nil {
		t.Fatal(err)
	}
	var status control.Status
	if err := json.Unmarshal(text, &status); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(status, "", "  ")
	if err != nil || string(again)+"\n" != string(text) {
		t.Errorf("the stored answer, decoded and encoded again: got %s, error %v, want it unchanged", again, err)
	}
}
