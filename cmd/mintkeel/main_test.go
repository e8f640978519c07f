package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Command lines print the expected text and end with the expected exit codes.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	config, badHCL := filepath.Join(dir, "c.json"), filepath.Join(dir, "bad.hcl")
	text := strings.NewReplacer("%DISCOVERY%", "127.0.0.1:1", "%ENGINE%", "127.0.0.1:1").Replace(validConfig)
	own, leases := filepath.Join(dir, "own.hcl"), filepath.Join(dir, "leases.hcl")
	ruled, cases, badCases := filepath.Join(dir, "rules.hcl"), filepath.Join(dir, "cases.hcl"), filepath.Join(dir, "bad_cases.hcl")
	const query = "/* verb=lookup,txn=9b1f03aa5c7e2d41,limit=1500,store=12-east */ SELECT 1 FROM menu_17.items"
	for path, text := range map[string]string{
		ruled: "rule \"hot\" {\n when = \"schema == 'menu_17' && label('store') startswith '12'\"\n hot = true\n}\n" +
			"rule \"no\" {\n when = \"table_name == 'secrets'\"\n refuse = \"no\"\n}\n",
		cases:    fmt.Sprintf("case \"a\" {\n query = %q\n hot = true\n matches = [\"hot\"]\n profile = \"lookup\"\n refuse = \"\"\n}\n", query),
		badCases: fmt.Sprintf("case \"a\" {\n query = %q\n hot = false\n kinds = [\"std\"]\n}\n", query),
		own: "fleet {\n name = \"e\"\n listen = \"10.0.0.1:9\"\n key_file = \"/k\"\n folder = \"/f\"\n council = { n1 = \"10.0.0.1:9\" }\n" +
			" works = [\"digest\", \"plan\"]\n}\nconfig {\n}\n",
		leases: "fleet {\n works = [\"digest\"]\n}\nmaintenance {\n}\n",
		config: text, badHCL: "log {\n level = 1\n}\nx = 1\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	empty := t.TempDir()
	t.Setenv("PROXY_CONFIG", "")
	t.Setenv("MINTKEEL_OPERATOR", "")
	for _, c := range []struct {
		args      string
		code      int
		out, errs string
	}{
		{"", 2, "", "no command"},
		{"nonsense", 2, "", "unknown command"},
		{"check --nonsense", 2, "", "unknown flag"},
		{"check more", 2, "", "unknown command"},
		{"check", 1, "", "set --config"},
		{"check -config " + config, 0, "n1: 1 profiles", ""},
		{"check -config=" + config, 0, "n1: 1 profiles", ""},
		{"check --config " + config + " --json", 0, `"ok": true`, ""},
		{"check --config " + config + " --operator " + badHCL, 1, "", "bad.hcl:2:10: field log.level"},
		{"check --config " + config + " --operator " + badHCL + " --json", 1, `"field": "x"`, "field x"},
		{"check --config " + config + " --operator " + badHCL + "x", 1, "", "no such file"},
		{"check --config " + config + "x --json", 1, `"ok": false`, "no such file"},
		{"check --config " + config + " --operator " + own + " --document " + ruled, 0, "rules.hcl: can be used; memory off, 2 rules", ""},
		{"check --config " + config + " --operator " + own + " --document " + badHCL, 1, "", "bad.hcl:2:10: field log.level"},
		{"check --config " + config + " --operator " + own + " --document " + own, 1, "", "own.hcl:2:9: field fleet.name: is each controller's own"},
		{"check --config " + config + " --operator " + own + " --json --document " + leases, 1, `"field": "maintenance"`, "leases.hcl:4:1: field maintenance"},
		{"check --config " + config + " --operator " + own + " --document " + own + "x", 1, "", "no such file"},
		{"version", 0, "mintkeel", ""},
		{"version --json", 0, `"go": "go`, ""},
		{"--help", 0, "serve", ""},
		{"completion bash", 0, "mintkeel", ""},
		{"memory", 0, "verify", ""},
		{"fleet members", 1, "", "no folder"},
		{"fleet members --folder " + empty, 1, "", "no controller answers"},
		{"fleet handover digest --folder " + empty, 2, "", "arg"},
		{"memory show", 2, "", "arg"},
		{"memory show " + empty, 1, "", "no snapshot"},
		{"memory verify " + empty, 1, "", "damaged snapshot, or none"},
		{"memory verify " + empty + "/x", 1, "", "no such file"},
		{"memory prune " + empty, 1, "", "nothing selected"},
		{"rules", 0, "explain", ""},
		{"rules check --config " + config, 1, "", "no rules"},
		{"rules check --config " + config + " --operator " + ruled, 0, "schema, one of 1", ""},
		{"rules explain --config " + config + " --operator " + ruled + "|" + query, 0,
			"hot: matches\n  ((schema == \"menu_17\") && (label(\"store\") startswith \"12\")) = true", ""},
		{"rules explain --config " + config + " --operator " + ruled + "|" + strings.Replace(query, "items", "secrets", 1), 0, "refused: no", ""},
		{"rules explain --config " + config + " --operator " + ruled + "|SELECT 1", 1, "", "field comment"},
		{"rules test --config " + config + " --operator " + ruled + " " + cases, 0, "1 passed, 0 failed", ""},
		{"rules test --config " + config + " --operator " + ruled + " " + badCases, 1, "hot is \"true\", not \"false\"", "1 cases"},
		{"rules test --config " + config + " --operator " + ruled + " " + ruled, 1, "", "is not known"},
		{"rules bench --for 10ms --config " + config + " --operator " + ruled + "|" + query, 0, "2 rules cost", ""},
		{"memory prune --all " + empty, 0, "0 records deleted", ""},
	} {
		var out, errs strings.Builder
		if code := execute(split(c.args), &out, &errs); code != c.code || !strings.Contains(out.String(), c.out) ||
			!strings.Contains(errs.String(), c.errs) || c.errs == "" && errs.Len() > 0 {
			t.Errorf("%q: unexpected exit code %d, or unexpected output:\n%s\n%s", c.args, code, out.String(), errs.String())
		}
	}
}

// split returns the arguments of a command line. All text after a bar is one argument.
func split(line string) []string {
	words, last, found := strings.Cut(line, "|")
	args := strings.Fields(words)
	if !found {
		return args
	}
	return append(args, last)
}
