package memory

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/disk/disktest"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// testTimeout bounds the wait for an expected event.
const testTimeout = 10 * time.Second

var (
	owner         = restore.Identity{Name: "n3", Settings: 77}
	discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))
	testLimits    = limits.For(1024, 192, 0, 0, 0)
	testBounds    = FileBounds(testLimits)
)

// fakeSource is a source with a number of records of each kind.
type fakeSource struct {
	records int
	calls   atomic.Int64
	block   chan struct{} // Statistics blocks until it is closed; nil: no blocking
}

func (s *fakeSource) Statistics(ctx context.Context, _ router.Cursor, _ int) (Part, error) {
	s.calls.Add(1)
	if s.block != nil {
		select {
		case <-s.block:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
	return Part{Statistics: sampleStatistics(s.records, float64(time.Now().UnixMilli()))}, nil
}

// sampleStatistics returns n records each of engines and table groups, and one of each other kind.
func sampleStatistics(n int, at float64) (s router.Statistics) {
	for i := range n {
		id := router.EngineID(fmt.Sprint("e", i))
		s.Engines = append(s.Engines, router.EngineStatistics{
			At:             at,
			Engine:         id,
			StartedAt:      float64(i),
			Slowdown:       router.WeightedMean{Mean: 1.5, Weight: 2},
			ThreadsPerCore: 2.25,
			Outcomes:       uint8(i),
			PoolLeader:     "e0",
		})
		s.Tables = append(s.Tables, router.TableStatistics{
			At:          at,
			Tables:      router.TableGroup(i - 1),
			Demand:      0.5,
			MemoryTime:  8,
			PoolLeaders: []router.EngineID{id, ""},
		})
	}
	s.Classes = []router.ClassStatistics{{
		At:              at,
		Class:           1,
		FirstTryTimeout: 900,
		UnloadedTime:    20,
		WorkScale:       router.WeightedMean{Mean: 2, Weight: 5},
		MemoryScale:     router.WeightedMean{Mean: 0.5, Weight: 1},
	}}
	s.Traffic = []router.TrafficStatistics{{At: at, Share: router.WeightedMean{Mean: 0.25, Weight: 300}}}
	return s
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen within testTimeout: %s", what)
		}
	}
}

// stopAndWait stops a writer and waits until it has released the directory.
func stopAndWait(t *testing.T, w *SnapshotWriter) {
	t.Helper()
	w.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := w.Wait(ctx); err != nil {
		t.Fatal(err)
	}
}

func startWriter(d disk.Disk, interval time.Duration, source StatisticsSource, l *limits.Limits) *SnapshotWriter {
	return StartSnapshotWriter(d, interval, owner, "test", source, l, discardLogger)
}

// A snapshot that is read equals the one that was written.
func TestSnapshotIsReadAsItWasWritten(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 300}, testLimits)
	stopAndWait(t, w)
	stored, results, err := Load(d, testBounds)
	if err != nil || len(results) != 1 || !stored.Complete || stored.Build != "test" {
		t.Fatal(stored, results, err)
	}
	want := sampleStatistics(300, stored.Snapshot.Statistics.Engines[0].At)
	if stored.Snapshot.Owner != owner || !reflect.DeepEqual(stored.Snapshot.Statistics, want) {
		t.Errorf("the snapshot read differs from the one written; its first engines are %+v", stored.Snapshot.Statistics.Engines[:3])
	}
}

// Snapshots are written at an interval, which can change while the writer runs. Stop writes a final one.
func TestIntervalAndFinalSnapshot(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 3}, testLimits)
	if w.written.Load() != 0 {
		t.Error("a snapshot was written before the first interval had passed")
	}
	w.SetInterval(time.Millisecond)
	waitUntil(t, "snapshots at the new interval", func() bool { return w.written.Load() >= 3 })
	w.SetInterval(time.Hour)
	stopAndWait(t, w)
	n := w.written.Load()
	if files, _ := snapshots.Files(d); len(files) != 2 || files[0].Serial != uint64(n) {
		t.Errorf("%d snapshots written, files %v; want 2 files, the newest with that number as its serial", n, files)
	}
}

