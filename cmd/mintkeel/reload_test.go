package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/operator"
)

// Log messages of a reload: the operator's file was applied, or rejected.
const logReloaded, logNotUsed = "operator's file read again", "operator's file not used"

// Under load, reloads enable and disable snapshots and move them to other folders, and some files are invalid. All queries
// must still be answered, and the final snapshots must be complete.
func TestSnapshotsSurviveReloadsUnderLoad(t *testing.T) {
	discovery, engine, _ := fakeDiscoveryAndEngine(t)
	h := newTestDaemon(t, validConfig, discovery, engine, "")
	block := func(folder, pace string) string {
		return fmt.Sprintf("memory {\n folder = %q\n pace = %q\n}\n", filepath.Join(h.dir, folder), pace)
	}
	h.put(h.from.operatorPath, block("a", "100ms"))
	h.serve()
	stop, stopped := make(chan bool), make(chan int)
	go func() {
		n := 0
		defer func() { stopped <- n }()
		for c := h.dial(); ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			if c.query(n, "1"); c.awaitMessageKinds() != "TDCZ" {
				t.Errorf("query %d is not answered", n)
				return
			}
		}
	}()
	for range 3 {
		h.reload(block("b", "100ms"), logReloaded)
		h.reload("memory {\n", logNotUsed)
		h.reload(block("b", "200ms"), logReloaded)
		h.reload("", logReloaded)
		h.reload(block("a", "100ms"), logReloaded)
	}
	h.reload("memory {\n folder = 3\n}\nx = 1\n", logNotUsed)
	close(stop)
	if n := <-stopped; n < 20 {
		t.Errorf("%d queries answered, want 20 or more", n)
	}
	h.stop()
	for _, folder := range []string{"a", "b"} {
		if code := execute([]string{"memory", "verify", filepath.Join(h.dir, folder)}, io.Discard, io.Discard); code != 0 {
			t.Errorf("memory verify of folder %s: exit code %d, want 0", folder, code)
		}
	}
	h.put(h.from.operatorPath, block("a", "1h"))
	h.serve()
	h.stop()
	if text := h.log.String(); !strings.Contains(text, "believed=") || strings.Contains(text, "believed=0") {
		t.Errorf("no statistics are restored after a restart: %s", text)
	}
}

// Reading a file from a disk that is gone hangs. The read must be abandoned after its timeout; one that returns in time must
// not be affected.
func TestHangingReadTimesOut(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readWithTimeout(10*time.Millisecond, func() (*operator.File, error) { return operator.Read(pipe, nil) }); err == nil {
		t.Error("reading a pipe without a writer does not time out")
	}
	end, err := os.OpenFile(pipe, os.O_WRONLY, 0) // unblocks the reading goroutine
	if err != nil {
		t.Fatal(err)
	}
	end.Close()
	if x, err := readWithTimeout(testTimeout, func() (int, error) { return 7, nil }); x != 7 || err != nil {
		t.Error(x, err)
	}
}

// SIGHUP arrives while the files are read for an earlier one. They are read once more, so that their last state is applied.
func TestReloadMeetsReload(t *testing.T) {
	discovery, engine, _ := fakeDiscoveryAndEngine(t)
	moved, _, _ := fakeDiscoveryAndEngine(t)
	h := newTestDaemon(t, validConfig, discovery, engine, "")
	text, err := os.ReadFile(h.from.configPath)
	if err != nil {
		t.Fatal(err)
	}
	h.serve()
	first := h.hangingReload()
	h.signals <- syscall.SIGHUP
	h.signals <- syscall.SIGUSR1
	h.log.wait(t, "counts") // the second SIGHUP has been received before
	next := filepath.Join(h.dir, "next")
	h.put(next, strings.ReplaceAll(string(text), discovery, moved))
	if err := os.Rename(next, h.from.configPath); err != nil {
		t.Fatal(err)
	}
	first.Write(text)
	first.Close()
	h.log.wait(t, "bulletin="+discovery)
	h.log.wait(t, "bulletin="+moved)
	h.stop()
}
