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
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
	"mintkeel/internal/operator"
)

const (
	patience = 10 * time.Second // for what must come
	hello    = "\x00\x00\x00\x12\x00\x03\x00\x00user\x00app\x00\x00"
	good     = `{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,
 "sockets":1024},"bulletin":"%FEED%","known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
 {"host":"s-00000001","dial":"%ENGINE%","site":"east","class":"std","block":0,"health":"active","share":1,
 "born_ms":0}]}}]},"settings":{"n_instances":1,"round_ns":5000000,"zone":"east","failure_domains":["east"],
 "kinds":["std"],"report":{"fields":["util","inflight"]},"family_info":{"size_cores":[16],"size_mb":[1000.0],
 "width_by_class":[1]},"bounds":{"cancel":true,"send_cap":3,"connect_timeout_ns":250000000,"max_streams":100},
 "services":[{"name":"lookup","effect":"free","promise_ns":1000000000,"hard_limit_ns":6000000000}]}}`
)

func TestBadConfiguration(t *testing.T) {
	for _, c := range []struct{ from, to, says string }{
		{"", "", ""},
		{`"127.0.0.1:0"`, `"here"`, "field listen"},
		{`"%FEED%"`, `""`, "field bulletin"},
		{`"8c1f`, `"x`, "field seed"},
		{`"cores":1.0`, `"cores":0`, "field limits.cores"},
		{`192`, `1`, "field limits.memory_mb"},
		{`192`, `"much"`, "field limits.memory_mb"},
		{`1024`, `3`, "field limits.sockets"},
		{`"active"`, `"fine"`, "field known.items.0.roster.hosts.0.health"},
		{`"round_ns":5000000`, `"round_ns":"soon"`, "field round_ns"},
		{`"free"`, `"what"`, "field services.0.effect"},
		{`[16]`, `["x"]`, "field family_info.size_cores"},
		{`"settings"`, `"none"`, "field settings"},
		{`"name"`, `name`, "configuration"},
	} {
		text := strings.NewReplacer("%FEED%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(
			strings.Replace(good, c.from, c.to, 1))
		if c.from == `"%FEED%"` {
			text = strings.Replace(good, c.from, c.to, 1)
		}
		if _, err := parseControllerConfig([]byte(text)); (err == nil) != (c.says == "") ||
			err != nil && !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}

// feedAndEngine is a fake discovery and a fake engine. The engine answers each attempt at once; one with hang in its text is
// only reported on hangs.
func feedAndEngine(t *testing.T) (feed, engine string, hangs chan bool) {
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
	feed = serve(func(conn net.Conn) { io.Copy(io.Discard, conn) })
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
	return feed, engine, hangs
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

// hears is the kinds of the messages up to the next ReadyForQuery.
func (c *client) hears() string {
	c.t.Helper()
	said, err := c.heard()
	if err != nil {
		c.t.Fatalf("after %q: %v", said, err)
	}
	return said
}

// heard is the same, or how the session ended.
func (c *client) heard() (said string, err error) {
	for !strings.HasSuffix(said, "Z") {
		head := make([]byte, 5)
		if _, err := io.ReadFull(c, head); err != nil {
			return said, err
		}
		io.CopyN(io.Discard, c, int64(binary.BigEndian.Uint32(head[1:]))-4)
		said += string(head[:1])
	}
	return said, nil
}

// message is what the messages up to the next ReadyForQuery hold, as it stands on the wire.
func (c *client) message() (text string) {
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

// The daemon with all its parts answers queries, applies a new configuration and keeps the former one if the new one is
// invalid. Asked to stop, it answers open queries, gives up in time on those whose engine hangs, and ends.
func TestServe(t *testing.T) {
	feed, engine, hangs := feedAndEngine(t)
	addr := reserveAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure := func(text, feed string) {
		text = strings.NewReplacer("%FEED%", feed, "%ENGINE%", engine, "127.0.0.1:0", addr).Replace(text)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	configure(good, feed)
	s, err := readControllerConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	l := limits.For(1024, 192, time.Second, time.Minute, 0)
	l.DrainTimeout, l.ShutdownTimeout, l.DrainQuietPeriod = 300*time.Millisecond, patience, 100*time.Millisecond
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	d := &daemon{sources: configSources{configPath: path}, config: s, file: &operator.File{}, limits: l,
		logOutput: logs.New(io.Discard, logs.DefaultBlock())}
	go func() { ended <- d.run(signals) }()
	dial := func() *client {
		for deadline := time.Now().Add(patience); ; {
			conn, err := net.Dial("tcp", addr)
			if err == nil {
				conn.SetDeadline(time.Now().Add(patience))
				t.Cleanup(func() { conn.Close() })
				io.WriteString(conn, hello)
				c := &client{t, conn}
				c.hears()
				return c
			}
			if time.Now().After(deadline) {
				t.Fatal(err)
			}
		}
	}
	one, two := dial(), dial()
	for i := range 3 {
		if one.query(i, "1"); one.hears() != "TDCZ" {
			t.Fatal("not answered")
		}
	}
	moved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	configure("no configuration", "")
	if r := d.readFiles(); r.configErr == nil || r.fileErr != nil {
		t.Errorf("a bad file is read as %+v, %v", r.config, r.fileErr)
	}
	signals <- syscall.SIGHUP
	configure(strings.Replace(good, "192", "64", 1), moved.Addr().String())
	signals <- syscall.SIGHUP
	moved.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	conn, err := moved.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	last := make([]byte, 8)
	if _, err := io.ReadFull(conn, last); err != nil || last[7] != 1 {
		t.Errorf("the feed is asked for what follows %v, %v", last, err)
	}
	two.query(10, "hang")
	<-hangs
	one.query(10, "1") // an id that is open, which engines could not tell apart
	if said := one.hears(); said != "EZ" {
		t.Errorf("an open id: %s", said)
	}
	signals <- syscall.SIGUSR1
	signals <- syscall.SIGTERM
	if one.query(11, "1"); one.hears() != "TDCZ" {
		t.Error("not answered while stopping")
	}
	three := dial()
	if three.query(12, "1"); three.hears() != "TDCZ" {
		t.Error("a new connection not answered while stopping")
	}
	if said := two.hears(); said != "EZ" {
		t.Errorf("what hangs: %s", said)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("goes on for ever")
	}
}

// testDaemon is a daemon under test with its files and an address of its own.
type testDaemon struct {
	t       *testing.T
	dir     string
	addr    string
	from    configSources
	log     *lines
	early   []os.Signal // that come before it serves
	change  func(*limits.Limits)
	signals chan os.Signal
	ended   chan error
}

// newTestDaemon writes a configuration for a discovery and an engine, and an operator's file.
func newTestDaemon(t *testing.T, text, feed, engine, hcl string) *testDaemon {
	t.Helper()
	h := &testDaemon{t: t, dir: t.TempDir(), addr: reserveAddress(t)}
	h.from = configSources{filepath.Join(h.dir, "config.json"), filepath.Join(h.dir, "operator.hcl")}
	h.put(h.from.configPath, strings.NewReplacer("%FEED%", feed, "%ENGINE%", engine, "127.0.0.1:0", h.addr).Replace(text))
	h.put(h.from.operatorPath, hcl)
	return h
}

func (h *testDaemon) put(path, text string) {
	h.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// serve starts the daemon and waits until it serves.
func (h *testDaemon) serve() *daemon {
	h.t.Helper()
	s, file, err := h.from.read()
	if err != nil {
		h.t.Fatal(err)
	}
	l := limits.For(1024, 192, time.Second, time.Minute, 0)
	l.DrainTimeout, l.ShutdownTimeout, l.DrainQuietPeriod, l.ConfigReadTimeout = 300*time.Millisecond, patience, 50*time.Millisecond, patience
	if h.change != nil {
		h.change(l)
	}
	h.log, h.signals, h.ended = &lines{}, make(chan os.Signal, 1+len(h.early)), make(chan error, 1)
	for _, sig := range h.early {
		h.signals <- sig
	}
	d := &daemon{sources: h.from, config: s, file: file, limits: l, logOutput: logs.New(h.log, file.Log)}
	go func(ended chan error, signals chan os.Signal) { ended <- d.run(signals) }(h.ended, h.signals)
	h.log.wait(h.t, "serving")
	return d
}

// dial opens a session. It may be called by any goroutine.
func (h *testDaemon) dial() *client {
	conn, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Error(err)
		runtime.Goexit()
	}
	h.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	io.WriteString(conn, hello)
	c := &client{h.t, conn}
	c.hears()
	return c
}

// reload has another operator's file read, and waits for a word of the log.
func (h *testDaemon) reload(text, word string) {
	h.t.Helper()
	h.put(h.from.operatorPath, text)
	seen := h.log.count(word)
	h.signals <- syscall.SIGHUP
	h.log.more(h.t, word, seen)
}

// hangingReload has the configuration read from a pipe, and returns that when it is being read.
func (h *testDaemon) hangingReload() *os.File {
	h.t.Helper()
	pipe := filepath.Join(h.dir, "pipe")
	if err := errors.Join(syscall.Mkfifo(pipe, 0o600), os.Rename(pipe, h.from.configPath)); err != nil {
		h.t.Fatal(err)
	}
	h.signals <- syscall.SIGHUP
	end, err := os.OpenFile(h.from.configPath, os.O_WRONLY, 0) // opens once it is being read
	if err != nil {
		h.t.Fatal(err)
	}
	return end
}

// stop ends the daemon as planned.
func (h *testDaemon) stop() {
	h.t.Helper()
	h.signals <- syscall.SIGTERM
	if err := <-h.ended; err != nil {
		h.t.Error(err)
	}
}

// Words of the log at a reload.
const again, refused = "operator's file read again", "operator's file not used"

// Under load, reloads turn snapshots on, off and to other folders, and one file is invalid. Queries go on being answered, and
// the snapshots at the end are complete.
func TestSnapshotsSurviveReloadsUnderLoad(t *testing.T) {
	feed, engine, _ := feedAndEngine(t)
	h := newTestDaemon(t, good, feed, engine, "")
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
			if c.query(n, "1"); c.hears() != "TDCZ" {
				t.Errorf("command %d is not answered", n)
				return
			}
		}
	}()
	for range 3 {
		h.reload(block("b", "100ms"), again)
		h.reload("memory {\n", refused)
		h.reload(block("b", "200ms"), again)
		h.reload("", again)
		h.reload(block("a", "100ms"), again)
	}
	h.reload("memory {\n folder = 3\n}\nx = 1\n", refused)
	close(stop)
	if n := <-stopped; n < 20 {
		t.Errorf("%d commands answered", n)
	}
	h.stop()
	for _, folder := range []string{"a", "b"} {
		if code := execute([]string{"memory", "verify", filepath.Join(h.dir, folder)}, io.Discard, io.Discard); code != 0 {
			t.Errorf("folder %s: code %d", folder, code)
		}
	}
	h.put(h.from.operatorPath, block("a", "1h"))
	h.serve()
	h.stop()
	if text := h.log.String(); !strings.Contains(text, "believed=") || strings.Contains(text, "believed=0") {
		t.Errorf("nothing is believed after a restart: %s", text)
	}
}

// A file on a disk that is gone hangs on read. The read is given up after its timeout; one that returns in time is not
// affected.
func TestHangingReadTimesOut(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readWithTimeout(10*time.Millisecond, func() (*operator.File, error) { return operator.Read(pipe, nil) }); err == nil {
		t.Error("a pipe that nobody writes to is read")
	}
	end, err := os.OpenFile(pipe, os.O_WRONLY, 0) // lets its goroutine end
	if err != nil {
		t.Fatal(err)
	}
	end.Close()
	if x, err := readWithTimeout(patience, func() (int, error) { return 7, nil }); x != 7 || err != nil {
		t.Error(x, err)
	}
}

// SIGTERM comes before clients are served, twice, with a reload behind it, or while a reload hangs. In each case open queries
// are answered, idle sessions are closed in order, and the controller shuts down once.
func TestStopCrossings(t *testing.T) {
	t.Run("during the start", func(t *testing.T) {
		feed, engine, _ := feedAndEngine(t)
		h := newTestDaemon(t, good, feed, engine, "")
		h.early = []os.Signal{syscall.SIGTERM, syscall.SIGTERM}
		h.serve()
		if err := <-h.ended; err != nil {
			t.Error(err)
		}
	})
	t.Run("twice, and a reload behind it", func(t *testing.T) {
		feed, engine, hangs := feedAndEngine(t)
		h := newTestDaemon(t, good, feed, engine, "")
		h.change = func(l *limits.Limits) { l.ClientCloseTimeout = patience }
		h.serve()
		rests, open := h.dial(), h.dial()
		if rests.query(1, "1"); rests.hears() != "TDCZ" {
			t.Error("not answered")
		}
		open.query(2, "hang")
		<-hangs
		h.signals <- syscall.SIGTERM
		h.log.wait(t, "told to stop")
		h.put(h.from.configPath, "no configuration")
		h.signals <- syscall.SIGHUP
		if said := open.hears(); said != "EZ" {
			t.Errorf("what hangs: %s", said)
		}
		if _, err := rests.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("who rests finds %v", err)
		}
		for id := 3; id < 500; id++ { // cross the end; a closed socket would answer the first by a reset, which the next meets
			if err := rests.query(id, "hang"); err != nil {
				t.Fatalf("query %d that crosses the end: %v", id, err)
			}
		}
		rests.Close()
		if _, err := open.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("who was answered finds %v", err)
		}
		open.Close()
		if err := <-h.ended; err != nil || len(hangs) > 0 {
			t.Errorf("ended by %v, %d sent on past the end", err, len(hangs))
		}
		if n := h.log.count("told to stop"); n != 1 {
			t.Errorf("told to stop %d times", n)
		}
	})
	t.Run("and clients that ask to the last", func(t *testing.T) {
		feed, engine, _ := feedAndEngine(t)
		h := newTestDaemon(t, good, feed, engine, "")
		h.change = func(l *limits.Limits) {
			l.ShutdownTimeout, l.ClientCloseTimeout, l.DrainQuietPeriod = patience, patience-time.Second, patience
		}
		h.serve()
		rests, asks := h.dial(), h.dial()
		h.signals <- syscall.SIGTERM
		for id := 1; ; id++ {
			if err := asks.query(id, "1"); err != nil {
				t.Fatalf("query %d: %v", id, err)
			}
			if said, err := asks.heard(); err == io.EOF && said == "" {
				break // it crossed the end
			} else if err != nil || said != "TDCZ" && said != "EZ" { // shed once there is no time left
				t.Fatalf("query %d: said %q, %v", id, said, err)
			}
		}
		if _, err := rests.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("who rests finds %v", err)
		}
		rests.Close()
		asks.Close()
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
		feed, engine, _ := feedAndEngine(t)
		h := newTestDaemon(t, good, feed, engine, "")
		h.serve()
		defer h.hangingReload().Close()
		began := time.Now()
		h.signals <- syscall.SIGTERM
		if err := <-h.ended; err != nil || time.Since(began) > patience/2 {
			t.Errorf("ended by %v after %v", err, time.Since(began))
		}
	})
}

