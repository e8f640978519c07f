package configuration

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/store/disk"
)

// ApplyGrace is the time for which Close waits for a call of Host.Apply.
const ApplyGrace = 2 * time.Second

// readinessPollInterval is the interval between two looks of Wait.
const readinessPollInterval = 20 * time.Millisecond

// maxProblemBytes bounds the text on a document that can't be used.
const maxProblemBytes = 16 << 10

// Errors of Apply: what is in use stays.
var (
	ErrOlderVersion        = errors.New("a later version is in force")
	ErrConflictingDocument = errors.New("another document of this number is in force")
)

// Applied is a version that the program has in use, or is to take.
type Applied struct {
	Generation uint64 // of the fleet
	Version    config.Version
	Document   []byte
}

// Manager has documents checked, and versions taken into use, by the program. It outlives sessions;
// any goroutine may call it.
type Manager struct {
	host      *Host
	disk      disk.Disk               // of the folder of versions
	checking  sync.Mutex              // one call of Host.Check at a time
	applying  chan struct{}           // holds one while Host.Apply is called
	applied   atomic.Pointer[Applied] // what Host.Apply took last; nil: nothing yet
	readiness atomic.Pointer[config.Readiness]
	counters  atomic.Pointer[config.Counters]
	lastRef   atomic.Uint64 // number of the last request to the replica

	stored      atomic.Int64 // writes
	storeFailed atomic.Int64 // writes that failed
	damaged     atomic.Int64 // files that were dropped when the folder was opened
}

// NewManager stores versions on a disk.
func NewManager(host *Host, d disk.Disk) *Manager {
	return &Manager{host: host, disk: d, applying: make(chan struct{}, 1)}
}

// NewFolderManager stores versions in the fleet's folder; nil where there is no host.
func NewFolderManager(host *Host, folder string) *Manager {
	if host == nil {
		return nil
	}
	return NewManager(host, disk.Folder(filepath.Join(folder, FolderName)))
}

// check returns why a document can't be used here; nil: it can. A parser that panics ends no more
// than the check.
func (m *Manager) check(document []byte) (err error) {
	m.checking.Lock()
	defer m.checking.Unlock()
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("the check failed: %v", recovered)
		}
	}()
	return m.host.Check(document)
}

// problemText is the text of a document's problems, within a bound.
func problemText(err error) string {
	text := err.Error()
	return text[:min(len(text), maxProblemBytes)]
}

// Apply has the host take a version into use, unless that or a later one of the generation is
// (ErrOlderVersion, ErrConflictingDocument). One call is made at a time.
func (m *Manager) Apply(ctx context.Context, next Applied) (err error) {
	if !m.reserveApply(ctx) {
		return context.Cause(ctx)
	}
	defer m.releaseApply()
	if inForce := m.applied.Load(); inForce != nil && inForce.Generation == next.Generation {
		switch {
		case next.Version.Number < inForce.Version.Number:
			return ErrOlderVersion
		case next.Version.Number == inForce.Version.Number && next.Version.Hash != inForce.Version.Hash:
			return ErrConflictingDocument
		case next.Version.Number == inForce.Version.Number:
			return nil
		}
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("taking it into use failed: %v", recovered)
		}
	}()
	if err := m.host.Apply(next.Version, next.Document); err != nil {
		return err
	}
	m.applied.Store(&next)
	return nil
}

// reserveApply waits until no call of Host.Apply is under way; false if the context ends before.
func (m *Manager) reserveApply(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case m.applying <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) releaseApply() { <-m.applying }

// Close waits for a call of Host.Apply, for a bounded time, as that call may wait for the goroutine
// that closes the service. No call is made after it. A nil Manager has nothing to close.
func (m *Manager) Close() {
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ApplyGrace)
	defer cancel()
	m.reserveApply(ctx)
}

// Readiness returns which version is in force here, and whether it is known to be the latest. It is
// zero for a nil Manager: there is no block config.
func (m *Manager) Readiness() config.Readiness {
	if m == nil {
		return config.Readiness{}
	}
	if last := m.readiness.Load(); last != nil {
		return *last
	}
	return config.Readiness{}
}

// setUnconfirmed notes that it is not known any more whether the version in force is the latest.
func (m *Manager) setUnconfirmed() {
	last := m.Readiness()
	last.Confirmed = false
	m.readiness.Store(&last)
}

// Wait waits until the latest version is known to be in force here, the context ends or done is
// closed, and returns which is in force. It returns at once for a nil Manager.
func (m *Manager) Wait(ctx context.Context, done <-chan struct{}) config.Readiness {
	if m == nil {
		return config.Readiness{}
	}
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for {
		if last := m.Readiness(); last.Confirmed {
			return last
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return m.Readiness()
		case <-done:
			return m.Readiness()
		}
	}
}

// StoreFailures is how many writes have failed.
func (m *Manager) StoreFailures() int64 { return m.storeFailed.Load() }

// DamagedFiles is how many files were dropped when the folder was opened, in all sessions.
func (m *Manager) DamagedFiles() int64 { return m.damaged.Load() }

// LogValue prints the counts.
func (m *Manager) LogValue() slog.Value {
	last := m.Readiness()
	var counts config.Counters
	if counted := m.counters.Load(); counted != nil {
		counts = *counted
	}
	return slog.GroupValue(
		slog.Uint64("in_force", last.Number),
		slog.Uint64("latest", last.Latest),
		slog.Bool("confirmed", last.Confirmed),
		slog.Int64("applied", counts.Applied),
		slog.Int64("refused", counts.Rejected),
		slog.Int64("conflicts", counts.Conflicts),
		slog.Int64("corrupt", counts.Corrupt),
		slog.Int64("fetched_bytes", counts.FetchedBytes),
		slog.Int64("served_bytes", counts.ServedBytes),
		slog.Int64("pushed", counts.Pushed),
		slog.Int64("stored", m.stored.Load()),
		slog.Int64("store_failed", m.storeFailed.Load()),
		slog.Int64("files_damaged", m.damaged.Load()),
	)
}
