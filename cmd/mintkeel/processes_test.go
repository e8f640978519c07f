package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/lab/loopback"
)

// process is a daemon that runs as a process of its own, with its folder and addresses.
type process struct {
	t           *testing.T
	binary      string
	name        string
	dir         string
	addr        string // on which it serves clients
	fleetAddr   string // on which it serves the other controllers
	log         *logBuffer
	cmd         *exec.Cmd
	exited      chan error
	lastQueryID int
}

// buildDaemon builds the daemon as it is deployed.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "mintkeel")
	if out, err := exec.Command("go", "build", "-o", binary, "mintkeel/cmd/mintkeel").CombinedOutput(); err != nil {
		t.Fatalf("building the daemon: %v: %s", err, out)
	}
	return binary
}

// reserveAddress returns an unused loopback address, a different one for each call.
func reserveAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// configProcesses prepares controllers n1 to nN of one fleet, whose operator files have a config block, without starting
// them. The first three are voters. The configuration of the fourth names another machine kind than those of the others.
func configProcesses(t *testing.T, count int) []*process {
	t.Helper()
	discovery, engine, _ := fakeDiscoveryAndEngine(t)
	binary, dir := buildDaemon(t), t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "fleet.key"), []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	var all []*process
	var voters []string
	for i := range count {
		p := &process{t: t, binary: binary, name: fmt.Sprint("n", i+1), dir: filepath.Join(dir, fmt.Sprint("n", i+1)), addr: reserveAddress(t),
			fleetAddr: reserveAddress(t), lastQueryID: 1000 * i}
		if err := os.Mkdir(p.dir, 0o700); err != nil {
			t.Fatal(err)
		}
		if all = append(all, p); i < 3 {
			voters = append(voters, fmt.Sprintf("%s = %q", p.name, p.fleetAddr))
		}
	}
	for i, p := range all {
		text := strings.NewReplacer("%DISCOVERY%", discovery, "%ENGINE%", engine, "127.0.0.1:0", p.addr, `"name":"n1"`, fmt.Sprintf(`"name":%q`, p.name)).Replace(validConfig)
		if i == 3 {
			text = strings.ReplaceAll(text, `"std"`, `"big"`)
		}
		p.write("config.json", text)
		p.write("operator.hcl", fmt.Sprintf("fleet {\n name = \"e\"\n listen = %q\n key_file = %q\n folder = %q\n council = { %s }\n lease = \"1s\"\n}\n"+
			"config {\n wait = \"2s\"\n}\n", p.fleetAddr, filepath.Join(dir, "fleet.key"), p.folder(), strings.Join(voters, ", "))+ruleRejectingAll("own"))
	}
	return all
}

func (p *process) folder() string { return filepath.Join(p.dir, "fleet") }

