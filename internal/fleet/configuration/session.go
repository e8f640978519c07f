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
	storeGrace       = time.Second // for which the end of a session waits for a write
	maxWaiters       = 32          // requests of operators at once
	loggedHashDigits = 12          // digits of a hash in the log
)

// Core is what a session needs of the core: to call a function with the configuration's replica,
// and to carry out what follows from it.
type Core interface {
	WithConfig(now float64, use func(*config.Replica))
}

// Environment is what a session is given of the service.
type Environment struct {
	Generation  uint64    // of the fleet
	FleetFolder disk.Disk // the fleet's folder, in which the folder of versions lies
	Now         func() float64
	Log         *slog.Logger
}

// Session is the part of one run of the core. It belongs to the goroutine of the service's session.
// Without a block config the Session is nil: its methods do nothing, its channels deliver nothing.
type Session struct {
	Environment
	manager     *Manager
	ctx         context.Context // ends with the service
	core        Core
	folder      *Folder           // nil: not open
	checked     chan Check        // answers the CheckRequest that is out
	stored      chan error        // answers the StoreRequest that is out
	applied     chan error        // answers the ApplyRequest that is out
	storing     bool              // a StoreRequest is out
	lastRefused config.Version    // the last that was logged as refused
	waiters     map[uint64]waiter // by the request's number
}

// Check is how the check of a document ended.
type Check struct {
	hash config.Hash
	err  error // nil: the document can be used here
}

// waiter is a request that waits for the replica's answer.
type waiter struct {
	reply chan Reply // has room for the one reply
	until float64    // ms of the steady clock
}

// Start has the session work with a core.
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

// Applied delivers the results of versions that were to be applied, for ApplyEnded.
func (s *Session) Applied() <-chan error {
	if s == nil {
		return nil
	}
	return s.applied
}

// Waiting is how many requests wait for an answer of the replica.
func (s *Session) Waiting() int {
	if s == nil {
		return 0
	}
	return len(s.waiters)
}

// HandleOutput begins what the replica asks for, and hands its answers to the requests that wait.
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

// beginCheck checks a document that this controller is to take, or to have agreed on, beside the
// core, which has one CheckRequest out at a time.
func (s *Session) beginCheck(request *config.CheckRequest) {
	go func() { s.checked <- Check{request.Hash, s.manager.check(request.Document)} }()
}

// beginStore writes beside the core, which has one StoreRequest out at a time.
func (s *Session) beginStore(request *config.StoreRequest) {
	s.storing = true
	go func() { s.stored <- s.folder.Store(request) }()
}

// beginApply applies beside the core, which has one ApplyRequest out at a time.
func (s *Session) beginApply(request *config.ApplyRequest) {
	next := Applied{Generation: s.Generation, Version: request.Version, Document: request.Document}
	go func() { s.applied <- s.manager.Apply(s.ctx, next) }()
}

// CheckEnded takes in the answer to a CheckRequest.
func (s *Session) CheckEnded(check Check) {
	if check.err != nil {
		s.Log.Warn("fleet: a document of the configuration can't be used here",
			"hash", check.hash.String(), "why", problemText(check.err))
	}
	s.core.WithConfig(s.Now(), func(r *config.Replica) { r.Checked(s.Now(), check.hash, check.err) })
}

// StoreEnded takes in the answer to a StoreRequest.
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

// ApplyEnded takes in the answer to an ApplyRequest.
func (s *Session) ApplyEnded(err error) {
	retryable := errors.Is(err, ErrRetryable)
	if err != nil {
		s.Log.Warn("fleet: a version of the configuration is not in force here",
			"tried_again", retryable, "why", problemText(err))
	}
	s.core.WithConfig(s.Now(), func(r *config.Replica) { r.Applied(s.Now(), err, retryable) })
	s.Observe()
}

// Observe notes the state of the replica for reports, and ends waits that took too long. It is
// called with each tick.
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

// logRefused logs a version that can't be used here, once.
func (s *Session) logRefused(r *config.Replica) {
	v, reason := r.Rejected()
	if v.Number == s.lastRefused.Number && v.Hash == s.lastRefused.Hash {
		return
	}
	s.lastRefused = v
	s.Log.Error("configuration version refused", "version", v.Number, "hash",
		v.Hash.String()[:loggedHashDigits], "author", v.Author, "reason", v.Reason, "why", reason)
}

// submit puts a request to the replica.
func (s *Session) submit(ref uint64, w waiter, timeout time.Duration, request ReplicaRequest) {
	if len(s.waiters) >= maxWaiters {
		w.reply <- Reply{err: errTooManyRequests}
		return
	}
	w.until = s.Now() + float64(timeout)/float64(time.Millisecond)
	s.waiters[ref] = w
	s.core.WithConfig(s.Now(), func(r *config.Replica) { request(s.Now(), ref, r) })
}

// reply hands an answer to the request that waits for it.
func (s *Session) reply(ref uint64, reply Reply) {
	if w, ok := s.waiters[ref]; ok {
		delete(s.waiters, ref)
		w.reply <- reply
	}
}

// Close ends what operators wait for, and lets the folder go once the last write is over. It waits
// for a write, but not for a disk that hangs: then the folder stays locked by this process. What is
// in force stays; whether it is the latest is not known any more.
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

// closeAfterWrite closes the folder once the write that is under way has ended, and waits for that
// for a bounded time.
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
