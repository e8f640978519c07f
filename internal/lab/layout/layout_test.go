package layout

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// root is the project's from this folder.
const root = "../../.."

// longTables are functions that are longer than a function may be, with their lengths: they are tables, read from top to
// bottom, and may only become shorter.
var longTables = map[string]int{
	"internal/lab/exprs/exprs.go boolean": 92, // kinds of expression
	"internal/lab/exprs/exprs.go number":  69, // kinds of expression
}

// readAll reads all sources but the former decision module that today's is compared with.
func readAll(t *testing.T) []Source {
	t.Helper()
	sources, err := Read(root, "internal/lab/reference", "bin", "journal")
	if err != nil || len(sources) < 100 {
		t.Fatalf("%d sources, %v", len(sources), err)
	}
	return sources
}

// TestLengths checks that no file of the decision module, of the daemon and of the lab and none of their functions is
// longer than it may be.
func TestLengths(t *testing.T) {
	found := map[string]bool{}
	for _, s := range readAll(t) {
		if s.Lines > MaxFile {
			t.Errorf("%s has %d lines, of %d", s.Path, s.Lines, MaxFile)
		}
		for _, f := range s.Functions {
			name := s.Path + " " + f.Name
			most := MaxFunction
			if length, isTable := longTables[name]; isTable {
				most, found[name] = length, true
				if f.Lines < length {
					t.Errorf("%s has %d lines now: change its entry, or take it out if it is short", name, f.Lines)
				}
			}
			if f.Lines > most {
				t.Errorf("%s has %d lines, of %d", name, f.Lines, most)
			}
		}
	}
	for name := range longTables {
		if !found[name] {
			t.Errorf("%s is not there any more: take its entry out", name)
		}
	}
}

// TestImports checks the map of which package may import which, in the lab too.
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

// TestFound checks that breaks are found: in a small project of two files.
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
	write("skipped/b.go", "no Go at all")
	sources, err := Read(folder, "skipped")
	if err != nil || len(sources) != 1 {
		t.Fatalf("%+v, %v", sources, err)
	}
	s := sources[0]
	if len(s.Functions) != 1 || s.Functions[0] != (Function{"T.Long", 72}) || s.Lines < 80 {
		t.Errorf("%+v", s)
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
		t.Errorf("%d breaks are found, of %v", broken, s.Imports)
	}
}
