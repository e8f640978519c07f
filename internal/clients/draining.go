package clients

import "time"

// QuietTime returns for how long no client has sent a query; 0 while an answer is not written yet.
func (s *Server) QuietTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busySessions > 0 {
		return 0
	}
	return time.Since(s.lastQueryAt)
}

// recordPipelinedQuery records when a client sent a query behind an open one.
func (s *Server) recordPipelinedQuery(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastQueryAt = now
}

// Shutdown closes every session as soon as it is idle, and returns when none is left or the time
// has come. A query that came before its session was closed is answered; what is read after that is
// dropped, so that no query is sent to an engine and lost. It must be called once at most, and
// before Close.
func (s *Server) Shutdown(deadline time.Time) {
	s.mu.Lock()
	s.draining = true
	if len(s.sessions) == 0 {
		close(s.drained)
	}
	for _, ses := range s.sessions {
		if ses.idleElement != nil {
			s.beginClose(ses)
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

// Close closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, ses := range s.sessions {
		ses.closing.Store(true)
		ses.conn.Close()
	}
}
