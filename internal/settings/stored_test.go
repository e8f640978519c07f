package settings

// A renamed or dropped key of the settings is read as its zero value, without an error: a
// controller would start and decide with other values than its platform configured. This test reads
// settings in which each key is set, and compares the result with that of an earlier build.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"mintkeel/internal/lab/golden"
	"mintkeel/router"
)

// printer prints values under names of this test, which stay when fields are renamed.
type printer struct{ strings.Builder }

func (p *printer) line(name string, value any) { fmt.Fprintf(p, "%s = %#v\n", name, value) }

func (p *printer) identity(x router.Identity) {
	p.line("place controllers", x.Controllers)
	p.line("place number", x.Index)
	p.line("place zone", string(x.Zone))
}

func (p *printer) capabilities(x router.Capabilities) {
	p.line("allowed cancel", x.Cancel)
	p.line("allowed probes", x.HealthChecks)
	p.line("allowed second copies", x.Hedging)
	p.line("allowed retry after", x.RetryAfter)
	p.line("allowed sends", x.MaxAttempts)
	p.line("allowed longest retry after ms", x.MaxRetryAfter)
	p.line("allowed pace of notes ms", x.ProgressInterval)
	p.line("allowed list only when asked for", x.PollEndpoints)
}

func (p *printer) safetyLimits(x router.SafetyLimits) {
	p.line("guards round ms", x.EventInterval)
	p.line("guards cold share", x.SlowStartCapacity)
	p.line("guards cold time ms", x.SlowStartTime)
	p.line("guards cold multiple", x.SlowStartOverload)
	p.line("guards cold window ms", x.SlowStartWindow)
	p.line("guards order rest ms", x.OrderingCooldown)
	p.line("guards budgeted", x.RetryBudgeted)
	p.line("guards free resends", x.RetryBudgetMin)
	p.line("guards share of resends", x.RetryBudgetRatio)
	p.line("guards window of resends ms", x.RetryBudgetWindow)
	p.line("guards ask within ms", x.PollWithin)
	p.line("guards benefit over the share", x.OverQuotaBenefit)
}

func (p *printer) class(at string, x router.QueryClass) {
	p.line(at+" effect", int(x.Effect))
	p.line(at+" scope", int(x.Scope))
	p.line(at+" repeat window ms", x.DeduplicationWindow)
	p.line(at+" in order", x.Ordered)
	p.line(at+" kinds", kindNumbers(x.Kinds))
	p.line(at+" zones", zoneNames(x.Zones))
	p.line(at+" target ms", x.LatencyObjective)
	p.line(at+" target stretch", x.ObjectivePerWork)
	p.line(at+" timeout ms", x.ClientTimeout)
	p.line(at+" late share", x.LateBenefit)
	p.line(at+" threads", x.Threads)
	p.line(at+" holds tables", x.LocksTables)
	p.line(at+" waits", x.WaitsForTables)
}

func kindNumbers(kinds []router.KindID) (numbers []int) {
	if kinds == nil {
		return nil
	}
	numbers = []int{}
	for _, kind := range kinds {
		numbers = append(numbers, int(kind))
	}
	return numbers
}

func zoneNames(zones []router.Zone) (names []string) {
	if zones == nil {
		return nil
	}
	names = []string{}
	for _, zone := range zones {
		names = append(names, string(zone))
	}
	return names
}

func idLines[T ~int](p *printer, at string, ids map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(ids)) {
		p.line(at+" "+name, int(ids[name]))
	}
}

func (p *printer) facts(f *Facts) {
	p.identity(f.Identity)
	p.capabilities(f.Capabilities)
	p.safetyLimits(f.SafetyLimits)
	for i, kind := range f.MachineKinds {
		p.line(fmt.Sprintf("kind %d cores", i), kind.Cores)
		p.line(fmt.Sprintf("kind %d memory MB", i), kind.MemoryMB)
	}
	for i, profile := range f.Classes {
		p.class(fmt.Sprintf("profile %d", i), profile)
	}
	for i, tenant := range f.Tenants {
		p.line(fmt.Sprintf("tenant %d per second", i), tenant.QueriesPerSecond)
	}
	idLines(p, "name of kind", f.Names.MachineKinds)
	idLines(p, "name of profile", f.Names.Classes)
	idLines(p, "name of tenant", f.Names.Tenants)
	p.line("names of kinds", f.Names.MachineKindAt)
	p.line("names of zones", f.Names.ZoneAt)
	p.line("names in reports", f.Names.ReportFields)
	p.line("answers tell costs", f.Names.AnswersHaveCost)
	p.line("connect timeout", f.Connections.ConnectTimeout.String())
	p.line("idle connection", f.Connections.IdleTimeout.String())
	p.line("streams", f.Connections.AttemptsPerConnection)
}

func readStored(t *testing.T) Values {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var nested map[string]any
	if err := decoder.Decode(&nested); err != nil {
		t.Fatal(err)
	}
	return Flatten(nested)
}

func TestStoredSettingsAreReadAsBefore(t *testing.T) {
	values := readStored(t)
	facts, err := Read(values)
	if err != nil {
		t.Fatal(err)
	}
	golden.AllSet(t, facts.Identity)
	golden.AllSet(t, facts.Capabilities)
	golden.AllSet(t, facts.SafetyLimits)
	golden.AllSet(t, facts.Names)
	golden.AllSet(t, facts.Connections)
	var p printer
	p.facts(facts)
	golden.File(t, "facts.golden", []byte(p.String()))
}

// TestSettingsSumIsStable pins the hash that identifies the settings of a stored snapshot: with
// another hash, all stored statistics are dropped at start.
func TestSettingsSumIsStable(t *testing.T) {
	golden.File(t, "sum.golden", []byte(fmt.Sprintf("%016x\n", readStored(t).Hash())))
}

func TestReportNamesAreStable(t *testing.T) {
	load := UnknownLoad()
	for i, name := range []string{"inflight", "util", "x0", "x1", "unknown"} {
		SetLoadField(load, name, float64(i+1))
	}
	if load.Inflight != 1 || load.Utilization != 2 || load.Memory != 3 || load.Disk != 4 {
		t.Errorf("load report %+v, want values 1 to 4 and the unknown name ignored", load)
	}
}
