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

	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
	"mintkeel/internal/socket"
)

// session is a client connection. Its goroutine owns all fields that are not marked otherwise.
type session struct {
	server         *Server
	conn           *socket.Conn
	smallReader    *bufio.Reader    // large enough for most messages
	reader         *bufio.Reader    // smallReader, or a larger one while a message needs it
	key            pgwire.CancelKey // set by admit
	application    string           // the application name from the start-up message
	connectedAt    time.Time
	pipelinedAt    time.Time // when data was first seen behind an open query; zero if there is none
	sentValidQuery bool      // it has sent a valid query that no rule rejected
	skipToSync     bool      // messages of the extended protocol are discarded until a Sync
	sentQuery      bool      // it has sent a query message; written under the server's mutex

	// Guarded by the server's mutex:
	idleSince   time.Time     // when it last became idle
	idleElement *list.Element // its element in the server's list of idle sessions; nil: it is not idle
	idleKind    idleKind      // of idleElement

	closing atomic.Bool // input is discarded from now on; set under the server's mutex

	// Accessed also by other sessions, for cancel requests:

	mu            sync.Mutex     // guards all below
	openQuery     *request.Query // nil: none
	earlyCancelAt time.Time      // when a cancel request came while no query was open
}

func newSession(s *Server, conn net.Conn) *session {
	now := time.Now()
	c := socket.NewConn(conn, s.limits.ClientMessageBytes)
	r := bufio.NewReaderSize(c, s.limits.ClientReadBufferBytes)
	return &session{server: s, conn: c, smallReader: r, reader: r, connectedAt: now, idleSince: now}
}

// run serves the session until it ends.
func (ses *session) run() {
	ses.conn.SetReadDeadline(ses.connectedAt.Add(ses.server.limits.FirstQueryTimeout))
	if !ses.readStartUp() || ses.write(pgwire.AppendSessionStart(nil, ses.key)) != nil {
		return
	}
	for {
		kind, body, size, err := ses.nextMessage()
		if ses.idleTooLong(err) && !ses.server.closeIdleSession(ses) {
			continue // input has come since the deadline passed
		}
		if err != nil {
			ses.failRead(err, "message")
			return
		}
		readAt := time.Now()
		if !ses.pipelinedAt.IsZero() {
			readAt = ses.pipelinedAt
			ses.pipelinedAt = time.Time{}
		}
		isQuery := kind == pgwire.MessageQuery
		if !ses.server.beginMessage(ses, isQuery) {
			return
		}
		err = ses.handleMessage(kind, body, size, readAt)
		if errors.Is(err, pgwire.ErrMalformed) {
			ses.failRead(err, "message")
		}
		ses.server.endMessage(ses, isQuery)
		if err != nil {
			return
		}
	}
}

// reject answers a new connection with the error "too many connections". A cancel request needs no
// session and is still served.
func (ses *session) reject() {
	ses.conn.SetReadDeadline(ses.connectedAt.Add(ses.server.limits.ClientCloseTimeout))
	if ses.readStartUp() {
		ses.server.counts.rejected.Add(1)
		ses.write(pgwire.AppendError(nil, true, pgwire.CodeTooManyConnections, "too many connections"))
	}
}

// readStartUp handles the start-up messages and reports whether they open a session.
func (ses *session) readStartUp() bool {
	for {
		start, err := pgwire.ReadStartUp(ses.reader)
		if err != nil {
			ses.failRead(err, "start-up message")
			return false
		}
		switch start.Kind {
		case pgwire.StartSession:
			ses.application = start.Application
			return true
		case pgwire.StartCancel:
			ses.server.cancel(start.CancelKey)
			return false
		}
		if ses.write(pgwire.EncryptionRefused) != nil {
			return false
		}
	}
}

// idleTooLong reports whether the error of nextMessage says that the client, which has sent a
// query, was silent between two messages for ClientIdleTimeout.
func (ses *session) idleTooLong(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && ses.sentQuery && ses.reader.Buffered() == 0
}

// errTerminated ends the session of a client that has sent a Terminate message.
var errTerminated = errors.New("terminated by the client")

// handleMessage handles one complete message and removes it from the buffer. An error ends the
// session.
func (ses *session) handleMessage(kind byte, body []byte, size int, readAt time.Time) error {
	switch kind {
	case pgwire.MessageTerminate:
		return errTerminated
	case pgwire.MessageQuery:
		return ses.handleQuery(body, size, readAt)
	case pgwire.MessageSync:
		ses.reader.Discard(size)
		ses.skipToSync = false
		return ses.write(pgwire.AppendReady(nil))
	case pgwire.MessageCopyData, pgwire.MessageCopyDone, pgwire.MessageCopyFail:
		ses.reader.Discard(size) // clients may still send these after an error
		return nil
	case pgwire.MessageParse, pgwire.MessageBind, pgwire.MessageExecute, pgwire.MessageDescribe,
		pgwire.MessageClose, pgwire.MessageFlush, pgwire.MessageFunctionCall:
		ses.reader.Discard(size)
		return ses.refuseUnsupported(kind)
	}
	return pgwire.ErrMalformed
}

