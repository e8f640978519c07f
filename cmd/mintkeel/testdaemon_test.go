package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
)

const (
	testTimeout = 10 * time.Second // for events that must happen
	hello       = "\x00\x00\x00\x12\x00\x03\x00\x00user\x00app\x00\x00"
	validConfig = `{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
 "sockets":1024},"bulletin":"%DISCOVERY%","known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
 {"host":"s-00000001","dial":"%ENGINE%","site":"east","class":"std","block":0,"health":"active","share":1,
 "born_ms":0}]}}]},"settings":{"n_instances":1,"round_ns":5000000,"zone":"east","failure_domains":["east"],
 "kinds":["std"],"report":{"fields":["util","inflight"]},"family_info":{"size_cores":[16],"size_mb":[1000.0],
 "width_by_class":[1]},"bounds":{"cancel":true,"send_cap":3,"connect_timeout_ns":250000000,"max_streams":100},
 "services":[{"name":"lookup","effect":"free","promise_ns":1000000000,"hard_limit_ns":6000000000}]}}`
)

// fakeDiscoveryAndEngine starts a fake discovery, which sends nothing, and a fake engine. The engine answers each attempt
// immediately, except one with hang in its text, which it only reports on hangs.
func fakeDiscoveryAndEngine(t *testing.T) (discovery, engine string, hangs chan bool) {
	hangs = make(chan bool, 10)
	serve := func(handle func(net.Conn)) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go handle(conn)
			}
		}()
		return listener.Addr().String()
	}
	discovery = serve(func(conn net.Conn) { io.Copy(io.Discard, conn) })
	engine = serve(func(conn net.Conn) {
		for r := bufio.NewReader(conn); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			words := strings.Fields(line)
			switch words[0] {
			case "ping":
				fmt.Fprintf(conn, "%s READY - 0\r\n\r\n", words[1])
			case "do":
				if statement, _ := r.ReadString('\n'); strings.Contains(statement, "hang") {
					hangs <- true
				} else {
					fmt.Fprintf(conn, "%s ACK parts=1,report=inflight:1;util:0.1 6\r\na\tb\tc\n\r\n", words[1])
				}
			}
		}
	})
	return discovery, engine, hangs
}

type client struct {
	t *testing.T
	net.Conn
}

func (c *client) query(id int, what string) error {
	body := fmt.Sprintf("/* verb=lookup,txn=%016x,limit=5000 */ SELECT %s FROM s_1.t\x00", id, what)
	_, err := fmt.Fprintf(c, "Q%s%s", binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body)
	return err
}

// awaitMessageKinds reads the kinds of the messages up to the next ReadyForQuery.
func (c *client) awaitMessageKinds() string {
	c.t.Helper()
	got, err := c.readMessageKinds()
	if err != nil {
		c.t.Fatalf("reading an answer, after the message kinds %q: %v", got, err)
	}
	return got
}

// readMessageKinds is awaitMessageKinds for a session that may end: it also returns the error.
func (c *client) readMessageKinds() (kinds string, err error) {
	for !strings.HasSuffix(kinds, "Z") {
		head := make([]byte, 5)
		if _, err := io.ReadFull(c, head); err != nil {
			return kinds, err
		}
		io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(head[1:]))-4)
		kinds += string(head[:1])
	}
	return kinds, nil
}

