package recorded

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"mintkeel/router"
)

// readInterval is the number of steps after which the statistics and the engine statuses of a module
// are recorded too.
const readInterval = 64

// statisticsPart is the largest number of statistics records in one part of an export.
const statisticsPart = 20

// checkpoints is the largest number of intermediate hashes in the record of a scene.
const checkpoints = 16

// recording holds the hashes of everything that the modules of one scene did, in order.
type recording struct {
	encoder    *encoder
	stepHashes []uint16 // the lowest bits of the hash after each step
	actions    int
	counts     coverage
}

func newRecording() *recording { return &recording{encoder: newEncoder()} }

// module is a decision module whose actions are recorded.
type module struct {
	*router.Router
	recording *recording
	number    int // index of the controller
	attempts  map[router.QueryID]attempts
	tenants   int // number of tenants to which queries are assigned; 0: queries keep theirs
}

// attempts counts the attempts of a query: all started, and those in flight.
type attempts struct{ started, running int }

// module returns a new module that is recorded in r.
func (r *recording) module(seed int64, place router.Identity, kinds []router.MachineKind,
	classes []router.QueryClass,
	tenants []router.Tenant, capabilities router.Capabilities, limits router.SafetyLimits) *module {
	return &module{
		Router:    router.New(seed, place, kinds, classes, tenants, capabilities, limits),
		recording: r,
		number:    place.Index,
		attempts:  map[router.QueryID]attempts{},
		tenants:   len(tenants),
	}
}

// Step steps the module and records its actions.
func (m *module) Step(now float64, events []router.Event) []router.Action {
	events = m.assignTenants(events)
	m.countEvents(events)
	actions := m.Router.Step(now, events)
	m.countActions(actions)
	r := m.recording
	r.encoder.step(m.number, now, actions)
	if len(r.stepHashes)%readInterval == 0 {
		r.encoder.statistics(m.allStatistics())
		r.encoder.engines(m.EngineStatuses())
	}
	r.actions += len(actions)
	r.stepHashes = append(r.stepHashes, uint16(r.encoder.sum()))
	return actions
}

// allStatistics exports the statistics of the module in parts, and joins these.
func (m *module) allStatistics() (all router.Statistics) {
	for from, more := (router.Cursor{}), true; more; {
		var part router.Statistics
		part, from, more = m.Statistics(from, statisticsPart)
		all.Add(part)
	}
	return all
}

// assignTenants assigns each query a tenant, or none, by a hash of its id.
func (m *module) assignTenants(events []router.Event) []router.Event {
	if m.tenants == 0 {
		return events
	}
	changed := slices.Clone(events)
	for i, event := range changed {
		if ev, arrived := event.(router.QueryArrived); arrived {
			spread := uint32(ev.ID) * 2654435761 >> 16
			ev.Tenant = router.TenantID(int(spread)%(m.tenants+1) - 1)
			changed[i] = ev
		}
	}
	return changed
}

// record is a line of the file, the record of one scene.
type record struct {
	name           string
	steps, actions int
	hash           string
	checkpoints    []string // low bits of the hash after each interval of steps
}

// interval returns the number of steps between two checkpoints.
func (r record) interval() int { return r.steps/checkpoints + 1 }

// record returns the line of the file for the recording.
func (r *recording) record(name string) record {
	made := record{name: name, steps: len(r.stepHashes), actions: r.actions,
		hash: fmt.Sprintf("%016x", r.encoder.sum())}
	for at := made.interval(); at <= len(r.stepHashes); at += made.interval() {
		made.checkpoints = append(made.checkpoints, fmt.Sprintf("%04x", r.stepHashes[at-1]))
	}
	return made
}

// difference describes where a recording differs from a record. It is empty if they are equal.
func (r *recording) difference(want record) string {
	got := r.record(want.name)
	if got.steps == want.steps && got.actions == want.actions && got.hash == want.hash {
		return ""
	}
	from, to := 1, "the last"
	for i, checkpoint := range want.checkpoints {
		at := (i + 1) * want.interval()
		if at > len(r.stepHashes) || fmt.Sprintf("%04x", r.stepHashes[at-1]) != checkpoint {
			to = strconv.Itoa(at)
			break
		}
		from = at + 1
	}
	return fmt.Sprintf("scene %s: first difference in steps %d to %s; %d steps, %d actions, hash %s; recorded: %d, %d, %s",
		want.name, from, to, got.steps, got.actions, got.hash, want.steps, want.actions, want.hash)
}

func (r record) String() string {
	return fmt.Sprintf("%s %d %d %s %s", r.name, r.steps, r.actions, r.hash,
		strings.Join(r.checkpoints, ","))
}

// readRecords reads the records of a file, in order, skipping comments.
func readRecords(t *testing.T, path string) (records []record) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var r record
		var list string
		if _, err := fmt.Sscan(lines.Text(), &r.name, &r.steps, &r.actions, &r.hash, &list); err != nil {
			t.Fatalf("reading the record %q: %v", lines.Text(), err)
		}
		r.checkpoints = strings.Split(list, ",")
		records = append(records, r)
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return records
}
