package clients

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Server is the sessions of all clients.
type Server struct {
	// Set by New and not changed:
	limits     *limits.Limits
	names      *settings.Names
	classes    []router.QueryClass
	report     func(Event)             // may block
	offer      func(QueryArrived) bool // never blocks
	retryAfter func() time.Duration    // for a query that was not accepted
	log        *slog.Logger

	rulesPossible bool                    // set before Serve
	ruleSet       atomic.Pointer[ruleSet] // nil: there are no rules

	counts counts

	mu       sync.Mutex          // guards all below; it is held for no I/O that waits
	sessions map[uint32]*session // all that are connected, by the number in their cancel keys
	lastID   uint32              // the last number that was given to a session

	// idle are the idle sessions, by kind, with the longest idle first.
	idle [idleKinds]list.List

	busySessions int           // sessions with a query that has no written answer yet
	lastQueryAt  time.Time     // when a client last sent a query
	draining     bool          // Shutdown or Close was called
	drained      chan struct{} // closed when no session is left after Shutdown has begun
	lastLogged   time.Time     // when a bad client was last logged
}

// counts are what the server has seen since its start.
type counts struct {
	connections  atomic.Int64
	rejected     atomic.Int64 // connections for which there was no room
	evicted      atomic.Int64 // connections closed to make room for others
	timedOut     atomic.Int64 // clients that did not send a whole message in time
	malformed    atomic.Int64 // messages that the protocol does not know
	tooLong      atomic.Int64 // messages
	pipelineFull atomic.Int64 // clients that sent too much behind an open query
	queries      atomic.Int64
	badQueries   atomic.Int64 // queries with a field that can't be used
	cancels      atomic.Int64 // cancel requests
}

// New returns a server. Queries are handed to offer; one that it does not accept is rejected, with
// the time that retryAfter returns. Other events are handed to report, which may block its caller.
// classes are those of the settings, by names.Classes.
func New(
	l *limits.Limits, names *settings.Names, classes []router.QueryClass,
	offer func(QueryArrived) bool, retryAfter func() time.Duration, report func(Event),
	log *slog.Logger,
) *Server {
	return &Server{
		limits:      l,
		names:       names,
		classes:     classes,
		offer:       offer,
		retryAfter:  retryAfter,
		report:      report,
		log:         log,
		sessions:    map[uint32]*session{},
		drained:     make(chan struct{}),
		lastQueryAt: time.Now(),
	}
}

// Serve accepts connections until the listener is closed, and serves each by a goroutine of its
// own. It returns nil.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // descriptors may be short, for as long as it takes until some are closed
			s.log.Warn("accept failed", "why", err)
			time.Sleep(s.limits.AcceptRetryDelay)
			continue
		}
		s.counts.connections.Add(1)
		s.serveConn(conn)
	}
}

// serveConn serves a connection as far as there is room for it. It does not wait.
func (s *Server) serveConn(conn net.Conn) {
	ses := newSession(s, conn)
	switch s.admit(ses) {
	case admitted:
		go func() {
			defer s.endSession(ses)
			ses.run()
		}()
	case rejected:
		go func() {
			defer s.endSession(ses)
			ses.reject()
		}()
	case dropped:
		s.counts.rejected.Add(1)
		conn.Close()
	}
}

// cancel gives up the query that the session of a key has open, or is about to have: a cancel
// request can overtake its query, as they come on two connections.
func (s *Server) cancel(key pgwire.CancelKey) {
	s.counts.cancels.Add(1)
	s.mu.Lock()
	ses := s.sessions[key.SessionID]
	s.mu.Unlock()
	if ses != nil && ses.key == key {
		ses.abandonQuery(true)
	}
}

// logBadClient logs what a client did wrong, unless another was logged just now.
func (s *Server) logBadClient(ses *session, why string) {
	s.mu.Lock()
	now := time.Now()
	due := now.Sub(s.lastLogged) >= s.limits.LogInterval
	if due {
		s.lastLogged = now
	}
	s.mu.Unlock()
	if due {
		s.log.Info("bad client", "from", ses.conn.RemoteAddr(), "why", why)
	}
}

// LogValue prints the server's counts. The keys are those that docs/oncall.md explains and
// operators' tools read; they are mapped to the glossary's terms here alone.
func (s *Server) LogValue() slog.Value {
	s.mu.Lock()
	open := len(s.sessions)
	s.mu.Unlock()
	c := &s.counts
	return slog.GroupValue(
		slog.Int64("connections", c.connections.Load()),
		slog.Int("open", open),
		slog.Int64("turned_away", c.rejected.Load()),
		slog.Int64("made_room", c.evicted.Load()),
		slog.Int64("silent", c.timedOut.Load()),
		slog.Int64("malformed", c.malformed.Load()),
		slog.Int64("too_long", c.tooLong.Load()),
		slog.Int64("flooded", c.pipelineFull.Load()),
		slog.Int64("queries", c.queries.Load()),
		slog.Int64("bad_queries", c.badQueries.Load()),
		slog.Int64("cancels", c.cancels.Load()),
	)
}
