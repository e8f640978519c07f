// Package clients serves the connections of clients: it accepts them, keeps their sessions and cancel keys, turns
// queries into commands and writes the answers. It decides nothing, and knows nothing of engines.
package clients

import (
	"container/list"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/rules"
	"mintkeel/internal/limits"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Server is a listener with its sessions.
type Server struct {
	limits   *limits.Limits
	names    *settings.Names
	profiles []router.QueryClass
	post     func(Event)
	offer    func(QueryArrived) bool
	away     func() time.Duration // how long who is refused should stay away
	log      *slog.Logger

	rules    atomic.Pointer[ruling] // nil: there are none
	describe bool                   // there may be rules: commands are told as rules see them

	counts   counts
	mu       sync.Mutex
	sessions map[uint32]*session // by the number in their cancel keys: all that are connected
	serial   uint32
	closed   bool
	empty    chan struct{}           // closed when, past the start of Shutdown, none is connected any more
	heard    time.Time               // when a client last wrote a query
	busy     int                     // sessions with a command whose answer is not written yet
	waiting  [waitingKinds]list.List // those that are owed nothing, by kind, the longest so first
	logged   time.Time               // when a bad client was last logged
}

// Kinds of sessions that are owed nothing, in the order in which room is made of them.
const (
	closing = iota // on their way out: nothing that they bring becomes a command any more
	unasked        // that never brought a command
	resting        // that did
	waitingKinds
)

// counts are what the server has seen.
type counts struct {
	connections, turnedAway, madeRoom, silent, malformed, tooLong, flooded, queries, badQueries, cancels atomic.Int64
}

// LogValue prints what the server has seen.
func (s *Server) LogValue() slog.Value {
	c := &s.counts
	s.mu.Lock()
	open := len(s.sessions)
	s.mu.Unlock()
	return slog.GroupValue(slog.Int64("connections", c.connections.Load()), slog.Int("open", open),
		slog.Int64("turned_away", c.turnedAway.Load()), slog.Int64("made_room", c.madeRoom.Load()),
		slog.Int64("silent", c.silent.Load()), slog.Int64("malformed", c.malformed.Load()),
		slog.Int64("too_long", c.tooLong.Load()), slog.Int64("flooded", c.flooded.Load()), slog.Int64("queries", c.queries.Load()),
		slog.Int64("bad_queries", c.badQueries.Load()), slog.Int64("cancels", c.cancels.Load()))
}

// New makes a server that offers commands, and sheds one that is not taken with the time for which away says to stay
// away. It tells post of clients that leave; post may block its caller.
func New(l *limits.Limits, names *settings.Names, profiles []router.QueryClass, offer func(QueryArrived) bool,
	away func() time.Duration, post func(Event), log *slog.Logger) *Server {
	return &Server{limits: l, names: names, profiles: profiles, offer: offer, away: away, post: post, log: log,
		sessions: map[uint32]*session{}, empty: make(chan struct{}), heard: time.Now()}
}

// ruling is the operator's rules with what counts how often each matched.
type ruling struct {
	set     *rules.Set
	matched []atomic.Int64
	refused atomic.Int64
	scratch sync.Pool // of *rules.Scratch: one for each query that is being looked at, not for each session
}

// Describe has commands told as rules see them, before Serve: keys are found where commands are taken, as rules may
// change on the way.
func (s *Server) Describe() { s.describe = true }

// SetRules has commands that are read from now on go by these rules; nil: by none.
func (s *Server) SetRules(set *rules.Set) {
	if set == nil || set.Len() == 0 {
		s.rules.Store(nil)
		return
	}
	s.rules.Store(&ruling{set: set, matched: make([]atomic.Int64, set.Len()),
		scratch: sync.Pool{New: func() any { return &rules.Scratch{} }}})
}

// mostRulesShown bounds the counts by rule that are printed: those of the first that matched.
const mostRulesShown = 50

// Rules prints how often each rule matched since the rules were set.
func (s *Server) Rules() slog.Value {
	r := s.rules.Load()
	if r == nil {
		return slog.GroupValue()
	}
	all := []slog.Attr{slog.Int("rules", r.set.Len()), slog.Int64("refused", r.refused.Load())}
	for i := range r.matched {
		if n := r.matched[i].Load(); n > 0 && len(all) < mostRulesShown+2 {
			all = append(all, slog.Int64(r.set.Name(i), n))
		}
	}
	return slog.GroupValue(all...)
}

// rule has the operator's rules change a command that is not posted yet; its text is what they refuse it with, empty
// if they don't. Nothing is decided here.
func (s *Server) rule(cmd *request.Query, c rules.Command) (refused string) {
	r := s.rules.Load()
	if r == nil {
		return ""
	}
	scratch := r.scratch.Get().(*rules.Scratch)
	defer r.scratch.Put(scratch)
	scratch.Trace = func(rule int, matched bool) {
		if matched {
			r.matched[rule].Add(1)
		}
	}
	v := r.set.Apply(&c, scratch)
	if v.Refuse != "" {
		r.refused.Add(1)
		return v.Refuse
	}
	cmd.Class, cmd.OrderingKey, cmd.Hot, cmd.Kinds, cmd.Zones, cmd.EstimateCap = v.Profile, v.Key, v.Hot, v.Kinds, v.Zones, v.Most
	return ""
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
		ses := newSession(s, conn)
		welcome, served := s.enter(ses)
		if !served {
			s.counts.turnedAway.Add(1)
			conn.Close()
			continue
		}
		go func() {
			defer s.leave(ses)
			if welcome {
				ses.run()
			} else {
				ses.turnAway()
			}
		}()
	}
}

