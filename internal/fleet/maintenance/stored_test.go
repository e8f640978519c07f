package maintenance

// A renamed or reordered field can change the encoding of the state that lease holders pass on and of the
// messages between jobs, which fails only with a controller of an earlier build. These tests compare the
// encoding with what an earlier build wrote.

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/lab/golden"
	"mintkeel/router"
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

func storedTask() core.Task {
	return core.Task{
		Engine:          "e1",
		Plan:            "kernel",
		Step:            core.Working,
		StepStartedAt:   1_700_000_000_001.25,
		Sequence:        17,
		Zone:            "east",
		Kind:            "c16",
		Cores:           16,
		EngineStartedAt: 1_699_000_000_000,
		ChosenAt:        1_700_000_000_000.25,
	}
}

func storedMaintenance() agreedState {
	return agreedState{
		Plans:         []core.Plan{storedPlan()},
		Tasks:         []core.Task{storedTask()},
		Excluded:      []members.ID{"n7"},
		Known:         []core.EngineID{"e1", "e2", "e3"},
		ConfirmedWork: map[string]uint64{"e1": 17}, // one entry, as the encoding of a map has no fixed order
	}
}

func TestStoredMaintenanceStateIsReadable(t *testing.T) {
	table := golden.Open(t, "maintenance.golden")
	state := storedMaintenance()
	golden.AllSet(t, state)
	golden.CBOR(t, table, "agreed-state", state, frames.Decoder.Unmarshal)
	effect := holdEffect{Serial: 18, Engines: []router.EngineID{"e1", "e2"}}
	golden.AllSet(t, effect)
	golden.CBOR(t, table, "hold-effect", effect, frames.Decoder.Unmarshal)
}

func TestMaintenanceStepNumbersAreStable(t *testing.T) {
	steps := []core.Step{core.Preparing, core.Draining, core.Free, core.Working,
		core.Returning, core.Warming, core.Done, core.Missing}
	names := []string{"preparing", "draining", "free", "working", "returning", "warming", "done", "missing"}
	for number, step := range steps {
		if int(step) != number || step.String() != names[number] {
			t.Errorf("step %v has number %d, want %d, %s as in stored states", step, step, number, names[number])
		}
	}
}

// TestProgramArgumentsAreStable guards the arguments of an installation's programs, which read them by
// position.
func TestProgramArgumentsAreStable(t *testing.T) {
	folder := t.TempDir()
	program, output := filepath.Join(folder, "program"), filepath.Join(folder, "given")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho \"$*\" > "+output+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	job := &Job{ctx: t.Context()}
	if err := job.runProgram(program, "drain", storedTask(), 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(output); string(text) != "drain e1 17\n" || err != nil {
		t.Errorf("arguments of the program: got %q, %v, want \"drain e1 17\"", text, err)
	}
}

func TestJobMessageEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "jobmessages.golden")
	confirmation := message{Kind: messageKind, Token: 19, Serial: 18,
		Stopped: []router.EngineID{"e1", "e2"}}
	golden.CBOR(t, table, "maintenance-confirmation", confirmation, frames.Decoder.Unmarshal)
	request := message{Kind: messageKind, Token: 19, Serial: 18, Stopped: []router.EngineID{"e1"},
		Request: &encodedRequest{Ref: 20, JSON: []byte(`{"do":"status"}`)}}
	golden.CBOR(t, table, "maintenance-request", request, frames.Decoder.Unmarshal)
	answer := message{Kind: messageKind, Token: 19, Serial: 18, Stopped: []router.EngineID{"e1"},
		Answer: &encodedAnswer{Ref: 20, JSON: []byte(`{}`)}}
	golden.CBOR(t, table, "maintenance-answer", answer, frames.Decoder.Unmarshal)
}
