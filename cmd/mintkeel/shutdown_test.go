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

// SIGTERM comes before clients are served, twice, with a reload behind it, or while a reload hangs. In each case open queries
// are answered, idle sessions are closed in order, and the controller shuts down once.
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
			t.Error("not answered")
		}
		waiting.query(2, "hang")
		<-hangs
		h.signals <- syscall.SIGTERM
		h.log.wait(t, "shutdown started")
		h.put(h.from.configPath, "no configuration")
		h.signals <- syscall.SIGHUP
		if got := waiting.awaitMessageKinds(); got != "EZ" {
			t.Errorf("what hangs: %s", got)
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("who rests finds %v", err)
		}
		for id := 3; id < 500; id++ { // cross the end; a closed socket would answer the first by a reset, which the next meets
			if err := idle.query(id, "hang"); err != nil {
				t.Fatalf("query %d that crosses the end: %v", id, err)
			}
		}
		idle.Close()
		if _, err := waiting.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("who was answered finds %v", err)
		}
		waiting.Close()
		if err := <-h.ended; err != nil || len(hangs) > 0 {
			t.Errorf("ended by %v, %d sent on past the end", err, len(hangs))
		}
		if n := h.log.count("shutdown started"); n != 1 {
			t.Errorf("the shutdown started %d times", n)
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
				t.Fatalf("query %d: %v", id, err)
			}
			if got, err := active.readMessageKinds(); err == io.EOF && got == "" {
				break // it crossed the end
			} else if err != nil || got != "TDCZ" && got != "EZ" { // shed once there is no time left
				t.Fatalf("query %d: said %q, %v", id, got, err)
			}
		}
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("who rests finds %v", err)
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
			t.Errorf("%d taken, %d answered, %d shed", n, count("answered"), count("shed"))
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
			t.Errorf("ended by %v after %v", err, time.Since(began))
		}
	})
}
