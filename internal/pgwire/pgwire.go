// Package pgwire parses and writes the messages of the PostgreSQL protocol 3.0 that a gateway needs. Parsers work on
// bytes that a bufio.Reader holds and take nothing until a message is whole, so that a read that is broken off can go
// on later.
package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// ErrTooLong is a message longer than is taken.
var ErrTooLong = errors.New("message too long")

// ErrBuffer is a message longer than the reader's buffer, but not too long.
var ErrBuffer = errors.New("message longer than the buffer")

// ErrMalformed is a message that is none of the protocol's.
var ErrMalformed = errors.New("malformed message")

// Codes of start-up messages.
const (
	majorVersion = 3
	cancelCode   = 80877102
	sslCode      = 80877103
	gssCode      = 80877104
	mostClaimed  = 1 << 30 // a length past this is no length
)

// Types of the messages that clients send.
const (
	MessageQuery        = 'Q'
	MessageTerminate    = 'X'
	MessageSync         = 'S'
	MessageParse        = 'P'
	MessageBind         = 'B'
	MessageExecute      = 'E'
	MessageDescribe     = 'D'
	MessageClose        = 'C'
	MessageFlush        = 'H'
	MessageFunctionCall = 'F'
	MessageCopyData     = 'd'
	MessageCopyDone     = 'c'
	MessageCopyFail     = 'f'
)

// Codes of errors.
const (
	CodeNoResources = "53000" // trying again is harmless
	CodeTooMany     = "53300"
	CodeProtocol    = "08P01"
	CodeUnsupported = "0A000"
	CodeField       = "22023"
	CodeMissing     = "22004"
	CodeTooLong     = "54000"
	CodeCancelled   = "57014"
	CodeFailed      = "58000"
	CodeDuplicate   = "42710"
	CodeRule        = "42501"
)

// Key names a session to a CancelRequest.
type Key struct{ Session, Secret uint32 }

// StartKind is what a connection begins with.
type StartKind int

// The kinds of a connection's first message.
const (
	Start   StartKind = iota
	Cancel            // give up what the session of this key has open
	Encrypt           // asks for encryption; answered by NoEncryption
)

// StartUp is the first message of a connection.
type StartUp struct {
	Kind        StartKind
	Key         Key
	Application string // with Start: the client's application_name
}

// ReadStartUp takes the first message of a connection, which must fit the reader's buffer.
func ReadStartUp(r *bufio.Reader) (StartUp, error) {
	head, err := r.Peek(8)
	if err != nil {
		return StartUp{}, err
	}
	size, code := int(binary.BigEndian.Uint32(head)), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > mostClaimed {
		return StartUp{}, ErrMalformed
	}
	if size > r.Size() {
		return StartUp{}, ErrTooLong
	}
	all, err := r.Peek(size)
	if err != nil {
		return StartUp{}, err
	}
	defer r.Discard(size)
	switch {
	case code == cancelCode && size == 16:
		return StartUp{Kind: Cancel, Key: Key{binary.BigEndian.Uint32(all[8:]), binary.BigEndian.Uint32(all[12:])}}, nil
	case (code == sslCode || code == gssCode) && size == 8:
		return StartUp{Kind: Encrypt}, nil
	case code>>16 == majorVersion && (size == 8 || all[size-1] == 0):
		return StartUp{Kind: Start, Application: parameter(all[8:], "application_name")}, nil
	}
	return StartUp{}, ErrMalformed
}

// parameter is one of a start-up message's, which come as names and values that end in a zero.
func parameter(body []byte, want string) string {
	for len(body) > 0 {
		name, rest, ok := bytes.Cut(body, []byte{0})
		value, after, whole := bytes.Cut(rest, []byte{0})
		if !ok || !whole {
			return ""
		}
		if string(name) == want {
			return string(value)
		}
		body = after
	}
	return ""
}

