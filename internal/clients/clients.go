// Package clients serves the connections of clients: it accepts them, keeps their sessions and cancel keys, turns
// queries into commands and writes the answers. It decides nothing, and knows nothing of engines.
package clients

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/exchange"
	"mintkeel/internal/limits"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// What the loop is told.
type (
	// Taken is a command that a client wrote whole.
	Taken struct{ Command *exchange.Command }
	// Gone says that a command's client has left; nothing is owed.
	Gone struct{ Command *exchange.Command }
)

// Server is a listener with its sessions.
type Server struct {
	limits   *limits.Limits
	names    *settings.Names
	profiles []router.Profile
	post     func(event any)
	log      *slog.Logger

	counts   counts
	mu       sync.Mutex
	conns    map[net.Conn]bool
	sessions map[uint32]*session // by the number in their cancel keys
	serial   uint32
	closed   bool
	heard    time.Time // when a client last connected or wrote
	busy     int       // sessions with a command whose answer is not written yet
}

// counts are what the server has seen.
type counts struct{ connections, sessions, turnedAway, queries, badQueries, cancels atomic.Int64 }

// LogValue prints what the server has seen.
func (s *Server) LogValue() slog.Value {
	c := &s.counts
	return slog.GroupValue(slog.Int64("connections", c.connections.Load()), slog.Int64("sessions", c.sessions.Load()),
		slog.Int64("turned_away", c.turnedAway.Load()), slog.Int64("queries", c.queries.Load()),
		slog.Int64("bad_queries", c.badQueries.Load()), slog.Int64("cancels", c.cancels.Load()))
}

// New makes a server that tells post of commands; post may block its caller.
func New(l *limits.Limits, names *settings.Names, profiles []router.Profile, post func(event any),
	log *slog.Logger) *Server {
	return &Server{limits: l, names: names, profiles: profiles, post: post, log: log,
		conns: map[net.Conn]bool{}, sessions: map[uint32]*session{}, heard: time.Now()}
}

// Serve accepts connections until the listener is closed, each served by a goroutine of its own.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // short of descriptors, say: those that are closed make room
			s.log.Warn("accept failed", "why", err)
			time.Sleep(s.limits.AcceptRetry)
			continue
		}
		s.counts.connections.Add(1)
		if !s.enter(conn) {
			s.counts.turnedAway.Add(1)
			conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// enter files a connection, unless there are too many to answer even with an error.
func (s *Server) enter(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = time.Now()
	if s.closed || len(s.conns) >= s.limits.Connections {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	newSession(s, conn).run()
}

// admit gives a session its cancel key, unless there are too many sessions.
func (s *Server) admit(ses *session) bool {
	var secret [4]byte
	rand.Read(secret[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.limits.Sessions {
		return false
	}
	for s.serial++; s.serial == 0 || s.sessions[s.serial] != nil; {
		s.serial++
	}
	ses.key = pgwire.Key{Session: s.serial, Secret: binary.BigEndian.Uint32(secret[:])}
	s.sessions[s.serial] = ses
	return true
}

func (s *Server) leave(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses.key.Session)
}

// cancel gives up what the session of a key has open.
func (s *Server) cancel(key pgwire.Key) {
	s.counts.cancels.Add(1)
	s.mu.Lock()
	ses := s.sessions[key.Session]
	s.mu.Unlock()
	if ses != nil && ses.key == key {
		ses.giveUp()
	}
}

func (s *Server) touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
}

// Quiet is how long no client has connected or written; 0 while an answer is owed or not written yet.
func (s *Server) Quiet() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy > 0 {
		return 0
	}
	return time.Since(s.heard)
}

func (s *Server) addBusy(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += n
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
