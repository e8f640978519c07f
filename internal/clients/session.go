package clients

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/rules"
	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/match"
	"mintkeel/router"
)

// session is one client's connection, run by one goroutine. While a command is open it goes on reading, to notice
// that its client leaves, and is woken from its read by the answer.
type session struct {
	server *Server
	conn   net.Conn
	small  *bufio.Reader // of the size that most messages need
	r      *bufio.Reader // small, or a larger one for a while
	key    pgwire.Key
	readAt time.Time // when what stands next in the buffer came, if it came while a command was open
	began  time.Time
	name   string // of the client's application
	used   bool   // it has brought a command that could be used

	// Under the server's mutex:
	since   time.Time     // when it was last of use
	asked   bool          // it has brought a command
	waits   *list.Element // among those that are owed nothing; nil: it is owed something
	kind    int           // of those
	closing atomic.Bool   // it is on its way out; set under the mutex

	mu          sync.Mutex
	open        *request.Query
	cancelledAt time.Time // when a cancel came while nothing was open
}

func newSession(s *Server, conn net.Conn) *session {
	now := time.Now()
	r := bufio.NewReaderSize(conn, s.limits.ReadBytes)
	return &session{server: s, conn: conn, small: r, r: r, began: now, since: now}
}

// past is a deadline that has gone by: it wakes a goroutine that reads.
var past = time.Unix(1, 0)

// greet takes the start-up messages and reports whether they open a session.
func (ses *session) greet() bool {
	for {
		start, err := pgwire.ReadStartUp(ses.r)
		switch {
		case err != nil:
			ses.bad(err, "start-up message")
			return false
		case start.Kind == pgwire.Start:
			ses.name = start.Application
			return true
		case start.Kind == pgwire.Cancel:
			ses.server.cancel(start.Key)
			return false
		}
		if ses.write(pgwire.NoEncryption) != nil {
			return false
		}
	}
}

// bad ends a session by what went wrong in reading: a proper error for what can't be used, nothing for one that has
// gone or says nothing.
func (ses *session) bad(err error, what string) {
	c, l := &ses.server.counts, ses.server.limits
	switch {
	case ses.closing.Load():
	case errors.Is(err, pgwire.ErrMalformed):
		c.malformed.Add(1)
		ses.refuse(pgwire.CodeProtocol, "malformed "+what)
	case errors.Is(err, pgwire.ErrTooLong):
		c.tooLong.Add(1)
		ses.refuse(pgwire.CodeTooLong, fmt.Sprintf("%s: holds %d bytes at most", what, l.MessageBytes))
	case errors.Is(err, os.ErrDeadlineExceeded) && (ses.r.Buffered() > 0 || !ses.asked):
		c.silent.Add(1) // half a message or, from one that never asked, none
		ses.refuse(pgwire.CodeProtocol, what+": not whole in time")
	}
}

// next waits for a whole message. A client that has never asked anything has little time for all it does, one that
// began a message for the rest of that, and one between two commands some more.
func (ses *session) next() (kind byte, body []byte, size int, err error) {
	l, first := ses.server.limits, ses.began.Add(ses.server.limits.FirstTime)
	deadline := func(after time.Duration) {
		at := time.Now().Add(after)
		if !ses.asked && first.Before(at) {
			at = first
		}
		ses.conn.SetReadDeadline(at)
		if ses.closing.Load() { // what has it end sets the flag first: one of the two sees the other
			ses.conn.SetReadDeadline(time.Now().Add(l.CloseTime))
		}
	}
	if ses.r != ses.small && ses.r.Buffered() == 0 { // against large buffers that are kept by those who sit still
		ses.r = ses.small
	}
	deadline(l.IdleTime)
	if _, err = ses.r.Peek(1); err != nil {
		return 0, nil, 0, err
	}
	deadline(l.MessageTime)
	kind, body, size, err = pgwire.Peek(ses.r, l.MessageBytes)
	if errors.Is(err, pgwire.ErrBuffer) {
		ses.widen(size)
		kind, body, size, err = pgwire.Peek(ses.r, l.MessageBytes)
	}
	return kind, body, size, err
}

