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

// SIGTERM arrives before clients are served, twice, followed by a reload, or while a reload hangs. In each case open queries
// must be answered, idle sessions closed in an orderly way, and the shutdown run once.
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
	t.Run("twice, and a reload behind it", func(t *testing.T) {
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
		// Queries sent after the end of the session: a closed socket would reset the connection at the first of them, and the
		// next write would fail.
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
			t.Errorf("the daemon exits with %v, and sent %d more queries to the engine, want 0", err, len(hangs))
		}
		if n := h.log.count("shutdown started"); n != 1 {
			t.Errorf("the shutdown started %d times, want once", n)
		}
	})
	t.Run("and clients that ask to the last", func(t *testing.T) {
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
			} else if err != nil || got != "TDCZ" && got != "EZ" { // rejected once no time is left
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
			t.Errorf("%d queries taken, %d answered and %d shed; want some, and no others unanswered", n, count("answered"), count("shed"))
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
			t.Errorf("the daemon exits with %v after %v, want no error and no wait for the read", err, time.Since(began))
		}
	})
}
