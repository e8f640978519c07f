package pgwire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"
)

// Types of the messages that are written.
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

// sessionParameters are sent to a client when its session opens; drivers read them.
var sessionParameters = [...]struct{ name, value string }{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// beginMessage appends a message's type and room for its length, for endMessage to fill in.
func beginMessage(b []byte, kind byte) (all []byte, lengthAt int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

// endMessage fills in the length of a message that ends here, at the place from beginMessage.
func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

// appendStrings writes texts, each with a zero byte behind it.
func appendStrings(b []byte, texts ...string) []byte {
	for _, s := range texts {
		b = append(append(b, s...), 0)
	}
	return b
}

// AppendSessionStart opens a session, without asking for a password.
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

// AppendReady says that the next query may come.
func AppendReady(b []byte) []byte { return append(b, messageReadyForQuery, 0, 0, 0, 5, statusIdle) }

// AppendEmptyQuery answers an empty query.
func AppendEmptyQuery(b []byte) []byte { return append(b, messageEmptyQuery, 0, 0, 0, 4) }

// AppendError writes an error; a fatal one ends the session.
func AppendError(b []byte, fatal bool, code, message string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	b, at := beginMessage(b, messageError)
	b = appendStrings(b, "S"+severity, "V"+severity, "C"+code, "M"+message)
	return endMessage(append(b, 0), at)
}

// AppendRejected writes the error that allows the client to retry, after retryAfter if that is
// above 0. Clients parse the message, so its words stay.
func AppendRejected(b []byte, retryAfter time.Duration) []byte {
	message := "shed: trying again is harmless"
	if ms := retryAfter.Milliseconds(); ms > 0 {
		message += fmt.Sprintf("; later=%d", ms)
	}
	return AppendError(b, false, CodeNoResources, message)
}

// Columns is the number of a result's columns, which are all text.
const Columns = 3

var columnNames = [Columns]string{"column1", "column2", "column3"}

// textOID is PostgreSQL's number of the type text.
const textOID = 25

// AppendRowDescription announces the columns.
func AppendRowDescription(b []byte) []byte {
	b, at := beginMessage(b, messageRowDescription)
	b = binary.BigEndian.AppendUint16(b, Columns)
	for _, name := range columnNames {
		b = appendStrings(b, name)
		b = append(b, 0, 0, 0, 0, 0, 0) // of no table
		b = binary.BigEndian.AppendUint32(b, textOID)
		b = append(b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0) // of any length, as text
	}
	return endMessage(b, at)
}

// AppendRows writes the rows of a page and returns their number. In a page, columns are separated
// by tabs and each row ends in a line feed.
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

// AppendComplete ends a result.
func AppendComplete(b []byte, rows int) []byte {
	b, at := beginMessage(b, messageCommandComplete)
	return endMessage(appendStrings(b, "SELECT "+strconv.Itoa(rows)), at)
}
