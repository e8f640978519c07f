package operator

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
	"mintkeel/internal/logs"
	"mintkeel/internal/memory"
)

// testLocal returns a controller whose own file has the blocks fleet, config and memory, and
// maintenance unless that is nil.
func testLocal(maintenanceBlock *maintenance.Block, leases ...lease.Name) Local {
	return Local{Name: "n7", File: &File{Log: logs.DefaultBlock(), Memory: &memory.Block{Folder: "/own", Interval: time.Second},
		Fleet:  &fleet.Block{Name: "east", Folder: "/f", Leases: leases, Lease: 3 * time.Second, Willing: true},
		Config: &configuration.Block{Wait: time.Second}, Maintenance: maintenanceBlock}}
}

// problemPlaces returns the problems of an error as "line:column field".
func problemPlaces(err error) (list []string) {
	for _, p := range Problems(err) {
		list = append(list, fmt.Sprintf("%d:%d %s", p.Line, p.Column, p.Field))
	}
	return list
}

// A document has fields that only a controller's own file may have, fields that can't change without
// a restart, or computed expressions. All of these are reported at once, with position and field, and
// the document is rejected as a whole.
func TestDocumentProblemsAreReportedAtOnce(t *testing.T) {
	maintenanceBlock := &maintenance.Block{Drain: "/d", Within: 10 * time.Minute, Prepare: 30 * time.Second, List: true}
	withoutMaintenance, maintained := testLocal(nil, "digest"), testLocal(maintenanceBlock, "digest", "maintenance")
	for _, c := range []struct {
		name, text string
		local      Local
		want       []string // as "line:column field"; none: the document is valid
	}{
		{"empty", "", withoutMaintenance, nil},
		{"all allowed blocks", "log {\n level = \"warn\"\n}\nmemory {\n folder = \"/m/${name}\"\n}\nrule \"a\" {\n hot = true\n}\nfleet {\n works = [\"digest\"]\n}\n", withoutMaintenance, nil},
		{"no list of leases", "fleet {\n}\n", withoutMaintenance, nil},
		{"maintenance on, as at start", "maintenance {\n drain = \"/d\"\n}\nfleet {\n works = [\"digest\"]\n}\n", maintained, nil},
		{"name", "fleet {\n name = \"east\"\n}\n", withoutMaintenance, []string{"2:9 fleet.name"}},
		{"generation", "fleet {\n generation = 2\n}\n", withoutMaintenance, []string{"2:15 fleet.generation"}},
		{"listen", "fleet {\n listen = \"10.0.0.1:9\"\n}\n", withoutMaintenance, []string{"2:11 fleet.listen"}},
		{"advertise", "fleet {\n advertise = \"10.0.0.1:9\"\n}\n", withoutMaintenance, []string{"2:14 fleet.advertise"}},
		{"key_file", "fleet {\n key_file = \"/k\"\n}\n", withoutMaintenance, []string{"2:13 fleet.key_file"}},
		{"folder", "fleet {\n folder = \"/f\"\n}\n", withoutMaintenance, []string{"2:11 fleet.folder"}},
		{"council", "fleet {\n council = {}\n}\n", withoutMaintenance, []string{"2:12 fleet.council"}},
		{"lease", "fleet {\n lease = \"3s\"\n}\n", withoutMaintenance, []string{"2:10 fleet.lease"}},
		{"willing", "fleet {\n willing = false\n}\n", withoutMaintenance, []string{"2:12 fleet.willing"}},
		{"several at once", "fleet {\n willing = false\n lease = 3\n x = 1\n}\nlog {\n level = \"loud\"\n}\n", withoutMaintenance,
			[]string{"2:12 fleet.willing", "3:10 fleet.lease", "4:2 fleet.x", "7:10 log.level"}},
		{"config", "config {\n wait = \"1s\"\n}\n", withoutMaintenance, []string{"1:1 config"}},
		{"other leases", "fleet {\n works = [\"digest\", \"plan\"]\n}\n", withoutMaintenance, nil},
		{"an empty list of leases", "fleet {\n works = []\n}\n", withoutMaintenance, nil},
		{"leases that are not a list", "fleet {\n works = \"digest\"\n}\n", withoutMaintenance, []string{"2:10 fleet.works"}},
		{"an invalid lease name", "fleet {\n works = [\"digest\", \"a b\"]\n}\n", withoutMaintenance, []string{"2:10 fleet.works"}},
		{"maintenance turned on", "maintenance {\n}\n", withoutMaintenance, []string{"1:1 maintenance"}},
		{"maintenance turned off", "log {\n}\n", maintained, []string{"1:1 maintenance"}},
		{"changed maintenance", "\nmaintenance {\n drain = \"/other\"\n}\n", maintained, nil},
		{"invalid maintenance", "\nmaintenance {\n drain = \"other\"\n}\n", maintained, []string{"3:10 maintenance.drain"}},
		{"a repeated block", "log {\n}\nlog {\n}\n", withoutMaintenance, []string{"3:1 log"}},
		{"an unknown block", "throttle {\n}\n", withoutMaintenance, []string{"1:1 throttle"}},
		{"an unknown field", "log {\n colour = 1\n}\n", withoutMaintenance, []string{"2:2 log.colour"}},
		{"an invalid rule", "rule \"a\" {\n when = \"tenant = 1\"\n}\n", withoutMaintenance, []string{"2:9 rule \"a\".when"}},
		{"a variable outside of memory", "log {\n level = \"${name}\"\n}\n", withoutMaintenance, []string{"2:13 log.level"}},
		{"an unknown variable", "memory {\n folder = \"/${host}\"\n}\n", withoutMaintenance, []string{"2:15 memory.folder"}},
		{"a folder that is not an absolute path", "memory {\n folder = name\n}\n", withoutMaintenance, []string{"2:11 memory.folder"}},
		{"a long folder", "memory {\n folder = \"/" + strings.Repeat("${name}", 5000) + "\"\n}\n", withoutMaintenance, []string{"2:11 memory.folder"}},
		{"arithmetic", "log {\n burst = 1e600000000 % 3\n}\n", withoutMaintenance, []string{"2:10 "}},
		{"a power", "log {\n burst = 1e600000000\n}\n", withoutMaintenance, []string{"2:10 log.burst"}},
		{"many digits", "log {\n burst = " + strings.Repeat("9", 500_000) + "\n}\n", withoutMaintenance, []string{"2:10 "}},
		{"a conditional", "log {\n burst = true ? 1 : 2\n}\n", withoutMaintenance, []string{"2:10 "}},
		{"a loop", "rule \"a\" {\n zones = [for x in [1, 2]: x]\n}\n", withoutMaintenance, []string{"2:10 "}},
		{"a loop in a string", "log {\n level = \"%{for x in [1]}a%{endfor}\"\n}\n", withoutMaintenance, []string{"2:11 "}},
		{"a function call", "log {\n level = lower(\"INFO\")\n}\n", withoutMaintenance, []string{"2:10 "}},
		{"deep brackets", "x = " + strings.Repeat("[", 100_000), withoutMaintenance, []string{"1:37 "}},
		{"not HCL", "log {\n", withoutMaintenance, []string{"1:5 "}},
		{"too long", strings.Repeat("#", config.MaxDocument+1), withoutMaintenance, []string{"0:0 "}},
	} {
		start := time.Now()
		file, err := ParseDocument("document", []byte(c.text), c.local, facts)
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("%s: ParseDocument took %v, want at most 2 s", c.name, took)
		}
		if got := problemPlaces(err); (file == nil) != (err != nil) || !equalPlaces(got, c.want) {
			t.Errorf("%s: problems at %q, want %q: %v", c.name, got, c.want, err)
		}
	}
}

