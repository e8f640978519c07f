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
	testTimeout = 10 * time.Second // for expected events, in the time of the synctest bubble
	maxPending  = 10               // connections that may wait to be accepted
)

var errRefused = errors.New("connection refused")

// fakeNetwork is a network of pipes for use within a synctest bubble.
type fakeNetwork struct {
	listeners map[string]chan watchRequest
	slowDial  bool // a dial succeeds only when its timeout has passed
}

// watchRequest is a connection from a watcher, and the number of the last update that the watcher knows. The
// number is read before the connection is accepted, as the buffer of a socket would take it.
type watchRequest struct {
	conn net.Conn
	last uint64
	err  error
}

func newFakeNetwork(addresses ...string) *fakeNetwork {
	n := &fakeNetwork{listeners: map[string]chan watchRequest{}}
	for _, address := range addresses {
		n.listeners[address] = make(chan watchRequest, maxPending)
	}
	return n
}

func (n *fakeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if n.slowDial {
		<-ctx.Done()
	}
	listener, known := n.listeners[address]
	if !known {
		return nil, errRefused
	}
	clientEnd, serverEnd := net.Pipe()
	go func() {
		numberBytes := make([]byte, 8)
		_, err := io.ReadFull(serverEnd, numberBytes)
		listener <- watchRequest{conn: serverEnd, last: binary.BigEndian.Uint64(numberBytes), err: err}
	}()
	return clientEnd, nil
}

// accept accepts the next connection to an address, which must request the updates after last.
func (n *fakeNetwork) accept(t *testing.T, address string, last uint64) net.Conn {
	t.Helper()
	select {
	case request := <-n.listeners[address]:
		t.Cleanup(func() { request.conn.Close() })
		if request.err != nil || request.last != last {
			t.Fatalf("got a request for updates after %d, want after %d, error %v", request.last, last, request.err)
		}
		request.conn.SetDeadline(time.Now().Add(testTimeout))
		return request.conn
	case <-time.After(testTimeout):
		t.Fatal("the watcher opened no connection in time")
		return nil
	}
}

// follow runs a watcher of an address until the end of the test; the watcher knows the updates up to last.
func (n *fakeNetwork) follow(t *testing.T, address string, last uint64,
	l *limits.Limits) (*Watcher, <-chan Update) {
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
		case <-time.After(testTimeout):
			t.Error("Follow did not return after its context ended")
		}
	})
	return watcher, updates
}

// expectUpdate checks the next update, except for its endpoints.
func expectUpdate(t *testing.T, updates <-chan Update, want Update) {
	t.Helper()
	select {
	case got := <-updates:
		if got.Number != want.Number || got.ExpiredFor != want.ExpiredFor || got.Complete != want.Complete {
			t.Fatalf("got update %+v, want %+v", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("got no update in time, want %+v", want)
	}
}

// changeFrame returns a frame that changes an engine.
func changeFrame(number uint64) []byte { return frame(number, frameChanges, record(0xc41f7a, 0, 0, 0)) }

// Discovery breaks the connection, skips an update, sends a malformed frame and falls silent. Each time the
// watcher reconnects from the last update, and updates that it receives twice are reported once. The silence
// lasts until the list expires; the expiry is reported, and so is its end.
func TestReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoveryRetryDelay = time.Millisecond
		l.DiscoverySilenceTimeout = 50 * time.Millisecond
		l.EndpointListExpiry = 120 * time.Millisecond
		l.EndpointListExpiryDisconnected = 110 * time.Millisecond
		_, updates := network.follow(t, "feed", 4, l)
		for _, c := range []struct {
			name    string
			last    uint64
			frames  [][]byte
			updates []Update
		}{
			{"breaks after two updates", 4, [][]byte{changeFrame(5), frame(5, 0), changeFrame(6)}, []Update{{Number: 5}, {Number: 6}}},
			{"repeats known updates", 6, [][]byte{changeFrame(5), changeFrame(6), changeFrame(7)}, []Update{{Number: 7}}},
			{"skips an update", 7, [][]byte{changeFrame(9)}, nil},
			{"unchanged since an update that did not come", 7, [][]byte{frame(8, 0), changeFrame(8)}, nil},
			{"unchanged since the second update that did not come", 7, [][]byte{frame(9, 0), changeFrame(8)}, nil},
			{"skips to a complete list", 7, [][]byte{frame(9, 1, record(1, 0, 0, 0))},
				[]Update{{Number: 9, Complete: true}}},
			{"malformed", 9, [][]byte{changeFrame(10), {0, 0, 0, 1}, changeFrame(11)}, []Update{{Number: 10}}},
		} {
			t.Log(c.name)
			conn := network.accept(t, "feed", c.last)
			conn.Write(bytes.Join(c.frames, nil))
			for _, update := range c.updates {
				expectUpdate(t, updates, update)
			}
			conn.Close()
		}
		network.accept(t, "feed", 10) // this connection and later ones stay silent
		expectUpdate(t, updates, Update{ExpiredFor: l.EndpointListExpiryDisconnected})
		for len(updates) == 0 {
			conn := network.accept(t, "feed", 10)
			conn.Write(frame(10, 0))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Fatal("the watcher sent more than the number of its last update")
			}
		}
		expectUpdate(t, updates, Update{Number: 10})
	})
}

