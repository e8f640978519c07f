package links

import (
	"net"
	"testing"
)

// openAgain is links of a controller that takes over the listener of a former incarnation, which ends. The port is held
// throughout, so that no other program gets it.
func (e *end) openAgain(t *testing.T, listener net.Listener, b Bounds) *end {
	t.Helper()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	again, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	e.Close()
	return serve(t, again, e.self.From, e.self.Fleet, keys, b)
}

// The first message after a peer has restarted goes over a connection to its new incarnation: it is not written into the
// one that the former incarnation left behind.
func TestPeerRestarts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, b := open(t, "a", "f", keys, Usual()), serve(t, listener, "b", "f", keys, Usual())
	a.Send("b", b.addr, []byte("before"))
	b.hears(t, "before")
	b = b.openAgain(t, listener, Usual())
	eventually(t, "the end of the connection is not noticed", func() bool { return a.ended.Load() == 1 })
	a.Send("b", b.addr, []byte("after"))
	b.hears(t, "after")
	if failed, dropped := a.failed.Load(), a.dropped.Load(); failed+dropped > 0 {
		t.Errorf("%d connections failed, %d messages were dropped", failed, dropped)
	}
}