// readMessageText returns the bodies of the messages up to the next ReadyForQuery, as sent on the wire.
func (c *client) readMessageText() (text string) {
	c.t.Helper()
	for {
		head := make([]byte, 5)
		if _, err := io.ReadFull(c, head); err != nil {
			c.t.Fatal(err)
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(c, body); err != nil {
			c.t.Fatal(err)
		}
		if text += string(body); head[0] == 'Z' {
			return text
		}
	}
}

// testDaemon runs a daemon in this process, with its own files and address.
type testDaemon struct {
	t       *testing.T
	dir     string
	addr    string
	from    configSources
	log     *logBuffer
	early   []os.Signal // sent before the daemon starts
	change  func(*limits.Limits)
	signals chan os.Signal
	ended   chan error
}

// newTestDaemon writes a configuration with the addresses of a discovery and an engine, and an operator's file.
func newTestDaemon(t *testing.T, text, discovery, engine, hcl string) *testDaemon {
	t.Helper()
	h := &testDaemon{t: t, dir: t.TempDir(), addr: reserveAddress(t)}
	h.from = configSources{filepath.Join(h.dir, "config.json"), filepath.Join(h.dir, "operator.hcl")}
	h.put(h.from.configPath, strings.NewReplacer("%DISCOVERY%", discovery, "%ENGINE%", engine, "127.0.0.1:0", h.addr).Replace(text))
	h.put(h.from.operatorPath, hcl)
	return h
}

func (h *testDaemon) put(path, text string) {
	h.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// serve starts the daemon and waits until it serves clients.
func (h *testDaemon) serve() *daemon {
	h.t.Helper()
	config, file, err := h.from.read()
	if err != nil {
		h.t.Fatal(err)
	}
	l := limits.For(1024, 192, time.Second, time.Minute, 0)
	l.DrainTimeout, l.ShutdownTimeout, l.DrainQuietPeriod, l.ConfigReadTimeout = 300*time.Millisecond, testTimeout, 50*time.Millisecond, testTimeout
	if h.change != nil {
		h.change(l)
	}
	h.log, h.signals, h.ended = &logBuffer{}, make(chan os.Signal, 1+len(h.early)), make(chan error, 1)
	for _, sig := range h.early {
		h.signals <- sig
	}
	d := &daemon{sources: h.from, config: config, file: file, limits: l, logOutput: logs.New(h.log, file.Log)}
	go func(ended chan error, signals chan os.Signal) { ended <- d.run(signals) }(h.ended, h.signals)
	h.log.wait(h.t, "serving")
	return d
}

// dial opens a session. It may be called from any goroutine.
func (h *testDaemon) dial() *client {
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Error(err)
		runtime.Goexit()
	}
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, hello)
	c := &client{h.t, conn}
	c.awaitMessageKinds()
	return c
}

// reload replaces the operator's file, sends SIGHUP, and waits until the log has a text once more.
func (h *testDaemon) reload(text, logged string) {
	h.t.Helper()
	h.put(h.from.operatorPath, text)
	seen := h.log.count(logged)
	h.signals <- syscall.SIGHUP
	h.log.waitForMore(h.t, logged, seen)
}

// hangingReload starts a reload that reads the configuration from a pipe, and returns the pipe's other end.
func (h *testDaemon) hangingReload() *os.File {
	h.t.Helper()
	pipe := filepath.Join(h.dir, "pipe")
	if err := errors.Join(syscall.Mkfifo(pipe, 0o600), os.Rename(pipe, h.from.configPath)); err != nil {
		h.t.Fatal(err)
	}
	h.signals <- syscall.SIGHUP
	end, err := os.OpenFile(h.from.configPath, os.O_WRONLY, 0) // blocks until the reload has opened the pipe
	if err != nil {
		h.t.Fatal(err)
	}
	return end
}

// stop shuts the daemon down by SIGTERM, and fails the test if it exits with an error.
func (h *testDaemon) stop() {
	h.t.Helper()
	h.signals <- syscall.SIGTERM
	if err := <-h.ended; err != nil {
		h.t.Error(err)
	}
}

// logBuffer collects the log of a daemon, and lets tests wait for a text in it.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *logBuffer) count(part string) int { return strings.Count(l.String(), part) }

func (l *logBuffer) wait(t *testing.T, part string) { t.Helper(); l.waitForMore(t, part, 0) }

// waitForMore waits until the log contains a text more often than seen.
func (l *logBuffer) waitForMore(t *testing.T, part string, seen int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); l.count(part) <= seen; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the log does not contain %q in time: %s", part, l)
		}
	}
}