// widen puts a larger buffer in place of the usual one, with what is there.
func (ses *session) widen(size int) {
	have, _ := ses.r.Peek(ses.r.Buffered())
	ses.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(have)), ses.conn), size)
	ses.r.Peek(len(have))
	ses.small.Reset(ses.conn)
}

// turnAway tells a client that there is no room for it. One that came to cancel needs none.
func (ses *session) turnAway() {
	ses.conn.SetReadDeadline(ses.began.Add(ses.server.limits.CloseTime))
	if ses.greet() {
		ses.server.counts.turnedAway.Add(1)
		ses.write(pgwire.AppendError(nil, true, pgwire.CodeTooMany, "too many connections"))
	}
}

func (ses *session) run() {
	ses.conn.SetReadDeadline(ses.began.Add(ses.server.limits.FirstTime))
	if !ses.greet() || ses.write(pgwire.AppendWelcome(nil, ses.key)) != nil {
		return
	}
	for skip := false; ; {
		kind, body, size, err := ses.next()
		if err != nil {
			ses.bad(err, "message")
			return
		}
		now := time.Now()
		if !ses.readAt.IsZero() {
			now, ses.readAt = ses.readAt, time.Time{}
		}
		asked := kind == 'Q'
		if !ses.server.begin(ses, asked) {
			return
		}
		over := false
		switch kind {
		case 'X':
			over = true
		case 'Q':
			err = ses.query(body, size, now)
		case 'P', 'B', 'E', 'D', 'C', 'H', 'F', 'd', 'c', 'f':
			ses.r.Discard(size)
			if !skip && kind != 'd' && kind != 'c' && kind != 'f' {
				reply := pgwire.AppendError(nil, false, pgwire.CodeUnsupported, "only simple queries are served")
				if skip = kind != 'F'; !skip {
					reply = pgwire.AppendReady(reply)
				}
				err = ses.write(reply)
			}
		case 'S':
			ses.r.Discard(size)
			skip = false
			err = ses.write(pgwire.AppendReady(nil))
		default:
			err = pgwire.ErrMalformed
		}
		if errors.Is(err, pgwire.ErrMalformed) {
			ses.bad(err, "message")
		}
		if ses.server.end(ses, asked); over || err != nil {
			return
		}
	}
}

// query answers a query, by a command if it can be one.
func (ses *session) query(body []byte, size int, now time.Time) error {
	text, whole := pgwire.Text(body)
	if !whole {
		return pgwire.ErrMalformed
	}
	ses.server.counts.queries.Add(1)
	cmd, reply := ses.command(text, now)
	ses.r.Discard(size)
	if cmd != nil {
		return ses.wait(cmd)
	}
	return ses.write(pgwire.AppendReady(reply))
}