// The list expires while a connection is dialled. The expiry is reported and the connection is used
// nevertheless: closing it would only delay the end of the expiry.
func TestListExpiresDuringDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoveryRetryDelay = time.Millisecond
		l.EndpointListExpiry = testTimeout
		l.EndpointListExpiryDisconnected = 110 * time.Millisecond
		_, updates := network.follow(t, "feed", 4, l)
		first := network.accept(t, "feed", 4)
		network.slowDial = true
		first.Close()
		conn := network.accept(t, "feed", 4)
		expectUpdate(t, updates, Update{ExpiredFor: l.EndpointListExpiryDisconnected})
		conn.Write(changeFrame(5))
		expectUpdate(t, updates, Update{Number: 5})
		if len(network.listeners["feed"]) > 0 {
			t.Error("the watcher opened another connection")
		}
	})
}

// A connection stays open but falls silent, and an engine begins to drain at that moment. The drain is received
// on the next connection, which is opened long before the list expires.
func TestDrainDuringSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoverySilenceTimeout = 20 * time.Millisecond
		l.EndpointListExpiry = testTimeout
		_, updates := network.follow(t, "feed", 4, l)
		silent := network.accept(t, "feed", 4)
		silent.Write(changeFrame(5))
		if got := <-updates; got.Number != 5 || got.Endpoints[0].State != router.Ready {
			t.Fatalf("got update %+v, want number 5 with the engine ready", got)
		}
		for len(updates) == 0 {
			next := network.accept(t, "feed", 5)
			next.Write(frame(6, frameChanges, record(0xc41f7a, 1, 0, 0)))
			next.Read(make([]byte, 1))
		}
		if got := <-updates; got.Number != 6 || got.ExpiredFor > 0 || got.Endpoints[0].State != router.Draining {
			t.Errorf("got update %+v, want number 6 with the engine draining, and no expiry", got)
		}
	})
}

// Discovery restarts with an older list than the watcher knows. The older list does not show what has changed
// since: it is ignored and does not end an expiry. The next newer update does.
func TestListOlderThanKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("feed")
		l := limits.For(1024, 192, time.Second, 0, 0)
		l.DiscoveryRetryDelay = time.Millisecond
		l.EndpointListExpiry = 20 * time.Millisecond
		l.DiscoverySilenceTimeout = testTimeout
		_, updates := network.follow(t, "feed", 10, l)
		network.accept(t, "feed", 10).Close() // discovery goes down
		expectUpdate(t, updates, Update{ExpiredFor: l.EndpointListExpiryDisconnected})
		for len(updates) == 0 {
			conn := network.accept(t, "feed", 10)
			older := append(frame(9, frameUnchanged), frame(9, frameComplete, record(1, 0, 0, 0))...)
			conn.Write(append(older, frame(11, frameChanges, record(2, 0, 0, 0))...))
			conn.Read(make([]byte, 1))
		}
		expectUpdate(t, updates, Update{Number: 11})
	})
}

// The address of discovery changes, while the connection to the old address is open or the old address can't be
// reached. The watcher connects to the new address at once, from the last update, and ignores what the old one
// still sends.
func TestAddressChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork("first", "second", "third")
		watcher, updates := network.follow(t, "first", 4, limits.For(1024, 192, time.Second, 0, 0))
		old := network.accept(t, "first", 4)
		old.Write(changeFrame(5))
		expectUpdate(t, updates, Update{Number: 5})
		watcher.SetAddress("second")
		current := network.accept(t, "second", 5)
		old.Write(changeFrame(6)) // in transit when the address changes
		current.Write(append(changeFrame(6), changeFrame(7)...))
		expectUpdate(t, updates, Update{Number: 6})
		expectUpdate(t, updates, Update{Number: 7})
		current.Close()
		watcher.SetAddress("nobody there")
		watcher.SetAddress("third")
		network.accept(t, "third", 7)
		watcher.mu.Lock()
		conn := watcher.conn
		watcher.mu.Unlock()
		watcher.SetAddress("third")
		if conn.SetDeadline(time.Time{}) != nil {
			t.Error("the connection to the same address was closed")
		}
	})
}
