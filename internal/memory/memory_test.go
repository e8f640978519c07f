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

// patience is how long a test waits for what must happen.
const patience = 10 * time.Second

var (
	me         = restore.Identity{Name: "n3", Settings: 77}
	quiet      = slog.New(slog.NewTextHandler(io.Discard, nil))
	testLimits = limits.For(1024, 192, 0, 0, 0)
	testBounds = FileBounds(testLimits)
)

// fakeSource is a source with so many records of each kind.
type fakeSource struct {
	records int
	asked   atomic.Int64
	block   chan struct{} // nil: it answers at once
}

func (p *fakeSource) Statistics(ctx context.Context, _ router.Cursor, _ int) (Part, error) {
	p.asked.Add(1)
	if p.block != nil {
		select {
		case <-p.block:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
	return Part{Statistics: sampleStatistics(p.records, float64(time.Now().UnixMilli()))}, nil
}

// sampleStatistics returns n records of each kind of which there may be several.
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

// until waits until a condition holds.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// stop stops a writer and waits until it has released the directory.
func stop(t *testing.T, w *SnapshotWriter) {
	t.Helper()
	w.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := w.Wait(ctx); err != nil {
		t.Fatal(err)
	}
}

func startWriter(d disk.Disk, interval time.Duration, source StatisticsSource, l *limits.Limits) *SnapshotWriter {
	return StartSnapshotWriter(d, interval, me, "test", source, l, quiet)
}

// A snapshot is written and read back as it was.
func TestSnapshotIsReadAsItWasWritten(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 300}, testLimits)
	stop(t, w)
	stored, results, err := Load(d, testBounds)
	if err != nil || len(results) != 1 || !stored.Complete || stored.Build != "test" {
		t.Fatal(stored, results, err)
	}
	want := sampleStatistics(300, stored.Snapshot.Statistics.Engines[0].At)
	if stored.Snapshot.Owner != me || !reflect.DeepEqual(stored.Snapshot.Statistics, want) {
		t.Errorf("%+v", stored.Snapshot.Statistics.Engines[:3])
	}
}

// Snapshots follow each other at the interval, which can change. Stop writes a final one.
func TestIntervalAndFinalSnapshot(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 3}, testLimits)
	if w.written.Load() != 0 {
		t.Error("written ahead of the interval")
	}
	w.SetInterval(time.Millisecond)
	until(t, "snapshots at the new interval", func() bool { return w.written.Load() >= 3 })
	w.SetInterval(time.Hour)
	stop(t, w)
	n := w.written.Load()
	if files, _ := snapshots.Files(d); len(files) != 2 || files[0].Serial != uint64(n) {
		t.Errorf("%d written, %v are there", n, files)
	}
}

// Large snapshots are written less often. Failures double the delay, up to a bound, and never make
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
			t.Errorf("%d failures, %d bytes: %v", c.failures, c.size, got)
		}
	}
	w.interval.Store(int64(time.Hour))
	if got := w.nextDelay(5, 0); got != time.Hour {
		t.Errorf("after failures sooner than the interval: %v", got)
	}
}

// The disk is full, fails or is gone for a while. Failures are counted, an earlier snapshot stays,
// and writing goes on once the disk is back.
func TestWritingResumesAfterDiskFailures(t *testing.T) {
	l := *testLimits
	l.SnapshotMaxRetryDelay = time.Millisecond
	for name, fault := range map[string]struct{ begins, ends func(*disktest.Disk) }{
		"full": {func(d *disktest.Disk) { d.Fill(10) }, func(d *disktest.Disk) { d.Fill(-1) }},
		"fails": {
			func(d *disktest.Disk) { d.Fail(io.ErrClosedPipe) },
			func(d *disktest.Disk) { d.Fail(nil) },
		},
	} {
		d := disktest.New()
		w := startWriter(d, time.Millisecond, &fakeSource{records: 20}, &l)
		until(t, name+": a first snapshot", func() bool { return w.written.Load() > 0 })
		fault.begins(d)
		until(t, name+": failures", func() bool { return w.failed.Load() > 3 })
		written := w.written.Load()
		if name == "full" {
			if _, _, err := Load(d, testBounds); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		fault.ends(d)
		until(t, name+": written again", func() bool { return w.written.Load() > written+1 })
		stop(t, w)
	}
	// from the start
	d := disktest.New()
	d.Fail(io.ErrClosedPipe)
	w := startWriter(d, time.Millisecond, &fakeSource{}, &l)
	until(t, "failures from the start", func() bool { return w.failed.Load() > 2 })
	d.Fail(nil)
	until(t, "a first snapshot", func() bool { return w.written.Load() > 0 })
	stop(t, w)
}

// The disk hangs. Neither a start nor an end waits for it, nor whoever asks for the counts.
func TestHangingDiskDelaysNeitherStartNorEnd(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 1}, testLimits)
	stop(t, w)
	release := d.Hang()
	l := *testLimits
	l.SnapshotReadTimeout = 10 * time.Millisecond
	if stored := LoadWithTimeout(d, &l, quiet); stored != nil {
		t.Error("something was read of a disk that hangs")
	}
	w = startWriter(d, time.Millisecond, &fakeSource{records: 1}, testLimits)
	w.LogValue()
	w.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := w.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("waits for a disk that hangs: %v", err)
	}
	release()
	until(t, "the goroutine ends", w.Stopped)
	if stored := LoadWithTimeout(d, testLimits, quiet); stored == nil {
		t.Error("the disk is back, and nothing is read")
	}
}

