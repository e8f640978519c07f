// Package deploy checks that the build described by balancer.toml yields a program that the operators' test bench can
// start, and that the file lists all sources that it should.
package deploy

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
)

// manifest holds the fields of balancer.toml that the tests check.
type manifest struct {
	Build  string   `toml:"build"`
	Run    string   `toml:"run"`
	Policy []string `toml:"policy"`
	Node   []string `toml:"node"`
}

func readManifest(t *testing.T) manifest {
	t.Helper()
	var r manifest
	if _, err := toml.DecodeFile("balancer.toml", &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// TestBuildNeedsTheLoader guards against a statically linked build. The test bench redirects the clock and socket calls
// of a controller by a library that the dynamic loader preloads. A program without the loader would run on the machine's
// own clock, and the bench refuses it.
func TestBuildNeedsTheLoader(t *testing.T) {
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("gcc is not installed: the build command cannot run")
	}
	r, root := readManifest(t), t.TempDir()
	for _, name := range []string{"go.mod", "go.sum", "cmd", "internal", "match", "router"} {
		from, to := filepath.Join("..", name), filepath.Join(root, name)
		info, err := os.Stat(from)
		if err != nil {
			t.Fatal(err)
		}
		if info.IsDir() {
			err = os.CopyFS(to, os.DirFS(from))
		} else {
			var data []byte
			if data, err = os.ReadFile(from); err == nil {
				err = os.WriteFile(to, data, 0o644)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	build := exec.Command("/bin/sh", "-c", r.Build)
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", r.Build, err, out)
	}
	words := strings.Fields(r.Run)
	if len(words) < 2 || words[0] != "exec" {
		t.Fatalf("run = %q, want exec and a program: the shell must be replaced by the controller's process", r.Run)
	}
	program := filepath.Join(root, words[1])
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if file.Section(".interp") == nil {
		t.Errorf("%s has no .interp section, want a dynamically linked program", words[1])
	}
	if libraries, err := file.ImportedLibraries(); err != nil || len(libraries) == 0 {
		t.Errorf("%s imports libraries %v (error %v), want at least the C library", words[1], libraries, err)
	}
	if out, err := exec.Command(program, "version").CombinedOutput(); err != nil {
		t.Errorf("subcommand version of the built program: %v, want no error\n%s", err, out)
	}
}

// nonPolicyFiles are the files of package router that hold its interface, its state and its search structures, and make
// no decisions.
var nonPolicyFiles = []string{
	"actions.go", "alarms.go", "backoff.go", "candidates.go", "class.go", "decay.go", "doc.go", "engine.go", "events.go", "heap.go",
	"ordering.go", "query.go", "queue.go", "reasons.go", "router.go", "search.go", "settings.go", "shedwatch.go",
	"sort.go", "statistics.go", "status.go", "tablegroup.go", "window.go", "worthcache.go",
}

// TestPathsAreNamed guards against sources missing from the lists of balancer.toml, by which the operators review the
// decision module and the daemon. Each file of package router must be either under policy or among nonPolicyFiles, so
// that no decision is made in a file that they do not review. Each package of the daemon must be under node, or it would
// be attributed to nobody.
func TestPathsAreNamed(t *testing.T) {
	r := readManifest(t)
	const widest = 110
	sources, err := filepath.Glob("../router/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, source := range sources {
		base := filepath.Base(source)
		if strings.HasSuffix(base, "_test.go") {
			continue
		}
		policy := slices.Contains(r.Policy, "router/"+base)
		if policy == slices.Contains(nonPolicyFiles, base) {
			t.Errorf("router/%s is listed under both policy and nonPolicyFiles or under none, want exactly one", base)
		}
	}
	for _, name := range r.Policy {
		data, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(data), "\n") {
			if n := utf8.RuneCountInString(line); n > widest {
				t.Errorf("%s:%d has %d characters, want at most %d", name, i+1, n, widest)
			}
		}
	}
	out, err := exec.Command("go", "list", "-deps", "mintkeel/cmd/mintkeel").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range strings.Fields(string(out)) {
		inside, ok := strings.CutPrefix(path, "mintkeel/")
		if !ok || inside == "router" {
			continue
		}
		named := false
		for _, n := range r.Node {
			named = named || inside == n || strings.HasPrefix(inside, n+"/")
		}
		if !named {
			t.Errorf("package %s of the daemon is not listed under node", inside)
		}
	}
}
