package settings

// A renamed or dropped key of the settings is read as its zero value, without an error: a controller would start and
// decide by other figures than its platform gave. This test reads settings in which each key is set, and compares all
// that was read with what an earlier build read.

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

// printer prints values under names that are those of this test, and not of the fields.
type printer struct{ strings.Builder }

func (p *printer) line(name string, value any) { fmt.Fprintf(p, "%s = %#v\n", name, value) }

func (p *printer) place(x router.Place) {
	p.line("place controllers", x.Controllers)
	p.line("place number", x.Number)
	p.line("place zone", string(x.Zone))
}

func (p *printer) allowed(x router.Allowed) {
	p.line("allowed cancel", x.Cancel)
	p.line("allowed probes", x.Probes)
	p.line("allowed second copies", x.SecondCopies)
	p.line("allowed retry after", x.RetryAfter)
	p.line("allowed sends", x.MaxSends)
	p.line("allowed longest retry after ms", x.MaxRetryAfter)
	p.line("allowed pace of notes ms", x.NotePace)
	p.line("allowed list only when asked for", x.MustAsk)
}

func (p *printer) guards(x router.Guards) {
	p.line("guards round ms", x.Round)
	p.line("guards cold share", x.ColdShare)
	p.line("guards cold time ms", x.ColdTime)
	p.line("guards cold multiple", x.ColdMultiple)
	p.line("guards cold window ms", x.ColdWindow)
	p.line("guards order rest ms", x.OrderRest)
	p.line("guards budgeted", x.Budgeted)
	p.line("guards free resends", x.ResendFree)
	p.line("guards share of resends", x.ResendShare)
	p.line("guards window of resends ms", x.ResendWindow)
	p.line("guards ask within ms", x.AskWithin)
	p.line("guards benefit over the share", x.OverShare)
}

func (p *printer) profile(at string, x router.Profile) {
	p.line(at+" effect", int(x.Effect))
	p.line(at+" scope", int(x.Scope))
	p.line(at+" repeat window ms", x.RepeatWindow)
	p.line(at+" in order", x.InOrder)
	p.line(at+" kinds", kindNumbers(x.Kinds))
	p.line(at+" zones", zoneNames(x.Zones))
	p.line(at+" target ms", x.Target)
	p.line(at+" target stretch", x.TargetStretch)
	p.line(at+" timeout ms", x.Timeout)
	p.line(at+" late share", x.LateShare)
	p.line(at+" threads", x.Threads)
	p.line(at+" holds tables", x.HoldsTables)
	p.line(at+" waits", x.Waits)
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

func numbered[T ~int](p *printer, at string, ids map[string]T) {
	for _, name := range slices.Sorted(maps.Keys(ids)) {
		p.line(at+" "+name, int(ids[name]))
	}
}

func (p *printer) facts(f *Facts) {
	p.place(f.Place)
	p.allowed(f.Allowed)
	p.guards(f.Guards)
	for i, kind := range f.Kinds {
		p.line(fmt.Sprintf("kind %d cores", i), kind.Cores)
		p.line(fmt.Sprintf("kind %d memory MB", i), kind.MemoryMB)
	}
	for i, profile := range f.Profiles {
		p.profile(fmt.Sprintf("profile %d", i), profile)
	}
	for i, tenant := range f.Tenants {
		p.line(fmt.Sprintf("tenant %d per second", i), tenant.PerSecond)
	}
	numbered(p, "name of kind", f.Names.Kinds)
	numbered(p, "name of profile", f.Names.Profiles)
	numbered(p, "name of tenant", f.Names.Tenants)
	p.line("names of kinds", f.Names.KindAt)
	p.line("names of zones", f.Names.ZoneAt)
	p.line("names in reports", f.Names.Reports)
	p.line("answers tell costs", f.Names.Bills)
	p.line("connect timeout", f.Links.ConnectTimeout.String())
	p.line("idle connection", f.Links.Idle.String())
	p.line("streams", f.Links.Streams)
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
	golden.AllSet(t, facts.Place)
	golden.AllSet(t, facts.Allowed)
	golden.AllSet(t, facts.Guards)
	golden.AllSet(t, facts.Names)
	golden.AllSet(t, facts.Links)
	var p printer
	p.facts(facts)
	golden.File(t, "facts.golden", []byte(p.String()))
}

// TestSettingsSumIsStable pins the hash by which a memory folder is known to be of the same settings: with another hash
// all that was learned is dropped at a start.
func TestSettingsSumIsStable(t *testing.T) {
	golden.File(t, "sum.golden", []byte(fmt.Sprintf("%016x\n", readStored(t).Sum())))
}

func TestReportNamesAreStable(t *testing.T) {
	load := NoLoad()
	for i, name := range []string{"inflight", "util", "x0", "x1", "unknown"} {
		SetLoad(load, name, float64(i+1))
	}
	if load.Inflight != 1 || load.Util != 2 || load.Memory != 3 || load.Disk != 4 {
		t.Errorf("%+v", load)
	}
}