// equalPlaces reports whether the problems are the wanted ones; a field may have several.
func equalPlaces(got, want []string) bool {
	return slices.Equal(slices.Compact(got), want)
}

// A document is combined with the controller's own blocks. Blocks that the document does not have
// are off or have defaults, whatever the controller's own file has, and that file is not changed.
func TestDocumentIsCompletedWithOwnBlocks(t *testing.T) {
	local := testLocal(nil, "digest")
	local.File.Log.Burst = 7
	file, err := ParseDocument("document", []byte(""), local, facts)
	if err != nil || file.Memory != nil || file.Rules != nil || file.Maintenance != nil || file.Log != logs.DefaultBlock() {
		t.Errorf("an empty document: %+v, %v; want only defaults", file, err)
	}
	if file.Fleet != local.File.Fleet || file.Config != local.File.Config {
		t.Error("an empty document: the controller's own blocks fleet and config are not used")
	}
	before, leasesBefore := *local.File, slices.Clone(local.File.Fleet.Leases)
	file, err = ParseDocument("document", []byte("memory {\n folder = \"/m/${name}\"\n}\nrule \"a\" {\n hot = true\n}\n"), local, facts)
	if err != nil || *file.Memory != (memory.Block{Folder: "/m/n7", Interval: 5 * time.Second}) || file.Rules.Len() != 1 {
		t.Errorf("a document with memory and a rule: %+v, %v; want folder /m/n7, interval 5 s and one rule", file, err)
	}
	file, err = ParseDocument("document", []byte("fleet {\n works = [\"plan\", \"a\"]\n}\n"), local, facts)
	if err != nil || !slices.Equal(file.Fleet.Leases, []lease.Name{"a", "plan"}) || file.Fleet.Folder != local.File.Fleet.Folder {
		t.Errorf("a document with other leases: %+v, %v; want leases a and plan in the own block fleet", file, err)
	}
	maintained := testLocal(&maintenance.Block{}, "digest", "maintenance")
	file, err = ParseDocument("document", []byte("maintenance {\n drain = \"/d\"\n}\nfleet {\n works = [\"a\"]\n}\n"), maintained, facts)
	if err != nil || !slices.Equal(file.Fleet.Leases, []lease.Name{"a", "maintenance"}) || file.Maintenance.Drain != "/d" {
		t.Errorf("a document with leases and maintenance: %+v, %v; want leases a and maintenance, and drain /d", file, err)
	}
	if !reflect.DeepEqual(before, *local.File) || !slices.Equal(leasesBefore, local.File.Fleet.Leases) {
		t.Error("ParseDocument changed the controller's own file")
	}
}

