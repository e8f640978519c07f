package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
)

// Codes of start-up messages, as PostgreSQL defines them.
const (
	majorVersion = 3 // protocol version, in the upper 16 bits of the code that starts a session
	cancelCode   = 80877102
	sslCode      = 80877103
	gssCode      = 80877104
)

// Sizes of start-up messages in bytes, including the length field.
const (
	startUpHeadBytes = 8  // length and code
	cancelBytes      = 16 // with a cancel key
)

// maxDeclaredBytes is the largest length that a message may declare. A larger value shows that the
// peer uses another protocol.
const maxDeclaredBytes = 1 << 30

// applicationParameter is the parameter with the name of the client's application.
const applicationParameter = "application_name"

// CancelKey identifies a session in a cancel request and authorizes the request.
type CancelKey struct{ SessionID, Secret uint32 }

// StartKind is the kind of a start-up message.
type StartKind int

const (
	// StartSession starts a session.
	StartSession StartKind = iota
	// StartCancel requests to cancel the open query of a session. No message follows it.
	StartCancel
	// StartEncryption requests encryption. It is answered by EncryptionRefused, and another start-up
	// message follows.
	StartEncryption
)

// StartUp is a parsed start-up message.
type StartUp struct {
	Kind        StartKind
	CancelKey   CancelKey // of StartCancel
	Application string    // of StartSession: the application's name; empty: none
}

// ReadStartUp consumes and parses a start-up message. The error is ErrTooLong if the message does
// not fit the reader's buffer.
func ReadStartUp(r *bufio.Reader) (StartUp, error) {
	head, err := r.Peek(startUpHeadBytes)
	if err != nil {
		return StartUp{}, err
	}
	size := int(binary.BigEndian.Uint32(head))
	if size < startUpHeadBytes || size > maxDeclaredBytes {
		return StartUp{}, ErrMalformed
	}
	if size > r.Size() {
		return StartUp{}, ErrTooLong
	}
	message, err := r.Peek(size)
	if err != nil {
		return StartUp{}, err
	}
	defer r.Discard(size)
	return parseStartUp(message)
}

// parseStartUp parses a complete start-up message.
func parseStartUp(message []byte) (StartUp, error) {
	code := binary.BigEndian.Uint32(message[4:])
	body := message[startUpHeadBytes:]
	switch {
	case code == cancelCode && len(message) == cancelBytes:
		key := CancelKey{
			SessionID: binary.BigEndian.Uint32(body),
			Secret:    binary.BigEndian.Uint32(body[4:]),
		}
		return StartUp{Kind: StartCancel, CancelKey: key}, nil
	case (code == sslCode || code == gssCode) && len(body) == 0:
		return StartUp{Kind: StartEncryption}, nil
	case code>>16 == majorVersion && (len(body) == 0 || body[len(body)-1] == 0):
		return StartUp{Kind: StartSession, Application: parameter(body, applicationParameter)}, nil
	}
	return StartUp{}, ErrMalformed
}

// parameter returns the value of a start-up message's parameter; empty if it has none of this name.
// The body is a list of names and values, each terminated by a zero byte.
func parameter(body []byte, name string) string {
	for len(body) > 0 {
		next, rest, ok := bytes.Cut(body, []byte{0})
		value, after, whole := bytes.Cut(rest, []byte{0})
		if !ok || !whole {
			return ""
		}
		if string(next) == name {
			return string(value)
		}
		body = after
	}
	return ""
}
