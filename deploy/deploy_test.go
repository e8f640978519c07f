// Package deploy checks that what the operators build by balancer.toml is what their bench can start.
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

// manifest is balancer.toml, as far as it is checked here.
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

// The bench leads clocks and sockets of a controller to itself by a library that the C library's loader puts into it.
// A program that the loader does not start would run on the machine's own clock, and the bench refuses it.
func TestBuildNeedsTheLoader(t *testing.T) {
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("no C compiler here: the build line can't be tried")
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
		t.Fatalf("run = %q: it has to end in one process, by exec", r.Run)
	}
	program := filepath.Join(root, words[1])
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if file.Section(".interp") == nil {
		t.Errorf("%s is not started by a loader", words[1])
	}
	if libraries, err := file.ImportedLibraries(); err != nil || len(libraries) == 0 {
		t.Errorf("%s needs libraries %v (%v): none of the C library's", words[1], libraries, err)
	}
	if out, err := exec.Command(program, "version").CombinedOutput(); err != nil {
		t.Errorf("what was built does not start: %v\n%s", err, out)
	}
}

// nonPolicyFiles are the files of the module that hold its interface, its state and its search structures, and decide nothing.
var nonPolicyFiles = []string{
	"actions.go", "alarms.go", "backoff.go", "candidates.go", "class.go", "decay.go", "doc.go", "engine.go", "events.go", "heap.go",
	"ordering.go", "query.go", "queue.go", "reasons.go", "router.go", "search.go", "settings.go", "shedwatch.go",
	"sort.go", "statistics.go", "status.go", "tablegroup.go", "window.go", "worthcache.go",
}

// The operators read the module and the daemon by these lists: each file of the module is either listed as policy or
// known not to decide, so that no decision lies where they don't look, and each package of the daemon is named, or it
// would be counted as nobody's.
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
			t.Errorf("router/%s has to be either under policy or among the files that decide nothing", base)
		}
	}
	for _, name := range r.Policy {
		data, err := os.ReadFile(filepath.Join("..", name))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(data), "\n") {
			if n := utf8.RuneCountInString(line); n > widest {
				t.Errorf("%s:%d has %d characters, over %d", name, i+1, n, widest)
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
			t.Errorf("the daemon's package %s is not under node", inside)
		}
	}
}
