package links

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
)

var (
	keys  = frames.Keys{bytes.Repeat([]byte{1}, 32)}
	other = frames.Keys{bytes.Repeat([]byte{2}, 32)}
	quiet = slog.New(slog.NewTextHandler(io.Discard, nil))
)

type end struct {
	*Links
	addr string
	got  chan Received
}

func open(t *testing.T, name members.ID, fleet string, k frames.Keys, b Bounds) *end {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &end{addr: listener.Addr().String(), got: make(chan Received, 100000)}
	e.Links = New(frames.Hello{Fleet: fleet, Generation: 1, From: name, Run: 7}, k, b, func(r Received) { e.got <- r }, quiet)
	e.Serve(listener)
	t.Cleanup(e.Close)
	return e
}

func (e *end) hears(t *testing.T, want string) {
	t.Helper()
	select {
	case r := <-e.got:
		if string(r.Payload) != want || r.Run != 7 {
			t.Errorf("heard %q of run %d, want %q", r.Payload, r.Run, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("did not hear %q", want)
	}
}

// eventually waits for something that is bound to come.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestBothWays(t *testing.T) {
	a, b := open(t, "a", "f", keys, Usual()), open(t, "b", "f", keys, Usual())
	for i := range 100 {
		a.Send("b", b.addr, fmt.Append(nil, i))
	}
	for i := range 100 {
		b.hears(t, fmt.Sprint(i))
	}
	b.Send("a", a.addr, []byte("back"))
	a.hears(t, "back")
	a.SetKeys(append(frames.Keys{other[0]}, keys...)) // a changes over, b does not know the new key yet
	b.Send("a", a.addr, []byte("under the old key"))
	a.hears(t, "under the old key")
	a.Send("b", b.addr, []byte("on a connection that is up"))
	b.hears(t, "on a connection that is up")
}

// Strangers, other fleets and other keys are told nothing, and counted.
func TestStrangers(t *testing.T) {
	a := open(t, "a", "f", keys, Usual())
	open(t, "b", "g", keys, Usual()).Send("a", a.addr, []byte("x"))
	eventually(t, "another fleet is not counted", func() bool { return a.foreign.Load() == 1 })
	open(t, "c", "f", other, Usual()).Send("a", a.addr, []byte("x"))
	eventually(t, "another key is not counted", func() bool { return a.forged.Load() == 1 })
	conn, err := net.Dial("tcp", a.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "\xff\xff\xff\xff and so on")
	eventually(t, "a length of 4 GB is not counted", func() bool { return a.forged.Load() == 2 })
	if len(a.got) > 0 {
		t.Error("something of theirs came through")
	}
}

// One that does not read, one that is not there, and more peers than there may be: nothing waits, all is bounded.
func TestBounds(t *testing.T) {
	b := Usual()
	b.Peers, b.Queue, b.Bytes, b.Dial, b.Write, b.Idle = 4, 8, 4000, 100*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond
	a := open(t, "a", "f", keys, b)
	deaf, err := net.Listen("tcp", "127.0.0.1:0") // it accepts and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer deaf.Close()
	began := time.Now()
	for range 1000 {
		a.Send("deaf", deaf.Addr().String(), make([]byte, 1000))
		a.Send("gone", "127.0.0.1:1", make([]byte, 1000))
	}
	for i := range 50 {
		a.Send(members.ID(fmt.Sprint("n", i)), deaf.Addr().String(), []byte("x"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("sending waited %v", took)
	}
	a.mu.Lock()
	n := len(a.peers)
	a.mu.Unlock()
	if n > b.Peers || a.dropped.Load() < 1900 {
		t.Errorf("%d peers, %d dropped", n, a.dropped.Load())
	}
	eventually(t, "idle peers are kept", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.peers) == 0 })
}

// A later connection of one ends the earlier ones; no more than a bound come in; closing leaves no goroutine.
func TestIncoming(t *testing.T) {
	before := runtime.NumGoroutine()
	b := Usual()
	b.Incoming = 3
	a := open(t, "a", "f", keys, b)
	first, second := open(t, "b", "f", keys, Usual()), open(t, "b", "f", keys, Usual())
	first.Send("a", a.addr, []byte("first"))
	a.hears(t, "first")
	second.Send("a", a.addr, []byte("second"))
	a.hears(t, "second")
	eventually(t, "the earlier connection stays", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return len(a.incoming) == 1 })
	for range 5 {
		conn, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	eventually(t, "more come in than may", func() bool { return a.refused.Load() == 3 })
	a.Close()
	first.Close()
	second.Close()
	eventually(t, "goroutines stay", func() bool { return runtime.NumGoroutine() <= before+1 })
}
