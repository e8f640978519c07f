package clients

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"mintkeel/internal/pgwire"
	"mintkeel/internal/request"
)

// errPipelineFull ends the session of a client that pipelined more than ClientMessageBytes behind
// an open query.
var errPipelineFull = errors.New("too many bytes pipelined behind an open query")

// execute passes a query on, waits for its answer and writes it. An error ends the session.
func (ses *session) execute(query *request.Query) error {
	ses.mu.Lock()
	ses.openQuery = query
	cancelledEarly := time.Since(ses.earlyCancelAt) < ses.server.limits.EarlyCancelWindow
	ses.mu.Unlock()
	answered := make(chan struct{})
	ses.conn.SetReadDeadline(time.Time{})
	query.OnAnswer(func() {
		// Set before answered is closed: after that the next read sets a deadline of its own.
		ses.conn.Interrupt()
		close(answered)
	})
	switch {
	case cancelledEarly:
		query.Finish(request.Answer{Verdict: request.Disconnected})
	case !ses.server.offer(QueryArrived{query}):
		query.Finish(request.Answer{Verdict: request.Rejected, RetryAfter: ses.server.retryAfter()})
	}
	err := ses.watchForDisconnect()
	pipelineFull := errors.Is(err, errPipelineFull)
	if !pipelineFull && !errors.Is(err, os.ErrDeadlineExceeded) {
		ses.abandonQuery(false)
		return err
	}
	<-answered
	ses.mu.Lock()
	ses.openQuery = nil
	ses.mu.Unlock()
	if writeErr := ses.writeAnswer(query.Answer()); writeErr != nil || !pipelineFull {
		return writeErr
	}
	why := fmt.Sprintf("behind an open command: holds %d bytes at most",
		ses.server.limits.ClientMessageBytes)
	ses.endWithError(pgwire.CodeTooLong, why)
	return err
}

// watchForDisconnect keeps reading while a query is open, to detect that its client disconnects.
// Pipelined data is buffered up to ClientMessageBytes, and the time at which it was first seen is
// recorded; beyond that it is discarded and the session must end. The error is
// os.ErrDeadlineExceeded when the answer is there, errPipelineFull if too much was pipelined before
// the answer, and any other error if the client has disconnected.
func (ses *session) watchForDisconnect() error {
	maxBytes := ses.server.limits.ClientMessageBytes
	for {
		buffered := ses.reader.Buffered()
		if buffered > 0 && ses.pipelinedAt.IsZero() {
			ses.pipelinedAt = time.Now()
			ses.server.recordPipelinedQuery(ses.pipelinedAt)
		}
		if buffered >= maxBytes {
			break
		}
		if buffered == ses.reader.Size() {
			ses.enlargeBuffer(min(2*buffered, maxBytes))
		}
		if _, err := ses.reader.Peek(buffered + 1); err != nil {
			return err
		}
		if kind, _ := ses.reader.Peek(1); kind[0] == pgwire.MessageTerminate {
			return errTerminated
		}
	}
	ses.server.counts.pipelineFull.Add(1)
	if _, err := io.Copy(io.Discard, ses.conn); errors.Is(err, os.ErrDeadlineExceeded) {
		return errPipelineFull
	}
	return net.ErrClosed
}

// abandonQuery cancels the open query, as its client no longer waits for the answer. If no query is
// open and a cancel request is the cause, a query that is executed within EarlyCancelWindow is
// cancelled instead: the request may have overtaken it.
func (ses *session) abandonQuery(cancelRequest bool) {
	ses.mu.Lock()
	query := ses.openQuery
	if query == nil && cancelRequest {
		ses.earlyCancelAt = time.Now()
	}
	ses.mu.Unlock()
	if query != nil && query.Finish(request.Answer{Verdict: request.Disconnected}) {
		ses.server.report(ClientDisconnected{query})
	}
}

// writeAnswer writes the answer of a query, followed by ReadyForQuery.
func (ses *session) writeAnswer(answer request.Answer) error {
	switch answer.Verdict {
	case request.Rejected:
		return ses.write(pgwire.AppendReady(pgwire.AppendRejected(nil, answer.RetryAfter)))
	case request.Failed:
		return ses.writeError(pgwire.CodeFailed, "the command failed")
	case request.Disconnected:
		return ses.writeError(pgwire.CodeCancelled, "the command was given up at its client's request")
	}
	parts := net.Buffers{pgwire.AppendRowDescription(nil)}
	rowCount := 0
	for _, page := range answer.Pages {
		rows, n := pgwire.AppendRows(make([]byte, 0, 2*len(page)), page)
		parts = append(parts, rows)
		rowCount += n
	}
	parts = append(parts, pgwire.AppendReady(pgwire.AppendComplete(nil, rowCount)))
	return ses.write(parts...)
}

// writeError answers a query with an error that does not end the session.
func (ses *session) writeError(code, message string) error {
	return ses.write(pgwire.AppendReady(pgwire.AppendError(nil, false, code, message)))
}
