package frames

import (
	"bufio"
	"crypto/hmac"
	"encoding/binary"
	"hash"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	lengthSize = 4  // bytes
	macSize    = 16 // bytes

	// Overhead is the size of a frame without its payload, in bytes.
	Overhead = lengthSize + macSize
	// MaxPayloadBytes bounds the payload of a frame.
	MaxPayloadBytes = 1 << 20

	initialAllocation = 4096 // bytes that a reader allocates before any have arrived
)

// Decoder decodes CBOR from other controllers. It bounds the number of elements and the nesting,
// and rejects indefinite lengths and tags.
var Decoder = mustDecoder(cbor.DecOptions{
	MaxArrayElements: 8192,
	MaxMapPairs:      1024,
	MaxNestedLevels:  12,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
})

func mustDecoder(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Writer writes frames. It is not safe for concurrent use.
type Writer struct {
	w      io.Writer
	mac    hash.Hash
	number uint64 // of the last frame
}

// Write sends one payload, of MaxPayloadBytes at most.
func (w *Writer) Write(payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return ErrTooLong
	}
	w.number++
	frame := make([]byte, 0, len(payload)+Overhead)
	_, err := w.w.Write(appendFrame(frame, payload, frameMAC(w.mac, w.number, payload)))
	return err
}

// Reader reads frames. It is not safe for concurrent use.
type Reader struct {
	r      *bufio.Reader
	mac    hash.Hash
	number uint64 // of the last frame
	Hello  Hello  // of the sender
}

// AwaitFrame waits until a frame has begun to arrive, and returns the payload length that it
// claims.
func (r *Reader) AwaitFrame() (length int, err error) {
	head, err := r.r.Peek(lengthSize)
	if err != nil {
		return 0, err
	}
	return int(binary.BigEndian.Uint32(head)), nil
}

// Read returns the next payload. Its errors are ErrForged, ErrTooLong and those of the connection.
func (r *Reader) Read() ([]byte, error) {
	payload, code, err := readFrame(r.r, MaxPayloadBytes)
	if err != nil {
		return nil, err
	}
	r.number++
	if !hmac.Equal(code, frameMAC(r.mac, r.number, payload)) {
		return nil, ErrForged
	}
	return payload, nil
}

// frameMAC returns the authentication code of the frame with this number.
func frameMAC(mac hash.Hash, number uint64, payload []byte) []byte {
	mac.Reset()
	mac.Write(binary.BigEndian.AppendUint64(nil, number))
	mac.Write(payload)
	return mac.Sum(nil)[:macSize]
}

func appendFrame(dst, payload, code []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	dst = append(dst, payload...)
	return append(dst, code...)
}

// readFrame reads a frame. It allocates memory only as fast as bytes arrive, whatever length the
// frame claims.
func readFrame(r *bufio.Reader, maxPayload int) (payload, code []byte, err error) {
	head := make([]byte, lengthSize)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, nil, err
	}
	length := int(binary.BigEndian.Uint32(head))
	if length > maxPayload {
		return nil, nil, ErrTooLong
	}
	size := length + macSize
	frame := make([]byte, 0, min(size, initialAllocation))
	for len(frame) < size {
		read := len(frame)
		chunk := min(size-read, max(initialAllocation, read))
		frame = append(frame, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, frame[read:]); err != nil {
			return nil, nil, err
		}
	}
	return frame[:length], frame[length:], nil
}