// The block config of a controller's own file is read, its fields are checked, and it needs a block
// fleet.
func TestConfigBlockOfOwnFile(t *testing.T) {
	const fleetBlock = "fleet {\n name = \"e\"\n listen = \"10.0.0.1:9\"\n key_file = \"/k\"\n folder = \"/f\"\n council = { n1 = \"10.0.0.1:9\" }\n}\n"
	file, err := Parse("f", []byte(fleetBlock+"config {\n wait = \"2s\"\n}\n"), facts)
	if err != nil || file.Config == nil || file.Config.Wait != 2*time.Second {
		t.Errorf("with a block config: %+v, %v; want a wait of 2 s", file, err)
	}
	if file, err = Parse("f", []byte(fleetBlock), facts); err != nil || file.Config != nil {
		t.Errorf("without a block config: %+v, %v; want it off", file, err)
	}
	for text, want := range map[string]string{"config {\n}\n": "1:1 config", fleetBlock + "config {\n wait = \"9s\"\n}\n": "9:9 config.wait",
		fleetBlock + "config {\n x = 1\n}\n": "9:2 config.x", fleetBlock + "config {\n}\nconfig {\n}\n": "10:1 config"} {
		if _, err := Parse("f", []byte(text), facts); !slices.Equal(problemPlaces(err), []string{want}) {
			t.Errorf("%q: problems %v, want one at %q", text, err, want)
		}
	}
}

// Any document is either read or rejected with problems, and always with the same ones.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte("log {\n level = \"info\"\n}\n"))
	f.Add([]byte("memory {\n folder = \"/a/${name}\"\n}\n"))
	f.Add([]byte("fleet {\n works = [\"digest\"]\n}\n"))
	local := testLocal(nil, "digest")
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := ParseDocument("d", text, local, facts)
		if (file == nil) != (err != nil) || err != nil && len(Problems(err)) == 0 {
			t.Errorf("ParseDocument: %v, %v; want either a file or problems", file, err)
		}
		if _, again := ParseDocument("d", text, local, facts); fmt.Sprint(again) != fmt.Sprint(err) {
			t.Errorf("ParseDocument: first %v, then %v for the same text", err, again)
		}
	})
}

// BenchmarkParseDocument measures the cost of checking a document by its size: rules of 90 bytes, up
// to the maximum number.
func BenchmarkParseDocument(b *testing.B) {
	for _, rules := range []int{10, 100, 1000, 10_000} {
		var text strings.Builder
		for i := range rules {
			fmt.Fprintf(&text, "rule \"r%d\" {\n when = \"tenant == 'acme%d' && table_name startswith 'menu_%d'\"\n hot = true\n}\n", i, i, i)
		}
		document, local := []byte(text.String()), testLocal(nil, "digest")
		b.Run(fmt.Sprintf("%d bytes", len(document)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ParseDocument("d", document, local, facts); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