// The delay grows with the size of the snapshot. Failures double it, up to a bound, and never make
// it shorter than the interval.
func TestDelayBySizeAndFailures(t *testing.T) {
	w := &SnapshotWriter{limits: testLimits}
	w.interval.Store(int64(time.Second))
	for _, c := range []struct {
		failures int
		size     int64
		want     time.Duration
	}{
		{0, 0, time.Second},
		{0, int64(testLimits.SnapshotBytesPerSecond) / 2, time.Second},
		{0, int64(testLimits.SnapshotBytesPerSecond) * 7, 7 * time.Second},
		{1, 0, 2 * time.Second},
		{3, 0, 8 * time.Second},
		{40, 0, testLimits.SnapshotMaxRetryDelay},
	} {
		if got := w.nextDelay(c.failures, c.size); got != c.want {
			t.Errorf("%d failures, %d bytes: delay %v is not the one in the table", c.failures, c.size, got)
		}
	}
	w.interval.Store(int64(time.Hour))
	if got := w.nextDelay(5, 0); got != time.Hour {
		t.Errorf("delay after 5 failures is %v, want the interval of 1 h", got)
	}
}

// The disk is full or fails for a while, or fails from the start. Failures are counted, the earlier
// snapshot stays readable, and writing resumes once the disk works.
func TestWritingResumesAfterDiskFailures(t *testing.T) {
	l := *testLimits
	l.SnapshotMaxRetryDelay = time.Millisecond
	for name, faults := range map[string]struct{ begins, ends func(*disktest.Disk) }{
		"full": {func(d *disktest.Disk) { d.Fill(10) }, func(d *disktest.Disk) { d.Fill(-1) }},
		"fails": {
			func(d *disktest.Disk) { d.Fail(io.ErrClosedPipe) },
			func(d *disktest.Disk) { d.Fail(nil) },
		},
	} {
		d := disktest.New()
		w := startWriter(d, time.Millisecond, &fakeSource{records: 20}, &l)
		waitUntil(t, name+": a first snapshot", func() bool { return w.written.Load() > 0 })
		faults.begins(d)
		waitUntil(t, name+": failures", func() bool { return w.failed.Load() > 3 })
		written := w.written.Load()
		if name == "full" {
			if _, _, err := Load(d, testBounds); err != nil {
				t.Errorf("disk %s: earlier snapshot can't be loaded: %v", name, err)
			}
		}
		faults.ends(d)
		waitUntil(t, name+": written again", func() bool { return w.written.Load() > written+1 })
		stopAndWait(t, w)
	}
	// The disk fails from the start.
	d := disktest.New()
	d.Fail(io.ErrClosedPipe)
	w := startWriter(d, time.Millisecond, &fakeSource{}, &l)
	waitUntil(t, "failures from the start", func() bool { return w.failed.Load() > 2 })
	d.Fail(nil)
	waitUntil(t, "a first snapshot", func() bool { return w.written.Load() > 0 })
	stopAndWait(t, w)
}

// The disk hangs. Neither start nor shutdown nor LogValue waits for it.
func TestHangingDiskDelaysNeitherStartNorEnd(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 1}, testLimits)
	stopAndWait(t, w)
	release := d.Hang()
	l := *testLimits
	l.SnapshotReadTimeout = 10 * time.Millisecond
	if stored := LoadWithTimeout(d, &l, discardLogger); stored != nil {
		t.Error("LoadWithTimeout returned a snapshot from a hanging disk")
	}
	w = startWriter(d, time.Millisecond, &fakeSource{records: 1}, testLimits)
	w.LogValue()
	w.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := w.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Wait with a hanging disk returned %v, want a deadline error", err)
	}
	release()
	waitUntil(t, "the goroutine ends", w.Stopped)
	if stored := LoadWithTimeout(d, testLimits, discardLogger); stored == nil {
		t.Error("LoadWithTimeout returned no snapshot after the disk stopped hanging")
	}
}