func (p *process) write(name, text string) {
	p.t.Helper()
	if err := os.WriteFile(filepath.Join(p.dir, name), []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start launches the daemon and waits until it serves clients.
func (p *process) start() {
	p.t.Helper()
	p.launch()
	p.log.wait(p.t, "serving")
}

// launch starts the daemon without waiting for it.
func (p *process) launch() {
	p.t.Helper()
	p.log, p.exited = &logBuffer{}, make(chan error, 1)
	p.cmd = exec.Command(p.binary, "serve", "--config", filepath.Join(p.dir, "config.json"), "--operator", filepath.Join(p.dir, "operator.hcl"))
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd, ended := p.cmd, p.exited
	go func() { ended <- cmd.Wait() }()
	p.t.Cleanup(func() { cmd.Process.Kill() })
}

// end sends the daemon a signal, waits until it exits, and returns its exit error.
func (p *process) end(sig syscall.Signal) error {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
	select {
	case err := <-p.exited:
		return err
	case <-time.After(2 * testTimeout):
		p.t.Fatalf("%s does not exit: %s", p.name, p.log)
		return nil
	}
}

// expectAnswer sends a query and checks that the answer contains a text.
func (p *process) expectAnswer(want string) {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, hello)
	c := &client{p.t, conn}
	c.awaitMessageKinds()
	p.lastQueryID++
	if err := c.query(p.lastQueryID, "1"); err != nil {
		p.t.Fatal(err)
	}
	if got := c.readMessageText(); !strings.Contains(got, want) {
		p.t.Errorf("%s answers %q, want an answer with %q: %s", p.name, got, want, p.log)
	}
}

// config runs a fleet config command against this controller.
func (p *process) config(args ...string) (code int, out, errs string) {
	var o, e strings.Builder
	code = execute(append([]string{"fleet", "config", "--folder", p.folder()}, args...), &o, &e)
	return code, o.String(), e.String()
}

// expect runs a fleet config command, and checks its exit code and that it prints a text on either output.
func (p *process) expect(code int, prints string, args ...string) {
	p.t.Helper()
	got, out, errs := p.config(args...)
	if got != code || !strings.Contains(out+errs, prints) {
		p.t.Fatalf("%v at %s: exit code %d, want %d and output with %q; got\n%s\n%s", args, p.name, got, code, prints, out, errs)
	}
}

// awaitLeader waits until the leader of the quorum answers.
func (p *process) awaitLeader() {
	p.t.Helper()
	for end := time.Now().Add(2 * testTimeout); ; time.Sleep(50 * time.Millisecond) {
		code, out, errs := p.config("history")
		if code == 0 {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("no leader answers in time: %s %s\n%s", out, errs, p.log)
		}
	}
}

// awaitStatus polls the status until it starts with the given text.
func (p *process) awaitStatus(prefix string) {
	p.t.Helper()
	for end := time.Now().Add(2 * testTimeout); ; time.Sleep(50 * time.Millisecond) {
		_, out, errs := p.config("status")
		if strings.HasPrefix(out, prefix) {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("status at %s: %s %s, want one that starts with %q", p.name, out, errs, prefix)
		}
	}
}

// writeDocument writes a document and returns its path.
func (p *process) writeDocument(text string) string {
	p.t.Helper()
	p.write("document.hcl", text)
	return filepath.Join(p.dir, "document.hcl")
}

// Four daemons run as processes. A version comes into force at each of them. An invalid document, and one whose
// author has not seen the latest version, are rejected. A version that one controller can't use comes into force at the
// others. Reloads and restarts keep the version in force, a rollback restores an earlier document, and of two concurrent
// puts exactly one wins.
func TestConfigVersionsAcrossProcesses(t *testing.T) {
	all := configProcesses(t, 4)
	for _, p := range all {
		p.launch()
	}
	checkPuts(t, all)
	checkRestarts(t, all)
	checkRollback(all)
	checkUnusableDocument(t, all)
	checkConcurrentPuts(t, all)
	checkDocumentSizes(all)
	for _, p := range all {
		if err := p.end(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
}

// checkPuts puts two versions in force, and tries to put documents that must be rejected.
func checkPuts(t *testing.T, all []*process) {
	n1, n2, n3, n4 := all[0], all[1], all[2], all[3]
	for _, p := range all {
		p.log.wait(t, "serving")
		p.expectAnswer("own")
	}
	n1.awaitLeader()
	n1.expect(0, "no version is agreed yet", "status")
	n1.expect(0, "version 1 in force at 4 of 4", "put", "--reason", "first", "--expect", "0", "--author", "anna", n1.writeDocument(ruleRejectingAll("one")))
	for _, p := range all {
		p.expectAnswer("one")
		p.log.wait(t, "configuration version in force author=anna") // also at the controller that is not a voter
	}
	n4.expect(1, "line 2, column 9: field log.level", "put", "--reason", "bad", n4.writeDocument("log {\nlevel = \"loud\"\n}\n"))
	n2.expect(1, "field fleet.name is each controller's own", "put", "--reason", "bad", n2.writeDocument("fleet {\n name = \"x\"\n}\n"))
	n3.expect(4, "version 1 by anna (first) was agreed first", "put", "--reason", "late", "--expect", "0", n3.writeDocument(ruleRejectingAll("late")))
	n2.expect(0, "version 1 in force at 4 of 4", "status")
	two := ruleRejectingAll("two") + "memory {\n folder = \"" + filepath.Dir(n1.dir) + "/memory-${name}\"\n}\n"
	n4.expect(0, "version 2 in force at 4 of 4", "put", "--reason", "second", "--expect", "1", n4.writeDocument(two))
	for _, p := range all {
		p.expectAnswer("two")
	}
}

// checkRestarts checks that the version in force survives a reload, a restart, and a crash of all controllers after which
// one starts alone.
func checkRestarts(t *testing.T, all []*process) {
	n1, n2, n3, n4 := all[0], all[1], all[2], all[3]
	n2.cmd.Process.Signal(syscall.SIGHUP)
	n2.log.wait(t, "configuration version stays in force")
	n2.expectAnswer("two")

	if err := n3.end(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Dir(n3.dir) + "/memory-n3"); err != nil { // the folder of its final snapshot
		t.Error(err)
	}
	n3.start()
	n3.expectAnswer("two")
	n3.log.wait(t, "configuration version confirmed as the latest")
	n1.awaitStatus("version 2 in force at 4 of 4") // a restarted controller is counted again once n1 hears from it

	for _, p := range all {
		p.end(syscall.SIGKILL)
	}
	n3.start() // without a majority of voters it uses the version stored in its folder
	n3.log.wait(t, "configuration version not confirmed as the latest")
	n3.expectAnswer("two")
	n3.expect(1, "the leader of the quorum does not answer", "put", "--reason", "alone", n3.writeDocument(ruleRejectingAll("alone")))
	for _, p := range []*process{n1, n2, n4} {
		p.launch()
	}
	for _, p := range all {
		p.log.wait(t, "serving")
		p.expectAnswer("two")
	}
}

// checkRollback restores the first document as a new version, and reads the history.
func checkRollback(all []*process) {
	n1, n2, n3, n4 := all[0], all[1], all[2], all[3]
	n4.awaitLeader()
	n4.expect(0, "version 3 in force at 4 of 4", "rollback", "1", "--reason", "two was bad")
	for _, p := range all {
		p.expectAnswer("one")
	}
	n1.expect(0, "rollback to 1: two was bad", "history")
	n2.expect(0, "+rule \"two\" {", "diff", "1", "2")
	n3.expect(0, ruleRejectingAll("one"), "show", "3")
	n3.expect(1, "version 9", "show", "9")
}

// checkUnusableDocument puts a version that one controller can't use. It comes into force at the others, and that controller
// keeps the previous version.
func checkUnusableDocument(t *testing.T, all []*process) {
	n1, n2, n4 := all[0], all[1], all[3]
	n1.expect(3, "version 4 in force at 3 of 4; 1 refused: n4 (line 3, column 10: field rule \"four\".kinds", "put", "--reason", "fourth",
		n1.writeDocument("rule \"four\" {\n refuse = \"four\"\n kinds = [\"std\"]\n}\n"))
	for i, p := range all {
		p.expectAnswer([]string{"four", "four", "four", "one"}[i])
	}
	n4.log.wait(t, "configuration version refused")
	if err := n4.end(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	n4.start()
	n4.expectAnswer("one")
	n2.awaitStatus("version 4 in force at 3 of 4; 1 refused: n4 (line 3")
}

// checkConcurrentPuts puts two versions concurrently. One wins, and the other command exits with exitLost.
func checkConcurrentPuts(t *testing.T, all []*process) {
	codes := make(chan int, 2)
	for _, p := range []*process{all[0], all[2]} {
		path := p.writeDocument(ruleRejectingAll("from " + p.name))
		go func() {
			code, _, _ := p.config("put", "--reason", "at once", "--expect", "4", path)
			codes <- code
		}()
	}
	if first, second := <-codes, <-codes; min(first, second) != 0 || max(first, second) != 4 {
		t.Errorf("two concurrent puts exit with %d and %d, want 0 and 4 in either order", first, second)
	}
}

// checkDocumentSizes puts documents from the minimum to the maximum size, and one that is too large.
func checkDocumentSizes(all []*process) {
	n2 := all[1]
	for i, size := range []int{1, 64 << 10, 1 << 20} {
		text := ruleRejectingAll(fmt.Sprint("size ", size))
		text = strings.Repeat("#", max(1, size-len(text)-1)) + "\n" + text
		n2.expect(0, fmt.Sprintf("version %d in force at 4 of 4", 6+i), "put", "--reason", "size", n2.writeDocument(text[:size]))
	}
	n2.expect(1, "has over 1048576 bytes", "put", "--reason", "size", n2.writeDocument(strings.Repeat("#", 1<<20+1)))
	for _, p := range all {
		p.expectAnswer("size 1048576")
	}
}
