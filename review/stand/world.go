//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// object is a nested JSON object of the configuration.
type object = map[string]any

// world is one run of a case: a controller, its bulletin, its executors, and the record.
type world struct {
	trouble  bool // false: the same without the disruption
	restart  bool // of two disruptions only the planned restart
	folder   string
	root     string // of the repository
	began    time.Time
	bulletin *bulletin
	engines  []*engine
	addr     string // of the controller
	process  *exec.Cmd
	exited   chan struct{}

	mu     sync.Mutex
	record *os.File
}

// fatal ends the run as one that could not be done.
type fatal struct{ err error }

func must(err error) {
	if err != nil {
		panic(fatal{err})
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Since(w.began)
	fmt.Fprintf(w.record, "%9.1f ms  %s\n", float64(at)/1e6, fmt.Sprintf(format, args...))
}

// start starts bulletin, executors and the controller.
func (w *world) start(s site) {
	w.bulletin = newBulletin()
	var hosts []object
	for i := range s.engines {
		e := newEngine(w, i+1, s)
		w.engines = append(w.engines, e)
		hosts = append(hosts, object{"host": e.name, "dial": e.addr, "site": s.zone, "class": s.kind, "block": 1,
			"health": "active", "share": 1, "born_ms": 0})
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	w.addr = free.Addr().String()
	free.Close()
	known := object{"no": 1, "items": []object{{"no": 1, "roster": object{"seq": 1, "whole": true, "hosts": hosts}}}}
	text, err := json.MarshalIndent(object{"name": "n1", "listen": w.addr, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": w.bulletin.addr, "known": known, "settings": s.settings}, "", " ")
	must(err)
	path := filepath.Join(w.folder, "config.json")
	must(os.WriteFile(path, text, 0o600))
	log, err := os.Create(filepath.Join(w.folder, "log"))
	must(err)
	defer log.Close()
	w.process = exec.Command("/bin/sh", "-c", "exec bin/mintkeel serve") // run, of deploy/balancer.toml
	w.process.Dir = w.root
	w.process.Env = append(os.Environ(), "PROXY_NAME=n1", "PROXY_LISTEN="+w.addr, "PROXY_CONFIG="+path, "TMPDIR="+w.folder)
	w.process.Stdout, w.process.Stderr = log, log
	must(w.process.Start())
	w.exited = make(chan struct{})
	go func() {
		w.process.Wait()
		close(w.exited)
	}()
	w.awaitReady()
}

// awaitReady waits until the controller has answered an empty query.
func (w *world) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dial(w)
		if err != nil {
			continue
		}
		if a := c.empty(); a.kind == "empty" {
			c.close()
			w.note("controller is ready")
			return
		}
		c.close()
	}
	panic(fatal{fmt.Errorf("the controller is not ready")})
}

// signal sends a signal to the controller.
func (w *world) signal(s syscall.Signal, what string) {
	must(w.process.Process.Signal(s))
	w.note("controller: %s (%v)", what, s)
}

// stand has the controller stand still for a time. Without the disruption it only waits.
func (w *world) stand(length time.Duration) {
	if w.trouble {
		w.signal(syscall.SIGSTOP, "stands still from here")
	}
	time.Sleep(length)
	if w.trouble {
		w.signal(syscall.SIGCONT, "goes on")
	}
}

// stop ends all that was started.
func (w *world) stop() {
	if w.process != nil && w.process.Process != nil {
		w.process.Process.Signal(syscall.SIGCONT)
		w.process.Process.Kill()
		<-w.exited
		if text, err := os.ReadFile(filepath.Join(w.folder, "log")); err == nil {
			w.note("log of the controller:\n%s", text)
		}
	}
	for _, e := range w.engines {
		e.stop()
	}
	if w.bulletin != nil {
		w.bulletin.stop()
	}
	os.RemoveAll(w.folder)
}

// limitTime ends the run, and all that it started, after a time or when a signal asks for it.
func (w *world) limitTime(length time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(length):
		}
		w.note("ended early")
		w.stop()
		os.Exit(2)
	}()
}

// running reports whether the controller has not ended.
func (w *world) running() bool {
	select {
	case <-w.exited:
		return false
	default:
		return true
	}
}