// The source does not respond, as its event loop has ended. The writer stops once the context of
// Wait ends, and leaks no goroutine.
func TestSourceThatDoesNotAnswer(t *testing.T) {
	before := runtime.NumGoroutine()
	source := &fakeSource{block: make(chan struct{})}
	w := startWriter(disktest.New(), time.Millisecond, source, testLimits)
	waitUntil(t, "the source is called", func() bool { return source.calls.Load() > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Stop()
	w.Wait(ctx)
	waitUntil(t, "the goroutine ends", func() bool { return w.Stopped() && runtime.NumGoroutine() <= before })
}

// Two processes use the same directory. The first one writes; the second counts that the directory
// is locked, can read snapshots, and takes over once the first has stopped.
func TestSecondProcessTakesOver(t *testing.T) {
	l := *testLimits
	l.SnapshotMaxRetryDelay = time.Millisecond
	d := disktest.New()
	first := startWriter(d, time.Millisecond, &fakeSource{records: 2}, &l)
	waitUntil(t, "the first writer has locked the directory", func() bool { return first.written.Load() > 0 })
	second := startWriter(d, time.Millisecond, &fakeSource{records: 2}, &l)
	waitUntil(t, "the second writer finds it locked", func() bool { return second.locked.Load() > 2 })
	if second.written.Load() > 0 || LoadWithTimeout(d, &l, discardLogger) == nil {
		t.Error("the second writer wrote to the locked directory, or no snapshot can be read from it")
	}
	stopAndWait(t, first)
	waitUntil(t, "the second writer takes over", func() bool { return second.written.Load() > 0 })
	stopAndWait(t, second)
}

// Files are damaged, empty or of other programs. Load returns the newest snapshot that is whole or,
// if none is, the usable part of the newest.
func TestLoadFallsBackToOlderSnapshots(t *testing.T) {
	d := disktest.New()
	for n := 1; n <= 2; n++ {
		w := startWriter(d, time.Hour, &fakeSource{records: n}, testLimits)
		stopAndWait(t, w)
	}
	const older, newer = "snapshot-0000000000000001", "snapshot-0000000000000002"
	a, b := d.Get(older), d.Get(newer)
	foreignFile := []byte("no snapshot, but of some length at least")
	flipBit := func(file []byte) []byte {
		out := append([]byte(nil), file...)
		out[len(out)-40] ^= 1
		return out
	}
	engineCount := func(stored *StoredSnapshot) int {
		if stored == nil {
			return -1
		}
		return len(stored.Snapshot.Statistics.Engines)
	}
	for _, c := range []struct {
		name     string
		files    map[string][]byte
		engines  int
		complete bool
	}{
		{"both whole", map[string][]byte{older: a, newer: b}, 2, true},
		{"the newer one is truncated", map[string][]byte{older: a, newer: b[:len(b)/2]}, 1, true},
		{"the newer one is empty", map[string][]byte{older: a, newer: nil}, 1, true},
		{"a bit of the newer one is flipped", map[string][]byte{older: a, newer: flipBit(b)}, 1, true},
		{"both are damaged", map[string][]byte{older: flipBit(a), newer: flipBit(b)}, 2, false},
		{"only a damaged one", map[string][]byte{newer: flipBit(b)}, 2, false},
		{"an old backup under a newer name", map[string][]byte{"snapshot-00000000000000ff": a, newer: b}, 2, true},
		{"a file of another program under a newer name", map[string][]byte{"snapshot-00000000000000ff": []byte("x"), newer: b}, 2, true},
		{"no files", nil, -1, false},
		{"no usable files", map[string][]byte{newer: foreignFile}, -1, false},
	} {
		d := disktest.New()
		for name, file := range c.files {
			d.Put(name, file)
		}
		stored, _, err := Load(d, testBounds)
		isLoaded := stored != nil
		if engineCount(stored) != c.engines || isLoaded && stored.Complete != c.complete || (err == nil) != isLoaded {
			t.Errorf("%s: Load returned %d engines (-1: no snapshot), %v; want the result in the table", c.name, engineCount(stored), err)
		}
		fileChecks, err := Verify(d, testBounds)
		hasIncomplete := strings.Contains(fmt.Sprint(fileChecks), "false")
		allComplete := c.name == "both whole" || c.name == "no files"
		if err != nil || hasIncomplete == allComplete {
			t.Errorf("%s: Verify returned %+v, %v; want exactly the damaged files incomplete", c.name, fileChecks, err)
		}
	}
}

// Sections have valid checksums and content that this program does not write. They are rejected
// without allocating much more than their size, and the other sections are still used.
func TestForeignContentOfSections(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	write := func(sections ...snapshots.Section) disk.Disk {
		d := disktest.New()
		f, err := snapshots.Open(d, testBounds)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if _, err := f.Write(func(add snapshots.AddFunc) error {
			for _, s := range sections {
				if err := add(s.Kind, s.Payload); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		return d
	}
	header, _ := encoder.Marshal(headerForm{Name: "n3"})
	traffic, _ := encoder.Marshal([]trafficForm{{At: 5}})
	hugeArray := []byte{0x9b, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff} // the header of an array of billions of elements
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for kind := sectionHeader; kind <= sectionTraffic; kind++ {
		payloads := [][]byte{
			nil, hugeArray, {0x80}, {0xa0}, {0xf6}, {0x81, 0x80}, {0x81, 0xf6},
			[]byte(strings.Repeat("\x81", 5000)),
			append([]byte{0x99, 0x04, 0x01}, make([]byte, 0x401)...),
		}
		for range 300 {
			noise := make([]byte, rng.Intn(200))
			rng.Read(noise)
			payloads = append(payloads, noise)
		}
		for _, payload := range payloads {
			d := write(
				snapshots.Section{Kind: sectionHeader, Payload: header},
				snapshots.Section{Kind: kind, Payload: payload},
				snapshots.Section{Kind: sectionTraffic, Payload: traffic},
				snapshots.Section{Kind: 999, Payload: payload},
			)
			stored, _, err := Load(d, testBounds)
			if err != nil || len(stored.Snapshot.Statistics.Traffic) == 0 {
				t.Errorf("section of kind %d, payload % x: the traffic section is not used, %v", kind, payload[:min(len(payload), 20)], err)
			}
		}
	}
	runtime.ReadMemStats(&after)
	if mean := (after.TotalAlloc - before.TotalAlloc) / (5 * 309); mean > 1<<20 {
		t.Errorf("%d bytes allocated per file, want at most 1 MiB", mean)
	}
	tooManyLeaders, _ := encoder.Marshal([]tableForm{{Homes: make([]string, maxPoolLeaders+1)}})
	tooLongName, _ := encoder.Marshal([]tableForm{{Homes: []string{strings.Repeat("x", maxTextBytes+1)}}})
	for _, payload := range [][]byte{tooManyLeaders, tooLongName} {
		d := write(
			snapshots.Section{Kind: sectionHeader, Payload: header},
			snapshots.Section{Kind: sectionTables, Payload: payload},
			snapshots.Section{Kind: sectionTraffic, Payload: traffic},
		)
		stored, _, err := Load(d, testBounds)
		if err != nil || len(stored.Snapshot.Statistics.Tables) != 0 || stored.Complete {
			t.Errorf("a table group with %d bytes of pool leaders: %+v, %v; want it rejected", len(payload), stored, err)
		}
	}
	withoutHeader := write(snapshots.Section{Kind: sectionTraffic, Payload: traffic})
	if _, _, err := Load(withoutHeader, testBounds); err == nil {
		t.Error("a file without a header section was loaded")
	}
}

// Pruned records are in no file any more, and the others keep their timestamps.
func TestPrunedRecordsAreInNoFile(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 4}, testLimits)
	// The writer locks the directory only when it writes.
	if _, err := Prune(d, testBounds, PruneSelection{All: true}); err != nil {
		t.Error(err)
	}
	w.SetInterval(time.Millisecond)
	waitUntil(t, "two snapshots", func() bool { return w.written.Load() > 1 })
	if _, err := Prune(d, testBounds, PruneSelection{All: true}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("Prune while a writer has the directory returned %v, want ErrLocked", err)
	}
	stopAndWait(t, w)
	before, _, _ := Load(d, testBounds)
	n, err := Prune(d, testBounds, PruneSelection{
		Engines: []router.EngineID{"e1", "x"},
		Tables:  []router.TableGroup{-1, 2},
	})
	if err != nil || n != 3 {
		t.Errorf("%d records pruned, %v; want 3", n, err)
	}
	files, _ := snapshots.Files(d)
	for _, f := range files {
		stored, err := readFile(d, f, testBounds)
		statistics := stored.Snapshot.Statistics
		if err != nil || len(statistics.Engines) != 3 || len(statistics.Tables) != 2 {
			t.Errorf("%s: %+v, %v; want 3 engines and 2 table groups", f.Name, stored, err)
		}
		if stored.TakenAt != before.TakenAt || statistics.Engines[0].At != before.Snapshot.Statistics.Engines[0].At {
			t.Error("pruning changed the timestamps of the records that it kept")
		}
	}
	report := NewReport(before, before.TakenAt+60e3, restore.DefaultHalfLives())
	weight := report.Engines[0].RemainingWeight
	if report.Records != 10 || report.Restorable != 10 || weight <= 0 || weight >= 1 {
		t.Errorf("report %+v, want 10 restorable records with decayed weights", report)
	}
	if n, err := Prune(d, testBounds, PruneSelection{All: true}); err != nil || n != 7 {
		t.Errorf("%d records pruned with All, %v; want 7", n, err)
	}
	if _, _, err := Load(d, testBounds); !errors.Is(err, snapshots.ErrNoSnapshot) {
		t.Errorf("Load after all records were pruned returned %v, want ErrNoSnapshot", err)
	}
}

// On a real file system, the directory can't be created, or is removed while the writer runs.
// Failures are counted, and the directory is used as soon as it can be created.
func TestDirectoriesOfTheFileSystem(t *testing.T) {
	l := *testLimits
	l.SnapshotMaxRetryDelay = time.Millisecond
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	withoutParent := filepath.Join(t.TempDir(), "no", "parent")
	for _, path := range []string{"/proc/self/none", filepath.Join(file, "below"), withoutParent} {
		w := startWriter(disk.Folder(path), time.Millisecond, &fakeSource{records: 1}, &l)
		waitUntil(t, path+": failures", func() bool { return w.failed.Load() > 2 })
		stopAndWait(t, w)
		if w.written.Load() > 0 || LoadWithTimeout(disk.Folder(path), &l, discardLogger) != nil {
			t.Errorf("%s: a snapshot was written or read, though the directory can't exist", path)
		}
	}
	parent := filepath.Join(t.TempDir(), "parent")
	folder := disk.Folder(filepath.Join(parent, "kept"))
	w := startWriter(folder, time.Millisecond, &fakeSource{records: 1}, &l)
	waitUntil(t, "failures without a parent", func() bool { return w.failed.Load() > 0 })
	if err := os.Mkdir(parent, 0o700); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a snapshot once the parent exists", func() bool { return w.written.Load() > 0 })
	written := w.written.Load()
	for os.RemoveAll(string(folder)) != nil { // fails while the writer creates files
	}
	waitUntil(t, "snapshots in the directory that was created again", func() bool { return w.written.Load() > written+2 })
	stopAndWait(t, w)
	if _, _, err := Load(folder, testBounds); err != nil {
		t.Error(err)
	}
}