// SIGHUP comes while files are read for an earlier one. They are read once more, and the last state counts.
func TestReloadMeetsReload(t *testing.T) {
	feed, engine, _ := feedAndEngine(t)
	moved, _, _ := feedAndEngine(t)
	h := newTestDaemon(t, good, feed, engine, "")
	text, err := os.ReadFile(h.from.configPath)
	if err != nil {
		t.Fatal(err)
	}
	h.serve()
	first := h.hangingReload()
	h.signals <- syscall.SIGHUP
	h.signals <- syscall.SIGUSR1
	h.log.wait(t, "counts") // so the second has been heard
	next := filepath.Join(h.dir, "next")
	h.put(next, strings.ReplaceAll(string(text), feed, moved))
	if err := os.Rename(next, h.from.configPath); err != nil {
		t.Fatal(err)
	}
	first.Write(text)
	first.Close()
	h.log.wait(t, "bulletin="+feed)
	h.log.wait(t, "bulletin="+moved)
	h.stop()
}

// lines is a log that can be waited on.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func (l *lines) count(word string) int { return strings.Count(l.String(), word) }

func (l *lines) wait(t *testing.T, word string) { t.Helper(); l.more(t, word, 0) }

func (l *lines) more(t *testing.T, word string, than int) {
	t.Helper()
	for end := time.Now().Add(patience); l.count(word) <= than; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %q: %s", word, l)
		}
	}
}

