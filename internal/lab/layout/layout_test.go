package layout

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// root is the project's root, relative to this package.
const root = "../../.."

// longTables are the functions allowed to exceed MaxFunction, with their lengths in lines. They are tables, read from top
// to bottom, and may only become shorter.
var longTables = map[string]int{
	"internal/lab/exprs/exprs.go boolean": 92, // kinds of expression
	"internal/lab/exprs/exprs.go number":  69, // kinds of expression
}

// readAll reads all sources except internal/lab/reference, a frozen former version of the decision module.
func readAll(t *testing.T) []Source {
	t.Helper()
	sources, err := Read(root, "internal/lab/reference", "bin", "journal")
	if err != nil || len(sources) < 100 {
		t.Fatalf("read %d sources, error %v; want at least 100 and no error", len(sources), err)
	}
	return sources
}

// TestLengths checks that no file and no function of the decision module, the daemon and the lab exceeds its limit.
func TestLengths(t *testing.T) {
	found := map[string]bool{}
	for _, s := range readAll(t) {
		if s.Lines > MaxFile {
			t.Errorf("%s has %d lines, want at most %d", s.Path, s.Lines, MaxFile)
		}
		for _, f := range s.Functions {
			name := s.Path + " " + f.Name
			most := MaxFunction
			if length, isTable := longTables[name]; isTable {
				most, found[name] = length, true
				if f.Lines < length {
					t.Errorf("%s has %d lines, fewer than its entry in longTables: reduce the entry, or delete it if the function is within the limit", name, f.Lines)
				}
			}
			if f.Lines > most {
				t.Errorf("%s has %d lines, want at most %d", name, f.Lines, most)
			}
		}
	}
	for name := range longTables {
		if !found[name] {
			t.Errorf("longTables lists %s, which does not exist: delete its entry", name)
		}
	}
}

// TestImports checks that all sources follow Rules, internal/lab/reference included.
func TestImports(t *testing.T) {
	sources, err := Read(root, "bin", "journal")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range sources {
		for _, imported := range s.Imports {
			for _, r := range Rules() {
				if why := r.Violation(s, imported); why != "" {
					t.Error(why)
				}
			}
		}
	}
}

// TestFound checks, in a small project of three files, that tests and excluded folders are skipped, that functions are
// measured, and that a forbidden import is found.
func TestFound(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) {
		t.Helper()
		at := filepath.Join(folder, filepath.FromSlash(name))
		if err := os.MkdirAll(filepath.Dir(at), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("internal/core/a/a.go", "package a\n\nimport (\n\t\"fmt\"\n\n\t\"mintkeel/internal/fleet\"\n\t\"mintkeel/router\"\n)\n\nfunc (x *T[K]) Long() {\n"+
		strings.Repeat("\tfmt.Println()\n", 70)+"}\n")
	write("internal/core/a/a_test.go", "package a\n")
	write("skipped/b.go", "not Go source")
	sources, err := Read(folder, "skipped")
	if err != nil || len(sources) != 1 {
		t.Fatalf("read sources %+v, error %v; want one source and no error", sources, err)
	}
	s := sources[0]
	if len(s.Functions) != 1 || s.Functions[0] != (Function{"T.Long", 72}) || s.Lines < 80 {
		t.Errorf("got source %+v, want one function T.Long of 72 lines and at least 80 lines in all", s)
	}
	broken := 0
	for _, imported := range s.Imports {
		for _, r := range Rules() {
			if r.Violation(s, imported) != "" {
				broken++
			}
		}
	}
	if broken != 1 {
		t.Errorf("found %d violations among the imports %v, want 1", broken, s.Imports)
	}
}
