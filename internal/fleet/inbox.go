package fleet

import (
	"errors"
	"sync/atomic"
	"time"

	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
)

// Errors of requests.
var (
	errBusy         = errors.New("the controller does not answer in time")
	errShuttingDown = errors.New("the controller is shutting down")
)

// post enqueues a function for the session's goroutine. It does not block: if the inbox is full,
// the function is dropped.
func (s *Service) post(f func(*session)) {
	select {
	case s.inbox <- f:
	default:
		s.counts.inboxFull.Add(1)
	}
}

// callSession calls a function on the session's goroutine and returns its result. After errBusy or
// errShuttingDown the function may have been called, or may still be.
func callSession[T any](s *Service, timeout time.Duration, f func(*session) T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case s.inbox <- func(session *session) { reply <- f(session) }:
	case <-timer.C:
		return zero, errBusy
	case <-s.ctx.Done():
		return zero, errShuttingDown
	}
	select {
	case result := <-reply:
		return result, nil
	case <-timer.C:
		return zero, errBusy
	case <-s.done:
		return zero, errShuttingDown
	}
}

// configExecutor submits requests to the configuration's replica on the session's goroutine.
type configExecutor struct{ service *Service }

// Done returns a channel that is closed once the last session has ended.
func (e configExecutor) Done() <-chan struct{} { return e.service.done }

// Execute calls a function on the session's goroutine and returns once the call has begun. Either
// side has to claim the function first: the session to call it, or this goroutine to give up. So
// after an error it is never called, and the caller may report that nothing was done.
func (e configExecutor) Execute(f func(*configuration.Session)) error {
	begun := make(chan struct{})
	var claimed atomic.Bool // by the session, to call, or by this goroutine, to give up
	call := func(session *session) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		close(begun)
		f(session.config)
	}
	timer := time.NewTimer(control.Timeout)
	defer timer.Stop()
	select {
	case e.service.inbox <- call:
	case <-timer.C:
		return errBusy
	case <-e.service.done:
		return errBusy
	}
	select {
	case <-begun:
	case <-timer.C:
	case <-e.service.done:
	}
	if claimed.CompareAndSwap(false, true) {
		return errBusy
	}
	return nil
}
