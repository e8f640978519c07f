package clients

import (
	"time"

	"mintkeel/internal/socket"
)

const (
	// quietLooks is the number of looks in a quiet period.
	quietLooks = 20
	// shutdownLookInterval is the time between two looks of Shutdown at the sessions.
	shutdownLookInterval = 10 * time.Millisecond
)

// recordPipelinedQuery records that data of a client was seen behind an open query.
func (s *Server) recordPipelinedQuery(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastQueryAt = now
}

// AwaitQuiet waits until, for a quiet period, no query has arrived and no answer has been pending.
// It gives up at the given time.
//
// The quiet period is a number of looks and not a time: while the process has no turn, nothing is
// looked at, and what comes meanwhile is found unread by the next look.
func (s *Server) AwaitQuiet(quiet time.Duration, until time.Time) {
	giveUp := time.NewTimer(time.Until(until))
	defer giveUp.Stop()
	look := time.NewTicker(quiet / quietLooks)
	defer look.Stop()
	lastLook := time.Now()
	for quietFor := 0; quietFor < quietLooks; {
		select {
		case <-giveUp.C:
			return
		case <-look.C:
		}
		now := time.Now()
		quietFor++
		if s.activeSince(lastLook) {
			quietFor = 0
		}
		lastLook = now
	}
}

// activeSince reports whether a query has arrived since a time, read or unread, or an answer is
// pending.
func (s *Server) activeSince(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busySessions > 0 || s.lastQueryAt.After(at) {
		return true
	}
	return s.hasSessionInput()
}

// hasSessionInput reports whether a session that is not being closed has input that is not handled.
// mu is held.
func (s *Server) hasSessionInput() bool {
	for _, ses := range s.sessions {
		if !ses.closing.Load() && ses.conn.HasInput() {
			return true
		}
	}
	return false
}

// HasInput reports whether something that clients have sent is not handled yet, or a connection
// waits to be accepted.
func (s *Server) HasInput() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil && socket.HasConnection(s.listener) || s.hasSessionInput()
}

// Shutdown closes every session as soon as it is idle and has no input, and returns when none is
// left. A query that arrived before its session began to close is answered, whether or not it was
// read. Input that is read after that is discarded, so that no query is sent to an engine whose
// answer would be lost. Shutdown must be called at most once, and before Close.
//
// It gives up at the deadline, but only after ShutdownLateLooks further looks at the sessions: if
// the process had no turn until the deadline, queries have come meanwhile, and answers are due.
func (s *Server) Shutdown(deadline time.Time) {
	s.mu.Lock()
	s.draining = true
	if len(s.sessions) == 0 {
		close(s.drained)
	}
	s.mu.Unlock()
	look := time.NewTicker(shutdownLookInterval)
	defer look.Stop()
	lateLooks := 0
	for {
		open := s.closeIdleSessions()
		if !time.Now().Before(deadline) {
			lateLooks++
			if open == 0 || lateLooks > s.limits.ShutdownLateLooks {
				return
			}
		}
		select {
		case <-s.drained:
			return
		case <-look.C:
		}
	}
}

// closeIdleSessions closes the sessions that are idle and have no input, and returns the number of
// sessions that are not being closed.
func (s *Server) closeIdleSessions() (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ses := range s.sessions {
		if ses.idleElement == nil || !s.closeUnlessInput(ses, closeShutdown) {
			open++
		}
	}
	return open
}

// Close closes all connections at once, without waiting for open queries. It logs how many of them
// had unread input, as a query among it is lost.
func (s *Server) Close() {
	unread := s.closeConnections()
	if unread > 0 {
		s.counts.closes.unread.Add(unread)
		s.log.Warn("sessions closed with unread input", "sessions", unread)
	}
}

func (s *Server) closeConnections() (unread int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, ses := range s.sessions {
		if !ses.closing.Swap(true) && ses.conn.HasInput() {
			unread++
		}
		ses.conn.Close()
	}
	return unread
}