// Peek returns the type and body of the next message, of most bytes at most, without taking it; size is what to
// discard. The body is good until the reader is used again.
func Peek(r *bufio.Reader, most int) (kind byte, body []byte, size int, err error) {
	head, err := r.Peek(5)
	if err != nil {
		return 0, nil, 0, err
	}
	kind, size = head[0], int(binary.BigEndian.Uint32(head[1:]))+1
	if size < 5 || size > mostClaimed {
		return kind, nil, size, ErrMalformed
	}
	if size > most {
		return kind, nil, size, ErrTooLong
	}
	if size > r.Size() {
		return kind, nil, size, ErrBuffer
	}
	all, err := r.Peek(size)
	if err != nil {
		return kind, nil, size, err
	}
	return kind, all[5:], size, nil
}

// Text takes the zero-ended text that is the whole of a query's body.
func Text(body []byte) ([]byte, bool) {
	end := bytes.IndexByte(body, 0)
	return body[:max(0, end)], end >= 0 && end == len(body)-1
}

// begin writes a message's type and leaves room for its length, which end fills in.
func begin(b []byte, kind byte) ([]byte, int) { return append(b, kind, 0, 0, 0, 0), len(b) + 1 }

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func zero(b []byte, texts ...string) []byte {
	for _, s := range texts {
		b = append(append(b, s...), 0)
	}
	return b
}

// NoEncryption answers a request for encryption.
var NoEncryption = []byte{'N'}

// AppendWelcome lets a session in.
func AppendWelcome(b []byte, key Key) []byte {
	b, at := begin(b, 'R')
	b = end(append(b, 0, 0, 0, 0), at)
	for _, pair := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}} {
		b, at = begin(b, 'S')
		b = end(zero(b, pair[0], pair[1]), at)
	}
	b, at = begin(b, 'K')
	b = binary.BigEndian.AppendUint32(b, key.Session)
	b = end(binary.BigEndian.AppendUint32(b, key.Secret), at)
	return AppendReady(b)
}

// AppendReady tells that the next query may come.
func AppendReady(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmpty answers an empty query.
func AppendEmpty(b []byte) []byte { return append(b, 'I', 0, 0, 0, 4) }

// AppendError writes an error; a fatal one ends the session.
func AppendError(b []byte, fatal bool, code, message string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	b, at := begin(b, 'E')
	b = zero(b, "S"+severity, "V"+severity, "C"+code, "M"+message)
	return end(append(b, 0), at)
}

// AppendShed writes the error that allows the client to try again, after a while if that is above 0.
func AppendShed(b []byte, after time.Duration) []byte {
	message := "shed: trying again is harmless"
	if ms := after.Milliseconds(); ms > 0 {
		message += fmt.Sprintf("; later=%d", ms)
	}
	return AppendError(b, false, CodeNoResources, message)
}

// Columns of a result, which are all text.
const Columns = 3

var columnNames = [Columns]string{"column1", "column2", "column3"}

// AppendRowDescription announces the columns.
func AppendRowDescription(b []byte) []byte {
	const textOID = 25
	b, at := begin(b, 'T')
	b = binary.BigEndian.AppendUint16(b, Columns)
	for _, name := range columnNames {
		b = zero(b, name)
		b = append(b, 0, 0, 0, 0, 0, 0) // of no table
		b = binary.BigEndian.AppendUint32(b, textOID)
		b = append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0) // of any length, as text
	}
	return end(b, at)
}

// AppendRows writes the rows of a page, each of which is its columns set apart by tabs, and a line feed.
func AppendRows(b, page []byte) (all []byte, rows int) {
	for ; len(page) > 0; rows++ {
		line, rest, _ := bytes.Cut(page, []byte{'\n'})
		var at int
		b, at = begin(b, 'D')
		b = binary.BigEndian.AppendUint16(b, Columns)
		for column := range bytes.SplitSeq(line, []byte{'\t'}) {
			b = binary.BigEndian.AppendUint32(b, uint32(len(column)))
			b = append(b, column...)
		}
		b, page = end(b, at), rest
	}
	return b, rows
}

// AppendComplete ends a result.
func AppendComplete(b []byte, rows int) []byte {
	b, at := begin(b, 'C')
	return end(zero(b, "SELECT "+strconv.Itoa(rows)), at)
}