// Command lines, what they print, and their exit codes.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	config, badHCL := filepath.Join(dir, "c.json"), filepath.Join(dir, "bad.hcl")
	text := strings.NewReplacer("%FEED%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(good)
	own, leases := filepath.Join(dir, "own.hcl"), filepath.Join(dir, "leases.hcl")
	ruled, cases, badCases := filepath.Join(dir, "rules.hcl"), filepath.Join(dir, "cases.hcl"), filepath.Join(dir, "bad_cases.hcl")
	const query = "/* verb=lookup,txn=9b1f03aa5c7e2d41,limit=1500,store=12-east */ SELECT 1 FROM menu_17.items"
	for path, text := range map[string]string{
		ruled: "rule \"hot\" {\n when = \"schema == 'menu_17' && label('store') startswith '12'\"\n hot = true\n}\n" +
			"rule \"no\" {\n when = \"table_name == 'secrets'\"\n refuse = \"no\"\n}\n",
		cases:    fmt.Sprintf("case \"a\" {\n query = %q\n hot = true\n matches = [\"hot\"]\n profile = \"lookup\"\n refuse = \"\"\n}\n", query),
		badCases: fmt.Sprintf("case \"a\" {\n query = %q\n hot = false\n kinds = [\"std\"]\n}\n", query),
		own: "fleet {\n name = \"e\"\n listen = \"10.0.0.1:9\"\n key_file = \"/k\"\n folder = \"/f\"\n council = { n1 = \"10.0.0.1:9\" }\n" +
			" works = [\"digest\", \"plan\"]\n}\nconfig {\n}\n",
		leases: "fleet {\n works = [\"digest\"]\n}\nmaintenance {\n}\n",
		config: text, badHCL: "log {\n level = 1\n}\nx = 1\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	empty := t.TempDir()
	t.Setenv("PROXY_CONFIG", "")
	t.Setenv("MINTKEEL_OPERATOR", "")
	for _, c := range []struct {
		args      string
		code      int
		out, errs string
	}{
		{"", 2, "", "no command"},
		{"nonsense", 2, "", "unknown command"},
		{"check --nonsense", 2, "", "unknown flag"},
		{"check more", 2, "", "unknown command"},
		{"check", 1, "", "set --config"},
		{"check -config " + config, 0, "n1: 1 profiles", ""},
		{"check -config=" + config, 0, "n1: 1 profiles", ""},
		{"check --config " + config + " --json", 0, `"ok": true`, ""},
		{"check --config " + config + " --operator " + badHCL, 1, "", "bad.hcl:2:10: field log.level"},
		{"check --config " + config + " --operator " + badHCL + " --json", 1, `"field": "x"`, "field x"},
		{"check --config " + config + " --operator " + badHCL + "x", 1, "", "no such file"},
		{"check --config " + config + "x --json", 1, `"ok": false`, "no such file"},
		{"check --config " + config + " --operator " + own + " --document " + ruled, 0, "rules.hcl: can be used; memory off, 2 rules", ""},
		{"check --config " + config + " --operator " + own + " --document " + badHCL, 1, "", "bad.hcl:2:10: field log.level"},
		{"check --config " + config + " --operator " + own + " --document " + own, 1, "", "own.hcl:2:9: field fleet.name: is each controller's own"},
		{"check --config " + config + " --operator " + own + " --json --document " + leases, 1, `"field": "maintenance"`, "leases.hcl:4:1: field maintenance"},
		{"check --config " + config + " --operator " + own + " --document " + own + "x", 1, "", "no such file"},
		{"version", 0, "mintkeel", ""},
		{"version --json", 0, `"go": "go`, ""},
		{"--help", 0, "serve", ""},
		{"completion bash", 0, "mintkeel", ""},
		{"memory", 0, "verify", ""},
		{"fleet members", 1, "", "no folder"},
		{"fleet members --folder " + empty, 1, "", "no controller answers"},
		{"fleet handover digest --folder " + empty, 2, "", "arg"},
		{"memory show", 2, "", "arg"},
		{"memory show " + empty, 1, "", "no snapshot"},
		{"memory verify " + empty, 1, "", "trusted"},
		{"memory verify " + empty + "/x", 1, "", "no such file"},
		{"memory prune " + empty, 1, "", "name what"},
		{"rules", 0, "explain", ""},
		{"rules check --config " + config, 1, "", "no rules"},
		{"rules check --config " + config + " --operator " + ruled, 0, "schema, one of 1", ""},
		{"rules explain --config " + config + " --operator " + ruled + "|" + query, 0,
			"hot: matches\n  ((schema == \"menu_17\") && (label(\"store\") startswith \"12\")) = true", ""},
		{"rules explain --config " + config + " --operator " + ruled + "|" + strings.Replace(query, "items", "secrets", 1), 0, "refused: no", ""},
		{"rules explain --config " + config + " --operator " + ruled + "|SELECT 1", 1, "", "field comment"},
		{"rules test --config " + config + " --operator " + ruled + " " + cases, 0, "1 passed, 0 failed", ""},
		{"rules test --config " + config + " --operator " + ruled + " " + badCases, 1, "hot is \"true\", not \"false\"", "1 cases"},
		{"rules test --config " + config + " --operator " + ruled + " " + ruled, 1, "", "is not known"},
		{"rules bench --for 10ms --config " + config + " --operator " + ruled + "|" + query, 0, "2 rules cost", ""},
		{"memory prune --all " + empty, 0, "0 records forgotten", ""},
	} {
		var out, errs strings.Builder
		if code := execute(split(c.args), &out, &errs); code != c.code || !strings.Contains(out.String(), c.out) ||
			!strings.Contains(errs.String(), c.errs) || c.errs == "" && errs.Len() > 0 {
			t.Errorf("%q: code %d\n%s\n%s", c.args, code, out.String(), errs.String())
		}
	}
}

// Rules are applied before the event loop: they reject queries with their text, and a reload changes all of them or none.
func TestRulesRejectAndReload(t *testing.T) {
	feed, engine, _ := feedAndEngine(t)
	const no = "rule \"no\" {\n when = \"table_name == 't'\"\n refuse = \"not now\"\n}\n"
	h := newTestDaemon(t, strings.Replace(good, `"promise_ns"`, `"in_order":true,"promise_ns"`, 1), feed, engine, no)
	h.serve()
	c := h.dial()
	for i, step := range []struct{ text, word, says string }{
		{"", "", "EZ"},
		{"rule \"no\" {\n when = \"table_name == 'u'\"\n refuse = \"not now\"\n}\n", again, "TDCZ"},
		{no, again, "EZ"},
		{"rule \"no\" {\n when = \"table_name = 't'\"\n}\n", refused, "EZ"},
		{"rule \"k\" {\n key = \"'k' + tenant\"\n}\n", again, "TDCZ"},
		{"log {\n}\n", again, "TDCZ"},
	} {
		if step.word != "" {
			h.reload(step.text, step.word)
		}
		if c.query(i, "1"); c.hears() != step.says {
			t.Errorf("step %d: not %s", i, step.says)
		}
	}
	h.reload(no, again)
	c.query(99, "1")
	c.hears()
	h.stop()
	if text := h.log.String(); !strings.Contains(text, "rules.refused=1") || !strings.Contains(text, "bad_queries=0") {
		t.Error(text)
	}
}

// split returns the arguments of a command line; the text behind a bar is one argument.
func split(line string) []string {
	words, last, found := strings.Cut(line, "|")
	args := strings.Fields(words)
	if !found {
		return args
	}
	return append(args, last)
}

// orderCheckingEngine is a fake engine that takes 2 ms for a query and counts queries of one store that run at once.
type orderCheckingEngine struct {
	mu    sync.Mutex
	out   map[string]int
	both  int
	taken int
}

func (o *orderCheckingEngine) serve(conn net.Conn) {
	var writing sync.Mutex
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		reply := func(text string) {
			writing.Lock()
			defer writing.Unlock()
			io.WriteString(conn, words[1]+text)
		}
		switch words[0] {
		case "ping":
			reply(" READY - 0\r\n\r\n")
		case "do":
			statement, _ := r.ReadString('\n')
			store, _, _ := strings.Cut(statement[strings.Index(statement, "store_"):], " ")
			o.mu.Lock()
			if o.taken++; o.out[store] > 0 {
				o.both++
			}
			o.out[store]++
			o.mu.Unlock()
			time.AfterFunc(2*time.Millisecond, func() {
				o.mu.Lock()
				o.out[store]--
				o.mu.Unlock()
				reply(" ACK parts=1 6\r\na\tb\tc\n\r\n")
			})
		}
	}
}