// command makes a command of a query, or tells what to reply in its place.
func (ses *session) command(text []byte, now time.Time) (*request.Query, []byte) {
	if blank(text) {
		return nil, pgwire.AppendEmpty(nil)
	}
	no := func(code, why string) (*request.Query, []byte) {
		ses.server.counts.badQueries.Add(1)
		ses.server.note(ses, why)
		return nil, pgwire.AppendError(nil, false, code, why)
	}
	f, err := pgwire.ParseQuery(text)
	var field *pgwire.FieldError
	if errors.As(err, &field) {
		if field.Missing {
			return no(pgwire.CodeMissing, err.Error())
		}
		return no(pgwire.CodeField, err.Error())
	}
	names := ses.server.names
	profile, known := names.Classes[f.Verb]
	if !known {
		return no(pgwire.CodeField, fmt.Sprintf("field verb: %.60q is no profile", f.Verb))
	}
	tenant, known := names.Tenants[f.Team]
	if !known {
		if tenant = -1; f.Team != "" && len(names.Tenants) > 0 {
			return no(pgwire.CodeField, fmt.Sprintf("field team: %.60q is no tenant", f.Team))
		}
	}
	p := ses.server.profiles[profile]
	if p.Effect == router.Deduplicated && f.Unique == "" {
		return no(pgwire.CodeMissing, "field unique: is missing")
	}
	table, found := pgwire.TableOf(f.Statement)
	if !found {
		return no(pgwire.CodeField, "the statement names no group of tables")
	}
	cmd := &request.Query{ID: f.ID, Class: profile, ClassName: f.Verb, Tenant: tenant, IdempotencyKey: f.Unique,
		OrderingKey: router.OrderingKey(f.Item), EstimatedWork: f.CPU, EstimatedMemoryMB: f.EstMB, Tables: router.TableGroup(table.Group),
		FirstOnConnection: !ses.used, ReadAt: now, TimeLeft: ses.within(f.LimitMS),
		ClientTimeout: time.Duration(p.ClientTimeout * float64(time.Millisecond))}
	if ses.server.describe {
		c := described(f, profile, table, ses.name, ses.conn.LocalAddr().String())
		if cmd.RuleInput = &c; ses.server.rules.Load() != nil {
			if why := ses.server.rule(cmd, c); why != "" {
				return nil, pgwire.AppendError(nil, false, pgwire.CodeRule, why)
			}
		}
	}
	cmd.Statement, ses.used = append([]byte(nil), f.Statement...), true
	return cmd, nil
}

// described is a command as rules see it.
func described(f pgwire.Fields, profile router.ClassID, table pgwire.Table, application, listener string) rules.Command {
	c := rules.Command{Profile: profile, Tenant: f.Team, Schema: table.Schema, Table: table.Name,
		Tables: router.TableGroup(table.Group), Key: router.OrderingKey(f.Item), Estimate: f.CPU, NeedMB: f.EstMB,
		Left: f.LimitMS, Front: "postgres", Application: application, Listener: listener}
	for _, l := range f.Labels {
		c.Labels = append(c.Labels, match.Label{Name: l.Name, Text: l.Text})
	}
	return c
}

// Describe is a query as rules see it, for those who try rules without a controller; its error names the field.
func Describe(query []byte, names *settings.Names, application, listener string) (rules.Command, error) {
	f, err := pgwire.ParseQuery(query)
	if err != nil {
		return rules.Command{}, err
	}
	profile, known := names.Classes[f.Verb]
	if !known {
		return rules.Command{}, &pgwire.FieldError{Field: "verb", Why: fmt.Sprintf("%.60q is no profile", f.Verb)}
	}
	table, found := pgwire.TableOf(f.Statement)
	if !found {
		return rules.Command{}, &pgwire.FieldError{Field: "statement", Why: "names no group of tables"}
	}
	return described(f, profile, table, application, listener), nil
}

// within is how long after its reading a command must be answered at the latest. Against answers at the last moment
// that come too late: on a crowded day some of thousands did, though written ahead of the client's timeout.
func (ses *session) within(limitMS float64) time.Duration {
	limit := time.Duration(limitMS * float64(time.Millisecond))
	return limit - min(ses.server.limits.AnswerTime, limit/8)
}

func blank(text []byte) bool {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' && c != ';' {
			return false
		}
	}
	return true
}

