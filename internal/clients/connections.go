package clients

import (
	"container/list"
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"mintkeel/internal/pgwire"
)

// maxEvictionLooks bounds the idle sessions that are considered for eviction in favor of one new
// connection.
const maxEvictionLooks = 64

// admission is the decision on a new connection.
type admission int

const (
	// admitted connections are served.
	admitted admission = iota
	// rejected connections get the error "too many connections", but may still cancel a query.
	rejected
	// dropped connections are closed at once: the limit of connections being closed is reached, so
	// not even an error is written.
	dropped
)

// idleKind is a kind of idle session; the kinds are in the order of eviction. A session is idle
// while none of its messages is being handled, so that it waits for no answer.
type idleKind int

const (
	// idleClosing sessions are being closed: their input is discarded.
	idleClosing idleKind = iota
	// idleNoQuery sessions have not sent a query yet.
	idleNoQuery
	// idleBetweenQueries sessions have sent a query and received its answer.
	idleBetweenQueries
	// idleKinds is the number of kinds.
	idleKinds
)

// admit decides on a new connection. Unless it is dropped, the connection gets a cancel key and is
// registered as a session. It is admitted if the number of sessions is below the limit or an idle
// session can be evicted, and never while the server drains.
func (s *Server) admit(ses *session) admission {
	var secret [4]byte
	rand.Read(secret[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	result := admitted
	if s.draining || !s.evictIdle(ses.idleSince) {
		result = rejected
		if !s.hasRoomForClosing() {
			return dropped
		}
	}
	s.lastID++
	for s.lastID == 0 || s.sessions[s.lastID] != nil {
		s.lastID++
	}
	ses.key = pgwire.CancelKey{SessionID: s.lastID, Secret: binary.BigEndian.Uint32(secret[:])}
	s.sessions[s.lastID] = ses
	s.markIdle(ses, idleNoQuery)
	return result
}

// evictIdle evicts idle sessions if the limit of connections is reached, and reports whether
// another connection fits. It evicts those that have been idle for the longest time: first
// among those that are being closed, then among those that never sent a query, then among the
// others. Hundreds of connections that send nothing, or that sent one query and stay open,
// therefore can't block others. Sessions that became idle less than NewConnectionGrace ago are not
// evicted, as their next message may be in transit; nor are sessions with unread input, which are
// idle only because their goroutines have not run since it came. mu is held.
func (s *Server) evictIdle(now time.Time) bool {
	looks := 0
	for kind := range idleKinds {
		var next *list.Element
		for element := s.idle[kind].Front(); element != nil; element = next {
			next = element.Next()
			ses := element.Value.(*session)
			if len(s.sessions) < s.limits.ClientConnections || looks == maxEvictionLooks ||
				now.Sub(ses.idleSince) < s.limits.NewConnectionGrace {
				break
			}
			looks++
			hasRoom := s.hasRoomForClosing()
			if kind != idleClosing && !s.closeUnlessInput(ses, closeEvicted) {
				continue
			}
			s.counts.evicted.Add(1)
			if kind != idleClosing && hasRoom {
				return true
			}
			s.remove(ses)
			ses.conn.Close()
		}
	}
	return len(s.sessions) < s.limits.ClientConnections
}

// hasRoomForClosing reports whether another session may be closed gracefully or rejected, on top of
// the ClientConnections that are served. mu is held.
func (s *Server) hasRoomForClosing() bool {
	return len(s.sessions) < s.limits.ClientConnections+s.limits.ClosingConnections
}

// markIdle adds a session to the idle sessions of a kind. mu is held.
func (s *Server) markIdle(ses *session, kind idleKind) {
	ses.idleKind = kind
	ses.idleElement = s.idle[kind].PushBack(ses)
}

// unmarkIdle removes a session from the idle sessions, if it is idle. mu is held.
func (s *Server) unmarkIdle(ses *session) {
	if ses.idleElement != nil {
		s.idle[ses.idleKind].Remove(ses.idleElement)
		ses.idleElement = nil
	}
}

// beginMessage records that a session handles a message and so is not idle. It reports whether the
// session may handle it, which is false if the session is being closed.
func (s *Server) beginMessage(ses *session, isQuery bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses.closing.Load() {
		return false
	}
	s.unmarkIdle(ses)
	if isQuery {
		ses.sentQuery = true
		s.busySessions++
		s.lastQueryAt = time.Now()
	}
	return true
}

// endMessage records that a session has handled its message and is idle. If the server is draining,
// the session is closed, unless its client has sent another query meanwhile.
func (s *Server) endMessage(ses *session, isQuery bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ses.idleSince = time.Now()
	if isQuery {
		s.busySessions--
	}
	if ses.closing.Load() {
		return
	}
	if ses.reader.Buffered() > 0 {
		ses.conn.MarkUnhandled()
	}
	kind := idleNoQuery
	if ses.sentQuery {
		kind = idleBetweenQueries
	}
	s.markIdle(ses, kind)
	if s.draining {
		s.closeUnlessInput(ses, closeShutdown)
	}
}

// closeUnlessInput starts to close a session, unless its client has sent something that the session
// has not handled, and reports whether the session is being closed. mu is held.
func (s *Server) closeUnlessInput(ses *session, reason closeReason) bool {
	if ses.closing.Load() {
		return true
	}
	if !ses.conn.CloseWriteUnlessInput() {
		return false
	}
	s.discardInput(ses, reason)
	return true
}

// closeIdleSession closes a session whose client has been silent for ClientIdleTimeout, and reports
// whether it did: input may have come meanwhile.
func (s *Server) closeIdleSession(ses *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeUnlessInput(ses, closeIdle)
}

// endWrites shuts down the write side of a session that has ended, unless that was done before.
// mu is held.
func (s *Server) endWrites(ses *session) {
	if ses.closing.Load() {
		return
	}
	ses.conn.CloseWrite()
	s.discardInput(ses, closeEnded)
}

// discardInput marks a session as being closed, whose write side is shut down: from here on its
// input is discarded, and its client reads the end of the stream. The session's goroutine keeps
// reading, within bounds, until the client closes its side as well (endSession). mu is held.
func (s *Server) discardInput(ses *session, reason closeReason) {
	ses.closing.Store(true)
	s.unmarkIdle(ses)
	ses.idleSince = time.Now()
	s.markIdle(ses, idleClosing)
	s.counts.closes.byReason[reason].Add(1)
	ses.conn.SetReadDeadline(ses.idleSince.Add(s.limits.ClientCloseTimeout))
}

// endSession closes the connection and removes the session, for whatever reason it ends. The
// session's goroutine calls it last.
func (s *Server) endSession(ses *session) {
	s.mu.Lock()
	s.endWrites(ses)
	s.mu.Unlock()
	io.CopyN(io.Discard, ses.conn, s.limits.ClientDrainBytes)
	ses.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(ses)
}

// remove unregisters a session, and ends the drain if it was the last one. mu is held.
func (s *Server) remove(ses *session) {
	ses.closing.Store(true)
	s.unmarkIdle(ses)
	delete(s.sessions, ses.key.SessionID)
	if !s.draining || len(s.sessions) > 0 {
		return
	}
	select {
	case <-s.drained: // closed already: sessions may be removed twice, or rejected during a drain
	default:
		close(s.drained)
	}
}
