package frames

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"
)

var (
	testKey   = Key(bytes.Repeat([]byte{7}, 32))
	testHello = Hello{Fleet: "f", Generation: 2, From: "a", Run: 5, To: "b"}
)

// writeFrames returns the bytes that an opener writes in answer to a challenge: a hello and frames.
func writeFrames(t *testing.T, k Key, h Hello, challenge []byte, payloads ...string) []byte {
	t.Helper()
	out := &bytes.Buffer{}
	w, err := Open(struct {
		io.Reader
		io.Writer
	}{bytes.NewReader(append([]byte(magic), challenge...)), out}, k, h)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range payloads {
		if err := w.Write([]byte(p)); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// readPayloads reads a connection as a listener does. It returns the payloads up to the error that
// ended it.
func readPayloads(b, challenge []byte, keys Keys) (payloads []string, err error) {
	r, err := Accept(bytes.NewReader(b), challenge, keys, "f", 2, "b")
	if err != nil {
		return nil, err
	}
	for {
		p, err := r.Read()
		if err != nil {
			return payloads, err
		}
		payloads = append(payloads, string(p))
	}
}

var testChallenge = bytes.Repeat([]byte{9}, nonceSize)

// A listener must read the frames of a controller that has one of its keys, and reject a connection
// with another key, fleet, generation, receiver or challenge, or with an invalid name.
func TestFramesAreReadFromMembersOfTheFleetOnly(t *testing.T) {
	b := writeFrames(t, testKey, testHello, testChallenge, "one", "", "three")
	got, err := readPayloads(b, testChallenge, Keys{testKey})
	if err != io.EOF || len(got) != 3 || got[0] != "one" || got[2] != "three" {
		t.Fatalf("read %q, %v, want the 3 payloads sent and EOF", got, err)
	}
	otherKey := Key(bytes.Repeat([]byte{8}, 32))
	if got, _ := readPayloads(b, testChallenge, Keys{otherKey, testKey}); len(got) != 3 {
		t.Error("frames made with the second of two keys are rejected")
	}
	for name, c := range map[string]struct {
		key       Key
		hello     Hello
		challenge []byte
		want      error
	}{
		"another key":       {otherKey, testHello, testChallenge, ErrForged},
		"another fleet":     {testKey, Hello{Fleet: "g", Generation: 2, From: "a"}, testChallenge, ErrForeign},
		"an old generation": {testKey, Hello{Fleet: "f", Generation: 1, From: "a"}, testChallenge, ErrForeign},
		"another receiver":  {testKey, Hello{Fleet: "f", Generation: 2, From: "a", To: "c"}, testChallenge, ErrForeign},
		"no name":           {testKey, Hello{Fleet: "f", Generation: 2}, testChallenge, ErrMalformed},
		"another challenge": {testKey, testHello, bytes.Repeat([]byte{1}, nonceSize), ErrForged},
		"oversized name": {testKey, Hello{Fleet: "f", Generation: 2,
			From: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}, testChallenge, ErrMalformed},
	} {
		sent := writeFrames(t, c.key, c.hello, c.challenge, "x")
		if _, err := readPayloads(sent, testChallenge, Keys{testKey}); !errors.Is(err, c.want) {
			t.Errorf("%s: got the wrong error %v", name, err)
		}
	}
}

// If a connection is cut at any byte, or any byte is changed, or frames are repeated, swapped or
// left out, the listener must accept only the frames sent before the change, in order.
func TestChangedFramesAreRejected(t *testing.T) {
	b := writeFrames(t, testKey, testHello, testChallenge, "one", "two", "three")
	want := []string{"one", "two", "three"}
	isPrefix := func(got []string) bool {
		for i := range got {
			if i >= len(want) || got[i] != want[i] {
				return false
			}
		}
		return true
	}
	for i := range b {
		got, err := readPayloads(b[:i], testChallenge, Keys{testKey})
		if err == nil || !isPrefix(got) || len(got) == 3 {
			t.Fatalf("cut at byte %d: read %q, %v, want an error after a proper prefix of the frames", i, got, err)
		}
		corrupted := bytes.Clone(b)
		corrupted[i] ^= 1 << (i % 8)
		if got, err := readPayloads(corrupted, testChallenge, Keys{testKey}); err == nil || !isPrefix(got) || len(got) == 3 {
			t.Fatalf("changed at byte %d: read %q, %v, want an error after a proper prefix of the frames", i, got, err)
		}
	}
	var parts [][]byte
	for rest := b; len(rest) > 0; {
		n := 4 + int(binary.BigEndian.Uint32(rest)) + macSize
		parts, rest = append(parts, rest[:n]), rest[n:]
	}
	for name, order := range map[string][]int{"repeated": {0, 1, 1, 2, 3}, "swapped": {0, 2, 1, 3},
		"left out":      {0, 2, 3},
		"a hello again": {0, 0, 1}} {
		var stream []byte
		for _, i := range order {
			stream = append(stream, parts[i]...)
		}
		if got, err := readPayloads(stream, testChallenge, Keys{testKey}); !errors.Is(err, ErrForged) || !isPrefix(got) {
			t.Errorf("%s: read %q, %v, want ErrForged after a prefix of the frames", name, got, err)
		}
	}
}

// A frame that claims a length of 1 GB or more, or the largest allowed, with nothing after it, must
// not make the reader allocate memory for that length.
func TestClaimedLengthsTakeNoMemory(t *testing.T) {
	hello := writeFrames(t, testKey, testHello, testChallenge)
	for _, claim := range []uint32{1 << 30, 1<<32 - 1, MaxPayloadBytes} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := readPayloads(binary.BigEndian.AppendUint32(bytes.Clone(hello), claim), testChallenge, Keys{testKey})
		runtime.ReadMemStats(&after)
		if grown := after.TotalAlloc - before.TotalAlloc; err == nil || grown > 64<<10 {
			t.Errorf("claimed length %d: got error %v and %d bytes allocated, want an error and at most 64 KiB", claim,
				err, grown)
		}
	}
	w := writeFrames(t, testKey, testHello, testChallenge)
	if _, err := Accept(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, MaxHelloBytes+1), w...)),
		testChallenge, Keys{testKey}, "f", 2,
		"b"); !errors.Is(err, ErrTooLong) {
		t.Errorf("oversized hello: got error %v, want ErrTooLong", err)
	}
}

