package discovery

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/router"
)

const (
	patience = 10 * time.Second // for what must come, in the bubble's time
	backlog  = 10               // connections that wait to be accepted
)

var errRefused = errors.New("connection refused")

// fakeNetwork is a network of pipes, for use within a synctest bubble.
type fakeNetwork struct {
	listening map[string]chan request
	late      bool // a dial succeeds in the moment its time is up
}

// request is a connection from a watcher, and what was asked on it: the first bytes are read ahead of its acceptance, as
// a socket's buffer would take them.
type request struct {
	conn net.Conn
	last uint64
	err  error
}

func newFakeNetwork(addresses ...string) *fakeNetwork {
	n := &fakeNetwork{listening: map[string]chan request{}}
	for _, address := range addresses {
		n.listening[address] = make(chan request, backlog)
	}
	return n
}

func (n *fakeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if n.late {
		<-ctx.Done()
	}
	listener, known := n.listening[address]
	if !known {
		return nil, errRefused
	}
	near, far := net.Pipe()
	go func() {
		b := make([]byte, 8)
		_, err := io.ReadFull(far, b)
		listener <- request{conn: far, last: binary.BigEndian.Uint64(b), err: err}
	}()
	return near, nil
}

// accept takes the next connection to an address, on which an update's number must have been said.
func (n *fakeNetwork) accept(t *testing.T, address string, last uint64) net.Conn {
	t.Helper()
	select {
	case got := <-n.listening[address]:
		t.Cleanup(func() { got.conn.Close() })
		if got.err != nil || got.last != last {
			t.Fatalf("asked from %d, not %d: %v", got.last, last, got.err)
		}
		got.conn.SetDeadline(time.Now().Add(patience))
		return got.conn
	case <-time.After(patience):
		t.Fatal("no connection")
		return nil
	}
}

// watch follows the list at an address until the test's end; it has the updates up to last.
func (n *fakeNetwork) watch(t *testing.T, address string, last uint64, l *limits.Limits) (*Watcher, <-chan Update) {
	updates := make(chan Update, 10)
	watcher := NewWatcher(address, last, names, l, func(u Update) { updates <- u },
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	watcher.dialContext = n.dial
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		watcher.Follow(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(patience):
			t.Error("goes on after its end")
		}
	})
	return watcher, updates
}

func expect(t *testing.T, updates <-chan Update, want Update) {
	t.Helper()
	select {
	case got := <-updates:
		if got.No != want.No || got.Expired != want.Expired || got.Whole != want.Whole {
			t.Fatalf("told %+v, not %+v", got, want)
		}
	case <-time.After(patience):
		t.Fatalf("not told %+v", want)
	}
}

func change(no uint64) []byte { return frame(no, kindChange, record(0xc41f7a, 0, 0, 0)) }

// A connection that breaks, is malformed, skips an update or falls silent is begun anew from the last update; what
// comes twice is told once; too long a silence is told, and so is its end.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoveryRetryDelay, l.DiscoverySilenceTimeout = time.Millisecond, 50*time.Millisecond
		l.EndpointListExpiry, l.EndpointListExpiryDisconnected = 120*time.Millisecond, 110*time.Millisecond
		_, updates := network.watch(t, "feed", 4, l)
		for _, c := range []struct {
			name    string
			last    uint64
			frames  [][]byte
			updates []Update
		}{
			{"breaks after two", 4, [][]byte{change(5), frame(5, 0), change(6)}, []Update{{No: 5}, {No: 6}}},
			{"the same again", 6, [][]byte{change(5), change(6), change(7)}, []Update{{No: 7}}},
			{"skips one", 7, [][]byte{change(9)}, nil},
			{"nothing new, but one that did not come", 7, [][]byte{frame(8, 0), change(8)}, nil},
			{"nothing new, but several", 7, [][]byte{frame(9, 0), change(8)}, nil},
			{"skips to a whole list", 7, [][]byte{frame(9, 1, record(1, 0, 0, 0))}, []Update{{No: 9, Whole: true}}},
			{"malformed", 9, [][]byte{change(10), {0, 0, 0, 1}, change(11)}, []Update{{No: 10}}},
		} {
			t.Log(c.name)
			conn := network.accept(t, "feed", c.last)
			conn.Write(bytes.Join(c.frames, nil))
			for _, update := range c.updates {
				expect(t, updates, update)
			}
			conn.Close()
		}
		network.accept(t, "feed", 10) // and those after it stay unanswered
		expect(t, updates, Update{Expired: l.EndpointListExpiryDisconnected})
		for len(updates) == 0 {
			conn := network.accept(t, "feed", 10)
			conn.Write(frame(10, 0))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Fatal("the watcher said more than its last update")
			}
		}
		expect(t, updates, Update{No: 10})
	})
}

