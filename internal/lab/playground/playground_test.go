package playground

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"mintkeel/internal/lab/loopback"
	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/standin"
)

const startTimeout = 20 * time.Second // until a started daemon must accept clients

// TestPlayground checks that the daemon accepts the configuration, and that it answers a query of each class with an
// attempt on the playground's engines.
func TestPlayground(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	folder := t.TempDir()
	binary, err := daemon.Build(ctx, folder)
	if err != nil {
		t.Fatal(err)
	}
	listen, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	p, err := Start(ctx, Options{Folder: filepath.Join(folder, "new"), Listen: listen, Engines: 3, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if out, err := exec.CommandContext(ctx, binary, "check", "--config", p.Config).CombinedOutput(); err != nil {
		t.Fatalf("subcommand check: %v, want no error\n%s", err, out)
	}
	serve := exec.CommandContext(ctx, binary, "serve", "--config", p.Config)
	if err := serve.Start(); err != nil {
		t.Fatal(err)
	}
	defer serve.Wait()
	defer cancel()
	for end := time.Now().Add(startTimeout); ; time.Sleep(10 * time.Millisecond) {
		client, err := standin.Dial(ctx, listen, time.Second)
		if err == nil {
			client.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	for _, class := range Classes() {
		statement := Statement{Class: class, Work: time.Millisecond, Tables: "sales_17.orders"}
		if verdict, _, err := Query(ctx, listen, statement, startTimeout/4); verdict != standin.Answered {
			t.Errorf("query of class %s: verdict %v, error %v; want it answered", class, verdict, err)
		}
	}
	attempts := 0
	for _, n := range p.Attempts() {
		attempts += n
	}
	if attempts < len(Classes()) {
		t.Errorf("engines carried out %d attempts, by engine %v; want at least one per class", attempts, p.Attempts())
	}
}

// TestBadOptions checks that Start fails for numbers of engines out of range and for a folder that cannot be created.
func TestBadOptions(t *testing.T) {
	for _, engines := range []int{0, MaxEngines + 1} {
		if _, err := Start(context.Background(), Options{Folder: t.TempDir(), Listen: "127.0.0.1:1", Engines: engines}); err == nil {
			t.Errorf("Start accepts %d engines, want an error", engines)
		}
	}
	if _, err := Start(context.Background(), Options{Folder: "/dev/null/x", Listen: "127.0.0.1:1", Engines: 1}); err == nil {
		t.Error("Start accepts a folder that cannot be created, want an error")
	}
}
