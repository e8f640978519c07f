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

// TestMutants checks that each operator is changed separately, and that Run reports the verdict of each mutant.
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
			t.Errorf("got mutant %+v, want it in function Less on line 3", m)
		}
		changed[string(m.apply([]byte(source)))] = true
	}
	for _, want := range []string{"a <= b && !(a == b)", "a > b && !(a == b)", "a < b || !(a == b)", "a < b && (a == b)",
		"a < b && !(a != b)"} {
		if !changed[strings.Replace(source, "a < b && !(a == b)", want, 1)] {
			t.Errorf("no mutant changes the condition to %s, want one", want)
		}
	}
	passed := map[string]Verdict{}
	if err := Run(context.Background(), dir, Sample(all, 9, 1), []string{"."}, 2, time.Minute,
		func(m Mutant, v Verdict, _ string) { passed[m.From+m.To] = v }); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]Verdict{"<<=": Survived, "<>": Killed, "&&||": Survived, "!": Killed, "==!=": Killed} {
		if passed[change] != want {
			t.Errorf("change %s: wrong verdict %v", change, passed[change])
		}
	}
}

// TestChecks checks that the condition of each if statement is disabled separately.
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
			t.Errorf("mutant is\n%s\nwant the condition of one if statement disabled", got)
		}
	}
}

// TestEdit checks that a text that occurs once is replaced, and that one that occurs never or more than once is an error.
func TestEdit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.go")
	text := "package r\n\nfunc f(a int) bool { return a < 1 }\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	m, err := Edit(path, "a < 1", "true")
	if err != nil || m.Line != 3 || !strings.Contains(string(m.apply([]byte(text))), "return true }") {
		t.Errorf("got mutant %v, error %v; want line 3 to return true", m, err)
	}
	for _, from := range []string{"a > 1", "a"} {
		if _, err := Edit(path, from, ""); err == nil {
			t.Errorf("Edit accepts %q, which does not occur exactly once, want an error", from)
		}
	}
}
