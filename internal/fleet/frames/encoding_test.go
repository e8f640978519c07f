package frames

// A changed encoding of the hello or of frames fails only with a controller of an earlier build,
// which closes the connection. These tests compare the encoding with what an earlier build sent,
// and read that.

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"io"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/lab/golden"
)

const storedConnection = "testdata/connection"

var (
	storedKey       = Key("0123456789abcdef")
	storedChallenge = bytes.Repeat([]byte{0xc1}, nonceSize)
	storedPayloads  = []string{"first payload", "second payload"}
)

func storedHello(nonce []byte) Hello {
	return Hello{Fleet: "east", Generation: 3, From: "n1", Run: 77, To: "n2", Nonce: nonce}
}

// challengedConn is a connection on which a listener's challenge has arrived. It buffers what is
// written to it.
type challengedConn struct {
	io.Reader
	written bytes.Buffer
}

func (c *challengedConn) Write(b []byte) (int, error) { return c.written.Write(b) }

// writeConnection returns the bytes that a controller writes when it opens a connection and sends
// the payloads.
func writeConnection(t *testing.T) []byte {
	t.Helper()
	connection := &challengedConn{Reader: bytes.NewReader(append([]byte("MKFLEET1"), storedChallenge...))}
	writer, err := Open(connection, storedKey, storedHello(nil))
	if err != nil {
		t.Fatal(err)
	}
	for _, payload := range storedPayloads {
		if err := writer.Write([]byte(payload)); err != nil {
			t.Fatal(err)
		}
	}
	return connection.written.Bytes()
}

func TestHelloEncodingIsStable(t *testing.T) {
	table := golden.Open(t, "hello.golden")
	hello := storedHello(bytes.Repeat([]byte{0xe1}, nonceSize))
	golden.AllSet(t, hello)
	golden.CBOR(t, table, "hello", hello, Decoder.Unmarshal)
}

func TestStoredConnectionIsReadable(t *testing.T) {
	if golden.Updating() {
		golden.Write(t, storedConnection, writeConnection(t)) // differs each time, as its nonce is random
	}
	stored, err := os.ReadFile(storedConnection)
	if err != nil {
		t.Fatal(err)
	}
	reader, err := Accept(bytes.NewReader(stored), storedChallenge, Keys{storedKey}, "east", 3, "n2")
	if err != nil {
		t.Fatal(err)
	}
	hello, err := cbor.Marshal(storedHello(reader.Hello.Nonce))
	if err != nil || len(reader.Hello.Nonce) != nonceSize {
		t.Fatal(reader.Hello, err)
	}
	if at := lengthSize; !bytes.Equal(stored[at:at+len(hello)], hello) {
		t.Errorf("hello: encoded as %x, want the stored %x", hello, stored[at:at+len(hello)])
	}
	var written bytes.Buffer
	writer := &Writer{w: &written, mac: hmac.New(sha256.New, framesKey(storedKey, storedChallenge, hello))}
	for _, payload := range storedPayloads {
		if got, err := reader.Read(); string(got) != payload || err != nil {
			t.Errorf("stored frame: read %q, %v, want the payload that was sent", got, err)
		}
		if err := writer.Write([]byte(payload)); err != nil {
			t.Fatal(err)
		}
	}
	if want := stored[len(hello)+Overhead:]; !bytes.Equal(written.Bytes(), want) {
		t.Errorf("frames: encoded as %x, want the stored %x", written.Bytes(), want)
	}
}
