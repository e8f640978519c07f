package main

import (
	"io"
	"os"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/limits"
)

// SIGTERM arrives twice before clients are served, is followed by a reload, arrives while a client goes on sending queries, or
// arrives while a reload hangs. The daemon exits without an error, and the shutdown runs once. Open queries are answered first,
// and a session is closed without a reset of its connection.
func TestStopCrossings(t *testing.T) {
	t.Run("during the start", func(t *testing.T) {
		discovery, engine, _ := fakeDiscoveryAndEngine(t)
		h := newTestDaemon(t, validConfig, discovery, engine, "")
		h.early = []os.Signal{syscall.SIGTERM, syscall.SIGTERM}
		h.serve()
		if err := <-h.ended; err != nil {
			t.Error(err)
		}
	})
	t.Run("followed by a reload", func(t *testing.T) {
		discovery, engine, hangs := fakeDiscoveryAndEngine(t)
		h := newTestDaemon(t, validConfig, discovery, engine, "")
		h.change = func(l *limits.Limits) { l.ClientCloseTimeout = testTimeout }
		h.serve()
		idle, waiting := h.dial(), h.dial()
		if idle.query(1, "1"); idle.awaitMessageKinds() != "TDCZ" {
			t.Error("a query before the shutdown is not answered")
		}
		waiting.query(2, "hang")
		<-hangs
		h.signals <- syscall.SIGTERM
		h.log.wait(t, "shutdown started")
		h.put(h.from.configPath, "no configuration")
		h.signals <- syscall.SIGHUP
		if got := waiting.awaitMessageKinds(); got != "EZ" {
			t.Errorf("a query on a hanging engine: answer %s, want EZ", got)
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the idle session reads %v, want EOF", err)
		}
		// The client sends queries after the daemon has ended the session. If the daemon had closed its socket already, the
		// first of them would reset the connection, and a later write would fail.
		for id := 3; id < 500; id++ {
			if err := idle.query(id, "hang"); err != nil {
				t.Fatalf("sending query %d after the end of the session: %v", id, err)
			}
		}
		idle.Close()
		if _, err := waiting.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the session whose query was answered reads %v, want EOF", err)
		}
		waiting.Close()
		if err := <-h.ended; err != nil || len(hangs) > 0 {
			t.Errorf("the daemon exits with %v, and sent %d more queries to the engine, want no error and 0", err, len(hangs))
		}
		if n := h.log.count("shutdown started"); n != 1 {
			t.Errorf("the shutdown started %d times, want once", n)
		}
	})
	t.Run("while a client sends queries", func(t *testing.T) {
		discovery, engine, _ := fakeDiscoveryAndEngine(t)
		h := newTestDaemon(t, validConfig, discovery, engine, "")
		h.change = func(l *limits.Limits) {
			l.ShutdownTimeout, l.ClientCloseTimeout, l.DrainQuietPeriod = testTimeout, testTimeout-time.Second, testTimeout
		}
		h.serve()
		idle, active := h.dial(), h.dial()
		h.signals <- syscall.SIGTERM
		for id := 1; ; id++ {
			if err := active.query(id, "1"); err != nil {
				t.Fatalf("sending query %d during the shutdown: %v", id, err)
			}
			if got, err := active.readMessageKinds(); err == io.EOF && got == "" {
				break // the session was closed before the query was read
			} else if err != nil || got != "TDCZ" && got != "EZ" { // EZ: rejected, as no drain time is left for it
				t.Fatalf("query %d: answer %q, %v, want TDCZ or EZ", id, got, err)
			}
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the idle session reads %v, want EOF", err)
		}
		idle.Close()
		active.Close()
		if err := <-h.ended; err != nil {
			t.Error(err)
		}
		count := func(name string) (n int) {
			for _, m := range regexp.MustCompile(`commands\.`+name+`=(\d+)`).FindAllStringSubmatch(h.log.String(), 1) {
				n, _ = strconv.Atoi(m[1])
			}
			return n
		}
		if n := count("taken"); n == 0 || n != count("answered")+count("shed") {
			t.Errorf("%d queries taken, %d answered and %d shed; want at least one taken, and each of them answered or shed", n, count("answered"), count("shed"))
		}
	})
	t.Run("while a reload hangs", func(t *testing.T) {
		discovery, engine, _ := fakeDiscoveryAndEngine(t)
		h := newTestDaemon(t, validConfig, discovery, engine, "")
		h.serve()
		defer h.hangingReload().Close()
		began := time.Now()
		h.signals <- syscall.SIGTERM
		if err := <-h.ended; err != nil || time.Since(began) > testTimeout/2 {
			t.Errorf("the daemon exits with %v after %v, want no error, and no wait for the hanging reload", err, time.Since(began))
		}
	})
}
