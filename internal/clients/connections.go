package clients

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"mintkeel/internal/pgwire"
)

// admission is what becomes of a new connection.
type admission int

const (
	// admitted connections are served.
	admitted admission = iota
	// rejected connections get an error that there are too many, but may still cancel a query.
	rejected
	// dropped connections are closed at once: there is no room even to write them an error.
	dropped
)

// idleKind is a kind of idle sessions, in the order in which they are closed to make room. A
// session is idle while none of its messages is handled: no answer to it is missing.
type idleKind int

const (
	// idleClosing sessions are being closed: nothing that they send becomes a query any more.
	idleClosing idleKind = iota
	// idleNoQuery sessions have not sent a query yet.
	idleNoQuery
	// idleBetweenQueries sessions have sent a query, and have its answer.
	idleBetweenQueries
	// idleKinds is the number of kinds.
	idleKinds
)

// admit decides on a new connection, which gets a cancel key and counts as a session unless it is
// dropped. It is admitted if there is room or room can be made, and never while the server drains.
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

// evictIdle makes room for a connection, if there is none, and reports whether there is room then.
// It closes the session that has been idle for the longest time: of those that are being closed
// first, then of those that never sent a query, then of the others. So hundreds of connections that
// send nothing, or that sent one query and stay, can't keep others out. Sessions younger than
// NewConnectionGrace are spared, as their first message may be on its way. mu is held.
func (s *Server) evictIdle(now time.Time) bool {
	for kind := range idleKinds {
		for len(s.sessions) >= s.limits.ClientConnections {
			front := s.idle[kind].Front()
			if front == nil {
				break
			}
			ses := front.Value.(*session)
			if now.Sub(ses.idleSince) < s.limits.NewConnectionGrace {
				break
			}
			s.counts.evicted.Add(1)
			if kind != idleClosing && s.hasRoomForClosing() {
				s.beginClose(ses)
				return true
			}
			s.remove(ses)
			ses.conn.Close()
		}
	}
	return len(s.sessions) < s.limits.ClientConnections
}

// hasRoomForClosing reports whether there is room for a session that is being closed or rejected,
// beside as many sessions as are served. mu is held.
func (s *Server) hasRoomForClosing() bool {
	return len(s.sessions) < s.limits.ClientConnections+s.limits.ClosingConnections
}

// markIdle puts a session among the idle ones. mu is held.
func (s *Server) markIdle(ses *session, kind idleKind) {
	ses.idleKind = kind
	ses.idleElement = s.idle[kind].PushBack(ses)
}

// unmarkIdle takes a session from the idle ones, if it is one. mu is held.
func (s *Server) unmarkIdle(ses *session) {
	if ses.idleElement != nil {
		s.idle[ses.idleKind].Remove(ses.idleElement)
		ses.idleElement = nil
	}
}

// beginMessage records that a session handles a message and so is not idle. It reports whether the
// session may go on: not if it is being closed.
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

// endMessage records that a session has handled its message and is idle. If the server drains the
// session is closed, unless its client has sent another query meanwhile.
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
	kind := idleNoQuery
	if ses.sentQuery {
		kind = idleBetweenQueries
	}
	s.markIdle(ses, kind)
	if s.draining && ses.pipelinedAt.IsZero() {
		s.beginClose(ses)
	}
}

// beginClose starts to close an idle session: from here on nothing that it sends becomes a query,
// and its client reads the end. The session's goroutine reads on, within bounds, until the client
// closes too (leave). mu is held.
func (s *Server) beginClose(ses *session) {
	if ses.closing.Swap(true) {
		return
	}
	s.unmarkIdle(ses)
	ses.idleSince = time.Now()
	s.markIdle(ses, idleClosing)
	if halfCloser, ok := ses.conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite()
	}
	ses.conn.SetReadDeadline(ses.idleSince.Add(s.limits.ClientCloseTimeout))
}

// endSession ends a session, whatever ended it: its goroutine calls it last.
func (s *Server) endSession(ses *session) {
	s.mu.Lock()
	s.beginClose(ses)
	s.mu.Unlock()
	io.CopyN(io.Discard, ses.conn, s.limits.ClientDrainBytes)
	ses.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(ses)
}

// remove takes a session out of the sessions. mu is held.
func (s *Server) remove(ses *session) {
	ses.closing.Store(true)
	s.unmarkIdle(ses)
	delete(s.sessions, ses.key.SessionID)
	if !s.draining || len(s.sessions) > 0 {
		return
	}
	select {
	case <-s.drained: // a session may be removed twice
	default:
		close(s.drained)
	}
}
