package control

// A renamed field can change the JSON that operators' scripts read and write, which fails only with a script
// or a command of an earlier build. This test compares the JSON with files that an earlier build wrote.

import (
	"crypto/sha256"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/lab/golden"
)

func storedPlan() core.Plan {
	return core.Plan{
		ID: "kernel",
		Select: core.Selection{Engines: []core.EngineID{"e1", "e2"}, Zones: []core.Zone{"east"},
			Kinds: []core.Kind{"c16"}, StartedBefore: 1_700_000_000_000.5},
		WorkTime:       600_000,
		Deadline:       1_700_000_900_000,
		BlockedHours:   []core.Hours{{From: 480, To: 1080}},
		MinAvailable:   []core.MinAvailable{{Kind: "std", Zone: "west", Count: 3, Share: 0.75}},
		MaxUnavailable: 2,
		Version:        4,
		Halted:         true,
		Withdrawn:      true,
		ConfirmWork:    true,
	}
}

func versionOfDocument(document []byte) config.Version {
	return config.Version{Number: 7, Hash: sha256.Sum256(document), Size: len(document), Author: "ann",
		Reason: "more room", Time: 1_700_000_000_123, RollbackOf: 5,
		ID: config.ProposalID{Origin: "n2", Run: 0xbeef, Ref: 11}}
}

// storedRequests returns operators' requests by name, one for each optional part.
func storedRequests() map[string]Request {
	expect := uint64(6)
	return map[string]Request{
		"maintenance": {Action: "maintenance", Lease: "digest", To: "n2", Old: "n1",
			Maintenance: &maintenance.Request{Action: "plan", Plans: []core.Plan{storedPlan()}, Name: "kernel"}},
		"config": {Action: "config", Lease: "digest", To: "n2", Old: "n1",
			Config: &configuration.Request{Action: configuration.ActionPut, Document: []byte("log {\n}\n"),
				Expect: &expect, Number: 5,
				Author: "ann", Reason: "more room"}},
	}
}

func storedMaintenanceStatus() *maintenance.Status {
	return &maintenance.Status{Holder: "n1", Token: 19, Serial: 18, Plans: []core.Plan{storedPlan()},
		Tasks: []maintenance.TaskStatus{{Engine: "e1", Plan: "kernel", Step: "working", SinceMS: 1234,
			NotConfirmed: []string{"n3"},
			Waits:        "for a person"}},
		Reasons: []string{"e2: too few remain"},
		Forecasts: []maintenance.ForecastStatus{{Plan: "kernel", After: time.UnixMilli(1_700_000_000_000).UTC(),
			Before: time.UnixMilli(1_700_000_900_000).UTC()}},
		Problems: []string{"a plan selects nothing"}, Error: "not held"}
}

func storedConfigAnswer() *configuration.Answer {
	document := []byte("log {\n}\n")
	version := versionOfDocument(document)
	report := config.ControllerReport{ID: "n4", Run: 31, Applied: 6, Reason: "no space left", Age: 250.5}
	return &configuration.Answer{Result: configuration.ResultLost, Reason: "another was first",
		Version: &version,
		Local:   config.Readiness{Confirmed: true, Number: 6, Latest: 7},
		Status: &config.Status{Latest: version, Members: 9, InForce: 8, ByVersion: map[uint64]int{6: 1, 7: 8},
			Rejected: []config.ControllerReport{report}, Behind: []config.ControllerReport{report},
			Unreachable: []config.ControllerReport{report}, Omitted: 2, CollectedFor: 60_000.5},
		From: "n1", Versions: []config.Version{version}, Document: document}
}

func storedStatus() Status {
	return Status{Fleet: "east", Generation: 3, Self: "n1", HealthScore: 2,
		Members: []MemberStatus{{ID: "n2", Addr: "10.0.0.2:9443", State: "suspect", Incarnation: 5, Willing: true,
			Run: "1f"}},
		Leases: []LeaseStatus{{Lease: "digest", Token: 9, Holder: "n1", Run: "4d", Preferred: "n2"}},
		Agreed: true, Holds: []string{"digest"},
		Quorum: QuorumStatus{Role: "voting", Reason: "a reason", Leader: "n1", Term: 6, Record: 21,
			Members: []IncarnationStatus{{Name: "n1", Disk: "65", Votes: true}}},
		Error: "an error", Maintenance: storedMaintenanceStatus(), Config: storedConfigAnswer()}
}

// checkJSON compares the JSON of a value with the stored file, and the value decoded from the file with the
// given one. Structs without json tags are encoded under the names of their Go fields.
func checkJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	golden.AllSet(t, value)
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, name, append(encoded, '\n'))
	stored, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(stored, &decoded); err != nil || !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s: decoded %+v, %v, want the value that it was encoded from", name, decoded, err)
	}
}

func TestOperatorJSONIsStable(t *testing.T) {
	requests := storedRequests()
	golden.AllSet(t, requests["config"].Config)
	golden.AllSet(t, requests["maintenance"].Maintenance)
	for name, request := range requests {
		encoded, err := json.MarshalIndent(request, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		file := "request-" + name + ".json"
		golden.File(t, file, append(encoded, '\n'))
		stored, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		var decoded Request
		if err := json.Unmarshal(stored, &decoded); err != nil || !reflect.DeepEqual(decoded, request) {
			t.Errorf("%s: decoded %+v, %v, want the request that it was encoded from", file, decoded, err)
		}
	}
	checkJSON(t, "status.json", storedStatus())
}