// Challenge, hello and frames must pass over a connection whose two ends run concurrently.
func TestFramesOverAPipe(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	a.SetDeadline(time.Now().Add(5 * time.Second))
	b.SetDeadline(time.Now().Add(5 * time.Second))
	go func() {
		w, err := Open(a, testKey, testHello)
		if err == nil {
			w.Write(bytes.Repeat([]byte("x"), 100000))
		}
	}()
	nonce, err := Challenge(b)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Accept(b, nonce, Keys{testKey}, "f", 2, "b")
	if err != nil {
		t.Fatal(err)
	}
	if p, err := r.Read(); err != nil || len(p) != 100000 || r.Hello.Run != 5 {
		t.Errorf("read %d bytes, %v, want 100000 bytes of run 5", len(p), err)
	}
}

func TestReadKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	for text, want := range map[string]int{
		"00112233445566778899aabbccddeeff\n":                                              1,
		"# first\n00112233445566778899aabbccddeeff\n\nffeeddccbbaa99887766554433221100\n": 2,
		"":           0,
		"0011":       0,
		"no digits ": 0,
	} {
		os.WriteFile(path, []byte(text), 0o600)
		if keys, err := ReadKeys(path); len(keys) != want || (err == nil) != (want > 0) {
			t.Errorf("%q: got the wrong result of %d keys, %v", text, len(keys), err)
		}
	}
}
