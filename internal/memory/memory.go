// Package memory keeps what the module learns in a folder, so that a controller that restarts starts with what still
// holds. It stands beside the loop: it asks for what was learned, a few records at a time, and writes from a goroutine
// of its own, so that no disk, however slow, holds up a command. What is believed of it is decided in core/restore,
// what is learned in the module; here is only the keeping.
package memory

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/hcl/v2"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/limits"
	"mintkeel/internal/operator/block"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// Block is the block memory of the operator's file.
type Block struct {
	Folder string
	Pace   time.Duration // between two snapshots; longer where they are large
}

// ReadBlock reads the block memory.
func ReadBlock(b *hcl.Block, sheet *block.Sheet) *Block {
	open := block.Open(b, sheet, "folder", "pace")
	read := &Block{Folder: open.Text("folder", "", true, 4096),
		Pace: open.Duration("pace", 5*time.Second, 100*time.Millisecond, time.Hour)}
	if read.Folder != "" && !filepath.IsAbs(read.Folder) {
		open.Note("folder", "is no absolute path")
	}
	return read
}

// Source is who has learned something. Learned is a part of it, as the module's; its error is that of ctx.
type Source interface {
	Learned(ctx context.Context, from router.Cursor, most int) (Part, error)
}

// Part is a part of what was learned, with where the next one begins.
type Part struct {
	Learned router.Statistics
	Next    router.Cursor
	More    bool
}

// Keeper writes snapshots until it is stopped.
type Keeper struct {
	disk   disk.Disk
	of     restore.Identity
	build  string
	source Source
	limits *limits.Limits
	log    *slog.Logger

	pace  atomic.Int64
	paced chan struct{} // the pace has changed
	last  chan struct{} // closed: write a last time, then end
	once  sync.Once
	done  chan struct{}
	ctx   context.Context
	end   context.CancelFunc

	written, failed, bytes, records, locked atomic.Int64
	writtenAt                               atomic.Int64 // ms since 1970
}

// Start begins to keep what source learns in a folder, which is of the identity's controller.
func Start(d disk.Disk, pace time.Duration, of restore.Identity, build string, source Source, l *limits.Limits,
	log *slog.Logger) *Keeper {
	ctx, end := context.WithCancel(context.Background())
	k := &Keeper{disk: d, of: of, build: build, source: source, limits: l, log: log, paced: make(chan struct{}, 1),
		last: make(chan struct{}), done: make(chan struct{}), ctx: ctx, end: end}
	k.pace.Store(int64(pace))
	go k.run()
	return k
}

// SetPace changes the time between two snapshots.
func (k *Keeper) SetPace(pace time.Duration) {
	k.pace.Store(int64(pace))
	select {
	case k.paced <- struct{}{}:
	default:
	}
}

// Last has a last snapshot written and the folder let go of. It does not wait.
func (k *Keeper) Last() { k.once.Do(func() { close(k.last) }) }

