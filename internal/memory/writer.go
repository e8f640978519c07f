package memory

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// maxBackoffDoublings bounds how often the delay is doubled while writes fail, so that it can't
// overflow.
const maxBackoffDoublings = 10

// StatisticsSource is the source of the statistics that a SnapshotWriter stores.
type StatisticsSource interface {
	// Statistics copies the part of at most maxRecords records that begins at from. The only error
	// is that of ctx.
	Statistics(ctx context.Context, from router.Cursor, maxRecords int) (Part, error)
}

// Part is a part of the statistics.
type Part struct {
	Statistics router.Statistics
	Next       router.Cursor // where the next part begins
	More       bool          // there is a next part
}

// SnapshotWriter writes snapshots at an interval until it is stopped.
type SnapshotWriter struct {
	disk   disk.Disk
	owner  restore.Identity
	build  string // version of this program, informational
	source StatisticsSource
	limits *limits.Limits
	log    *slog.Logger

	interval        atomic.Int64  // ns
	intervalChanged chan struct{} // buffers one signal
	stopOnce        sync.Once
	stopRequested   chan struct{} // closed by Stop: write a final snapshot and end
	done            chan struct{} // closed once the directory is released

	// ctx aborts a snapshot that is being written; Wait cancels it when it returns.
	ctx    context.Context
	cancel context.CancelFunc

	// Owned by the goroutine of run:
	folder   *snapshots.Folder // nil: not open
	failures int               // consecutive failed writes
	lastSize int64             // bytes of the last snapshot; 0 after a failure

	// Counts, for LogValue.
	written   atomic.Int64 // snapshots
	failed    atomic.Int64 // attempts
	locked    atomic.Int64 // attempts that failed because another process has the directory
	bytes     atomic.Int64 // of all snapshots written
	records   atomic.Int64 // of the last snapshot
	writtenAt atomic.Int64 // time of the last snapshot, ms since 1970; 0: none
}

// StartSnapshotWriter starts a writer that stores the source's statistics in a directory, as
// snapshots of the controller owner. The first one is written after one interval.
func StartSnapshotWriter(
	d disk.Disk, interval time.Duration, owner restore.Identity, build string,
	source StatisticsSource, l *limits.Limits, log *slog.Logger,
) *SnapshotWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &SnapshotWriter{
		disk:            d,
		owner:           owner,
		build:           build,
		source:          source,
		limits:          l,
		log:             log,
		intervalChanged: make(chan struct{}, 1),
		stopRequested:   make(chan struct{}),
		done:            make(chan struct{}),
		ctx:             ctx,
		cancel:          cancel,
	}
	w.interval.Store(int64(interval))
	go w.run()
	return w
}

// SetInterval changes the time between two snapshots and restarts the current wait.
func (w *SnapshotWriter) SetInterval(interval time.Duration) {
	w.interval.Store(int64(interval))
	select {
	case w.intervalChanged <- struct{}{}:
	default: // a signal is pending, and its receiver will read this interval
	}
}

// Stop makes the writer write a final snapshot and release the directory, without waiting for it.
func (w *SnapshotWriter) Stop() {
	w.stopOnce.Do(func() { close(w.stopRequested) })
}

