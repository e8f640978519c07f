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
	errShuttingDown = errors.New("the controller is ending")
)

// post has a function called by the session's goroutine. It does not wait: with a full inbox the
// function is dropped.
func (s *Service) post(f func(*session)) {
	select {
	case s.inbox <- f:
	default:
		s.counts.inboxFull.Add(1)
	}
}

// callSession has a function called by the session's goroutine, and returns its result. After errBusy or
// errShuttingDown it may have been called, or be called yet.
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

// configExecutor has the session's goroutine put requests to the configuration's replica.
type configExecutor struct{ service *Service }

// Done is closed when no session runs any more.
func (e configExecutor) Done() <-chan struct{} { return e.service.done }

// Execute has a function called by the session's goroutine, and returns once the call has begun.
// Both claim the function first, so that after an error it is not called later, when its caller has
// reported that nothing was done.
func (e configExecutor) Execute(f func(*configuration.Session)) error {
	begun := make(chan struct{})
	var claimed atomic.Bool // by the session, which calls, or by this goroutine, which gives up
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
