package operator

// Operators' files outlive versions of the program: a changed name of a field shows only when a controller starts.
// This test reads a file with each block and field, and compares the result with that of an earlier build.

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"mintkeel/internal/core/rules"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/lab/golden"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
	"mintkeel/internal/settings"
	"mintkeel/match"
	"mintkeel/router"
)

// printer prints values under names of this test, which stay when fields are renamed.
type printer struct{ strings.Builder }

func (p *printer) line(name string, value any) { fmt.Fprintf(p, "%s = %v\n", name, value) }

func (p *printer) log(b logs.Block) {
	p.line("log format", b.Format)
	p.line("log level", b.Level)
	p.line("log burst", b.Burst)
	p.line("log every", b.Every)
}

func (p *printer) memory(b *memory.Block) {
	p.line("memory folder", b.Folder)
	p.line("memory pace", b.Interval)
}

func (p *printer) fleet(b *fleet.Block) {
	p.line("fleet name", b.Name)
	p.line("fleet generation", b.Generation)
	p.line("fleet listen", b.Listen)
	p.line("fleet advertise", b.Advertise)
	p.line("fleet key file", b.KeyFile)
	p.line("fleet folder", b.Folder)
	for _, id := range slices.Sorted(maps.Keys(b.Voters)) {
		p.line("fleet voter "+string(id), b.Voters[id])
	}
	p.line("fleet leases", b.Leases)
	p.line("fleet lease", b.Lease)
	p.line("fleet willing", b.Willing)
}

func (p *printer) maintenance(b *maintenance.Block) {
	p.line("maintenance drain", b.Drain)
	p.line("maintenance work", b.Work)
	p.line("maintenance back", b.Back)
	p.line("maintenance within", b.Within)
	p.line("maintenance prepare", b.Prepare)
	p.line("maintenance list", b.List)
}

// verdict prints the result of the rules for a query.
func (p *printer) verdict(name string, set *rules.Set, query rules.Query) {
	verdict := set.Apply(&query, &rules.Scratch{})
	p.line(name+" refused", verdict.Rejection)
	p.line(name+" profile", int(verdict.Class))
	p.line(name+" key", verdict.OrderingKey)
	p.line(name+" hot", verdict.Hot)
	p.line(name+" kinds", verdict.Kinds)
	p.line(name+" zones", verdict.Zones)
	p.line(name+" longest estimate ms", verdict.EstimateCap)
	p.line(name+" labels", verdict.Labels)
}

// storedFacts returns settings with a query class without constraints, one bound to a machine kind, and an ordered one.
func storedFacts() *settings.Facts {
	return &settings.Facts{Classes: []router.QueryClass{{}, {Kinds: []router.KindID{1}}, {Ordered: true}},
		Names: settings.Names{MachineKinds: map[string]router.KindID{"std": 0, "c16": 1}, ZoneAt: []string{"east"},
			Classes: map[string]router.ClassID{"lookup": 0, "report": 1, "ordered": 2}}}
}

func TestStoredOperatorFileIsReadAsBefore(t *testing.T) {
	file, err := Read("testdata/operator.hcl", storedFacts())
	if err != nil {
		t.Fatal(err)
	}
	var p printer
	p.log(file.Log)
	p.memory(file.Memory)
	p.fleet(file.Fleet)
	p.line("config wait", file.Config.Wait)
	p.maintenance(file.Maintenance)
	p.line("rules", file.Rules.Len())
	query := rules.Query{Tenant: "acme", Schema: "s", Table: "menu_17", Tables: 5, OrderingKey: "k", EstimatedWork: 6000, EstimatedMemoryMB: 64,
		TimeLeft: 9000, Protocol: "postgres", Application: "psql", Listener: "l"}
	p.verdict("long lookup", file.Rules, query)
	query.EstimatedWork = 1000
	p.verdict("short lookup", file.Rules, query)
	query.Class = 2
	p.verdict("ordered", file.Rules, query)
	query.Table = "secrets"
	p.verdict("secret", file.Rules, query)
	golden.File(t, "file.golden", []byte(p.String()))
}

// fieldName matches a field within a commented block of deploy/operator.hcl.
var fieldName = regexp.MustCompile(`(?m)^# +([a-z_]+) +=`)

// TestStoredFileHasFieldsOfDeployed checks that the stored file has each block and field of the deployed one.
func TestStoredFileHasFieldsOfDeployed(t *testing.T) {
	deployed, err := os.ReadFile("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := os.ReadFile("testdata/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	fields := fieldName.FindAllStringSubmatch(string(deployed), -1)
	if len(fields) < 10 {
		t.Fatalf("found %d fields in the deployed file, want at least 10", len(fields))
	}
	for _, field := range fields {
		if !regexp.MustCompile(`(?m)^ +` + field[1] + ` +=`).Match(stored) {
			t.Errorf("field %s of the deployed file is not in the stored one", field[1])
		}
	}
	var uncommented strings.Builder // the deployed file with its commented blocks turned on
	inBlock := false
	for line := range strings.Lines(string(deployed)) {
		text := strings.TrimPrefix(line, "# ")
		inBlock = inBlock || regexp.MustCompile(`^[a-z]+ .*\{`).MatchString(text)
		if inBlock {
			uncommented.WriteString(text)
		}
		inBlock = inBlock && !strings.HasPrefix(text, "}")
	}
	file, err := Parse("operator.hcl", []byte(uncommented.String()), storedFacts())
	if err != nil {
		t.Fatalf("%v\n%s", err, uncommented.String())
	}
	if file.Memory == nil || file.Rules.Len() != 1 || file.Fleet == nil || file.Config == nil || file.Maintenance == nil {
		t.Errorf("deployed file with its blocks turned on is read as %+v, want all blocks and one rule", file)
	}
}

// TestRuleFieldsAreStable pins the names that expressions of rules may read.
func TestRuleFieldsAreStable(t *testing.T) {
	var p printer
	for _, field := range rules.Schema.Fields {
		kind := map[match.Type]string{match.Text: "text", match.Number: "number", match.Duration: "duration"}[field.Type]
		p.line(field.Name, fmt.Sprint(kind, " ", field.MaxBytes))
	}
	golden.File(t, "rulefields.golden", []byte(p.String()))
}
