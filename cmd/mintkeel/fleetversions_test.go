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

// configFleet returns a controller's own file with a fleet in which it is the only voter, a block config, and a rule that
// rejects all queries.
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

// ruleRejectingAll returns a rule that rejects all queries with the text.
func ruleRejectingAll(text string) string {
	return "rule \"" + text + "\" {\n refuse = \"" + text + "\"\n}\n"
}

func numbered(n uint64) config.Version {
	return config.Version{Number: n, Author: "anna", Reason: "why"}
}

// startConfigDaemon starts a daemon with a block config in a fleet that has no version yet. Tests call fleetConfig.apply in
// place of the fleet's service.
func startConfigDaemon(t *testing.T, text string) (h *testDaemon, d *daemon, hangs chan bool) {
	t.Helper()
	discovery, engine, hangs := fakeDiscoveryAndEngine(t)
	h = newTestDaemon(t, text, discovery, engine, "")
	h.put(h.from.operatorPath, configFleet(t, h.dir, "100ms"))
	return h, h.serve(), hangs
}

// A version of the fleet's document is applied in one step by the code of a reload; a document that can't be used changes
// nothing. A reload keeps the version in force, and also applies the controller's own blocks.
func TestVersionIsAppliedInOneStepAndSurvivesReload(t *testing.T) {
	h, d, _ := startConfigDaemon(t, validConfig)
	c := h.dial()
	serves := func(id int, want string) {
		t.Helper()
		if err := c.query(id, "1"); err != nil {
			t.Fatal(err)
		}
		if got := c.readMessageText(); !strings.Contains(got, want) {
			t.Errorf("query %d: answer %q, want one with %q", id, got, want)
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
		t.Errorf("a document with errors: %v, want errors with their lines and not retryable", err)
	}
	serves(3, "two")
	if err := apply(1, ruleRejectingAll("one")); err != nil { // a lower number, as in a new generation
		t.Error(err)
	}
	serves(9, "one")
	for range 2 { // the second time it is in force already
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
	serves(8, "SELECT 1") // no rules: the document replaces those of the own file
	for _, line := range []string{"configuration version in force", "version=2", "author=anna", "reason=why"} {
		if h.log.count(line) == 0 {
			t.Errorf("the log does not contain %q", line)
		}
	}
	h.stop()
	if err := apply(5, ""); !errors.Is(err, configuration.ErrRetryable) {
		t.Errorf("applying after the shutdown: %v, want a retryable error", err)
	}
	for _, word := range []string{"config.version=4", "config.taken=5", "config.refused=1"} {
		if h.log.count(word) == 0 {
			t.Errorf("the log does not contain %q: %s", word, h.log)
		}
	}
}

// The event loop rejects rules that change ordering keys too often within a short time. The version then fails with a
// retryable error, and changes nothing until a later retry.
func TestVersionIsRetriedWhileRulesChangeTooOften(t *testing.T) {
	h, d, hangs := startConfigDaemon(t, strings.Replace(validConfig, `"promise_ns"`, `"in_order":true,"promise_ns"`, 1))
	defer h.stop()
	err := d.fleetConfig.apply(numbered(1), []byte("#")) // removes the own rule, which rejects all queries
	if err != nil {
		t.Fatal(err)
	}
	c := h.dial()
	c.query(1, "hang") // stays in flight with the ordering keys of these rules
	<-hangs
	for n := uint64(2); n < 100 && err == nil; n++ {
		err = d.fleetConfig.apply(numbered(n), []byte("rule \"k\" {\n key = \"'"+strings.Repeat("k", int(n))+"'\"\n}\n"))
	}
	if !errors.Is(err, configuration.ErrRetryable) || !errors.Is(err, errRulesBusy) {
		t.Errorf("frequent changes of the rules end with %v, want errRulesBusy, retryable", err)
	}
	if d.fleetConfig.counts.retried.Load() != 1 || d.fleetConfig.counts.rejected.Load() != 0 {
		t.Error("a version to be retried is not counted as one retried and none rejected")
	}
}

// The main goroutine never applies a version that the fleet's service offers. The service must wait neither longer than
// applyTimeout nor past a shutdown.
func TestUnappliedVersionEndsByTimeoutOrShutdown(t *testing.T) {
	own := &operator.File{Log: logs.DefaultBlock()}
	c := newFleetConfig(&controllerConfig{Name: "n1"}, own)
	ended := make(chan error, 2)
	for range 2 { // one request that is never received, and one that is received but never answered
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
		t.Error("needsSharedStatistics is true after the shutdown")
	}
	if c.counts.retried.Load() != 2 {
		t.Errorf("%d versions counted as retried, want 2", c.counts.retried.Load())
	}
}

// A document is parsed only once for check and apply, unless the controller's own file is reloaded in between. A document
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
		t.Error("a document with an unknown name is accepted")
	}
	if _, err := c.parse([]byte("x = 1\n")); err == nil {
		t.Error("a document with an unknown name is accepted the second time")
	}
	if parse("log {\n}\n") != one {
		t.Error("the same document is parsed again")
	}
	c.setLocal(&operator.File{Log: logs.DefaultBlock()})
	two := parse("log {\n}\n")
	if two == one || parse("log {\n burst = 7\n}\n").Log.Burst != 7 || parse("log {\n}\n") == two {
		t.Error("another document, or the same one after a reload, is not parsed again")
	}
}

