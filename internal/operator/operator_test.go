package operator

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// facts are settings with one query class without constraints and one bound to a machine kind.
var facts = &settings.Facts{Classes: []router.QueryClass{{}, {Kinds: []router.KindID{1}}},
	Names: settings.Names{MachineKinds: map[string]router.KindID{"std": 0, "c16": 1}, ZoneAt: []string{"east"},
		Classes: map[string]router.ClassID{"lookup": 0, "report": 1}}}

// A file has several problems. All are reported at once, each with line, column and field.
func TestEveryProblemHasItsPlace(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string // as "line:column field"; none: the file is valid
	}{
		{"empty", "", nil},
		{"only comments", "# nothing\n// here\n/* either */\n", nil},
		{"all fields of log and memory", "log {\n format = \"json\"\n level = \"warn\"\n burst = 3\n every = \"2s\"\n}\nmemory {\n folder = \"/a\"\n pace = \"250ms\"\n}\n", nil},
		{"an unknown block", "memories {\n}\n", []string{"1:1 memories"}},
		{"an unknown name", "x = 1\n", []string{"1:1 x"}},
		{"an unknown field", "log {\n colour = 1\n}\n", []string{"2:2 log.colour"}},
		{"an unknown block within", "log {\n more {\n }\n}\n", []string{"2:2 log.more"}},
		{"a block with a label", "memory \"m\" {\n folder = \"/a\"\n}\n", []string{"1:8 "}},
		{"a repeated block", "log {\n}\nlog {\n}\n", []string{"3:1 log"}},
		{"a repeated field", "log {\n level = \"info\"\n level = \"info\"\n}\n", []string{"3:2 "}},
		{"a word that is not a choice", "log {\n format = \"yaml\"\n}\n", []string{"2:11 log.format"}},
		{"wrong types", "log {\n format = 3\n burst = \"x\"\n every = 5\n}\n", []string{"2:11 log.format", "3:10 log.burst", "4:10 log.every"}},
		{"a list", "log {\n format = [\"json\"]\n}\n", []string{"2:11 log.format"}},
		{"null", "log {\n format = null\n}\n", []string{"2:11 log.format"}},
		{"not a whole number", "log {\n burst = 1.5\n}\n", []string{"2:10 log.burst"}},
		{"out of bounds", "log {\n burst = 0\n every = \"1000h\"\n}\n", []string{"2:10 log.burst", "3:10 log.every"}},
		{"a number that overflows", "log {\n burst = 1e999\n}\n", []string{"2:10 log.burst"}},
		{"a missing field", "memory {\n}\n", []string{"1:1 memory.folder"}},
		{"an empty string", "memory {\n folder = \"\"\n}\n", []string{"2:11 memory.folder"}},
		{"not an absolute path", "memory {\n folder = \"a/b\"\n}\n", []string{"2:11 memory.folder"}},
		{"not a duration", "memory {\n folder = \"/a\"\n pace = \"5\"\n}\n", []string{"3:9 memory.pace"}},
		{"a variable", "memory {\n folder = home\n}\n", []string{"2:11 memory.folder"}},
		{"a function", "memory {\n folder = file(\"x\")\n}\n", []string{"2:11 memory.folder"}},
		{"several at once", "log {\n level = \"loud\"\n}\nx = 1\nmemory {\n pace = \"1ns\"\n}\n",
			[]string{"2:10 log.level", "4:1 x", "5:1 memory.folder", "6:9 memory.pace"}},
		{"a rule", "rule \"a\" {\n when = \"tenant == 'x'\"\n hot = true\n kinds = [\"c16\"]\n labels = { team = \"tenant\" }\n most_estimate = \"1s\"\n last = true\n}\n", nil},
		{"a rule without a name", "rule {\n}\n", []string{"1:6 "}},
		{"rules with the same name", "rule \"a\" {\n}\nrule \"a\" {\n}\n", []string{"3:1 rule \"a\".name"}},
		{"a class on a kind that it may not use", "rule \"a\" {\n when = \"profile == 'report'\"\n kinds = [\"std\"]\n}\n", []string{"3:10 rule \"a\".kinds"}},
		{"an invalid condition", "rule \"a\" {\n when = \"tenant = 1\"\n key = \"1\"\n}\n", []string{"2:9 rule \"a\".when", "3:8 rule \"a\".key"}},
		{"lists of wrong types", "rule \"a\" {\n kinds = \"c16\"\n zones = [1]\n labels = []\n}\n",
			[]string{"2:10 rule \"a\".kinds", "2:10 rule", "3:10 rule \"a\".zones", "3:10 rule", "4:11 rule \"a\".labels"}},
		{"a fleet", "fleet {\n name = \"e\"\n listen = \"10.0.0.1:9\"\n key_file = \"/k\"\n folder = \"/f\"\n council = { n1 = \"10.0.0.1:9\" }\n works = [\"digest\", \"plan\"]\n lease = \"3s\"\n willing = false\n}\n", nil},
		{"a fleet without fields", "fleet {\n}\n", []string{"1:1 fleet.name", "1:1 fleet.listen", "1:1 fleet.key_file", "1:1 fleet.folder", "1:1 fleet.council"}},
		{"a fleet with invalid fields", "fleet {\n name = \"a b\"\n listen = \"here\"\n advertise = \"host.example:9\"\n key_file = \"k\"\n folder = \"f\"\n council = { n1 = \"10.0.0.1:9\", n2 = \"10.0.0.2:9\" }\n works = [\"x\", \"x\", \"y z\"]\n lease = \"1ms\"\n generation = 0\n}\n",
			[]string{"2:9 fleet.name", "3:11 fleet.listen", "4:14 fleet.advertise", "5:13 fleet.key_file", "6:11 fleet.folder", "7:12 fleet.council",
				"8:10 fleet.works", "8:10 fleet.works", "9:10 fleet.lease", "10:15 fleet.generation"}},
		{"a council with invalid names and addresses", "fleet {\n name = \"e\"\n listen = \"10.0.0.1:9\"\n key_file = \"/k\"\n folder = \"/f\"\n council = { \"n 1\" = \"10.0.0.1:9\", n2 = \"there\", n3 = \"10.0.0.1:9\" }\n}\n",
			[]string{"6:12 fleet.council", "6:12 fleet.council", "6:12 fleet.council"}},
		{"maintenance without a fleet", "maintenance {\n drain = \"x\"\n within = \"0s\"\n}\n", []string{"1:1 maintenance", "2:10 maintenance.drain", "3:11 maintenance.within"}},
		{"not HCL", "log {\n", []string{"1:"}},
		{"not UTF-8", "\xff\xfe\x00", []string{"1:"}},
		{"a zero byte", "memory {\n folder = \"/a\\u0000b\"\n}\n", []string{"2:11 memory.folder"}},
		{"deep brackets", "x = " + strings.Repeat("[", 100000), []string{"1:"}},
		{"deep templates", "x = " + strings.Repeat("\"${", 30000), []string{"1:"}},
		{"deep unary operators", "x = " + strings.Repeat("!", 100000) + "true", []string{"1:"}},
		{"long conditionals", "x = " + strings.Repeat("true ? 1 : ", 20000) + "2", []string{"1:"}},
		{"deep blocks", strings.Repeat("a {\n", 50000), []string{"33:"}},
		{"too long", strings.Repeat("#\n", maxFileBytes), []string{"0:0 "}},
	} {
		file, err := Parse("f.hcl", []byte(c.text), facts)
		var got []string
		for _, p := range Problems(err) {
			got = append(got, fmt.Sprintf("%d:%d %s", p.Line, p.Column, p.Field))
		}
		if (err == nil) != (c.want == nil) || len(got) < len(c.want) || (file == nil) != (err != nil) {
			t.Errorf("%s: problems %v, want those of the table", c.name, err)
			continue
		}
		for i, want := range c.want {
			if !strings.HasPrefix(got[i], want) || len(c.want) != len(got) && !strings.HasSuffix(want, ":") {
				t.Errorf("%s: problems at %q, want %q: %v", c.name, got, c.want, err)
				break
			}
		}
	}
}