// Valid and invalid rules alternate many times a second under load on few stores. Each set gives a store's loads one ordering
// key, and each set another key. Even so no two loads of a store ever run at once.
func TestOrderingHoldsWhileRulesChangeUnderLoad(t *testing.T) {
	feed, _, _ := feedAndEngine(t)
	engine := &orderCheckingEngine{out: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go engine.serve(conn)
		}
	}()
	rule := func(name string) string {
		// Each reload is awaited by its line, so none may be dropped.
		return fmt.Sprintf("log {\n burst = 1000\n}\nrule %q {\n key = \"'%s/' + label('store')\"\n}\n", name, name)
	}
	h := newTestDaemon(t, strings.Replace(good, `"promise_ns"`, `"in_order":true,"promise_ns"`, 1), feed, listener.Addr().String(), rule("r0"))
	h.serve()
	var group sync.WaitGroup
	stop := make(chan bool)
	for n := range 12 {
		group.Go(func() {
			c := h.dial()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				store := fmt.Sprint("store_", (n+i)%3)
				body := fmt.Sprintf("/* verb=lookup,txn=%08x%08x,limit=5000,store=%s */ SELECT 1 FROM s_1.%s WHERE x\x00", n, i, store, store)
				fmt.Fprintf(c, "Q%s%s", binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body)
				if said := c.hears(); said != "TDCZ" {
					t.Errorf("client %d, command %d: %s", n, i, said)
					return
				}
			}
		})
	}
	for i := 1; i <= 40; i++ {
		text, word := rule(fmt.Sprint("r", i)), again
		if i%4 == 0 {
			text, word = "rule \"bad\" {\n key = \"label('store')\"\n}\n", refused
		}
		h.put(h.from.operatorPath, text)
		const soon = "changed too often"
		seen, early := h.log.count(word), h.log.count(soon)
		h.signals <- syscall.SIGHUP
		taken := func() int {
			engine.mu.Lock()
			defer engine.mu.Unlock()
			return engine.taken
		}
		for end := time.Now().Add(patience); h.log.count(word) <= seen && h.log.count(soon) <= early || taken() < 4*i; {
			if time.Sleep(time.Millisecond); time.Now().After(end) {
				t.Fatalf("no %q: %s", word, h.log)
			}
		}
	}
	close(stop)
	group.Wait()
	h.stop()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.both > 0 || engine.taken < 160 {
		t.Errorf("%d of %d loads were out beside one of their store", engine.both, engine.taken)
	}
}
