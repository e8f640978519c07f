// Package kills tests that snapshots survive crashes: it kills a process that writes snapshots continuously, at random times
// and by SIGKILL, and checks the files that it leaves. It uses the daemon's snapshot writer and the real file system.
package kills

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/memory"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// Identity is the identity under which the killed processes write their snapshots.
var Identity = restore.Identity{Name: "killed", Settings: 1}

// Records is the number of records in each snapshot. Every record carries the snapshot's generation, so that a snapshot made
// of two generations is noticed.
const Records = 400

// numberedSource is a source of statistics whose n-th snapshot has n in every record. When the writer begins a snapshot, the
// one before has been persisted, and onPersisted is called with its generation.
type numberedSource struct {
	module      *router.Router // has one engine for each record; only a module can make cursors
	generation  atomic.Int64
	onPersisted func(generation int64)
}

func (t *numberedSource) Statistics(_ context.Context, from router.Cursor, limit int) (memory.Part, error) {
	if from == (router.Cursor{}) {
		if n := t.generation.Add(1); n > 1 {
			t.onPersisted(n - 1)
		}
	}
	n := float64(t.generation.Load())
	part, next, more := t.module.Statistics(from, limit)
	for i := range part.Engines {
		part.Engines[i].Slowdown, part.Engines[i].At = router.WeightedMean{Mean: n, Weight: 1}, float64(time.Now().UnixMilli())
	}
	return memory.Part{Statistics: part, Next: next, More: more}, nil
}

func newNumberedSource(onPersisted func(int64)) *numberedSource {
	entries := make([]router.Endpoint, Records)
	for i := range entries {
		entries[i] = router.Endpoint{Engine: router.EngineID(fmt.Sprintf("e%05d", i)), Kind: -1}
	}
	t := &numberedSource{onPersisted: onPersisted,
		module: router.New(1, router.Identity{}, nil, nil, nil, router.Capabilities{}, router.SafetyLimits{})}
	t.module.Step(1, []router.Event{router.EndpointsUpdated{Complete: true, Endpoints: entries}})
	return t
}

// Child writes snapshots until it is killed. For each that was persisted it writes a line with its generation to out.
func Child(folder string, out io.Writer) error {
	l := limits.For(64, 64, 0, 0, 0)
	l.SnapshotBytesPerSecond, l.SnapshotPartPause, l.SnapshotPartRecords = 1<<30, 50*time.Microsecond, 64
	lines := make(chan int64, 1000)
	t := newNumberedSource(func(n int64) { lines <- n })
	writer := memory.StartSnapshotWriter(disk.Folder(folder), time.Microsecond, Identity, "kills", t, l,
		slog.New(slog.NewTextHandler(os.Stderr, nil)))
	for n := range lines { // ends only by the kill or when the reader closes out
		if _, err := fmt.Fprintln(out, n); err != nil {
			writer.Stop()
			return err
		}
	}
	return nil
}

// Tally counts what was found after kills.
type Tally struct {
	Kills      int
	Corrupt    int   // loads of a wrong owner or an incomplete set of records, or with records of two generations
	Unreadable int   // kills after which no snapshot could be loaded, though one had been persisted
	Lost       int   // kills after which a persisted snapshot was missing
	Unfinished int   // temporary files that kills left
	FellBack   int   // kills after which the newest file could not be loaded
	MaxLost    int64 // most generations between the last persisted snapshot and the loaded one
	Snapshots  int64 // snapshots that were persisted
}

// Run kills n processes one after another that write to one folder, each at a random time, and checks the folder after each
// kill.
func Run(ctx context.Context, n int, seed int64, command func(folder string) *exec.Cmd, bounds snapshots.Bounds) (t Tally, err error) {
	folder, err := os.MkdirTemp("", "kills")
	if err != nil {
		return t, err
	}
	defer os.RemoveAll(folder)
	rng := rand.New(rand.NewSource(seed))
	for t.Kills < n && ctx.Err() == nil {
		persisted, err := kill(ctx, command(folder), time.Duration(rng.Float64()*25*float64(time.Millisecond)))
		if err != nil {
			return t, err
		}
		t.Kills++
		t.Snapshots += persisted
		t.check(disk.Folder(folder), persisted, bounds)
	}
	return t, ctx.Err()
}

// kill starts a process, kills it some time after its first snapshot was persisted, and returns the last generation that the
// process reported as persisted.
func kill(ctx context.Context, cmd *exec.Cmd, after time.Duration) (persisted int64, err error) {
	out, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	first, done := make(chan bool, 1), make(chan int64, 1)
	go func() {
		last, lines := int64(0), bufio.NewScanner(out)
		for lines.Scan() {
			if last, _ = strconv.ParseInt(strings.TrimSpace(lines.Text()), 10, 64); last > 0 {
				select {
				case first <- true:
				default:
				}
			}
		}
		done <- last
	}()
	limit := time.NewTimer(10 * time.Second)
	defer limit.Stop()
	select {
	case <-first:
	case <-limit.C:
		return 0, errors.New("the process has reported no snapshot within 10 s")
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	time.Sleep(after)
	cmd.Process.Kill()
	return <-done, nil
}

// check loads the newest snapshot that a killed process left, and counts what it finds.
func (t *Tally) check(d disk.Disk, persisted int64, bounds snapshots.Bounds) {
	if names, err := d.Names(); err == nil {
		for _, name := range names {
			if strings.HasSuffix(name, ".new") {
				t.Unfinished++
			}
		}
	}
	kept, trials, err := memory.Load(d, bounds)
	if err != nil {
		t.Unreadable++
		return
	}
	if trials[0].Err != nil {
		t.FellBack++
	}
	l := &kept.Snapshot.Statistics
	if kept.Snapshot.Owner != Identity || len(l.Engines) != Records || !kept.Complete {
		t.Corrupt++
		return
	}
	generation := l.Engines[0].Slowdown.Mean
	for _, e := range l.Engines {
		if e.Slowdown.Mean != generation {
			t.Corrupt++
			return
		}
	}
	if lost := persisted - int64(generation); lost > 0 {
		t.Lost++
		t.MaxLost = max(t.MaxLost, lost)
	}
}

// Add adds another tally to this one.
func (t *Tally) Add(o Tally) {
	t.Kills, t.Corrupt, t.Unreadable, t.Lost = t.Kills+o.Kills, t.Corrupt+o.Corrupt, t.Unreadable+o.Unreadable, t.Lost+o.Lost
	t.Unfinished, t.FellBack, t.Snapshots = t.Unfinished+o.Unfinished, t.FellBack+o.FellBack, t.Snapshots+o.Snapshots
	t.MaxLost = max(t.MaxLost, o.MaxLost)
}

// Failed reports whether a load was corrupt or a persisted snapshot was lost.
func (t Tally) Failed() bool { return t.Corrupt+t.Unreadable+t.Lost > 0 }

func (t Tally) String() string {
	return fmt.Sprintf("%d kills, %d snapshots persisted: %d corrupt loads, %d without any snapshot, %d that lost persisted ones (%d "+
		"generations at most); %d unfinished files left, after %d kills the newest file was not whole", t.Kills,
		t.Snapshots, t.Corrupt, t.Unreadable, t.Lost, t.MaxLost, t.Unfinished, t.FellBack)
}
