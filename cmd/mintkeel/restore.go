package main

import (
	"context"
	"time"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/memory"
	"mintkeel/internal/settings"
	"mintkeel/internal/store/disk"
	"mintkeel/router"
)

// identity tells whose memory this controller's is.
func (d *daemon) identity() restore.Identity {
	return restore.Identity{Name: d.start.Name, Settings: settings.Flatten(d.start.Settings).Sum()}
}

// restoreSnapshot has the loop told what an earlier run has learned, once the first engines are listed.
func (d *daemon) restoreSnapshot() {
	kept := memory.Restore(disk.Folder(d.file.Memory.Folder), d.limits, d.log)
	if kept == nil {
		return
	}
	d.remembers = true
	d.loop.SetRestore(func(list []router.Endpoint) router.Statistics {
		now := float64(time.Now().UnixMicro()) / 1e3
		learned, account := restore.Select(&kept.Memory, d.identity(), list, now, restore.DefaultHalfLives())
		d.log.Info("remembered", "file", kept.File, "age_ms", int64(now-kept.Taken), "believed", account.Believed,
			"aged", account.Aged, "future", account.Future, "unknown", account.Unknown, "wrong", account.Wrong,
			"foreign", account.Foreign)
		return learned
	})
}

// keep changes over from what is kept by one block to what is kept by another; nil stands for off.
func (d *daemon) keep(from, to *memory.Block) {
	if from != nil && to != nil && from.Folder == to.Folder {
		d.keeper.SetPace(to.Pace)
		return
	}
	if d.keeper != nil { // it ends by itself, with a last snapshot
		d.keeper.Last()
		d.gone, d.keeper = append(d.gone, d.keeper), nil
	}
	if to != nil {
		d.keeper = memory.Start(disk.Folder(to.Folder), to.Pace, d.identity(), built().String(), d.loop, d.limits, d.log)
	}
}

// letGo waits for folders to be let go of, as long as there is time.
func (d *daemon) letGo(end time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	keepers := d.gone
	if d.keeper != nil {
		keepers = append(keepers, d.keeper)
	}
	for _, k := range keepers {
		if err := k.Wait(ctx); err != nil {
			d.log.Warn("memory not written in time at the end", "why", err)
		}
	}
}

// mostGone bounds the keepers that are letting go of their folders, against reloads in quick turn on a disk that hangs.
const mostGone = 8

// prune forgets keepers that have ended and, past a bound, gives up the oldest.
func (d *daemon) prune() {
	now, cancel := context.WithCancel(context.Background())
	cancel()
	for i := 0; i < len(d.gone); {
		if d.gone[i].Ended() {
			d.gone = append(d.gone[:i], d.gone[i+1:]...)
			continue
		}
		i++
	}
	for len(d.gone) >= mostGone {
		d.gone[0].Wait(now)
		d.gone = d.gone[1:]
	}
}
