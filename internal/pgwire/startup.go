package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
)

// Codes of start-up messages.
const (
	majorVersion = 3 // in the upper half of the code of a message that starts a session
	cancelCode   = 80877102
	sslCode      = 80877103
	gssCode      = 80877104
)

// Sizes of start-up messages in bytes, the length included.
const (
	startUpHeadBytes = 8  // length and code
	cancelBytes      = 16 // with a cancel key
)

// maxDeclaredBytes is the largest length that a message may claim. Bytes that claim more are of
// another protocol.
const maxDeclaredBytes = 1 << 30

// applicationParameter is the parameter by which clients name themselves.
const applicationParameter = "application_name"

// CancelKey is what a cancel request has to send to name a session.
type CancelKey struct{ SessionID, Secret uint32 }

// StartKind is what a connection begins with.
type StartKind int

const (
	// StartSession opens a session.
	StartSession StartKind = iota
	// StartCancel asks to cancel the open query of a session, and nothing else follows.
	StartCancel
	// StartEncryption asks for encryption. It is answered by EncryptionRefused, and another start-up
	// message follows.
	StartEncryption
)

// StartUp is the first message of a connection.
type StartUp struct {
	Kind        StartKind
	CancelKey   CancelKey // of StartCancel
	Application string    // of StartSession: the client's name for itself
}

// ReadStartUp takes the first message of a connection. It must fit the reader's buffer, or the
// error is ErrTooLong.
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

// parseStartUp reads a whole start-up message.
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

// parameter returns one of a start-up message's parameters, which are names and values that end in
// a zero; empty: it is not there.
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