// enter files a connection and gives it its cancel key. In a full house room is made from those who hold it without
// an open command. If there are none, or this controller ends, the connection is not welcome; it is served as far as
// being told so, unless there is no room even for that.
func (s *Server) enter(ses *session) (welcome, served bool) {
	var secret [4]byte
	rand.Read(secret[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	welcome = !s.closed && s.makeRoom(ses.since)
	if !welcome && len(s.sessions) >= s.limits.Connections+s.limits.ClosingConns {
		return false, false
	}
	for s.serial++; s.serial == 0 || s.sessions[s.serial] != nil; {
		s.serial++
	}
	ses.key = pgwire.Key{Session: s.serial, Secret: binary.BigEndian.Uint32(secret[:])}
	s.sessions[s.serial] = ses
	s.wait(ses, unasked)
	return welcome, true
}

// makeRoom ends the connection that has been of no use for the longest time, of those on their way out first, then of
// those that never brought a command, against hundreds that say nothing and clients that ask once and stay. The newest
// are spared, as what they have to say may be on its way. It tells whether there is room then; mu is held.
func (s *Server) makeRoom(now time.Time) bool {
	for kind := range s.waiting {
		for len(s.sessions) >= s.limits.Connections {
			front := s.waiting[kind].Front()
			if front == nil || now.Sub(front.Value.(*session).since) < s.limits.FreshTime {
				break
			}
			ses := front.Value.(*session)
			s.counts.madeRoom.Add(1)
			if kind != closing && len(s.sessions) < s.limits.Connections+s.limits.ClosingConns {
				s.beginClose(ses)
				return true
			}
			s.forget(ses)
			ses.conn.Close()
		}
	}
	return len(s.sessions) < s.limits.Connections
}

// wait files a session among those that are owed nothing; mu is held.
func (s *Server) wait(ses *session, kind int) {
	ses.waits, ses.kind = s.waiting[kind].PushBack(ses), kind
}

// unwait takes it off; mu is held.
func (s *Server) unwait(ses *session) {
	if ses.waits != nil {
		s.waiting[ses.kind].Remove(ses.waits)
		ses.waits = nil
	}
}

// beginClose has a session that is owed nothing end: from here on nothing that it brings becomes a command, and its client
// is told. Its goroutine reads to the end, or within a bound, before it closes: a close over bytes unread, such as a
// query that crosses it, would be a reset, which can cost the client an answer that it has not read yet. mu is held.
func (s *Server) beginClose(ses *session) {
	if ses.closing.Swap(true) {
		return
	}
	s.unwait(ses)
	ses.since = time.Now()
	s.wait(ses, closing)
	if half, ok := ses.conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	ses.conn.SetReadDeadline(ses.since.Add(s.limits.CloseTime))
}

// forget takes a session off the books; mu is held.
func (s *Server) forget(ses *session) {
	ses.closing.Store(true)
	s.unwait(ses)
	delete(s.sessions, ses.key.Session)
	if s.closed && len(s.sessions) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// leave ends a session, whatever ended it: the one way out.
func (s *Server) leave(ses *session) {
	s.mu.Lock()
	s.beginClose(ses)
	s.mu.Unlock()
	io.CopyN(io.Discard, ses.conn, s.limits.CloseBytes)
	ses.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(ses)
}

// begin marks a session as one that is owed something; false if it is on its way out, and nothing is.
func (s *Server) begin(ses *session, asked bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses.closing.Load() {
		return false
	}
	s.unwait(ses)
	if ses.asked = ses.asked || asked; asked {
		s.busy++
		s.heard = time.Now()
	}
	return true
}

// touch takes in that a client wrote a query.
func (s *Server) touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
}

// end marks it as one that is owed nothing any more.
func (s *Server) end(ses *session, asked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ses.since = time.Now(); asked {
		s.busy--
	}
	if kind := unasked; !ses.closing.Load() {
		if ses.asked {
			kind = resting
		}
		if s.wait(ses, kind); s.closed && ses.readAt.IsZero() { // else another query came on the open session
			s.beginClose(ses)
		}
	}
}

// cancel gives up what the session of a key has open, or is about to: a cancel can overtake its query, as they come
// on two connections.
func (s *Server) cancel(key pgwire.Key) {
	s.counts.cancels.Add(1)
	s.mu.Lock()
	ses := s.sessions[key.Session]
	s.mu.Unlock()
	if ses != nil && ses.key == key {
		ses.giveUp(true)
	}
}

// Quiet is how long no client has written a query; 0 while an answer is owed or not written yet.
func (s *Server) Quiet() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy > 0 {
		return 0
	}
	return time.Since(s.heard)
}

// note logs what a client did wrong, unless another was logged just now.
func (s *Server) note(ses *session, why string) {
	s.mu.Lock()
	now := time.Now()
	due := now.Sub(s.logged) >= s.limits.LogEvery
	if due {
		s.logged = now
	}
	s.mu.Unlock()
	if due {
		s.log.Info("bad client", "from", ses.conn.RemoteAddr(), "why", why)
	}
}

// Shutdown ends every session as soon as nothing is owed to it, and returns when none is left or the time has come.
// A command that came before its session was ended is answered; what is read after that is not taken, so that none is
// sent on and lost.
func (s *Server) Shutdown(until time.Time) {
	s.mu.Lock()
	if s.closed = true; len(s.sessions) == 0 {
		close(s.empty)
	}
	for _, ses := range s.sessions {
		if ses.waits != nil {
			s.beginClose(ses)
		}
	}
	s.mu.Unlock()
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case <-s.empty:
	case <-late.C:
	}
}

// Close ends all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ses := range s.sessions {
		ses.closing.Store(true)
		ses.conn.Close()
	}
}
