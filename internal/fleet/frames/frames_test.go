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

// writeFrames returns what an opener writes for a challenge: a hello and some frames.
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

// readPayloads returns what a listener reads of a connection: the payloads up to the error that ended it.
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

// A listener reads the frames of a controller with one of its keys. It closes a connection with another
// key, fleet, generation, receiver or challenge, or with a name that can't be one.
func TestFramesAreReadFromMembersOfTheFleetOnly(t *testing.T) {
	b := writeFrames(t, testKey, testHello, testChallenge, "one", "", "three")
	got, err := readPayloads(b, testChallenge, Keys{testKey})
	if err != io.EOF || len(got) != 3 || got[0] != "one" || got[2] != "three" {
		t.Fatalf("%q, %v", got, err)
	}
	otherKey := Key(bytes.Repeat([]byte{8}, 32))
	if got, _ := readPayloads(b, testChallenge, Keys{otherKey, testKey}); len(got) != 3 {
		t.Error("the second of two keys is not taken")
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
		"meant for another": {testKey, Hello{Fleet: "f", Generation: 2, From: "a", To: "c"}, testChallenge, ErrForeign},
		"nobody":            {testKey, Hello{Fleet: "f", Generation: 2}, testChallenge, ErrMalformed},
		"said to another":   {testKey, testHello, bytes.Repeat([]byte{1}, nonceSize), ErrForged},
		"a name without end": {testKey, Hello{Fleet: "f", Generation: 2,
			From: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}, testChallenge, ErrMalformed},
	} {
		sent := writeFrames(t, c.key, c.hello, c.challenge, "x")
		if _, err := readPayloads(sent, testChallenge, Keys{testKey}); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Somebody on the network cuts a connection at any byte, changes any byte, or repeats, swaps or leaves out
// frames. The listener accepts nothing but what was sent, in its order, up to the change.
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
			t.Fatalf("cut at %d: %q, %v", i, got, err)
		}
		corrupted := bytes.Clone(b)
		corrupted[i] ^= 1 << (i % 8)
		if got, err := readPayloads(corrupted, testChallenge, Keys{testKey}); err == nil || !isPrefix(got) || len(got) == 3 {
			t.Fatalf("changed at %d: %q, %v", i, got, err)
		}
	}
	var parts [][]byte
	for rest := b; len(rest) > 0; {
		n := 4 + int(binary.BigEndian.Uint32(rest)) + macSize
		parts, rest = append(parts, rest[:n]), rest[n:]
	}
	for name, order := range map[string][]int{"repeated": {0, 1, 1, 2, 3}, "changed over": {0, 2, 1, 3},
		"left out":      {0, 2, 3},
		"a hello again": {0, 0, 1}} {
		var stream []byte
		for _, i := range order {
			stream = append(stream, parts[i]...)
		}
		if got, err := readPayloads(stream, testChallenge, Keys{testKey}); !errors.Is(err, ErrForged) || !isPrefix(got) {
			t.Errorf("%s: %q, %v", name, got, err)
		}
	}
}

// A frame claims a length of 1 GB, or the longest that is allowed, and nothing follows. The reader must not
// allocate memory for it.
func TestClaimedLengthsTakeNoMemory(t *testing.T) {
	hello := writeFrames(t, testKey, testHello, testChallenge)
	for _, claim := range []uint32{1 << 30, 1<<32 - 1, MaxPayloadBytes} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := readPayloads(binary.BigEndian.AppendUint32(bytes.Clone(hello), claim), testChallenge, Keys{testKey})
		runtime.ReadMemStats(&after)
		if grown := after.TotalAlloc - before.TotalAlloc; err == nil || grown > 64<<10 {
			t.Errorf("%d: %v, %d bytes taken", claim, err, grown)
		}
	}
	w := writeFrames(t, testKey, testHello, testChallenge)
	if _, err := Accept(bytes.NewReader(append(binary.BigEndian.AppendUint32(nil, MaxHelloBytes+1), w...)),
		testChallenge, Keys{testKey}, "f", 2,
		"b"); !errors.Is(err, ErrTooLong) {
		t.Errorf("a long hello: %v", err)
	}
}

// A challenge, a hello and frames pass over a connection. Its two ends run at once.
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
		t.Errorf("%d bytes, %v", len(p), err)
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
			t.Errorf("%q: %d keys, %v", text, len(keys), err)
		}
	}
}
