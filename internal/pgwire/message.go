package pgwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
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

// headBytes is the size of a message's type and length. The length includes its own four bytes, but
// not the type.
const headBytes = 5

// PeekMessage returns the type and body of the next message, of at most maxBytes, without consuming
// it. size is the number of bytes to discard afterwards; with ErrBufferTooSmall it is the buffer
// size that the message needs. The body is valid until the next call on the reader.
func PeekMessage(r *bufio.Reader, maxBytes int) (kind byte, body []byte, size int, err error) {
	head, err := r.Peek(headBytes)
	if err != nil {
		return 0, nil, 0, err
	}
	kind = head[0]
	size = int(binary.BigEndian.Uint32(head[1:])) + 1
	switch {
	case size < headBytes || size > maxDeclaredBytes:
		return kind, nil, size, ErrMalformed
	case size > maxBytes:
		return kind, nil, size, ErrTooLong
	case size > r.Size():
		return kind, nil, size, ErrBufferTooSmall
	}
	message, err := r.Peek(size)
	if err != nil {
		return kind, nil, size, err
	}
	return kind, message[headBytes:], size, nil
}

// QueryText returns the text of a query message up to its terminating zero byte, and whether that
// byte is there and ends the body.
func QueryText(body []byte) (text []byte, whole bool) {
	end := bytes.IndexByte(body, 0)
	return body[:max(0, end)], end >= 0 && end == len(body)-1
}