// Blocks of a file are read; those that it does not have are off or have defaults. The installed
// example is valid, also with its commented blocks turned on.
func TestReadFileAndExample(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.hcl")
	text := "log {\n level = \"debug\"\n}\nmemory {\n folder = \"/a\"\n}\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := Read(path, facts)
	if err != nil {
		t.Fatal(err)
	}
	want := logs.DefaultBlock()
	want.Level = -4
	if file.Log != want || *file.Memory != (memory.Block{Folder: "/a", Interval: 5 * time.Second}) {
		t.Errorf("file %+v, memory %+v; want level debug, folder /a and interval 5 s", file, file.Memory)
	}
	if file, err := Read("", facts); err != nil || file.Memory != nil || file.Log != logs.DefaultBlock() {
		t.Errorf("without a file: %+v, %v; want only defaults", file, err)
	}
	if _, err := Read(path+"x", facts); err == nil {
		t.Error("Read of a missing file returned no error")
	}
	if file, err := Read(filepath.Join("..", "..", "deploy", "operator.hcl"), facts); err != nil || file.Memory != nil ||
		file.Log != logs.DefaultBlock() {
		t.Errorf("the example is read as %+v, %v; want only defaults", file, err)
	}
	example, err := os.ReadFile(filepath.Join("..", "..", "deploy", "operator.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	var uncommented strings.Builder // the example with its commented blocks turned on
	for line := range strings.Lines(string(example)) {
		if rest, ok := strings.CutPrefix(line, "# "); ok && (strings.HasPrefix(rest, " ") || strings.HasSuffix(rest, "{\n") ||
			rest == "}\n") {
			line = rest
		}
		uncommented.WriteString(line)
	}
	if file, err := Parse("example", []byte(uncommented.String()), facts); err != nil || file.Memory == nil {
		t.Errorf("the example with its blocks turned on: %v, want a valid file with memory", err)
	}
}

// Any file is either read or rejected with problems.
func FuzzParse(f *testing.F) {
	f.Add([]byte("log {\n level = \"info\"\n}\n"))
	f.Add([]byte("memory {\n folder = \"/a\"\n pace = \"5s\"\n}\n"))
	f.Add([]byte("x = [1, {a = \"${b}\"}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f", text, facts)
		if (file == nil) != (err != nil) || err != nil && len(Problems(err)) == 0 {
			t.Errorf("Parse: %v, %v; want either a file or problems", file, err)
		}
	})
}
