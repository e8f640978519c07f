package main

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/logs"
	"mintkeel/internal/operator"
)

// The daemon with all its parts answers queries, applies a new configuration, and keeps the previous one if the new one is
// invalid. On shutdown it answers open queries, abandons those on a hanging engine in time, and exits.
func TestServe(t *testing.T) {
	discovery, engine, hangs := fakeDiscoveryAndEngine(t)
	addr := reserveAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure := func(text, discovery string) {
		text = strings.NewReplacer("%DISCOVERY%", discovery, "%ENGINE%", engine, "127.0.0.1:0", addr).Replace(text)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	configure(validConfig, discovery)
	config, err := readControllerConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	l := limits.For(1024, 192, time.Second, time.Minute, 0)
	l.DrainTimeout, l.ShutdownTimeout, l.DrainQuietPeriod = 300*time.Millisecond, testTimeout, 100*time.Millisecond
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	d := &daemon{sources: configSources{configPath: path}, config: config, file: &operator.File{}, limits: l,
		logOutput: logs.New(io.Discard, logs.DefaultBlock())}
	go func() { ended <- d.run(signals) }()
	dial := func() *client {
		for deadline := time.Now().Add(testTimeout); ; {
			conn, err := net.Dial("tcp", addr)
			if err == nil {
				conn.SetDeadline(time.Now().Add(testTimeout))
				t.Cleanup(func() { conn.Close() })
				io.WriteString(conn, hello)
				c := &client{t, conn}
				c.awaitMessageKinds()
				return c
			}
			if time.Now().After(deadline) {
				t.Fatal(err)
			}
		}
	}
	one, two := dial(), dial()
	for i := range 3 {
		if one.query(i, "1"); one.awaitMessageKinds() != "TDCZ" {
			t.Fatal("a query is not answered")
		}
	}
	moved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	configure("no configuration", "")
	if r := d.readFiles(); r.configErr == nil || r.fileErr != nil {
		t.Errorf("an invalid configuration is read as %+v, and the operator's file with the error %v", r.config, r.fileErr)
	}
	signals <- syscall.SIGHUP
	configure(strings.Replace(validConfig, "192", "64", 1), moved.Addr().String())
	signals <- syscall.SIGHUP
	moved.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout))
	conn, err := moved.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	last := make([]byte, 8)
	if _, err := io.ReadFull(conn, last); err != nil || last[7] != 1 {
		t.Errorf("discovery is asked for updates after event %v, want 1; error %v", last, err)
	}
	two.query(10, "hang")
	<-hangs
	one.query(10, "1") // the id of an open query, which engines could not tell apart
	if got := one.awaitMessageKinds(); got != "EZ" {
		t.Errorf("a query with the id of an open one: answer %s, want EZ", got)
	}
	signals <- syscall.SIGUSR1
	signals <- syscall.SIGTERM
	if one.query(11, "1"); one.awaitMessageKinds() != "TDCZ" {
		t.Error("a query is not answered during the shutdown")
	}
	three := dial()
	if three.query(12, "1"); three.awaitMessageKinds() != "TDCZ" {
		t.Error("a query on a new connection is not answered during the shutdown")
	}
	if got := two.awaitMessageKinds(); got != "EZ" {
		t.Errorf("a query on a hanging engine: answer %s, want EZ", got)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("the daemon does not exit in time")
	}
}