// Wait waits until the directory is released. If ctx ends first, Wait returns its error and aborts
// a snapshot that is being written. A write that hangs in the kernel can't be interrupted: the
// writer's goroutine ends after it, or with the process.
func (w *SnapshotWriter) Wait(ctx context.Context) error {
	defer w.cancel()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stopped reports whether the directory has been released.
func (w *SnapshotWriter) Stopped() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// LogValue returns the counts, which docs/memory.md explains.
func (w *SnapshotWriter) LogValue() slog.Value {
	age := int64(-1)
	if at := w.writtenAt.Load(); at > 0 {
		age = time.Now().UnixMilli() - at
	}
	return slog.GroupValue(
		slog.Int64("written", w.written.Load()),
		slog.Int64("failed", w.failed.Load()),
		slog.Int64("locked", w.locked.Load()),
		slog.Int64("bytes", w.bytes.Load()),
		slog.Int64("records", w.records.Load()),
		slog.Int64("age_ms", age),
	)
}

// run writes snapshots until the writer is stopped or ctx ends.
func (w *SnapshotWriter) run() {
	defer close(w.done)
	defer w.closeFolder()
	timer := time.NewTimer(w.nextDelay(0, 0))
	defer timer.Stop()
	for {
		isFinal := false
		select {
		case <-w.ctx.Done():
			return
		case <-w.stopRequested:
			isFinal = true
		case <-w.intervalChanged:
			timer.Reset(w.nextDelay(w.failures, w.lastSize))
			continue
		case <-timer.C:
		}
		w.writeSnapshot()
		if isFinal {
			return
		}
		timer.Reset(w.nextDelay(w.failures, w.lastSize))
	}
}

// nextDelay returns the time until the next snapshot, given the number of consecutive failures and
// the size of the last snapshot in bytes. A large snapshot makes it longer, so that no more than
// SnapshotBytesPerSecond is written on average. Each failure doubles it up to
// SnapshotMaxRetryDelay. The number of retries is unlimited, as a disk that was full or missing may
// become usable again.
func (w *SnapshotWriter) nextDelay(failures int, size int64) time.Duration {
	interval := time.Duration(w.interval.Load())
	seconds := float64(size) / float64(w.limits.SnapshotBytesPerSecond)
	bySize := time.Duration(seconds * float64(time.Second))
	delay := max(interval, bySize)
	if failures == 0 {
		return delay
	}
	backoff := delay << min(failures, maxBackoffDoublings)
	return max(interval, min(backoff, w.limits.SnapshotMaxRetryDelay))
}

// writeSnapshot writes a snapshot, and logs a failure or the first success after failures.
func (w *SnapshotWriter) writeSnapshot() {
	size, err := w.tryWrite()
	w.lastSize = size
	if err == nil {
		if w.failures > 0 {
			w.log.Info("snapshot written after failures", "failures", w.failures)
		}
		w.failures = 0
		return
	}
	w.failures++
	wasAborted := w.ctx.Err() != nil
	if wasAborted {
		return
	}
	w.failed.Add(1)
	w.log.Warn("snapshot not written", "why", err, "failures", w.failures)
}

// tryWrite writes a snapshot and returns the size of its file in bytes. A missing directory is
// created, also if it was removed after the last snapshot.
func (w *SnapshotWriter) tryWrite() (size int64, err error) {
	if err := w.openFolder(); err != nil {
		return 0, err
	}
	records := 0
	size, err = w.folder.Write(func(add snapshots.AddFunc) error {
		var err error
		records, err = w.writeSections(add)
		return err
	})
	if errors.Is(err, fs.ErrNotExist) {
		w.closeFolder()
	}
	if err != nil {
		return size, err
	}
	w.written.Add(1)
	w.bytes.Add(size)
	w.records.Store(int64(records))
	w.writtenAt.Store(time.Now().UnixMilli())
	return size, nil
}

// openFolder creates and locks the directory, unless it is already open.
func (w *SnapshotWriter) openFolder() error {
	if w.folder != nil {
		return nil
	}
	if err := w.disk.Make(); err != nil {
		return err
	}
	folder, err := snapshots.Open(w.disk, FileBounds(w.limits))
	if errors.Is(err, disk.ErrLocked) {
		w.locked.Add(1)
	}
	if err != nil {
		return err
	}
	w.folder = folder
	return nil
}

func (w *SnapshotWriter) closeFolder() {
	if w.folder != nil {
		w.folder.Close()
		w.folder = nil
	}
}

// writeSections copies the statistics part by part and returns the number of records written.
func (w *SnapshotWriter) writeSections(add snapshots.AddFunc) (records int, err error) {
	header := headerForm{
		Name:     w.owner.Name,
		Settings: w.owner.Settings,
		Taken:    time.Now().UnixMilli(),
		Build:    w.build,
	}
	if err := encodeHeader(header, add); err != nil {
		return 0, err
	}
	part := Part{More: true}
	for part.More {
		part, err = w.source.Statistics(w.ctx, part.Next, w.limits.SnapshotPartRecords)
		if err != nil {
			return 0, err
		}
		records += part.Statistics.Len()
		if err := encodeRecords(&part.Statistics, add); err != nil {
			return 0, err
		}
		if part.More {
			w.pause()
		}
	}
	return records, nil
}

// pause waits between two parts, so that the event loop can handle queries.
func (w *SnapshotWriter) pause() {
	timer := time.NewTimer(w.limits.SnapshotPartPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.ctx.Done():
	}
}
