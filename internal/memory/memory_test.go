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

const patience = 10 * time.Second // for what must come

var (
	me    = restore.Identity{Name: "n3", Settings: 77}
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
	usual = limits.For(1024, 192, 0, 0, 0)
)

// pupil is a source that has learned so many records.
type pupil struct {
	records int
	asked   atomic.Int64
	block   chan struct{} // nil: it answers at once
}

func (p *pupil) Learned(ctx context.Context, from router.Cursor, most int) (Part, error) {
	p.asked.Add(1)
	if p.block != nil {
		select {
		case <-p.block:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
	return Part{Learned: lesson(p.records, float64(time.Now().UnixMilli()))}, nil
}

// lesson is n records of each kind that there may be several of.
func lesson(n int, at float64) (l router.Statistics) {
	for i := range n {
		id := router.EngineID(fmt.Sprint("e", i))
		l.Engines = append(l.Engines, router.EngineStatistics{At: at, Engine: id, StartedAt: float64(i),
			Slowdown: router.WeightedMean{Mean: 1.5, Weight: 2}, ThreadsPerCore: 2.25, Outcomes: uint8(i), PoolLeader: "e0"})
		l.Tables = append(l.Tables, router.TableStatistics{At: at, Tables: router.TableGroup(i - 1), Demand: 0.5, MemoryTime: 8,
			PoolLeaders: []router.EngineID{id, ""}})
	}
	l.Classes = []router.ClassStatistics{{At: at, Class: 1, FirstTryTimeout: 900, UnloadedTime: 20,
		WorkScale: router.WeightedMean{Mean: 2, Weight: 5}, MemoryScale: router.WeightedMean{Mean: 0.5, Weight: 1}}}
	l.Traffic = []router.TrafficStatistics{{At: at, Share: router.WeightedMean{Mean: 0.25, Weight: 300}}}
	return l
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

func stop(t *testing.T, k *Keeper) {
	t.Helper()
	k.Last()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := k.Wait(ctx); err != nil {
		t.Fatal(err)
	}
}

func begin(d disk.Disk, pace time.Duration, source Source, l *limits.Limits) *Keeper {
	return Start(d, pace, me, "test", source, l, quiet)
}

// What is kept is read again as it was.
func TestRoundTrip(t *testing.T) {
	d := disktest.New()
	k := begin(d, time.Hour, &pupil{records: 300}, usual)
	stop(t, k)
	kept, trials, err := Load(d, Bounds(usual))
	if err != nil || len(trials) != 1 || !kept.Whole || kept.Build != "test" {
		t.Fatal(kept, trials, err)
	}
	want := lesson(300, kept.Memory.Learned.Engines[0].At)
	if kept.Memory.Of != me || !reflect.DeepEqual(kept.Memory.Learned, want) {
		t.Errorf("%+v", kept.Memory.Learned.Engines[:3])
	}
}

// Snapshots follow each other at the pace, which can change; the last one is written when told so.
func TestPace(t *testing.T) {
	d := disktest.New()
	k := begin(d, time.Hour, &pupil{records: 3}, usual)
	if k.written.Load() != 0 {
		t.Error("written ahead of the pace")
	}
	k.SetPace(time.Millisecond)
	until(t, "snapshots at the new pace", func() bool { return k.written.Load() >= 3 })
	k.SetPace(time.Hour)
	stop(t, k)
	n := k.written.Load()
	if files, _ := snapshots.Files(d); len(files) != 2 || files[0].Serial != uint64(n) {
		t.Errorf("%d written, %v are there", n, files)
	}
}

// Large snapshots are written less often, and failures make the pace slower, up to a bound.
func TestNext(t *testing.T) {
	k := &Keeper{limits: usual}
	k.pace.Store(int64(time.Second))
	for _, c := range []struct {
		failures int
		size     int64
		want     time.Duration
	}{
		{0, 0, time.Second},
		{0, int64(usual.MemoryRate) / 2, time.Second},
		{0, int64(usual.MemoryRate) * 7, 7 * time.Second},
		{1, 0, 2 * time.Second},
		{3, 0, 8 * time.Second},
		{40, 0, usual.MemoryRetry},
	} {
		if got := k.next(c.failures, c.size); got != c.want {
			t.Errorf("%d failures, %d bytes: %v", c.failures, c.size, got)
		}
	}
	if k.pace.Store(int64(time.Hour)); k.next(5, 0) != time.Hour {
		t.Errorf("after failures quicker than the pace: %v", k.next(5, 0))
	}
}

// A disk that is full, fails or is gone is counted, and written to again when it is back; the older snapshot stays.
func TestTroubleWithTheDisk(t *testing.T) {
	l := *usual
	l.MemoryRetry = time.Millisecond
	for name, c := range map[string]struct{ begins, ends func(*disktest.Disk) }{
		"full":  {func(d *disktest.Disk) { d.Fill(10) }, func(d *disktest.Disk) { d.Fill(-1) }},
		"fails": {func(d *disktest.Disk) { d.Fail(io.ErrClosedPipe) }, func(d *disktest.Disk) { d.Fail(nil) }},
	} {
		d := disktest.New()
		k := begin(d, time.Millisecond, &pupil{records: 20}, &l)
		until(t, name+": a first snapshot", func() bool { return k.written.Load() > 0 })
		c.begins(d)
		until(t, name+": failures", func() bool { return k.failed.Load() > 3 })
		written := k.written.Load()
		if name == "full" {
			if _, _, err := Load(d, Bounds(usual)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		c.ends(d)
		until(t, name+": written again", func() bool { return k.written.Load() > written+1 })
		stop(t, k)
	}
	// from the start
	d := disktest.New()
	d.Fail(io.ErrClosedPipe)
	k := begin(d, time.Millisecond, &pupil{}, &l)
	until(t, "failures from the start", func() bool { return k.failed.Load() > 2 })
	d.Fail(nil)
	until(t, "a first snapshot", func() bool { return k.written.Load() > 0 })
	stop(t, k)
}

// A disk that hangs holds up neither a start nor an end, and nobody who asks for the counts.
func TestHangingDisk(t *testing.T) {
	d := disktest.New()
	k := begin(d, time.Hour, &pupil{records: 1}, usual)
	stop(t, k)
	release := d.Hang()
	l := *usual
	l.MemoryRead = 10 * time.Millisecond
	if kept := Restore(d, &l, quiet); kept != nil {
		t.Error("something was read of a disk that hangs")
	}
	k = begin(d, time.Millisecond, &pupil{records: 1}, usual)
	k.LogValue()
	k.Last()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if err := k.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("waits for a disk that hangs: %v", err)
	}
	release()
	until(t, "the goroutine ends", k.Ended)
	if kept := Restore(d, usual, quiet); kept == nil {
		t.Error("the disk is back, and nothing is read")
	}
}

// A source that does not answer, as its loop is gone, is let go of.
func TestSilentSource(t *testing.T) {
	before := runtime.NumGoroutine()
	p := &pupil{block: make(chan struct{})}
	k := begin(disktest.New(), time.Millisecond, p, usual)
	until(t, "the source is asked", func() bool { return p.asked.Load() > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	k.Last()
	k.Wait(ctx)
	until(t, "the goroutine ends", func() bool { return k.Ended() && runtime.NumGoroutine() <= before })
}

// Of two processes one has the folder; the other goes on without, reads what is there, and takes over when it is free.
func TestTwoProcesses(t *testing.T) {
	l := *usual
	l.MemoryRetry = time.Millisecond
	d := disktest.New()
	one := begin(d, time.Millisecond, &pupil{records: 2}, &l)
	until(t, "the first has the folder", func() bool { return one.written.Load() > 0 })
	two := begin(d, time.Millisecond, &pupil{records: 2}, &l)
	until(t, "the second finds it taken", func() bool { return two.locked.Load() > 2 })
	if two.written.Load() > 0 || Restore(d, &l, quiet) == nil {
		t.Error("the second has written, or can't read")
	}
	stop(t, one)
	until(t, "the second takes over", func() bool { return two.written.Load() > 0 })
	stop(t, two)
}

// The newest file that is whole is read; if none is, what is left of the newest.
func TestFallBack(t *testing.T) {
	d := disktest.New()
	for n := 1; n <= 2; n++ {
		k := begin(d, time.Hour, &pupil{records: n}, usual)
		stop(t, k)
	}
	const older, newer = "snapshot-0000000000000001", "snapshot-0000000000000002"
	a, b := d.Get(older), d.Get(newer)
	turned := func(file []byte) []byte {
		out := append([]byte(nil), file...)
		out[len(out)-40] ^= 1
		return out
	}
	engines := func(kept *Kept) int {
		if kept == nil {
			return -1
		}
		return len(kept.Memory.Learned.Engines)
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
		{"a bit of the newer one is turned", map[string][]byte{older: a, newer: turned(b)}, 1, true},
		{"both are damaged", map[string][]byte{older: turned(a), newer: turned(b)}, 2, false},
		{"only a damaged one", map[string][]byte{newer: turned(b)}, 2, false},
		{"an old backup under a newer name", map[string][]byte{"snapshot-00000000000000ff": a, newer: b}, 2, true},
		{"another program's file beside it", map[string][]byte{"snapshot-00000000000000ff": []byte("x"), newer: b}, 2, true},
		{"nothing", nil, -1, false},
		{"nothing that can be used", map[string][]byte{newer: []byte("no snapshot, but of some length at least")}, -1, false},
	} {
		d := disktest.New()
		for name, file := range c.files {
			d.Put(name, file)
		}
		kept, _, err := Load(d, Bounds(usual))
		if engines(kept) != c.engines || kept != nil && kept.Whole != c.whole || (err == nil) != (kept != nil) {
			t.Errorf("%s: %d engines, %v", c.name, engines(kept), err)
		}
		checks, err := Verify(d, Bounds(usual))
		if bad := strings.Contains(fmt.Sprint(checks), "false"); err != nil || bad == (c.name == "both whole" || c.name == "nothing") {
			t.Errorf("%s: %+v, %v", c.name, checks, err)
		}
	}
}

// A section whose checksum is right may still hold anything: it costs no more than its size allows, and is told.
func TestOddSections(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	write := func(sections ...snapshots.Section) disk.Disk {
		d := disktest.New()
		f, err := snapshots.Open(d, Bounds(usual))
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if _, err := f.Write(func(add func(snapshots.Kind, []byte) error) error {
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
	head, _ := encoder.Marshal(headForm{Name: "n3"})
	good, _ := encoder.Marshal([]trafficForm{{At: 5}})
	claims := []byte{0x9b, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff} // an array of billions
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for kind := sectionHead; kind <= sectionTraffic; kind++ {
		odd := [][]byte{nil, claims, {0x80}, {0xa0}, {0xf6}, {0x81, 0x80}, {0x81, 0xf6}, []byte(strings.Repeat("\x81", 5000)),
			append([]byte{0x99, 0x04, 0x01}, make([]byte, 0x401)...)}
		for range 300 {
			noise := make([]byte, rng.Intn(200))
			rng.Read(noise)
			odd = append(odd, noise)
		}
		for _, payload := range odd {
			d := write(snapshots.Section{Kind: sectionHead, Payload: head}, snapshots.Section{Kind: kind, Payload: payload},
				snapshots.Section{Kind: sectionTraffic, Payload: good}, snapshots.Section{Kind: 999, Payload: payload})
			kept, _, err := Load(d, Bounds(usual))
			if err != nil || len(kept.Memory.Learned.Traffic) == 0 {
				t.Errorf("kind %d, % x: %v", kind, payload[:min(len(payload), 20)], err)
			}
		}
	}
	runtime.ReadMemStats(&after)
	if mean := (after.TotalAlloc - before.TotalAlloc) / (5 * 309); mean > 1<<20 {
		t.Errorf("%d bytes a file", mean)
	}
	homes, _ := encoder.Marshal([]tablesForm{{Homes: make([]string, mostHomes+1)}})
	long, _ := encoder.Marshal([]tablesForm{{Homes: []string{strings.Repeat("x", mostText+1)}}})
	for _, payload := range [][]byte{homes, long} {
		kept, _, err := Load(write(snapshots.Section{Kind: sectionHead, Payload: head}, snapshots.Section{Kind: sectionTables,
			Payload: payload}, snapshots.Section{Kind: sectionTraffic, Payload: good}), Bounds(usual))
		if err != nil || len(kept.Memory.Learned.Tables) != 0 || kept.Whole {
			t.Errorf("a table group with %d bytes of homes: %+v, %v", len(payload), kept, err)
		}
	}
	if _, _, err := Load(write(snapshots.Section{Kind: sectionTraffic, Payload: good}), Bounds(usual)); err == nil {
		t.Error("read without a head")
	}
}

// What is to be forgotten is in no file any more, and the rest is as old as it was.
func TestPrune(t *testing.T) {
	d := disktest.New()
	k := begin(d, time.Hour, &pupil{records: 4}, usual)
	if _, err := Prune(d, Bounds(usual), Pruning{All: true}); err != nil { // it has not taken the folder yet
		t.Error(err)
	}
	k.SetPace(time.Millisecond)
	until(t, "two snapshots", func() bool { return k.written.Load() > 1 })
	if _, err := Prune(d, Bounds(usual), Pruning{All: true}); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("pruned under a controller that runs: %v", err)
	}
	stop(t, k)
	old, _, _ := Load(d, Bounds(usual))
	n, err := Prune(d, Bounds(usual), Pruning{Engines: []router.EngineID{"e1", "x"}, Tables: []router.TableGroup{-1, 2}})
	if err != nil || n != 3 {
		t.Errorf("%d forgotten, %v", n, err)
	}
	files, _ := snapshots.Files(d)
	for _, f := range files {
		kept, err := read(d, f, Bounds(usual))
		if err != nil || len(kept.Memory.Learned.Engines) != 3 || len(kept.Memory.Learned.Tables) != 2 {
			t.Errorf("%s: %+v, %v", f.Name, kept, err)
		}
		if kept.Taken != old.Taken || kept.Memory.Learned.Engines[0].At != old.Memory.Learned.Engines[0].At {
			t.Error("it looks younger than it is")
		}
	}
	shown := Show(old, old.Taken+60e3, restore.DefaultHalfLives())
	if shown.Records != 10 || shown.Believed != 10 || shown.Engines[0].Weighs <= 0 || shown.Engines[0].Weighs >= 1 {
		t.Errorf("%+v", shown)
	}
	if n, err := Prune(d, Bounds(usual), Pruning{All: true}); err != nil || n != 7 {
		t.Errorf("%d forgotten of all, %v", n, err)
	}
	if _, _, err := Load(d, Bounds(usual)); !errors.Is(err, snapshots.ErrNone) {
		t.Errorf("after all was forgotten: %v", err)
	}
}

// A folder that can't be made or written is counted and tried again, as one of a real file system; one that is there
// again, or only now, is used.
func TestRealFolders(t *testing.T) {
	l := *usual
	l.MemoryRetry = time.Millisecond
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/proc/self/none", filepath.Join(file, "below"), filepath.Join(t.TempDir(), "no", "parent")} {
		k := begin(disk.Folder(path), time.Millisecond, &pupil{records: 1}, &l)
		until(t, path+": failures", func() bool { return k.failed.Load() > 2 })
		stop(t, k)
		if k.written.Load() > 0 || Restore(disk.Folder(path), &l, quiet) != nil {
			t.Errorf("%s is written", path)
		}
	}
	parent := filepath.Join(t.TempDir(), "parent")
	folder := disk.Folder(filepath.Join(parent, "kept"))
	k := begin(folder, time.Millisecond, &pupil{records: 1}, &l)
	until(t, "failures without a parent", func() bool { return k.failed.Load() > 0 })
	if err := os.Mkdir(parent, 0o700); err != nil {
		t.Fatal(err)
	}
	until(t, "the disk is there", func() bool { return k.written.Load() > 0 })
	written := k.written.Load()
	for os.RemoveAll(string(folder)) != nil { // it may be writing
	}
	until(t, "the folder is made anew", func() bool { return k.written.Load() > written+2 })
	stop(t, k)
	if _, _, err := Load(folder, Bounds(usual)); err != nil {
		t.Error(err)
	}
}