// refuseUnsupported answers a message of the extended protocol, or a function call, with an error.
// As the protocol requires, such messages are then discarded up to the next Sync, except after a
// function call, which is answered on its own.
func (ses *session) refuseUnsupported(kind byte) error {
	if ses.skipToSync {
		return nil
	}
	reply := pgwire.AppendError(nil, false, pgwire.CodeUnsupported, "only simple queries are served")
	if kind == pgwire.MessageFunctionCall {
		reply = pgwire.AppendReady(reply)
	} else {
		ses.skipToSync = true
	}
	return ses.write(reply)
}

// nextMessage waits for a complete message, which stays in the buffer. A client must send its first
// query within FirstQueryTimeout of connecting, the rest of a message within ClientMessageTimeout
// of its first byte, and its next message within ClientIdleTimeout.
func (ses *session) nextMessage() (kind byte, body []byte, size int, err error) {
	l := ses.server.limits
	if ses.reader != ses.smallReader && ses.reader.Buffered() == 0 {
		ses.reader = ses.smallReader // idle clients must not keep large buffers
	}
	ses.setReadTimeout(l.ClientIdleTimeout)
	_, err = ses.reader.Peek(1)
	if err != nil {
		return 0, nil, 0, err
	}
	ses.setReadTimeout(l.ClientMessageTimeout)
	kind, body, size, err = pgwire.PeekMessage(ses.reader, l.ClientMessageBytes)
	if errors.Is(err, pgwire.ErrBufferTooSmall) {
		ses.enlargeBuffer(size)
		kind, body, size, err = pgwire.PeekMessage(ses.reader, l.ClientMessageBytes)
	}
	return kind, body, size, err
}

// setReadTimeout sets the deadline of the next reads. For a session that is being closed it is
// ClientCloseTimeout: discardInput sets the closing flag and then the deadline, while
// setReadTimeout sets the deadline and then reads the flag, so in either order the deadline of the
// close is set last.
func (ses *session) setReadTimeout(timeout time.Duration) {
	l := ses.server.limits
	deadline := time.Now().Add(timeout)
	if firstQueryDeadline := ses.connectedAt.Add(l.FirstQueryTimeout); !ses.sentQuery &&
		firstQueryDeadline.Before(deadline) {
		deadline = firstQueryDeadline
	}
	ses.conn.SetReadDeadline(deadline)
	if ses.closing.Load() {
		ses.conn.SetReadDeadline(time.Now().Add(l.ClientCloseTimeout))
	}
}

// enlargeBuffer replaces the read buffer with a larger one and keeps the buffered bytes.
func (ses *session) enlargeBuffer(size int) {
	buffered, _ := ses.reader.Peek(ses.reader.Buffered())
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), ses.conn)
	ses.reader = bufio.NewReaderSize(rest, size)
	ses.reader.Peek(len(buffered))
	ses.smallReader.Reset(ses.conn)
}

// failRead writes the error that ends a session after a failed read; what names what was being
// read. A client that has disconnected, or was idle between queries for too long, gets no error.
func (ses *session) failRead(err error, what string) {
	c := &ses.server.counts
	switch {
	case ses.closing.Load():
	case errors.Is(err, pgwire.ErrMalformed):
		c.malformed.Add(1)
		ses.endWithError(pgwire.CodeProtocol, "malformed "+what)
	case errors.Is(err, pgwire.ErrTooLong):
		c.tooLong.Add(1)
		ses.endWithError(pgwire.CodeTooLong,
			fmt.Sprintf("%s: holds %d bytes at most", what, ses.server.limits.ClientMessageBytes))
	case errors.Is(err, os.ErrDeadlineExceeded) && (ses.reader.Buffered() > 0 || !ses.sentQuery):
		c.timedOut.Add(1) // within a message, or before the first query
		ses.endWithError(pgwire.CodeProtocol, what+": not whole in time")
	}
}

// endWithError logs why a session ends and writes the reason to the client as a fatal error.
func (ses *session) endWithError(code, why string) {
	ses.server.logBadClient(ses, why)
	ses.write(pgwire.AppendError(nil, true, code, why))
}

// write writes all parts in one call, within ClientWriteTimeout.
func (ses *session) write(parts ...[]byte) error {
	buffers := net.Buffers(parts)
	_, err := ses.conn.WriteBuffers(&buffers, time.Now().Add(ses.server.limits.ClientWriteTimeout))
	return err
}
