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

// recordsPath is the path of the recorded hashes.
const recordsPath = "testdata/actions.txt"

var update = flag.Bool("update-recorded", false,
	"rewrite "+recordsPath+" from the module as it is, for a change that is meant to alter decisions; the test fails")

// playAll plays every sceneStride-th scene, several at a time, once for all tests. The recordings of
// the other scenes are nil.
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
	for i := len(all) - 1; i >= 0; i-- { // the longest, which are last, start first
		if i%sceneStride == 0 {
			jobs <- i
		}
	}
	close(jobs)
	group.Wait()
	return recordings
})

// TestActionsAreAsRecorded guards against a refactoring that changes a decision by mistake, even in
// a rare situation. All actions of the module, its exported statistics and its engine statuses must
// equal those recorded before the refactoring, bit by bit.
//
// The hashes were recorded on amd64. On other architectures the compiler may fuse a multiplication
// with an addition, which rounds only once: the test then fails, and its message names the
// architecture.
func TestActionsAreAsRecorded(t *testing.T) {
	if *update {
		rewriteRecords(t)
	}
	all, records := allScenes(), readRecords(t, recordsPath)
	if len(records) != len(all) {
		t.Fatalf("got records of %d scenes, want %d", len(records), len(all))
	}
	differ, played, first := 0, 0, ""
	for i, r := range playAll() {
		if records[i].name != all[i].name {
			t.Fatalf("got a record of scene %s, want %s", records[i].name, all[i].name)
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
		t.Errorf("%d of %d scenes differ from their records on %s (recorded on amd64); first: %s", differ, played,
			runtime.GOARCH, first)
	}
}

// rewriteRecords writes the file and fails the test, since a run that rewrites the file checks
// nothing. It refuses to do so in CI and when only some scenes are played.
func rewriteRecords(t *testing.T) {
	t.Helper()
	if os.Getenv("CI") != "" || sceneStride != 1 {
		t.Fatal("-update-recorded must not be used in CI or with the race detector")
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

// TestScenesReachEveryFeature guards against scenes that exercise too little of the module: together
// they must contain every feature, at least ten times if all scenes are played.
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
			t.Errorf("%s: counted %d, fewer than wanted", featureNames[f], n)
		}
	}
}

// TestEncoderTellsActionsApart checks that steps differ in their hash if their actions differ in
// type, value, order or number, or if their times differ.
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
		t.Errorf("got %d different hashes, want %d, one per step", len(seen), 2*len(steps))
	}
}

// TestDifferenceNamesTheSteps checks that a difference is reported with the range of steps between
// the two checkpoints around it.
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
		t.Errorf("difference between equal recordings is %q, want none", got)
	}
	if got := record(50).difference(want); !strings.Contains(got, "in steps 50 to 56;") {
		t.Error(got)
	}
	if got := record(99).difference(want); !strings.Contains(got, "in steps 99 to the last;") {
		t.Error(got)
	}
}
