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

// readinessPollInterval is how often Wait polls the readiness.
const readinessPollInterval = 20 * time.Millisecond

// maxProblemBytes bounds the text about the problems of a document.
const maxProblemBytes = 16 << 10

// Errors of Manager.Apply; the version in force stays in force.
var (
	ErrOlderVersion        = errors.New("a later version is in force")
	ErrConflictingDocument = errors.New("another document of this number is in force")
)

// Applied is a version that the host has applied, or is to apply.
type Applied struct {
	Generation uint64 // of the fleet
	Version    config.Version
	Document   []byte
}

// Manager has the host check documents and apply versions. It outlives sessions and is safe for
// concurrent use.
type Manager struct {
	host      *Host
	disk      disk.Disk               // the folder of versions
	checking  sync.Mutex              // held during a call of Host.Check
	applying  chan struct{}           // full during a call of Host.Apply
	applied   atomic.Pointer[Applied] // last version that Host.Apply applied; nil if none
	readiness atomic.Pointer[config.Readiness]
	counters  atomic.Pointer[config.Counters]
	lastRef   atomic.Uint64 // number of the last request to the replica

	stored      atomic.Int64 // successful writes
	storeFailed atomic.Int64 // failed writes
	damaged     atomic.Int64 // damaged files dropped when the folder was opened
}

// NewManager returns a manager that stores versions on a disk.
func NewManager(host *Host, d disk.Disk) *Manager {
	return &Manager{host: host, disk: d, applying: make(chan struct{}, 1)}
}

// NewFolderManager returns a manager that stores versions in the fleet's folder; nil for a nil
// host.
func NewFolderManager(host *Host, folder string) *Manager {
	if host == nil {
		return nil
	}
	return NewManager(host, disk.Folder(filepath.Join(folder, FolderName)))
}

// check returns why a document can't be used here; nil if it can. A panic of the host's parser
// fails the check.
func (m *Manager) check(document []byte) (err error) {
	m.checking.Lock()
	defer m.checking.Unlock()
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("panic while checking the document: %v", recovered)
		}
	}()
	return m.host.Check(document)
}

// problemText returns the text of a document's problems, truncated to maxProblemBytes.
func problemText(err error) string {
	text := err.Error()
	return text[:min(len(text), maxProblemBytes)]
}

// Apply has the host apply a version, one call at a time. It returns nil at once if this version is
// in force already, ErrOlderVersion if a later one of the generation is, and ErrConflictingDocument
// if another document of this number is.
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
			err = fmt.Errorf("panic while applying the version: %v", recovered)
		}
	}()
	if err := m.host.Apply(next.Version, next.Document); err != nil {
		return err
	}
	m.applied.Store(&next)
	return nil
}

// reserveApply waits until no call of Host.Apply is in progress. It returns false if the context
// ends first.
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

// Close waits for a call of Host.Apply in progress and prevents further ones. The wait is bounded
// by ApplyGrace, as the call may wait for the goroutine that closes the service. Close does nothing
// on a nil Manager.
func (m *Manager) Close() {
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ApplyGrace)
	defer cancel()
	m.reserveApply(ctx)
}

// Readiness returns the version in force here, and whether it is confirmed to be the latest. It is
// zero for a nil Manager, as there is no config block.
func (m *Manager) Readiness() config.Readiness {
	if m == nil {
		return config.Readiness{}
	}
	if last := m.readiness.Load(); last != nil {
		return *last
	}
	return config.Readiness{}
}

// setUnconfirmed records that the version in force is no longer confirmed to be the latest.
func (m *Manager) setUnconfirmed() {
	last := m.Readiness()
	last.Confirmed = false
	m.readiness.Store(&last)
}

// Wait waits until the version in force here is confirmed to be the latest, the context ends or
// done is closed, and returns the version in force. It returns at once for a nil Manager.
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

// StoreFailures returns the number of failed writes.
func (m *Manager) StoreFailures() int64 { return m.storeFailed.Load() }

// DamagedFiles returns the number of damaged files dropped when the folder was opened, over all
// sessions.
func (m *Manager) DamagedFiles() int64 { return m.damaged.Load() }

// LogValue returns the counts as log attributes.
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
