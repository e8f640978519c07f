package discovery

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/socket"
)

// TestFrameBeforeSilence guards against updates that are not handled in time: a drain lies unread when the silence timeout,
// or the expiry of the list, has passed, as the process had no turn. The watcher would reconnect, or report an expired list,
// before it knows of the drain.
func TestFrameBeforeSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	l := limits.For(64, 32, 0, 0, 0)
	l.DiscoverySilenceTimeout = -time.Second // has always passed
	updates := make(chan Update, 10)
	w := NewWatcher(listener.Addr().String(), 1, names, l, func(u Update) { updates <- u },
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	dialled, err := net.Dial("tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	conn := socket.NewConn(dialled, l.DiscoveryFrameBytes)
	discovery, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	discovery.Write(append(changeFrame(2), changeFrame(3)...))
	for deadline := time.Now().Add(testTimeout); !conn.HasInput(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("the frames did not arrive in time")
		}
	}
	if err := w.readUpdates(conn); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection ended with %v, want its silence", err)
	}
	for _, number := range []uint64{2, 3} {
		if len(updates) == 0 {
			t.Fatalf("update %d was not reported before the silence", number)
		}
		if got := <-updates; got.Number != number {
			t.Errorf("got update %d, want %d", got.Number, number)
		}
	}
}