// A list that expires while a connection is dialled is told as expired, and the connection is used: it is asked from
// the last update, and stays.
func TestExpiryDuringDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoveryRetryDelay, l.EndpointListExpiry, l.EndpointListExpiryDisconnected = time.Millisecond, patience, 110*time.Millisecond
		_, updates := network.watch(t, "feed", 4, l)
		first := network.accept(t, "feed", 4)
		network.late = true
		first.Close()
		conn := network.accept(t, "feed", 4)
		expect(t, updates, Update{Expired: l.EndpointListExpiryDisconnected})
		conn.Write(change(5))
		expect(t, updates, Update{No: 5})
		if len(network.listening["feed"]) > 0 {
			t.Error("the list was asked for once more")
		}
	})
}

// A watch that stays open and falls silent, and a drain that begins right then: it is told by the next watch, which is
// begun long before the list expires.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoverySilenceTimeout, l.EndpointListExpiry = 20*time.Millisecond, patience
		_, updates := network.watch(t, "feed", 4, l)
		silent := network.accept(t, "feed", 4)
		silent.Write(change(5))
		if got := <-updates; got.No != 5 || got.Entries[0].State != router.Ready {
			t.Fatalf("told %+v", got)
		}
		for len(updates) == 0 {
			next := network.accept(t, "feed", 5)
			next.Write(frame(6, kindChange, record(0xc41f7a, 1, 0, 0)))
			next.Read(make([]byte, 1))
		}
		if got := <-updates; got.No != 6 || got.Expired > 0 || got.Entries[0].State != router.Draining {
			t.Errorf("told %+v", got)
		}
	})
}

// Discovery that comes back with less than is known tells nothing of what has happened since: its older list is not
// taken, and the list that has expired is still so, until it tells of what comes next.
func TestOlderThanKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoveryRetryDelay, l.EndpointListExpiry, l.DiscoverySilenceTimeout = time.Millisecond, 20*time.Millisecond, patience
		_, updates := network.watch(t, "feed", 10, l)
		network.accept(t, "feed", 10).Close() // down
		expect(t, updates, Update{Expired: l.EndpointListExpiryDisconnected})
		for len(updates) == 0 {
			conn := network.accept(t, "feed", 10)
			older := append(frame(9, kindNone), frame(9, kindWhole, record(1, 0, 0, 0))...)
			conn.Write(append(older, frame(11, kindChange, record(2, 0, 0, 0))...))
			conn.Read(make([]byte, 1))
		}
		expect(t, updates, Update{No: 11})
	})
}

// At a new address the list is watched at once from the last update, also while the old one holds its connection open
// or can't be reached, and nothing that the old one still says is taken.
func TestMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("first", "second", "third")
		watcher, updates := network.watch(t, "first", 4, limits.For(1024, 192, time.Second, 0, 0))
		old := network.accept(t, "first", 4)
		old.Write(change(5))
		expect(t, updates, Update{No: 5})
		watcher.Move("second")
		at := network.accept(t, "second", 5)
		old.Write(change(6)) // crosses the move
		at.Write(append(change(6), change(7)...))
		expect(t, updates, Update{No: 6})
		expect(t, updates, Update{No: 7})
		at.Close()
		watcher.Move("nobody there")
		watcher.Move("third")
		network.accept(t, "third", 7)
		watcher.mu.Lock()
		conn := watcher.conn
		watcher.mu.Unlock()
		if watcher.Move("third"); conn.SetDeadline(time.Time{}) != nil {
			t.Error("the connection to where it is already was closed")
		}
	})
}
