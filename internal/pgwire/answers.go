package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"
)

// Types of the messages that the gateway sends.
const (
	messageAuthentication  = 'R'
	messageParameterStatus = 'S'
	messageBackendKeyData  = 'K'
	messageReadyForQuery   = 'Z'
	messageEmptyQuery      = 'I'
	messageError           = 'E'
	messageRowDescription  = 'T'
	messageDataRow         = 'D'
	messageCommandComplete = 'C'
)

// statusIdle is the transaction status of a session that is in no transaction.
const statusIdle = 'I'

// EncryptionRefused answers a request for encryption.
var EncryptionRefused = []byte{'N'}

// sessionParameters are reported to the client when its session starts; drivers read them.
var sessionParameters = [...]struct{ name, value string }{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// beginMessage appends a message's type and a placeholder for its length, at lengthAt, which
// endMessage fills in.
func beginMessage(b []byte, kind byte) (all []byte, lengthAt int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

// endMessage fills in the length of the message that ends b; lengthAt is from beginMessage.
func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendStrings appends texts, each terminated by a zero byte.
func appendStrings(b []byte, texts ...string) []byte {
	for _, s := range texts {
		b = append(append(b, s...), 0)
	}
	return b
}

// AppendSessionStart appends the messages that start a session, without authentication.
func AppendSessionStart(b []byte, key CancelKey) []byte {
	b, at := beginMessage(b, messageAuthentication)
	b = endMessage(append(b, 0, 0, 0, 0), at) // AuthenticationOk
	for _, parameter := range sessionParameters {
		b, at = beginMessage(b, messageParameterStatus)
		b = endMessage(appendStrings(b, parameter.name, parameter.value), at)
	}
	b, at = beginMessage(b, messageBackendKeyData)
	b = binary.BigEndian.AppendUint32(b, key.SessionID)
	b = endMessage(binary.BigEndian.AppendUint32(b, key.Secret), at)
	return AppendReady(b)
}

// AppendReady appends the message that the session is ready for the next query.
func AppendReady(b []byte) []byte { return append(b, messageReadyForQuery, 0, 0, 0, 5, statusIdle) }

// AppendEmptyQuery appends the answer to an empty query.
func AppendEmptyQuery(b []byte) []byte { return append(b, messageEmptyQuery, 0, 0, 0, 4) }

// AppendError appends an error; a fatal one ends the session.
func AppendError(b []byte, fatal bool, code, message string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	b, at := beginMessage(b, messageError)
	b = appendStrings(b, "S"+severity, "V"+severity, "C"+code, "M"+message)
	return endMessage(append(b, 0), at)
}

// AppendRejected appends the error that tells the client that a retry is safe, after retryAfter if
// that is above 0. Clients parse the message, so its text must not change.
func AppendRejected(b []byte, retryAfter time.Duration) []byte {
	message := "shed: trying again is harmless"
	if ms := retryAfter.Milliseconds(); ms > 0 {
		message += fmt.Sprintf("; later=%d", ms)
	}
	return AppendError(b, false, CodeNoResources, message)
}

// Columns is the number of columns of a result. All have the type text.
const Columns = 3

var columnNames = [Columns]string{"column1", "column2", "column3"}

// textOID is the object id of PostgreSQL's type text.
const textOID = 25

// AppendRowDescription appends the description of the columns.
func AppendRowDescription(b []byte) []byte {
	b, at := beginMessage(b, messageRowDescription)
	b = binary.BigEndian.AppendUint16(b, Columns)
	for _, name := range columnNames {
		b = appendStrings(b, name)
		b = append(b, 0, 0, 0, 0, 0, 0) // of no table: table id and column number 0
		b = binary.BigEndian.AppendUint32(b, textOID)
		b = append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0) // any length, no type modifier, as text
	}
	return endMessage(b, at)
}

// AppendRows appends the rows of a page and returns their number. In a page, tabs separate the
// columns of a row, and a line feed terminates it.
func AppendRows(b, page []byte) (all []byte, rows int) {
	for len(page) > 0 {
		line, rest, _ := bytes.Cut(page, []byte{'\n'})
		var at int
		b, at = beginMessage(b, messageDataRow)
		b = binary.BigEndian.AppendUint16(b, Columns)
		for column := range bytes.SplitSeq(line, []byte{'\t'}) {
			b = binary.BigEndian.AppendUint32(b, uint32(len(column)))
			b = append(b, column...)
		}
		b = endMessage(b, at)
		page = rest
		rows++
	}
	return b, rows
}

// AppendComplete appends the message that ends a result of rows.
func AppendComplete(b []byte, rows int) []byte {
	b, at := beginMessage(b, messageCommandComplete)
	return endMessage(appendStrings(b, "SELECT "+strconv.Itoa(rows)), at)
}
