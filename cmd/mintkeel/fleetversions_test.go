package main

import (
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
	"mintkeel/internal/operator"
)

// configFleet is a controller's own file: a fleet of which it is the only voter, with the block config, and a rule of its own.
func configFleet(t *testing.T, dir, wait string) string {
	t.Helper()
	key := filepath.Join(dir, "fleet.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("KEY", key, "FOLDER", filepath.Join(dir, "fleet"), "WAIT", wait).Replace(`fleet {
 name = "e"
 listen = "127.0.0.1:0"
 advertise = "127.0.0.1:1"
 key_file = "KEY"
 folder = "FOLDER"
 council = { n1 = "127.0.0.1:1" }
}
config {
 wait = "WAIT"
}
`) + ruleRejectingAll("own")
}

// ruleRejectingAll is a rule that rejects all queries with a text.
func ruleRejectingAll(text string) string {
	return "rule \"" + text + "\" {\n refuse = \"" + text + "\"\n}\n"
}

func numbered(n uint64) config.Version {
	return config.Version{Number: n, Author: "anna", Reason: "why"}
}

// startConfigDaemon starts a daemon with a block config in a fleet without a version. The test makes the calls of the
// fleet's service.
func startConfigDaemon(t *testing.T, text string) (h *testDaemon, d *daemon, hangs chan bool) {
	t.Helper()
	discovery, engine, hangs := fakeDiscoveryAndEngine(t)
	h = newTestDaemon(t, text, discovery, engine, "")
	h.put(h.from.operatorPath, configFleet(t, h.dir, "100ms"))
	return h, h.serve(), hangs
}

// A version of the fleet's document is applied in one step by the code of a reload; a document that can't be used changes
// nothing. A reload keeps the version in force, and applies the controller's own blocks beside it.
func TestVersionIsAppliedInOneStepAndSurvivesReload(t *testing.T) {
	h, d, _ := startConfigDaemon(t, validConfig)
	c := h.dial()
	serves := func(id int, want string) {
		t.Helper()
		if err := c.query(id, "1"); err != nil {
			t.Fatal(err)
		}
		if got := c.readMessageText(); !strings.Contains(got, want) {
			t.Errorf("query %d: %q, not %q", id, got, want)
		}
	}
	apply := func(number uint64, document string) error {
		return d.fleetConfig.apply(numbered(number), []byte(document))
	}
	serves(1, "own")
	if err := apply(2, ruleRejectingAll("two")); err != nil {
		t.Error(err)
	}
	serves(2, "two")
	if err := apply(3, "rule \"x\" {\n refuse = 3\n}\nconfig {\n}\n"); err == nil || errors.Is(err, configuration.ErrRetryable) ||
		!strings.HasPrefix(err.Error(), `line 2, column 11: field rule "x".refuse is no text`) || !strings.Contains(err.Error(), "; line 4") {
		t.Errorf("a bad document: %v", err)
	}
	serves(3, "two")
	if err := apply(1, ruleRejectingAll("one")); err != nil { // of a new generation
		t.Error(err)
	}
	serves(9, "one")
	for range 2 { // the same again, too
		if err := apply(2, ruleRejectingAll("two")); err != nil {
			t.Error(err)
		}
	}
	serves(4, "two")
	own := configFleet(t, h.dir, "200ms")
	h.reload(own, logReloaded)
	h.log.wait(t, "configuration version stays in force")
	serves(5, "two")
	h.reload("fleet {\n", logNotUsed)
	serves(6, "two")
	h.reload(strings.Replace(own, "config {\n wait = \"200ms\"\n}\n", "", 1), logReloaded)
	h.log.wait(t, "field=config")
	h.reload(strings.Replace(own, "name = \"e\"", "name = \"other\"", 1)+"maintenance {\n}\n", logReloaded)
	h.log.wait(t, "field=fleet")
	h.log.wait(t, "field=maintenance")
	serves(7, "two")
	if err := apply(4, "log {\n level = \"info\"\n}\n"); err != nil {
		t.Error(err)
	}
	serves(8, "SELECT 1") // no rule at all, whatever the controller's own file says
	for _, line := range []string{"configuration version in force", "version=2", "author=anna", "reason=why"} {
		if h.log.count(line) == 0 {
			t.Errorf("no %q in the log", line)
		}
	}
	h.stop()
	if err := apply(5, ""); !errors.Is(err, configuration.ErrRetryable) {
		t.Errorf("after the end: %v", err)
	}
	for _, word := range []string{"config.version=4", "config.taken=5", "config.refused=1"} {
		if h.log.count(word) == 0 {
			t.Errorf("no %q: %s", word, h.log)
		}
	}
}

// Rules that change ordering keys too often within a short time are not applied by the event loop. The version then fails
// with a retryable error and changes nothing until a later try.
func TestVersionIsRetriedWhileRulesChangeTooOften(t *testing.T) {
	h, d, hangs := startConfigDaemon(t, strings.Replace(validConfig, `"promise_ns"`, `"in_order":true,"promise_ns"`, 1))
	defer h.stop()
	err := d.fleetConfig.apply(numbered(1), []byte("#")) // without the controller's own rule, which refuses all
	if err != nil {
		t.Fatal(err)
	}
	c := h.dial()
	c.query(1, "hang") // is open under the keys of that time
	<-hangs
	for n := uint64(2); n < 100 && err == nil; n++ {
		err = d.fleetConfig.apply(numbered(n), []byte("rule \"k\" {\n key = \"'"+strings.Repeat("k", int(n))+"'\"\n}\n"))
	}
	if !errors.Is(err, configuration.ErrRetryable) || !errors.Is(err, errRulesBusy) {
		t.Errorf("ended by %v", err)
	}
	if d.fleetConfig.counts.retried.Load() != 1 || d.fleetConfig.counts.rejected.Load() != 0 {
		t.Error("counted as refused")
	}
}

// The fleet's service offers a version and the main goroutine does not apply it. The service does not wait longer than
// applyTimeout, nor past a shutdown.
func TestUnappliedVersionEndsByTimeoutOrShutdown(t *testing.T) {
	own := &operator.File{Log: logs.DefaultBlock()}
	c := newFleetConfig(&controllerConfig{Name: "n1"}, own)
	ended := make(chan error, 2)
	for range 2 { // one that is not taken, and one that is taken and not answered
		go func() { ended <- c.apply(numbered(1), nil) }()
	}
	<-c.requests
	c.stopApplying()
	for range 2 {
		if err := <-ended; !errors.Is(err, errStopping) || !errors.Is(err, configuration.ErrRetryable) {
			t.Error(err)
		}
	}
	if c.needsSharedStatistics() {
		t.Error("the digest is wanted after the end")
	}
	if c.counts.retried.Load() != 2 {
		t.Errorf("%d tried again", c.counts.retried.Load())
	}
}

// A document is parsed once to be checked and applied, unless the controller's own file was reloaded in between. A document
// with errors is not cached.
func TestDocumentIsParsedOnce(t *testing.T) {
	c := newFleetConfig(&controllerConfig{Name: "n1"}, &operator.File{Log: logs.DefaultBlock()})
	parse := func(text string) *operator.File {
		t.Helper()
		file, err := c.parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	one := parse("log {\n}\n")
	if _, err := c.parse([]byte("x = 1\n")); err == nil {
		t.Error("an unknown name can be used")
	}
	if _, err := c.parse([]byte("x = 1\n")); err == nil {
		t.Error("an unknown name can be used the second time")
	}
	if parse("log {\n}\n") != one {
		t.Error("read twice")
	}
	c.setLocal(&operator.File{Log: logs.DefaultBlock()})
	two := parse("log {\n}\n")
	if two == one || parse("log {\n burst = 7\n}\n").Log.Burst != 7 || parse("log {\n}\n") == two {
		t.Error("not read again")
	}
}

// newWaitingDaemon is a daemon that has not begun to serve clients, in its wait for the latest version.
func newWaitingDaemon(t *testing.T, wait string) *daemon {
	t.Helper()
	dir := t.TempDir()
	h := &testDaemon{t: t, dir: dir, from: configSources{filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.hcl")}, log: &logBuffer{}}
	h.put(h.from.configPath, strings.NewReplacer("%FEED%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(validConfig))
	h.put(h.from.operatorPath, configFleet(t, dir, wait))
	controller, file, err := h.from.read()
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{sources: h.from, config: controller, file: file, limits: limits.For(1024, 192, 0, 0, 0), logOutput: logs.New(h.log, file.Log)}
	d.log = d.logOutput.Logger()
	d.fleetConfig = newFleetConfig(controller, file)
	t.Cleanup(d.fleetConfig.stopApplying)
	return d
}

// A controller starts and waits for the latest version. Versions that arrive are applied before clients are served, and
// signals that arrive are kept until they can be handled.
func TestVersionsAreAppliedWhileLatestIsAwaited(t *testing.T) {
	d := newWaitingDaemon(t, "8s")
	signals, readiness := make(chan os.Signal), make(chan config.Readiness)
	wait := func(ctx context.Context) config.Readiness {
		select {
		case r := <-readiness:
			return r
		case <-ctx.Done():
			return config.Readiness{}
		}
	}
	ended := make(chan pendingSignals, 1)
	go func() { ended <- d.awaitLatestVersion(context.Background(), signals, wait) }()
	if err := d.fleetConfig.apply(numbered(7), []byte("log {\n level = \"warn\"\n}\nmemory {\n folder = \"/m/${name}\"\n}\n")); err != nil {
		t.Error(err)
	}
	signals <- syscall.SIGUSR1
	signals <- syscall.SIGHUP
	readiness <- config.Readiness{Confirmed: true, Number: 7, Latest: 7}
	if pending := <-ended; pending != (pendingSignals{reload: true}) {
		t.Errorf("pending %+v", pending)
	}
	if d.file.Memory == nil || d.file.Memory.Folder != "/m/n1" || d.file.Rules != nil || d.file.Fleet.Name != "e" || d.fleetConfig.version.Number != 7 {
		t.Errorf("in force: %+v", d.file)
	}
	go func() { ended <- d.awaitLatestVersion(context.Background(), signals, wait) }()
	signals <- syscall.SIGTERM
	if pending := <-ended; !pending.stop {
		t.Errorf("pending %+v", pending)
	}
	d.file.Config.Wait = 10 * time.Millisecond
	if pending := d.awaitLatestVersion(context.Background(), signals, wait); pending != (pendingSignals{}) {
		t.Errorf("pending %+v", pending)
	}
}

// Without a block config no goroutine, descriptor or folder of it exists, and commands say so. The same checks find them
// with the block.
func TestNoConfigBlockStartsNothing(t *testing.T) {
	for name, on := range map[string]bool{"off": false, "on": true} {
		t.Run(name, func(t *testing.T) {
			discovery, engine, _ := fakeDiscoveryAndEngine(t)
			h := newTestDaemon(t, validConfig, discovery, engine, "")
			own := configFleet(t, h.dir, "8s")
			if !on {
				own = strings.Replace(own, "config {\n wait = \"8s\"\n}\n", "", 1)
			}
			h.put(h.from.operatorPath, own)
			probed, served := make(chan struct{}), make(chan struct{})
			go func() { // looks while the latest version may be waited for
				defer close(probed)
				for ended := false; !ended; {
					select {
					case <-served:
						ended = true
					default:
						waits := strings.Contains(stacks(), "awaitConfig")
						conn, err := net.Dial("tcp", h.addr)
						if err == nil {
							conn.Close()
						}
						if waits && err == nil && strings.Contains(stacks(), "awaitConfig") {
							t.Error("clients are let in while the latest version is waited for")
						}
					}
				}
			}()
			d := h.serve()
			close(served)
			<-probed
			h.log.wait(t, "serving")
			known := strings.Index(h.log.String(), "as the latest")
			if waited := known >= 0 && known < strings.Index(h.log.String(), "serving"); waited != on {
				t.Error("at a start the latest version is waited for, or is not, against the file")
			}
			defer h.stop()
			if (d.fleetConfig != nil) != on {
				t.Error("the daemon's side of it")
			}
			if _, err := os.Stat(filepath.Join(h.dir, "fleet", "config")); (err == nil) != on {
				t.Errorf("folder: %v", err)
			}
			open := strings.Join(descriptors(t), " ")
			if strings.Contains(open, filepath.Join(h.dir, "fleet", "config")) != on {
				t.Errorf("descriptors: %s", open)
			}
			if at := stacks(); !on && (strings.Contains(at, "agreedConfig") || strings.Contains(at, "onfig(")) {
				t.Errorf("goroutines: %s", at)
			}
			var out, errs strings.Builder
			code := execute([]string{"fleet", "config", "status", "--folder", filepath.Join(h.dir, "fleet")}, &out, &errs)
			if strings.Contains(errs.String(), "no block config") == on {
				t.Errorf("status: %d, %s, %s", code, out.String(), errs.String())
			}
		})
	}
}

// stacks returns the stacks of all goroutines of this process.
func stacks() string {
	text := make([]byte, 1<<20)
	return string(text[:runtime.Stack(text, true)])
}

// descriptors lists the open descriptors of this process.
func descriptors(t *testing.T) (names []string) {
	t.Helper()
	const folder = "/proc/self/fd"
	list, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		if name, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil { // else it is closed by now
			names = append(names, name)
		}
	}
	return names
}
