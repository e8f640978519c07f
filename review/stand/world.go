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
	"sync/atomic"
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
	site     site

	controllers []*controller
	addr        string    // of the first one
	process     *exec.Cmd // of the first one
	unfitRun    atomic.Bool

	stopping sync.Once

	// keys are the idempotency keys that executors have seen: all of them drop a repeat.
	keysMu sync.Mutex
	keys   map[string]bool

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

// start starts bulletin, executors and the controllers. The first controller is the one that the case is about.
func (w *world) start(s site) {
	w.site = s
	w.bulletin = newBulletin()
	var hosts []object
	for i := range s.engines {
		e := newEngine(w, i+1, s)
		w.engines = append(w.engines, e)
		hosts = append(hosts, object{"host": e.name, "dial": e.addr, "site": s.zones[e.zone], "class": s.kinds[e.kind], "block": 1,
			"health": "active", "share": 1, "born_ms": 0})
	}
	known := object{"no": 1, "items": []object{{"no": 1, "roster": object{"seq": 1, "whole": true, "hosts": hosts}}}}
	for i := range s.controllers {
		w.startController(i, known)
	}
	w.addr, w.process = w.controllers[0].addr, w.controllers[0].process
	for _, c := range w.controllers {
		w.awaitReady(c.addr)
	}
	w.note("%s: %d controllers and %d executors are ready", s.name, s.controllers, s.engines)
}

// controller is a controller's process.
type controller struct {
	addr    string
	log     string // its path
	process *exec.Cmd
	exited  chan struct{}
}

// startController starts a controller by the command of the deploy file.
func (w *world) startController(number int, known object) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	name := fmt.Sprintf("n%d", number+1)
	folder := filepath.Join(w.folder, name)
	must(os.Mkdir(folder, 0o700))
	c := &controller{addr: free.Addr().String(), log: filepath.Join(folder, "log"), exited: make(chan struct{})}
	free.Close()
	settings := object{"me": number, "n_instances": w.site.controllers}
	for k, v := range w.site.settings {
		settings[k] = v
	}
	text, err := json.MarshalIndent(object{"name": name, "listen": c.addr, "seed": "8c1f30d27a5be96" + fmt.Sprint(number),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": w.bulletin.addr, "known": known, "settings": settings}, "", " ")
	must(err)
	path := filepath.Join(folder, "config.json")
	must(os.WriteFile(path, text, 0o600))
	log, err := os.Create(c.log)
	must(err)
	defer log.Close()
	c.process = exec.Command("/bin/sh", "-c", "exec bin/mintkeel serve") // run, of deploy/balancer.toml
	c.process.Dir = w.root
	c.process.Env = append(os.Environ(), "PROXY_NAME="+name, "PROXY_LISTEN="+c.addr, "PROXY_CONFIG="+path, "TMPDIR="+folder)
	c.process.Stdout, c.process.Stderr = log, log
	c.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // main's init keeps the thread
	must(c.process.Start())
	w.controllers = append(w.controllers, c)
	go func() {
		c.process.Wait()
		close(c.exited)
	}()
}

// awaitReady waits until a controller has answered an empty query.
func (w *world) awaitReady(addr string) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dialTo(w, addr)
		if err != nil {
			continue
		}
		a := c.empty()
		c.close()
		if a.kind == "empty" {
			return
		}
	}
	panic(fatal{fmt.Errorf("a controller is not ready")})
}

// unfit notes that the run is not the case: the machine was late, or the like.
func (w *world) unfit(format string, args ...any) {
	w.note("not the case: "+format, args...)
	w.unfitRun.Store(true)
}

// signal sends a signal to the controller.
func (w *world) signal(s syscall.Signal, what string) {
	must(w.process.Process.Signal(s))
	w.note("controller: %s (%v)", what, s)
}

// stand has the controller stand still for a time that the pages allow. Without the disruption it only waits.
func (w *world) stand(length, atMost time.Duration) {
	began := time.Now()
	if w.trouble {
		w.signal(syscall.SIGSTOP, "stands still from here")
	}
	time.Sleep(length)
	if !w.trouble {
		return
	}
	w.signal(syscall.SIGCONT, "goes on")
	if took := time.Since(began); took > atMost {
		w.unfit("it stood still for %v, at most %v are allowed", took, atMost)
	}
}

// stop ends all that was started.
func (w *world) stop() {
	w.stopping.Do(func() {
		for i, c := range w.controllers {
			c.process.Process.Signal(syscall.SIGCONT)
			c.process.Process.Kill()
			<-c.exited
			if text, err := os.ReadFile(c.log); err == nil {
				w.note("log of controller n%d:\n%s", i+1, text)
			}
		}
		for _, e := range w.engines {
			e.stop()
		}
		if w.bulletin != nil {
			w.bulletin.stop()
		}
		os.RemoveAll(w.folder)
	})
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

// running reports whether no controller has ended.
func (w *world) running() bool {
	for _, c := range w.controllers {
		select {
		case <-c.exited:
			return false
		default:
		}
	}
	return true
}
