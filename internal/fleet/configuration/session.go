package configuration

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/store/disk"
)

const (
	storeGrace       = time.Second // how long the end of a session waits for a write
	maxWaiters       = 32          // operators' requests that wait at once
	loggedHashDigits = 12          // logged digits of a hash
)

// Core is what a session needs of the core: it calls a function with the configuration's replica
// and then processes the replica's outputs.
type Core interface {
	WithConfig(now float64, use func(*config.Replica))
}

// Environment is what the service provides to a session.
type Environment struct {
	Generation  uint64    // of the fleet
	FleetFolder disk.Disk // the fleet's folder, which contains the folder of versions
	Now         func() float64
	Log         *slog.Logger
}

// Session is the configuration's part of one run of the core. The goroutine of the service's
// session owns it. Without a config block the Session is nil: its methods do nothing and its
// channels deliver nothing.
type Session struct {
	Environment
	manager     *Manager
	ctx         context.Context // ends with the service
	core        Core
	folder      *Folder           // nil while it is not open
	checked     chan Check        // result of the pending CheckRequest
	stored      chan error        // result of the pending StoreRequest
	applied     chan error        // result of the pending ApplyRequest
	storing     bool              // a StoreRequest is pending
	lastRefused config.Version    // the last that was logged as refused
	waiters     map[uint64]waiter // by the request's number
}

// Check is the result of the check of a document.
type Check struct {
	hash config.Hash
	err  error // why the document can't be used here; nil if it can
}

// waiter is a request that waits for the replica's answer.
type waiter struct {
	reply chan Reply // has room for the one reply
	until float64    // ms of the monotonic clock
}

// Start sets the core that the session works with.
func (s *Session) Start(core Core) {
	if s != nil {
		s.core = core
	}
}

// Checked delivers the results of checks, for CheckEnded.
func (s *Session) Checked() <-chan Check {
	if s == nil {
		return nil
	}
	return s.checked
}

// Stored delivers the results of writes, for StoreEnded.
func (s *Session) Stored() <-chan error {
	if s == nil {
		return nil
	}
	return s.stored
}

// Applied delivers the results of calls of Manager.Apply, for ApplyEnded.
func (s *Session) Applied() <-chan error {
	if s == nil {
		return nil
	}
	return s.applied
}

// Waiting returns the number of requests that wait for an answer of the replica.
func (s *Session) Waiting() int {
	if s == nil {
		return 0
	}
	return len(s.waiters)
}

// HandleOutput starts the operations that the replica requests and delivers its answers to the
// waiting requests.
func (s *Session) HandleOutput(out config.Output) {
	if s == nil {
		return
	}
	if out.Check != nil {
		s.beginCheck(out.Check)
	}
	if out.Store != nil {
		s.beginStore(out.Store)
	}
	if out.Apply != nil {
		s.beginApply(out.Apply)
	}
	for _, result := range out.ProposalResults {
		s.reply(result.Ref, Reply{proposal: &result})
	}
	for _, result := range out.QueryResults {
		s.reply(result.Ref, Reply{query: &result})
	}
	for _, result := range out.DocumentResults {
		s.reply(result.Ref, Reply{document: &result})
	}
}

// beginCheck starts checking a document that this controller is to apply or to propose. The core
// has one CheckRequest pending at a time.
func (s *Session) beginCheck(request *config.CheckRequest) {
	go func() { s.checked <- Check{request.Hash, s.manager.check(request.Document)} }()
}

// beginStore starts a write. The core has one StoreRequest pending at a time.
func (s *Session) beginStore(request *config.StoreRequest) {
	s.storing = true
	go func() { s.stored <- s.folder.Store(request) }()
}

// beginApply starts applying a version. The core has one ApplyRequest pending at a time.
func (s *Session) beginApply(request *config.ApplyRequest) {
	next := Applied{Generation: s.Generation, Version: request.Version, Document: request.Document}
	go func() { s.applied <- s.manager.Apply(s.ctx, next) }()
}

