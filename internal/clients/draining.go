package clients

import "time"

// QuietTime returns the time since a client last sent a query; 0 while an answer is not written
// yet.
func (s *Server) QuietTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busySessions > 0 {
		return 0
	}
	return time.Since(s.lastQueryAt)
}

// recordPipelinedQuery records that data of a client was seen behind an open query.
func (s *Server) recordPipelinedQuery(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastQueryAt = now
}

// Shutdown closes every session as soon as it is idle, and returns when none is left or the
// deadline has passed. A query that arrived before its session began to close is answered. Input
// that is read after that is discarded, so that no query is sent to an engine whose answer would be
// lost. Shutdown must be called at most once, and before Close.
func (s *Server) Shutdown(deadline time.Time) {
	s.mu.Lock()
	s.draining = true
	if len(s.sessions) == 0 {
		close(s.drained)
	}
	for _, ses := range s.sessions {
		if ses.idleElement != nil {
			s.beginClose(ses, closeShutdown)
		}
	}
	s.mu.Unlock()
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-s.drained:
	case <-timeout.C:
	}
}

// Close closes all connections at once, without waiting for open queries.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, ses := range s.sessions {
		ses.closing.Store(true)
		ses.conn.Close()
	}
}