// wait posts a command, waits for its answer and writes it.
func (ses *session) wait(cmd *request.Query) error {
	ses.mu.Lock()
	ses.open = cmd
	overtaken := time.Since(ses.cancelledAt) < ses.server.limits.CancelTime
	ses.mu.Unlock()
	ready := make(chan struct{})
	ses.conn.SetReadDeadline(time.Time{})
	cmd.OnAnswer(func() {
		ses.conn.SetReadDeadline(past) // first: after ready, the next read has a deadline of its own
		close(ready)
	})
	if overtaken {
		cmd.Finish(request.Answer{Verdict: request.Disconnected})
	} else if !ses.server.offer(QueryArrived{cmd}) {
		cmd.Finish(request.Answer{Verdict: request.Rejected, RetryAfter: ses.server.away()})
	}
	err := ses.watch()
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errFlood) {
		ses.giveUp(false)
		return err
	}
	<-ready
	ses.mu.Lock()
	ses.open = nil
	ses.mu.Unlock()
	if wrote := ses.answer(cmd.Answer()); wrote != nil || !errors.Is(err, errFlood) {
		return wrote
	}
	ses.refuse(pgwire.CodeTooLong, fmt.Sprintf("behind an open command: holds %d bytes at most", ses.server.limits.MessageBytes))
	return err
}

// errFlood is of a client that wrote more behind an open command than is held.
var errFlood = errors.New("too much behind an open command")

// watch reads on while a command is open, to notice that its client leaves, also behind what it has written ahead:
// that is kept, with the time at which it came, and what is too much to keep is dropped, with the session's end to
// follow. The error is that of the deadline when the answer is there, errFlood if there also was too much, and any
// other when the client has left.
func (ses *session) watch() error {
	most := ses.server.limits.MessageBytes
	for {
		have := ses.r.Buffered()
		if have > 0 && ses.readAt.IsZero() {
			ses.readAt = time.Now()
			ses.server.touch(ses.readAt)
		}
		if have >= most {
			break
		}
		if have == ses.r.Size() {
			ses.widen(min(2*have, most))
		}
		if _, err := ses.r.Peek(have + 1); err != nil {
			return err
		}
		if kind, _ := ses.r.Peek(1); kind[0] == 'X' {
			return net.ErrClosed
		}
	}
	ses.server.counts.flooded.Add(1)
	if _, err := io.Copy(io.Discard, ses.conn); errors.Is(err, os.ErrDeadlineExceeded) {
		return errFlood
	}
	return net.ErrClosed
}

// giveUp takes in that the client no longer waits for what is open or, if early, for what it is about to be.
func (ses *session) giveUp(early bool) {
	ses.mu.Lock()
	cmd := ses.open
	if cmd == nil && early {
		ses.cancelledAt = time.Now()
	}
	ses.mu.Unlock()
	if cmd != nil && cmd.Finish(request.Answer{Verdict: request.Disconnected}) {
		ses.server.post(ClientDisconnected{cmd})
	}
}

func (ses *session) answer(a request.Answer) error {
	switch a.Verdict {
	case request.Rejected:
		return ses.write(pgwire.AppendReady(pgwire.AppendShed(nil, a.RetryAfter)))
	case request.Failed:
		return ses.write(pgwire.AppendReady(pgwire.AppendError(nil, false, pgwire.CodeFailed, "the command failed")))
	case request.Disconnected:
		const why = "the command was given up at its client's request"
		return ses.write(pgwire.AppendReady(pgwire.AppendError(nil, false, pgwire.CodeCancelled, why)))
	}
	parts := net.Buffers{pgwire.AppendRowDescription(nil)}
	rows := 0
	for _, page := range a.Pages {
		b, n := pgwire.AppendRows(make([]byte, 0, 2*len(page)), page)
		parts, rows = append(parts, b), rows+n
	}
	return ses.write(append(parts, pgwire.AppendReady(pgwire.AppendComplete(nil, rows)))...)
}

func (ses *session) write(parts ...[]byte) error {
	ses.conn.SetWriteDeadline(time.Now().Add(ses.server.limits.WriteTime))
	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(ses.conn)
	return err
}

// refuse tells the client why its session ends.
func (ses *session) refuse(code, why string) {
	ses.server.note(ses, why)
	ses.write(pgwire.AppendError(nil, true, code, why))
}
