package socket

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// watchedListener reports when its descriptor is asked for, to look at its queue.
type watchedListener struct {
	*net.TCPListener
	looked chan bool
}

func (l *watchedListener) SyscallConn() (syscall.RawConn, error) {
	select {
	case l.looked <- true:
	default:
	}
	return l.TCPListener.SyscallConn()
}

// TestCloseListenerAcceptsFirst guards against a lost query on a new connection: the system has accepted it, but the
// goroutine that serves the listener had no turn before the listener is closed.
func TestCloseListenerAcceptsFirst(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &watchedListener{listener.(*net.TCPListener), make(chan bool, 1)}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	closed := make(chan error, 1)
	go func() { closed <- closeListener(l, int(testTimeout/queueLookInterval)) }()
	select {
	case <-l.looked:
	case err := <-closed:
		t.Fatalf("closed without a look at the queue: %v", err)
	case <-time.After(testTimeout):
		t.Fatal("no look at the queue in time")
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("the connection that waited is lost: %v", err)
	}
	conn.Close()
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); err == nil {
		t.Error("the listener is still open")
	}
}

// A connection that nobody accepts puts off the end for a bounded number of looks.
func TestCloseListenerGivesUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if err := closeListener(listener, 3); err != nil {
		t.Error(err)
	}
	if _, err := listener.Accept(); err == nil {
		t.Error("the listener is still open")
	}
}
