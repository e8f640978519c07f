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

// Server accepts client connections and holds their sessions.
type Server struct {
	// Set by New and not changed:
	limits     *limits.Limits
	names      *settings.Names
	classes    []router.QueryClass
	report     func(Event)             // may block
	offer      func(QueryArrived) bool // never blocks
	retryAfter func() time.Duration    // the retry delay for a query that offer did not accept
	log        *slog.Logger

	rulesPossible bool                    // set before Serve
	ruleSet       atomic.Pointer[ruleSet] // nil: there are no rules

	counts counts

	mu       sync.Mutex          // guards all below; never held during blocking I/O
	sessions map[uint32]*session // all sessions, by the session id of their cancel keys
	lastID   uint32              // the last session id that was assigned

	// idle holds the idle sessions by kind, each list with the longest idle session first.
	idle [idleKinds]list.List

	busySessions int           // sessions with a query whose answer is not written yet
	lastQueryAt  time.Time     // when a client last sent a query
	listener     net.Listener  // that Serve accepts from; nil: none
	draining     bool          // Shutdown or Close was called
	drained      chan struct{} // closed when no session is left after Shutdown has begun
	lastLogged   time.Time     // when a client error was last logged
}

// counts holds the server's counters since its start.
type counts struct {
	connections  atomic.Int64
	rejected     atomic.Int64 // connections rejected or dropped
	evicted      atomic.Int64 // idle connections closed in favor of new ones
	timedOut     atomic.Int64 // clients that did not send a complete message in time
	malformed    atomic.Int64 // messages that violate the protocol
	tooLong      atomic.Int64 // messages longer than ClientMessageBytes
	pipelineFull atomic.Int64 // clients that pipelined too much behind an open query
	queries      atomic.Int64
	badQueries   atomic.Int64 // queries with a missing or invalid field
	cancels      atomic.Int64 // cancel requests
	closes       closeCounts
}

// New returns a server. Queries are passed to offer; a query that it does not accept is rejected
// with the retry delay that retryAfter returns. Other events are passed to report, which may block
// its caller. classes holds the query classes of the settings, indexed by the ids in names.Classes.
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

// Serve accepts connections until the listener is closed, and serves each on a goroutine of its
// own. It returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // the process may be out of descriptors until some are closed
			s.log.Warn("accept failed", "why", err)
			time.Sleep(s.limits.AcceptRetryDelay)
			continue
		}
		s.counts.connections.Add(1)
		s.serveConn(conn)
	}
}

// serveConn starts to serve, or to reject, a new connection. It does not block.
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

// cancel cancels the open query of the session with this key, or one that the session executes
// within EarlyCancelWindow: a cancel request can overtake its query, as the two use different
// connections.
func (s *Server) cancel(key pgwire.CancelKey) {
	s.counts.cancels.Add(1)
	s.mu.Lock()
	ses := s.sessions[key.SessionID]
	s.mu.Unlock()
	if ses != nil && ses.key == key {
		ses.abandonQuery(true)
	}
}

// logBadClient logs why a client's input is invalid, at most once per LogInterval for all clients.
func (s *Server) logBadClient(ses *session, why string) {
	s.mu.Lock()
	now := time.Now()
	due := now.Sub(s.lastLogged) >= s.limits.LogInterval
	if due {
		s.lastLogged = now
	}
	s.mu.Unlock()
	if due {
		s.log.Info("invalid client input", "from", ses.conn.RemoteAddr(), "why", why)
	}
}

// LogValue returns the server's counters for the log. docs/oncall.md documents the keys and
// operators' tools parse them; they are mapped to the glossary's terms only here.
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
		slog.Int64("ended_idle", c.closes.byReason[closeIdle].Load()),
		slog.Int64("ended_shutdown", c.closes.byReason[closeShutdown].Load()),
		slog.Int64("ended_unread", c.closes.unread.Load()),
	)
}