// The source does not answer, as its loop has ended. The writer gives up once it isn't waited for
// any more, and leaves no goroutine.
func TestSourceThatDoesNotAnswer(t *testing.T) {
	before := runtime.NumGoroutine()
	p := &fakeSource{block: make(chan struct{})}
	w := startWriter(disktest.New(), time.Millisecond, p, testLimits)
	until(t, "the source is asked", func() bool { return p.asked.Load() > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Stop()
	w.Wait(ctx)
	until(t, "the goroutine ends", func() bool { return w.Stopped() && runtime.NumGoroutine() <= before })
}

// Two processes have the same directory. One writes; the other counts that it is locked, reads what
// is there, and takes over once the first has stopped.
func TestSecondProcessTakesOver(t *testing.T) {
	l := *testLimits
	l.SnapshotMaxRetryDelay = time.Millisecond
	d := disktest.New()
	one := startWriter(d, time.Millisecond, &fakeSource{records: 2}, &l)
	until(t, "the first has the folder", func() bool { return one.written.Load() > 0 })
	two := startWriter(d, time.Millisecond, &fakeSource{records: 2}, &l)
	until(t, "the second finds it taken", func() bool { return two.locked.Load() > 2 })
	if two.written.Load() > 0 || LoadWithTimeout(d, &l, quiet) == nil {
		t.Error("the second has written, or can't read")
	}
	stop(t, one)
	until(t, "the second takes over", func() bool { return two.written.Load() > 0 })
	stop(t, two)
}

// Files are damaged, empty or foreign. Load takes the newest that is whole or, if none is, what can
// be used of the newest.
func TestLoadFallsBackToOlderSnapshots(t *testing.T) {
	d := disktest.New()
	for n := 1; n <= 2; n++ {
		w := startWriter(d, time.Hour, &fakeSource{records: n}, testLimits)
		stop(t, w)
	}
	const older, newer = "snapshot-0000000000000001", "snapshot-0000000000000002"
	a, b := d.Get(older), d.Get(newer)
	noSnapshot := []byte("no snapshot, but of some length at least")
	flipped := func(file []byte) []byte {
		out := append([]byte(nil), file...)
		out[len(out)-40] ^= 1
		return out
	}
	engines := func(stored *StoredSnapshot) int {
		if stored == nil {
			return -1
		}
		return len(stored.Snapshot.Statistics.Engines)
	}
	for _, c := range []struct {
		name    string
		files   map[string][]byte
		engines int
		whole   bool
	}{
		{"both whole", map[string][]byte{older: a, newer: b}, 2, true},
		{"the newer one is cut", map[string][]byte{older: a, newer: b[:len(b)/2]}, 1, true},
		{"the newer one is empty", map[string][]byte{older: a, newer: nil}, 1, true},
		{"a bit of the newer one is flipped", map[string][]byte{older: a, newer: flipped(b)}, 1, true},
		{"both are damaged", map[string][]byte{older: flipped(a), newer: flipped(b)}, 2, false},
		{"only a damaged one", map[string][]byte{newer: flipped(b)}, 2, false},
		{"an old backup under a newer name", map[string][]byte{"snapshot-00000000000000ff": a, newer: b}, 2, true},
		{"another program's file beside it", map[string][]byte{"snapshot-00000000000000ff": []byte("x"), newer: b}, 2, true},
		{"nothing", nil, -1, false},
		{"nothing that can be used", map[string][]byte{newer: noSnapshot}, -1, false},
	} {
		d := disktest.New()
		for name, file := range c.files {
			d.Put(name, file)
		}
		stored, _, err := Load(d, testBounds)
		isLoaded := stored != nil
		if engines(stored) != c.engines || isLoaded && stored.Complete != c.whole || (err == nil) != isLoaded {
			t.Errorf("%s: %d engines, %v", c.name, engines(stored), err)
		}
		checks, err := Verify(d, testBounds)
		hasBad := strings.Contains(fmt.Sprint(checks), "false")
		allGood := c.name == "both whole" || c.name == "nothing"
		if err != nil || hasBad == allGood {
			t.Errorf("%s: %+v, %v", c.name, checks, err)
		}
	}
}

// Sections have good checksums and contents that no program of ours wrote. They are refused, cost
// no more memory than their size allows, and the other sections are still used.
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
	head, _ := encoder.Marshal(headerForm{Name: "n3"})
	good, _ := encoder.Marshal([]trafficForm{{At: 5}})
	claims := []byte{0x9b, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff} // an array of billions
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for kind := sectionHeader; kind <= sectionTraffic; kind++ {
		payloads := [][]byte{
			nil, claims, {0x80}, {0xa0}, {0xf6}, {0x81, 0x80}, {0x81, 0xf6},
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
				snapshots.Section{Kind: sectionHeader, Payload: head},
				snapshots.Section{Kind: kind, Payload: payload},
				snapshots.Section{Kind: sectionTraffic, Payload: good},
				snapshots.Section{Kind: 999, Payload: payload},
			)
			stored, _, err := Load(d, testBounds)
			if err != nil || len(stored.Snapshot.Statistics.Traffic) == 0 {
				t.Errorf("kind %d, % x: %v", kind, payload[:min(len(payload), 20)], err)
			}
		}
	}
	runtime.ReadMemStats(&after)
	if mean := (after.TotalAlloc - before.TotalAlloc) / (5 * 309); mean > 1<<20 {
		t.Errorf("%d bytes a file", mean)
	}
	homes, _ := encoder.Marshal([]tableForm{{Homes: make([]string, maxPoolLeaders+1)}})
	long, _ := encoder.Marshal([]tableForm{{Homes: []string{strings.Repeat("x", maxTextBytes+1)}}})
	for _, payload := range [][]byte{homes, long} {
		d := write(
			snapshots.Section{Kind: sectionHeader, Payload: head},
			snapshots.Section{Kind: sectionTables, Payload: payload},
			snapshots.Section{Kind: sectionTraffic, Payload: good},
		)
		stored, _, err := Load(d, testBounds)
		if err != nil || len(stored.Snapshot.Statistics.Tables) != 0 || stored.Complete {
			t.Errorf("a table group with %d bytes of homes: %+v, %v", len(payload), stored, err)
		}
	}
	withoutHeader := write(snapshots.Section{Kind: sectionTraffic, Payload: good})
	if _, _, err := Load(withoutHeader, testBounds); err == nil {
		t.Error("read without a head")
	}
}

