// Package frames is how controllers of one fleet talk on a connection: length-framed CBOR, each frame authenticated with a
// key from a file and bound to the fleet, its generation, the sender's run and the frame's place on this connection. A
// connection carries messages one way, from who opened it; the other way goes its nonce alone. Nothing is hidden from who
// listens on the network: what is said are names, loads and epochs. It reads and writes bounded buffers and decides nothing.
//
//	who listens:  "MKFLEET1", nonce of 32 bytes
//	who opened:   a hello, then frames, each:
//	  length   4 bytes, unsigned and big-endian
//	  payload  CBOR
//	  mac      16 bytes, of HMAC-SHA256 over the frame's number on the connection and the payload
//
// The hello is authenticated with the fleet's key over the listener's nonce, so it can't be said again; the frames after it
// with a key made of both nonces, so none can be moved, repeated or left out on its connection.
package frames

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"os"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
)

const (
	magic     = "MKFLEET1"
	nonceSize = 32
	macSize   = 16

	lengthBytes = 4
	// Overhead is what a frame has beside its payload, in bytes.
	Overhead = lengthBytes + macSize
	// HelloBytes and FrameBytes bound what is read ahead of any memory that a length asks for.
	HelloBytes = 512
	FrameBytes = 1 << 20
)

// Errors of connections that are ended. None says more to the other side than that it ended.
var (
	ErrForeign = errors.New("is no controller of this fleet")
	ErrForged  = errors.New("is not authentic")
	ErrTooLong = errors.New("is too long")
	ErrForm    = errors.New("has a wrong form")
)

// Key is a secret that all of a fleet have.
type Key []byte

// Keys are those of a file. The first one is used; frames made with any are taken, so that keys change while the fleet runs.
type Keys []Key

const (
	leastKey  = 16
	mostKeys  = 8
	mostBytes = 4096
)

// ReadKeys reads a file of keys, one a line, in hexadecimal digits.
func ReadKeys(path string) (Keys, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err != nil {
		return nil, err
	}
	var keys Keys
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := hex.DecodeString(line)
		switch {
		case err != nil:
			return nil, fmt.Errorf("%s: a line is no hexadecimal number", path)
		case len(key) < leastKey:
			return nil, fmt.Errorf("%s: a key has under %d bytes", path, leastKey)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > mostKeys || len(text) > mostBytes {
		return nil, fmt.Errorf("%s: holds %d keys: 1 to %d are possible", path, len(keys), mostKeys)
	}
	return keys, nil
}

// Hello is what who opens a connection says first.
type Hello struct {
	Fleet      string     `cbor:"1,keyasint"`
	Generation uint64     `cbor:"2,keyasint"`
	From       members.ID `cbor:"3,keyasint"`
	Run        uint64     `cbor:"4,keyasint"`
	To         members.ID `cbor:"5,keyasint"` // empty: whoever is there
	Nonce      []byte     `cbor:"6,keyasint"`
}

// Decoder reads what others send: bounded in elements and nesting, without indefinite lengths.
var Decoder = must(cbor.DecOptions{MaxArrayElements: 8192, MaxMapPairs: 1024, MaxNestedLevels: 12,
	IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

func nonce() []byte {
	b := make([]byte, nonceSize)
	rand.Read(b) // never fails
	return b
}

func sum(key Key, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(p))))
		h.Write(p)
	}
	return h.Sum(nil)
}

// Challenge is what who listens writes first.
func Challenge(w io.Writer) ([]byte, error) {
	n := nonce()
	_, err := w.Write(append([]byte(magic), n...))
	return n, err
}

// Writer writes frames.
type Writer struct {
	w      io.Writer
	mac    hash.Hash
	number uint64
}

// Open reads the challenge and says hello.
func Open(rw io.ReadWriter, key Key, h Hello) (*Writer, error) {
	head := make([]byte, len(magic)+nonceSize)
	if _, err := io.ReadFull(rw, head); err != nil {
		return nil, err
	}
	if string(head[:len(magic)]) != magic {
		return nil, ErrForeign
	}
	theirs := head[len(magic):]
	h.Nonce = nonce()
	payload, err := cbor.Marshal(h)
	if err != nil || len(payload) > HelloBytes {
		return nil, ErrTooLong
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	frame = append(append(frame, payload...), sum(key, []byte("hello"), theirs, payload)[:macSize]...)
	if _, err := rw.Write(frame); err != nil {
		return nil, err
	}
	return &Writer{w: rw, mac: hmac.New(sha256.New, sum(key, []byte("frames"), theirs, payload))}, nil
}

func macOf(h hash.Hash, number uint64, payload []byte) []byte {
	h.Reset()
	h.Write(binary.BigEndian.AppendUint64(nil, number))
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}

// Write sends one payload.
func (w *Writer) Write(payload []byte) error {
	if len(payload) > FrameBytes {
		return ErrTooLong
	}
	w.number++
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(payload)+macSize), uint32(len(payload)))
	frame = append(append(frame, payload...), macOf(w.mac, w.number, payload)...)
	_, err := w.w.Write(frame)
	return err
}

// Reader reads frames.
type Reader struct {
	r      *bufio.Reader
	mac    hash.Hash
	number uint64
	Hello  Hello
}

// Accept reads the hello that answers a challenge.
func Accept(r io.Reader, challenge []byte, keys Keys, fleet string, generation uint64, self members.ID) (*Reader, error) {
	br := bufio.NewReaderSize(r, 4096)
	payload, mac, err := read(br, HelloBytes)
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		if !hmac.Equal(mac, sum(key, []byte("hello"), challenge, payload)[:macSize]) {
			continue
		}
		var h Hello
		if err := Decoder.Unmarshal(payload, &h); err != nil || h.From == "" || len(h.From) > 64 {
			return nil, ErrForm
		}
		if h.Fleet != fleet || h.Generation != generation || h.To != "" && h.To != self {
			return nil, fmt.Errorf("%w: it is of %q, generation %d", ErrForeign, h.Fleet, h.Generation)
		}
		return &Reader{r: br, mac: hmac.New(sha256.New, sum(key, []byte("frames"), challenge, payload)), Hello: h}, nil
	}
	return nil, ErrForged
}

// Await waits until a frame has begun to come, and returns the length that it claims.
func (r *Reader) Await() (length int, err error) {
	head, err := r.r.Peek(lengthBytes)
	if err != nil {
		return 0, err
	}
	return int(binary.BigEndian.Uint32(head)), nil
}

// Read is the next payload. It holds no more memory than has come.
func (r *Reader) Read() ([]byte, error) {
	payload, mac, err := read(r.r, FrameBytes)
	if err != nil {
		return nil, err
	}
	r.number++
	if !hmac.Equal(mac, macOf(r.mac, r.number, payload)) {
		return nil, ErrForged
	}
	return payload, nil
}

// read reads a frame as it comes: a length that claims much takes memory only as fast as bytes arrive.
func read(r *bufio.Reader, most int) (payload, mac []byte, err error) {
	head := make([]byte, lengthBytes)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, nil, err
	}
	length := int(binary.BigEndian.Uint32(head))
	if length > most {
		return nil, nil, ErrTooLong
	}
	all := make([]byte, 0, min(length+macSize, 4096))
	for len(all) < length+macSize {
		n := min(length+macSize-len(all), max(4096, len(all)))
		at := len(all)
		all = append(all, make([]byte, n)...)
		if _, err := io.ReadFull(r, all[at:]); err != nil {
			return nil, nil, err
		}
	}
	return all[:length], all[length:], nil
}
