package main

import (
	"context"
	"slices"
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/memory"
	"mintkeel/internal/settings"
	"mintkeel/internal/store/disk"
	"mintkeel/router"
)

// identity identifies this controller's snapshots. Those of another identity are not restored.
func (d *daemon) identity() restore.Identity {
	return restore.Identity{Name: d.config.Name, Settings: settings.Flatten(d.config.Settings).Hash()}
}

// restoreSnapshot reads the statistics of an earlier run and passes them to the event loop. Those
// that are still valid are restored once the first engines are listed.
func (d *daemon) restoreSnapshot() {
	stored := memory.LoadWithTimeout(disk.Folder(d.file.Memory.Folder), d.limits, d.log)
	if stored == nil {
		return
	}
	d.hasOwnSnapshot = true
	d.loop.RestoreOnFirstEndpoints(func(endpoints []router.Endpoint) router.Statistics {
		now := float64(time.Now().UnixMicro()) / 1e3
		statistics, counts := restore.Select(
			&stored.Snapshot, d.identity(), endpoints, now, restore.DefaultHalfLives())
		// The keys of the counts are those of mintkeel memory show --json.
		d.log.Info("restored statistics from snapshot",
			"file", stored.File,
			"age_ms", int64(now-stored.TakenAt),
			"believed", counts.Restored,
			"aged", counts.Expired,
			"future", counts.FromFuture,
			"unknown", counts.UnknownEngines,
			"wrong", counts.Invalid,
			"foreign", counts.Foreign)
		return statistics
	})
}

// replaceSnapshotWriter switches from the block memory of one file to that of another; nil stands
// for off. If only the interval differs, the writer stays; otherwise the previous one writes a
// final snapshot and stops by itself.
func (d *daemon) replaceSnapshotWriter(from, to *memory.Block) {
	if from != nil && to != nil && from.Folder == to.Folder {
		d.snapshotWriter.SetInterval(to.Interval)
		return
	}
	if d.snapshotWriter != nil {
		d.snapshotWriter.Stop()
		d.stoppingWriters = append(d.stoppingWriters, d.snapshotWriter)
		d.snapshotWriter = nil
	}
	if to != nil {
		d.snapshotWriter = memory.StartSnapshotWriter(
			disk.Folder(to.Folder), to.Interval, d.identity(), readBuildInfo().String(), d.loop, d.limits,
			d.log)
	}
}

// awaitSnapshotWriters waits for the final snapshots, until a time at most.
func (d *daemon) awaitSnapshotWriters(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	writers := d.stoppingWriters
	if d.snapshotWriter != nil {
		writers = append(writers, d.snapshotWriter)
	}
	for _, w := range writers {
		if err := w.Wait(ctx); err != nil {
			d.log.Warn("final snapshot not written in time", "why", err)
		}
	}
}

// maxStoppingWriters bounds the number of stopping writers: reloads may follow each other quickly
// while a disk hangs.
const maxStoppingWriters = 8

// forgetStoppedWriters drops writers that have stopped and, from maxStoppingWriters on, the oldest.
func (d *daemon) forgetStoppedWriters() {
	d.stoppingWriters = slices.DeleteFunc(d.stoppingWriters, (*memory.SnapshotWriter).Stopped)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	for len(d.stoppingWriters) >= maxStoppingWriters {
		d.stoppingWriters[0].Wait(expired)
		d.stoppingWriters = d.stoppingWriters[1:]
	}
}