// Records are pruned. They are in no file any more, and the others are as old as before.
func TestPrunedRecordsAreInNoFile(t *testing.T) {
	d := disktest.New()
	w := startWriter(d, time.Hour, &fakeSource{records: 4}, testLimits)
	// The writer has not locked the directory yet.
	if _, err := Prune(d, testBounds, PruneSelection{All: true}); err != nil {
		t.Error(err)
	}
	w.SetInterval(time.Millisecond)
	until(t, "two snapshots", func() bool { return w.written.Load() > 1 })
	if _, err := Prune(d, testBounds, PruneSelection{All: true}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("pruned under a controller that runs: %v", err)
	}
	stop(t, w)
	old, _, _ := Load(d, testBounds)
	n, err := Prune(d, testBounds, PruneSelection{
		Engines: []router.EngineID{"e1", "x"},
		Tables:  []router.TableGroup{-1, 2},
	})
	if err != nil || n != 3 {
		t.Errorf("%d forgotten, %v", n, err)
	}
	files, _ := snapshots.Files(d)
	for _, f := range files {
		stored, err := readFile(d, f, testBounds)
		statistics := stored.Snapshot.Statistics
		if err != nil || len(statistics.Engines) != 3 || len(statistics.Tables) != 2 {
			t.Errorf("%s: %+v, %v", f.Name, stored, err)
		}
		if stored.TakenAt != old.TakenAt || statistics.Engines[0].At != old.Snapshot.Statistics.Engines[0].At {
			t.Error("it looks younger than it is")
		}
	}
	shown := NewReport(old, old.TakenAt+60e3, restore.DefaultHalfLives())
	weight := shown.Engines[0].RemainingWeight
	if shown.Records != 10 || shown.Restorable != 10 || weight <= 0 || weight >= 1 {
		t.Errorf("%+v", shown)
	}
	if n, err := Prune(d, testBounds, PruneSelection{All: true}); err != nil || n != 7 {
		t.Errorf("%d forgotten of all, %v", n, err)
	}
	if _, _, err := Load(d, testBounds); !errors.Is(err, snapshots.ErrNoSnapshot) {
		t.Errorf("after all was forgotten: %v", err)
	}
}

// On a real file system, a directory can't be created, or is removed while the writer runs.
// Failures are counted, and a directory that can be created later is used.
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
		until(t, path+": failures", func() bool { return w.failed.Load() > 2 })
		stop(t, w)
		if w.written.Load() > 0 || LoadWithTimeout(disk.Folder(path), &l, quiet) != nil {
			t.Errorf("%s is written", path)
		}
	}
	parent := filepath.Join(t.TempDir(), "parent")
	folder := disk.Folder(filepath.Join(parent, "kept"))
	w := startWriter(folder, time.Millisecond, &fakeSource{records: 1}, &l)
	until(t, "failures without a parent", func() bool { return w.failed.Load() > 0 })
	if err := os.Mkdir(parent, 0o700); err != nil {
		t.Fatal(err)
	}
	until(t, "the disk is there", func() bool { return w.written.Load() > 0 })
	written := w.written.Load()
	for os.RemoveAll(string(folder)) != nil { // it may be writing
	}
	until(t, "the folder is made anew", func() bool { return w.written.Load() > written+2 })
	stop(t, w)
	if _, _, err := Load(folder, testBounds); err != nil {
		t.Error(err)
	}
}
