package configuration

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/node"
)

const (
	applyStoredAttempts = 5                      // attempts to apply the folder's version at a start
	applyStoredBackoff  = 200 * time.Millisecond // between two attempts
)

// OpenSession reads the folder, applies the version that the folder's record names, and returns the
// state that the core starts with. It waits for the disk and for Host.Apply until the context ends.
// For a nil Manager all results are nil. The caller must close a session that was opened, even if
// the core does not start.
func (m *Manager) OpenSession(
	ctx context.Context, environment Environment,
) (*Session, *node.FleetConfig, error) {
	if m == nil {
		return nil, nil, nil
	}
	s := &Session{
		Environment: environment,
		manager:     m,
		ctx:         ctx,
		checked:     make(chan Check, 1),
		stored:      make(chan error, 1),
		applied:     make(chan error, 1),
		waiters:     map[uint64]waiter{},
	}
	stored, err := s.open()
	if err != nil {
		s.Close()
		return nil, nil, fmt.Errorf("configuration folder: %w", err)
	}
	return s, &node.FleetConfig{Stored: stored}, nil
}

func (s *Session) open() (config.StoredState, error) {
	contents, err := s.openFolder()
	if err != nil {
		return config.StoredState{}, err
	}
	s.manager.damaged.Add(int64(contents.damaged))
	if contents.damaged > 0 {
		s.Log.Error("fleet: stored configuration was damaged, and is dropped", "files", contents.damaged)
	}
	s.applyStored(contents)
	stored, err := s.storedState(contents)
	if err != nil {
		return stored, err
	}
	s.manager.readiness.Store(&config.Readiness{
		Number: stored.Current.Number,
		Latest: stored.Current.Number,
	})
	return stored, nil
}

// openFolder opens the folder, or gives up when the service closes. In that case it does not wait
// for a disk that hangs, and closes the folder if it is opened after all.
func (s *Session) openFolder() (Contents, error) {
	type opened struct {
		folder   *Folder
		contents Contents
		err      error
	}
	result := make(chan opened, 1)
	go func() {
		var o opened
		o.folder, o.contents, o.err = OpenFolder(s.manager.disk, s.Generation)
		if o.err == nil {
			o.err = s.FleetFolder.Sync() // makes the folder's own directory entry durable
		}
		result <- o
	}()
	select {
	case o := <-result:
		s.folder = o.folder
		return o.contents, o.err
	case <-s.ctx.Done():
		go func() {
			if o := <-result; o.folder != nil {
				o.folder.Close()
			}
		}()
		return Contents{}, errShuttingDown
	}
}

// applyStored applies the version that the folder has. If that fails, the version in force stays in
// force: the replica requests the stored version again, or rejects it, once it knows of it.
func (s *Session) applyStored(contents Contents) {
	if contents.record == nil {
		return
	}
	record := *contents.record
	next := Applied{
		Generation: record.Generation,
		Version:    record.Version,
		Document:   contents.document,
	}
	for attempt := 1; ; attempt++ {
		result := make(chan error, 1)
		go func() { result <- s.manager.Apply(s.ctx, next) }()
		var err error
		select {
		case err = <-result:
		case <-s.ctx.Done():
			return
		}
		switch {
		case err == nil || errors.Is(err, ErrOlderVersion):
			return
		case !errors.Is(err, ErrRetryable) || attempt == applyStoredAttempts:
			s.Log.Error("fleet: the stored version of the configuration can't be used",
				"version", record.Version.Number, "generation", record.Generation, "why", problemText(err))
			return
		}
		select {
		case <-time.After(applyStoredBackoff):
		case <-s.ctx.Done():
			return
		}
	}
}

// storedState returns the state that the replica starts with: the version in force here, without
// versions of another generation. It first stores that version if the folder lacks it, as an
// earlier session may have applied it before its folder failed.
func (s *Session) storedState(contents Contents) (config.StoredState, error) {
	state := config.StoredState{Documents: contents.documents}
	inForce := s.manager.applied.Load()
	if inForce == nil || inForce.Generation != s.Generation {
		return state, nil
	}
	v := inForce.Version
	state.Current = v
	request := config.StoreRequest{Hash: v.Hash}
	if state.Documents[v.Hash] == nil {
		request.Document = inForce.Document
		state.Documents[v.Hash] = inForce.Document
	}
	if !contents.record.atLeast(s.Generation, v) {
		request.Current = &v
	}
	if request.Document == nil && request.Current == nil {
		return state, nil
	}
	s.beginStore(&request)
	select {
	case err := <-s.stored:
		s.storing = false
		return state, err
	case <-s.ctx.Done():
		return state, errShuttingDown
	}
}