// Wait waits until the folder is let go of, or ctx ends; what is being written then is given up. A write that hangs in
// the system can't be broken off: its goroutine ends with it, or with the process.
func (k *Keeper) Wait(ctx context.Context) error {
	defer k.end()
	select {
	case <-k.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ended tells that the folder has been let go of.
func (k *Keeper) Ended() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

// LogValue prints what was kept.
func (k *Keeper) LogValue() slog.Value {
	age := int64(-1)
	if at := k.writtenAt.Load(); at > 0 {
		age = time.Now().UnixMilli() - at
	}
	return slog.GroupValue(slog.Int64("written", k.written.Load()), slog.Int64("failed", k.failed.Load()),
		slog.Int64("locked", k.locked.Load()), slog.Int64("bytes", k.bytes.Load()),
		slog.Int64("records", k.records.Load()), slog.Int64("age_ms", age))
}

// run writes a snapshot at each pace. After one that failed the pace doubles, up to a bound: a disk that is full or
// gone is tried for as long as the process lives.
func (k *Keeper) run() {
	defer close(k.done)
	var folder *snapshots.Folder
	defer func() {
		if folder != nil {
			folder.Close()
		}
	}()
	timer := time.NewTimer(k.next(0, 0))
	defer timer.Stop()
	failures, size := 0, int64(0)
	for last := false; !last; {
		select {
		case <-k.ctx.Done():
			return
		case <-k.last:
			last = true
		case <-k.paced:
			timer.Reset(k.next(failures, size))
			continue
		case <-timer.C:
		}
		var err error
		if folder, size, err = k.keep(folder); err != nil {
			if failures++; k.ctx.Err() == nil {
				k.failed.Add(1)
				k.log.Warn("memory not written", "why", err, "failures", failures)
			}
		} else {
			if failures > 0 {
				k.log.Info("memory written again", "failures", failures)
			}
			failures = 0
		}
		timer.Reset(k.next(failures, size))
	}
}

// next is the time until the next snapshot, after so many failures in a row and a file of so many bytes.
func (k *Keeper) next(failures int, size int64) time.Duration {
	pace := time.Duration(k.pace.Load())
	wait := max(pace, time.Duration(float64(size)/float64(k.limits.MemoryRate)*float64(time.Second)))
	if failures > 0 {
		wait = max(pace, min(wait<<min(failures, 10), k.limits.MemoryRetry))
	}
	return wait
}

// keep writes a snapshot, in a folder that is made and opened first if it isn't yet. One that is gone is opened anew.
func (k *Keeper) keep(folder *snapshots.Folder) (*snapshots.Folder, int64, error) {
	if folder == nil {
		if err := k.disk.Make(); err != nil {
			return nil, 0, err
		}
		opened, err := snapshots.Open(k.disk, Bounds(k.limits))
		if errors.Is(err, disk.ErrLocked) {
			k.locked.Add(1)
		}
		if err != nil {
			return nil, 0, err
		}
		folder = opened
	}
	size, err := k.write(folder)
	if errors.Is(err, fs.ErrNotExist) {
		folder.Close()
		folder = nil
	}
	return folder, size, err
}

func (k *Keeper) write(folder *snapshots.Folder) (int64, error) {
	records := 0
	size, err := folder.Write(func(add func(snapshots.Kind, []byte) error) error {
		head, err := encoder.Marshal(headForm{Name: k.of.Name, Settings: k.of.Settings, Taken: time.Now().UnixMilli(),
			Build: k.build})
		if err == nil {
			err = add(sectionHead, head)
		}
		for part := (Part{More: true}); part.More && err == nil; {
			if part, err = k.source.Learned(k.ctx, part.Next, k.limits.MemoryPart); err != nil {
				break
			}
			records += part.Learned.Len()
			if err = encode(&part.Learned, add); err == nil && part.More {
				k.rest()
			}
		}
		return err
	})
	if err == nil {
		k.written.Add(1)
		k.bytes.Add(size)
		k.records.Store(int64(records))
		k.writtenAt.Store(time.Now().UnixMilli())
	}
	return size, err
}

// rest leaves the loop to its commands between two parts.
func (k *Keeper) rest() {
	timer := time.NewTimer(k.limits.MemoryRest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.ctx.Done():
	}
}

// Restore reads a folder for a controller that starts, in a bounded time: a disk that hangs must not keep it from
// serving. It returns nil if there is nothing to be believed, and logs why.
func Restore(d disk.Disk, l *limits.Limits, log *slog.Logger) *Kept {
	type found struct {
		kept   *Kept
		trials []Trial
		err    error
	}
	reply := make(chan found, 1)
	go func() { // ends with the system's reads; its reply waits for nobody
		kept, trials, err := Load(d, Bounds(l))
		reply <- found{kept, trials, err}
	}()
	timer := time.NewTimer(l.MemoryRead)
	defer timer.Stop()
	select {
	case <-timer.C:
		log.Warn("memory not read in time: starting without", "after", l.MemoryRead)
		return nil
	case f := <-reply:
		for _, t := range f.trials {
			if t.Err != nil {
				log.Warn("snapshot can't be used whole", "file", t.File, "why", t.Err)
			}
		}
		if f.err != nil {
			log.Info("nothing is remembered", "why", f.err)
		}
		return f.kept
	}
}
