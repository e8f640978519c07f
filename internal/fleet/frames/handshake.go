package frames

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
)

const (
	magic     = "MKFLEET1"
	nonceSize = 32 // bytes

	// MaxHelloBytes bounds the payload of a hello, which is read before its sender is authenticated.
	MaxHelloBytes = 512

	maxMemberBytes  = 64   // longest name of a controller
	readBufferBytes = 4096 // size of a reader's buffer
)

// Labels separate the authentication codes of hellos from the keys of frames.
const (
	helloLabel  = "hello"
	framesLabel = "frames"
)

// Errors after which the connection has to be closed. None is reported to the other side.
var (
	ErrForeign   = errors.New("is not a controller of this fleet")
	ErrForged    = errors.New("is not authentic")
	ErrTooLong   = errors.New("is too long")
	ErrMalformed = errors.New("is malformed")
)

// Hello is the first message on a connection, sent by the controller that opened it.
type Hello struct {
	Fleet      string     `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"` // of the fleet
	From       members.ID `cbor:"3,keyasint"`
	Run        uint64     `cbor:"4,keyasint"` // of the sender
	To         members.ID `cbor:"5,keyasint"` // empty for any controller
	Nonce      []byte     `cbor:"6,keyasint"`
}

// Challenge writes the challenge with which the listener starts a connection, and returns its nonce
// for Accept.
func Challenge(w io.Writer) (nonce []byte, err error) {
	nonce = newNonce()
	_, err = w.Write(append([]byte(magic), nonce...))
	return nonce, err
}

// Open reads the challenge, answers it with the hello and a new nonce, and returns a writer for the
// frames that follow.
func Open(rw io.ReadWriter, key Key, hello Hello) (*Writer, error) {
	challenge := make([]byte, len(magic)+nonceSize)
	if _, err := io.ReadFull(rw, challenge); err != nil {
		return nil, err
	}
	if string(challenge[:len(magic)]) != magic {
		return nil, ErrForeign
	}
	nonce := challenge[len(magic):]
	hello.Nonce = newNonce()
	payload, err := cbor.Marshal(hello)
	if err != nil || len(payload) > MaxHelloBytes {
		return nil, ErrTooLong
	}
	frame := appendFrame(nil, payload, helloMAC(key, nonce, payload))
	if _, err := rw.Write(frame); err != nil {
		return nil, err
	}
	return &Writer{w: rw, mac: hmac.New(sha256.New, framesKey(key, nonce, payload))}, nil
}

// Accept reads the hello that answers the challenge with this nonce. Its errors are ErrForged for a
// sender without one of the keys, ErrForeign for one of another fleet or generation or one that
// addresses another controller, ErrMalformed, ErrTooLong and those of the connection.
func Accept(
	r io.Reader, nonce []byte, keys Keys, fleet string, generation uint64, self members.ID,
) (*Reader, error) {
	buffered := bufio.NewReaderSize(r, readBufferBytes)
	payload, code, err := readFrame(buffered, MaxHelloBytes)
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		if !hmac.Equal(code, helloMAC(key, nonce, payload)) {
			continue
		}
		var hello Hello
		err := Decoder.Unmarshal(payload, &hello)
		if err != nil || hello.From == "" || len(hello.From) > maxMemberBytes {
			return nil, ErrMalformed
		}
		if hello.Fleet != fleet || hello.Generation != generation || hello.To != "" && hello.To != self {
			return nil, fmt.Errorf("%w: hello of fleet %q, generation %d", ErrForeign, hello.Fleet,
				hello.Generation)
		}
		return &Reader{
			r:     buffered,
			mac:   hmac.New(sha256.New, framesKey(key, nonce, payload)),
			Hello: hello,
		}, nil
	}
	return nil, ErrForged
}

func newNonce() []byte {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce) // never fails
	return nonce
}

// helloMAC returns the authentication code of a hello.
func helloMAC(key Key, nonce, hello []byte) []byte {
	return deriveMAC(key, helloLabel, nonce, hello)[:macSize]
}

// framesKey returns the key that authenticates the frames after a hello.
func framesKey(key Key, nonce, hello []byte) []byte {
	return deriveMAC(key, framesLabel, nonce, hello)
}

// deriveMAC returns the HMAC of a label, the listener's nonce and the hello, each prefixed with its
// length.
func deriveMAC(key Key, label string, nonce, hello []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), nonce, hello} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}