// CheckEnded passes the result of a CheckRequest to the replica.
func (s *Session) CheckEnded(check Check) {
	if check.err != nil {
		s.Log.Warn("fleet: configuration document can't be used here",
			"hash", check.hash.String(), "why", problemText(check.err))
	}
	s.core.WithConfig(s.Now(), func(r *config.Replica) { r.Checked(s.Now(), check.hash, check.err) })
}

// StoreEnded passes the result of a StoreRequest to the replica.
func (s *Session) StoreEnded(err error) {
	s.storing = false
	if err != nil {
		s.manager.storeFailed.Add(1)
		s.Log.Warn("fleet: configuration is not stored", "why", err)
	} else {
		s.manager.stored.Add(1)
	}
	s.core.WithConfig(s.Now(), func(r *config.Replica) { r.Stored(s.Now(), err) })
}

// ApplyEnded passes the result of an ApplyRequest to the replica.
func (s *Session) ApplyEnded(err error) {
	retryable := errors.Is(err, ErrRetryable)
	if err != nil {
		s.Log.Warn("fleet: configuration version not applied",
			"tried_again", retryable, "why", problemText(err))
	}
	s.core.WithConfig(s.Now(), func(r *config.Replica) { r.Applied(s.Now(), err, retryable) })
	s.Observe()
}

// Observe publishes the replica's readiness and counters, and ends the waits that have timed out.
// The service calls it on each tick.
func (s *Session) Observe() {
	if s == nil {
		return
	}
	s.core.WithConfig(s.Now(), func(r *config.Replica) {
		readiness := r.Readiness()
		counters := r.Counters()
		s.manager.readiness.Store(&readiness)
		s.manager.counters.Store(&counters)
		s.logRefused(r)
	})
	for ref, w := range s.waiters {
		if s.Now() >= w.until {
			s.reply(ref, Reply{err: errTimeout})
		}
	}
}

// logRefused logs the last version that can't be used here, once.
func (s *Session) logRefused(r *config.Replica) {
	v, reason := r.Rejected()
	if v.Number == s.lastRefused.Number && v.Hash == s.lastRefused.Hash {
		return
	}
	s.lastRefused = v
	s.Log.Error("configuration version refused", "version", v.Number, "hash",
		v.Hash.String()[:loggedHashDigits], "author", v.Author, "reason", v.Reason, "why", reason)
}

// submit submits a request to the replica and registers its waiter.
func (s *Session) submit(ref uint64, w waiter, timeout time.Duration, request ReplicaRequest) {
	if len(s.waiters) >= maxWaiters {
		w.reply <- Reply{err: errTooManyRequests}
		return
	}
	w.until = s.Now() + float64(timeout)/float64(time.Millisecond)
	s.waiters[ref] = w
	s.core.WithConfig(s.Now(), func(r *config.Replica) { request(s.Now(), ref, r) })
}

// reply delivers an answer to the request that waits for it.
func (s *Session) reply(ref uint64, reply Reply) {
	if w, ok := s.waiters[ref]; ok {
		delete(s.waiters, ref)
		w.reply <- reply
	}
}

// Close ends the waits of operators' requests and unlocks the folder once the last write has ended.
// It waits for a write, but not for a disk that hangs: in that case the folder stays locked by this
// process. The version in force stays in force, but is no longer confirmed to be the latest.
func (s *Session) Close() {
	if s == nil {
		return
	}
	s.manager.setUnconfirmed()
	for ref := range s.waiters {
		s.reply(ref, Reply{err: ErrRestarted})
	}
	switch {
	case s.folder == nil:
	case s.storing:
		s.closeAfterWrite()
	default:
		s.folder.Close()
	}
}

// closeAfterWrite closes the folder once the write in progress has ended, and waits for that for at
// most storeGrace.
func (s *Session) closeAfterWrite() {
	written := make(chan struct{})
	go func() {
		<-s.stored
		s.folder.Close()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(storeGrace):
	}
}