// newWaitingDaemon returns a daemon that does not serve clients yet, as while it waits for the latest version.
func newWaitingDaemon(t *testing.T, wait string) *daemon {
	t.Helper()
	dir := t.TempDir()
	h := &testDaemon{t: t, dir: dir, from: configSources{filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.hcl")}, log: &logBuffer{}}
	h.put(h.from.configPath, strings.NewReplacer("%DISCOVERY%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(validConfig))
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

// While a starting controller waits for the latest version, it applies versions that arrive, and keeps signals until they
// can be handled.
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
		t.Errorf("unexpected pending signals %+v", pending)
	}
	if d.file.Memory == nil || d.file.Memory.Folder != "/m/n1" || d.file.Rules != nil || d.file.Fleet.Name != "e" || d.fleetConfig.version.Number != 7 {
		t.Errorf("file in force after version 7: %+v", d.file)
	}
	go func() { ended <- d.awaitLatestVersion(context.Background(), signals, wait) }()
	signals <- syscall.SIGTERM
	if pending := <-ended; !pending.stop {
		t.Errorf("unexpected pending signals %+v", pending)
	}
	d.file.Config.Wait = 10 * time.Millisecond
	if pending := d.awaitLatestVersion(context.Background(), signals, wait); pending != (pendingSignals{}) {
		t.Errorf("unexpected pending signals %+v", pending)
	}
}

// Without a block config none of its goroutines, descriptors and folders exist, and commands report that. With the block,
// the same checks find them.
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
			go func() { // connects while the daemon may be waiting for the latest version
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
							t.Error("a client can connect while the daemon waits for the latest version")
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
				t.Error("the daemon waits for the latest version without a block config, or does not wait with one")
			}
			defer h.stop()
			if (d.fleetConfig != nil) != on {
				t.Error("fleetConfig is set without a block config, or not set with one")
			}
			if _, err := os.Stat(filepath.Join(h.dir, "fleet", "config")); (err == nil) != on {
				t.Errorf("folder of the fleet's configuration, which must exist only with a block config: %v", err)
			}
			open := strings.Join(descriptors(t), " ")
			if strings.Contains(open, filepath.Join(h.dir, "fleet", "config")) != on {
				t.Errorf("open descriptors, which must include the folder only with a block config: %s", open)
			}
			if at := stacks(); !on && (strings.Contains(at, "agreedConfig") || strings.Contains(at, "onfig(")) {
				t.Errorf("goroutines of the fleet's configuration run without a block config: %s", at)
			}
			var out, errs strings.Builder
			code := execute([]string{"fleet", "config", "status", "--folder", filepath.Join(h.dir, "fleet")}, &out, &errs)
			if strings.Contains(errs.String(), "no block config") == on {
				t.Errorf("fleet config status must report a missing block config, and only then: code %d, %s, %s", code, out.String(), errs.String())
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
		if name, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil { // fails if it has been closed meanwhile
			names = append(names, name)
		}
	}
	return names
}
