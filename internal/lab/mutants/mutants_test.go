package mutants

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const source = `package p

func Less(a, b int) bool { return a < b && !(a == b) }
`

// Each operator is changed alone, and what the tests of a package say of it is told.
func TestMutants(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"p.go": source, "go.mod": "module p\n\ngo 1.26\n",
		"p_test.go": "package p\n\nimport \"testing\"\n\nfunc TestLess(t *testing.T) {\n\tif !Less(1, 2) {\n\t\tt.Fatal()\n\t}\n}\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	all, err := OperatorMutants(filepath.Join(dir, "p.go"))
	if err != nil || len(all) != 5 {
		t.Fatal(all, err)
	}
	changed := map[string]bool{}
	for _, m := range all {
		if m.Func != "Less" || m.Line != 3 {
			t.Errorf("%+v", m)
		}
		changed[string(m.apply([]byte(source)))] = true
	}
	for _, want := range []string{"a <= b && !(a == b)", "a > b && !(a == b)", "a < b || !(a == b)", "a < b && (a == b)",
		"a < b && !(a != b)"} {
		if !changed[strings.Replace(source, "a < b && !(a == b)", want, 1)] {
			t.Errorf("not changed to %s", want)
		}
	}
	passed := map[string]Verdict{}
	if err := Run(context.Background(), dir, Sample(all, 9, 1), []string{"."}, 2, time.Minute,
		func(m Mutant, v Verdict, _ string) { passed[m.From+m.To] = v }); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]Verdict{"<<=": Survived, "<>": Killed, "&&||": Survived, "!": Killed, "==!=": Killed} {
		if passed[change] != want {
			t.Errorf("%s: %v", change, passed[change])
		}
	}
}

// Each check is left out alone.
func TestChecks(t *testing.T) {
	path := filepath.Join(t.TempDir(), "q.go")
	text := "package q\n\nfunc f(a int) int {\n\tif a < 1 && a > -3 {\n\t\treturn 1\n\t} else if b := a; b > 4 {\n\t\treturn b\n\t}\n\treturn 0\n}\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	all, err := ConditionMutants(path)
	if err != nil || len(all) != 2 {
		t.Fatal(all, err)
	}
	for i, want := range []string{"if false && (a < 1 && a > -3) {", "b := a; false && (b > 4) {"} {
		if got := string(all[i].apply([]byte(text))); !strings.Contains(got, want) {
			t.Errorf("%s", got)
		}
	}
}

// A text that stands once is replaced; one that does not is told.
func TestEdit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.go")
	text := "package r\n\nfunc f(a int) bool { return a < 1 }\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	m, err := Edit(path, "a < 1", "true")
	if err != nil || m.Line != 3 || !strings.Contains(string(m.apply([]byte(text))), "return true }") {
		t.Errorf("%v, %v", m, err)
	}
	for _, from := range []string{"a > 1", "a"} {
		if _, err := Edit(path, from, ""); err == nil {
			t.Errorf("%q is taken", from)
		}
	}
}
