package recorded

import (
	"flag"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"

	"mintkeel/router"
)

// recordsPath is the file of the recorded hashes.
const recordsPath = "testdata/actions.txt"

var update = flag.Bool("update-recorded", false,
	"rewrite "+recordsPath+" from the module as it is, for a change that is meant to alter decisions; the test fails")

// playAll plays the scenes that are due, several at a time, once for all tests. The others are nil.
var playAll = sync.OnceValue(func() []*recording {
	all := allScenes()
	recordings := make([]*recording, len(all))
	jobs := make(chan int)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := range jobs {
				recordings[i] = newRecording()
				all[i].play(recordings[i])
			}
		})
	}
	for i := len(all) - 1; i >= 0; i-- { // the longest are at the end
		if i%sceneStride == 0 {
			jobs <- i
		}
	}
	close(jobs)
	group.Wait()
	return recordings
})

// The module is refactored, and by mistake a decision changes in a rare situation. All actions of
// the module, and what it reports of its statistics and engines, must be those recorded before the
// refactoring, bit by bit.
//
// The hashes were recorded on amd64. Elsewhere the compiler may fuse a multiplication with an
// addition and round once: the test then fails, and says so.
func TestActionsAreAsRecorded(t *testing.T) {
	if *update {
		rewriteRecords(t)
	}
	all, records := allScenes(), readRecords(t, recordsPath)
	if len(records) != len(all) {
		t.Fatalf("%d scenes are recorded, of %d", len(records), len(all))
	}
	differ, played, first := 0, 0, ""
	for i, r := range playAll() {
		if records[i].name != all[i].name {
			t.Fatalf("scene %s is recorded as %s", all[i].name, records[i].name)
		}
		if r == nil {
			continue
		}
		played++
		if text := r.difference(records[i]); text != "" {
			if differ++; differ == 1 {
				first = text
			}
		}
	}
	if differ > 0 {
		t.Errorf("%d of %d scenes differ on %s (recorded on amd64); the first: %s", differ, played,
			runtime.GOARCH, first)
	}
}

// rewriteRecords writes the file and fails the test: a run that rewrites it proves nothing. CI never
// rewrites it.
func rewriteRecords(t *testing.T) {
	t.Helper()
	if os.Getenv("CI") != "" || sceneStride != 1 {
		t.Fatal("-update-recorded is for a developer's run without the race detector")
	}
	lines := []string{"# Scene, steps, actions, hash of all, checkpoints after equal numbers of steps. Written by -update-recorded."}
	all := allScenes()
	for i, r := range playAll() {
		lines = append(lines, r.record(all[i].name).String())
	}
	if err := os.WriteFile(recordsPath, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Fatalf("%s is rewritten; run again without -update-recorded", recordsPath)
}

// Scenes that stay quiet would prove nothing. Together they have every kind of event and action,
// many times over.
func TestScenesReachEveryFeature(t *testing.T) {
	var counts coverage
	steps, actions := 0, 0
	for _, r := range playAll() {
		if r != nil {
			counts.merge(r.counts)
			steps, actions = steps+len(r.stepHashes), actions+r.actions
		}
	}
	t.Logf("%d steps, %d actions", steps, actions)
	for f, n := range counts {
		t.Logf("%s: %d", featureNames[f], n)
		least := 1
		if sceneStride == 1 {
			least = 10
		}
		if n < least {
			t.Errorf("%s: %d are too few", featureNames[f], n)
		}
	}
}

// A recording notices each single change of an action: another kind, value, order, time or number
// of them.
func TestEncoderTellsActionsApart(t *testing.T) {
	attempt := router.StartAttempt{ID: 1, Engine: "a", Deadline: 2, StartBy: 3}
	steps := [][]router.Action{
		nil,
		{attempt},
		{attempt, attempt},
		{router.StartAttempt{ID: 2, Engine: "a", Deadline: 2, StartBy: 3}},
		{router.StartAttempt{ID: 1, Engine: "b", Deadline: 2, StartBy: 3}},
		{router.StartAttempt{ID: 1, Engine: "a", Deadline: 2.0000000000000004, StartBy: 3}},
		{router.StartAttempt{ID: 1, Engine: "a", Deadline: 2, StartBy: 4}},
		{router.CancelAttempt{ID: 1}},
		{router.CancelAttempt{ID: 1, Attempt: 1}},
		{router.Reject{ID: 1}},
		{router.Reject{ID: 1, RetryAfter: 1}},
		{router.Fail{ID: 1}},
		{router.Fail{ID: 2}},
		{router.Fail{ID: 1}, router.Fail{ID: 2}},
		{router.Fail{ID: 2}, router.Fail{ID: 1}},
		{router.SetTimer{After: 1}},
		{router.SetTimer{After: 2}},
		{router.CheckHealth{Engine: "a"}},
		{router.CheckHealth{Engine: "b"}},
		{router.Subscribe{}},
	}
	seen := map[uint64]bool{}
	for _, actions := range steps {
		for _, now := range []float64{1, 2} {
			e := newEncoder()
			e.step(0, now, actions)
			seen[e.sum()] = true
		}
	}
	if len(seen) != 2*len(steps) {
		t.Errorf("%d hashes of %d steps", len(seen), 2*len(steps))
	}
}

// A difference is reported with the steps between the two checkpoints around it.
func TestDifferenceNamesTheSteps(t *testing.T) {
	record := func(other int) *recording {
		r := newRecording()
		for step := range 100 {
			now := float64(step)
			if step == other {
				now += 0.5
			}
			r.encoder.step(0, now, nil)
			r.stepHashes = append(r.stepHashes, uint16(r.encoder.sum()))
		}
		return r
	}
	want := record(-1).record("scene")
	if got := record(-1).difference(want); got != "" {
		t.Errorf("the same differs: %s", got)
	}
	if got := record(50).difference(want); !strings.Contains(got, "in steps 50 to 56;") {
		t.Error(got)
	}
	if got := record(99).difference(want); !strings.Contains(got, "in steps 99 to the last;") {
		t.Error(got)
	}
}
