package config

import (
	"fmt"
	"slices"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// status queries the status at a controller.
func (f *fleet) status(t *testing.T, at *controller) *Status {
	t.Helper()
	a, ok := f.query(at, QueryStatus)
	if !ok || a.Status == nil {
		t.Fatalf("query at %s: no status in the answer", at.id)
	}
	return a.Status
}

// TestStatusCountsControllersInForce: the status counts all controllers with the version in force,
// wherever it is queried.
func TestStatusCountsControllersInForce(t *testing.T) {
	f := newFleet(t, 1, 100, 7)
	f.runFor(1000)
	if s := f.status(t, f.all[20]); s.Latest.Number != 0 || s.InForce != 0 || s.Members != 100 {
		t.Errorf("before any version: got %+v, want 0 of 100 members in force and no latest version", s)
	}
	f.proposeCommitted(f.all[0], []byte("one"), 0)
	f.requireInForceEverywhere(1, 5000)
	took := f.runUntil(5000, func() bool { return f.all[0].replica.status().InForce == 100 })
	if took < 0 {
		t.Fatalf("after 5 s: got %+v, want 100 in force", f.status(t, f.all[0]))
	}
	t.Logf("the leader has all reports %.0f ms after the version was in force everywhere", took)
	for _, at := range []*controller{f.all[0], f.all[1], f.all[99]} {
		s := f.status(t, at)
		allInForce := s.InForce == 100 && s.Members == 100 && s.ByVersion[1] == 100
		if !allInForce || s.Latest.Author != "operator" || len(s.Unreachable) != 0 {
			t.Errorf("queried at %s: got %+v, want 100 of 100 members in force, with the author", at.id, s)
		}
	}
	if a, ok := f.query(f.all[50], QueryHistory); !ok || len(a.Versions) != 1 || a.Versions[0].Reason != "test" {
		t.Errorf("history: answered %v, got %+v; want one version, with its reason", ok, a)
	}
	if a, ok := f.query(f.all[50], QueryLatest); !ok || a.Latest.Number != 1 || !a.Voting {
		t.Errorf("latest version: answered %v, got %+v; want version 1 from a voter", ok, a)
	}
}

// A controller is killed, another is restarted, a third leaves. The first is listed as unreachable,
// the second does not count by the report of its earlier run, the third is not counted at all.
func TestStatusOfKilledRestartedAndLeft(t *testing.T) {
	f := newFleetWithVersion(t, 20, 3, 0)
	f.runFor(2000)
	dead, gone := f.all[10], f.all[11]
	f.kill(dead)
	f.kill(gone)
	gone.left = true
	f.runFor(deadAfter + 1000)
	s := f.status(t, f.all[5])
	if s.Members != 19 || s.InForce != 18 || len(s.Unreachable) != 1 {
		t.Fatalf("after the kills: got %+v, want 18 of 19 members in force and 1 unreachable", s)
	}
	if u := s.Unreachable[0]; u.ID != dead.id || u.Age < deadAfter || u.Applied != 1 {
		t.Errorf("unreachable controller: got %+v, want the killed one with version 1 and its age", s)
	}
	dead.folder = &folder{documents: map[Hash][]byte{}} // it restarts without its data, and can't store
	dead.diskFull = true
	f.start(dead)
	for range 40 {
		f.runFor(500)
		if s := f.status(t, f.all[0]); s.InForce > 18 {
			t.Fatalf("the report of an earlier run counts: %+v", s)
		}
	}
	if s := f.status(t, f.all[0]); len(s.Rejected) != 1 || s.Rejected[0].ID != dead.id {
		t.Errorf("after the restart with a full disk: got %+v, want the restarted controller as rejected", s)
	}
}

// A report of an earlier run arrives after the controller has restarted. It must not count for the
// new run.
func TestLateReportOfEarlierRunIsIgnored(t *testing.T) {
	f := newFleetWithVersion(t, 20, 3, 0)
	f.runFor(2000)
	c, before := f.all[10], f.all[10].run
	f.kill(c)
	c.folder = &folder{documents: map[Hash][]byte{}}
	c.diskFull = true
	f.start(c)
	f.runFor(aliveAfter + 100)
	leader := f.all[0].replica
	delete(leader.reports.known, c.id) // like a leader that has just been elected
	receive := func(reports Reports) { leader.Receive(f.now, "n015", &Message{Reports: &reports}) }
	receive(Reports{Sequence: 1, List: []Report{{ID: c.id, Run: before, Sequence: 99, Applied: 1}}})
	if s := f.status(t, f.all[0]); s.InForce != 19 {
		t.Errorf("after a late report to a new leader: got %+v, want 19 in force", s)
	}
	f.runFor(15000) // its own report is not overridden by the earlier run's
	receive(Reports{Sequence: 2, List: []Report{{ID: c.id, Run: before, Sequence: 100, Applied: 1}}})
	if s := f.status(t, f.all[0]); s.InForce != 19 || len(s.Rejected) != 1 {
		t.Errorf("after a late report: got %+v, want 19 in force and 1 rejected", s)
	}
}

// A partitioned controller has the version in force, but its reports don't reach the leader: it
// does not count.
func TestPartitionedControllerIsNotInForce(t *testing.T) {
	f := newFleetWithVersion(t, 20, 3, 0)
	f.partition(f.all[15:], 1)
	f.runFor(reportFreshTime + relayedReportTime)
	s := f.status(t, f.all[0])
	if s.InForce != 15 || len(s.Unreachable) != 5 || s.Unreachable[0].Age < reportFreshTime {
		t.Errorf("during the partition: got %+v, want 15 in force and 5 unreachable for reportFreshTime", s)
	}
	f.partition(f.all, 0)
	if f.runUntil(19000, func() bool { return f.all[0].replica.status().InForce == 20 }) < 0 {
		t.Errorf("after the partition has healed: got %+v, want 20 in force", f.status(t, f.all[0]))
	}
}

// The age of a report counts from when it was sent, also over relays: an old report must not count
// as a new one.
func TestReportAgeIncludesRelays(t *testing.T) {
	f := newFleetWithVersion(t, 5, 3, 0)
	leader, c := f.all[0].replica, f.all[4]
	f.runFor(2000)
	f.onMessage = func(from, _ *controller, m *Message) bool {
		return from != c || m.Reports == nil // it is alive, and its reports are lost
	}
	f.runFor(5000)
	report := Report{ID: c.id, Run: c.run, Sequence: c.replica.reports.own.Sequence, Applied: 1}
	for _, age := range []float64{reportFreshTime + 1, 1e12, 40000} {
		report.Age = age
		leader.Receive(f.now, "n003", &Message{Reports: &Reports{Sequence: 1, List: []Report{report}}})
	}
	f.runFor(reportFreshTime)
	leader.Receive(f.now, "n003", &Message{Reports: &Reports{Sequence: 1, List: []Report{report}}})
	if s := f.status(t, f.all[0]); s.InForce != 4 || len(s.Unreachable) != 1 {
		t.Errorf("old reports count as fresh: got %+v, want 4 in force and 1 unreachable", s)
	}
	report.Age = 0
	leader.Receive(f.now, "n003", &Message{Reports: &Reports{Sequence: 1, List: []Report{report}}})
	if s := f.status(t, f.all[0]); s.InForce != 5 {
		t.Errorf("a fresh report does not count: got %+v, want 5 in force", s)
	}
}

// TestRelayAddsToReportAge: a relay adds the time for which it has had a report to the report's
// age.
func TestRelayAddsToReportAge(t *testing.T) {
	x := newTestReplicas()[2]
	list := []Report{{ID: "n3", Run: 4, Sequence: 1, Applied: 1, Age: 700}}
	x.replica.Receive(x.now, "n3", &Message{Reports: &Reports{Sequence: 1, List: list}})
	x.replica.Take()
	at := x.now
	seen := 0
	for x.now < at+3*reportInterval {
		x.now = x.replica.Next()
		x.replica.Tick(x.now)
		for _, s := range x.replica.Take().Messages {
			if s.Message.Reports == nil || s.To != "n1" {
				continue
			}
			for _, report := range s.Message.Reports.List {
				if want := 700 + x.now - at; report.ID == "n3" && (report.Age < want-1 || report.Age > want+1) {
					t.Errorf("%.0f ms after it was received the report has age %.0f, want 700 more than that time",
						x.now-at, report.Age)
				} else if report.ID == "n3" {
					seen++
				}
			}
		}
	}
	if seen < 3 {
		t.Errorf("the report was relayed %d times, want at least 3", seen)
	}
}

// A new leader has no reports. It receives those of all controllers within seconds.
func TestNewLeaderCollectsReportsSoon(t *testing.T) {
	f := newFleetWithVersion(t, 100, 7, 50)
	f.runFor(2000)
	f.kill(f.all[0])
	f.runFor(1000)
	f.setLeader(f.all[3].id)
	took := f.runUntil(3000, func() bool { return f.all[3].replica.status().InForce >= 99 })
	if took < 0 {
		t.Fatalf("new leader after 3 s: got %+v, want at least 99 in force", f.all[3].replica.status())
	}
	t.Logf("the new leader has 99 reports after %.0f ms", took)
	f.runFor(deadAfter)
	if s := f.status(t, f.all[60]); s.InForce != 99 || s.CollectedFor <= 0 || s.CollectedFor > f.now {
		t.Errorf("after the killed leader is dead: got %+v, want 99 in force and the time since the change", s)
	}
}

// TestReportsMergeInAnyOrder: however often and in whatever order reports come, each controller
// counts once.
func TestReportsMergeInAnyOrder(t *testing.T) {
	f := newFleetWithVersion(t, 20, 3, 0)
	f.runFor(2000)
	leader := f.all[0].replica
	var list []Report
	for _, c := range f.all[1:] {
		for seq := range c.replica.reports.own.Sequence { // earlier ones, that come late
			list = append(list, Report{ID: c.id, Run: c.run, Sequence: seq, Applied: 0, Age: float64(seq)})
		}
	}
	if len(list) < 2*19 {
		t.Fatalf("got %d earlier reports, want at least 2 of each of 19 controllers", len(list))
	}
	for range 3 {
		f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		leader.Receive(f.now, "n007", &Message{Reports: &Reports{Sequence: 1, List: list[:20]}})
		if s := leader.status(); s.InForce != 20 {
			t.Fatalf("late reports count: got %+v, want 20 in force", s)
		}
		leader.Receive(f.now, "n008", &Message{Reports: &Reports{Sequence: 1, List: list}})
	}
	s := f.status(t, f.all[0])
	sum := 0
	for _, n := range s.ByVersion {
		sum += n
	}
	if s.Members != 20 || s.InForce != 20 || sum+len(s.Unreachable) != 20 {
		t.Errorf("got %+v, want 20 of 20 members in force, each counted once", s)
	}
}

// TestStatusListsAreBounded: the lists of a status are bounded, and controllers that they have no
// room for are counted.
func TestStatusListsAreBounded(t *testing.T) {
	f := newFleet(t, 1, 150, 3)
	for _, c := range f.all[3:] {
		c.checkDocument = func([]byte) error { return errUnknownField }
	}
	f.runFor(1000)
	f.proposeCommitted(f.all[0], []byte("one"), 0)
	f.runFor(5000)
	if s := f.status(t, f.all[0]); len(s.Rejected) != MaxListed || s.Omitted != 147-MaxListed || s.InForce != 3 {
		t.Errorf("got %d rejected, %d omitted, %d in force; want MaxListed, the rest of 147, and 3",
			len(s.Rejected), s.Omitted, s.InForce)
	}
}

// A relay receives reports of more controllers than it may keep. It keeps no more than its bound,
// and purges old ones.
func TestReportsOfRelayAreBounded(t *testing.T) {
	f := newFleet(t, 1, 8, 3)
	f.runFor(1000)
	r := f.all[5].replica
	for i := range 3 * MaxReports {
		list := []Report{{ID: members.ID(fmt.Sprint("x", i)), Run: 1, Sequence: 1}}
		r.Receive(f.now, "n006", &Message{Reports: &Reports{Sequence: uint64(i), List: list}})
		r.Take()
	}
	if n := len(r.reports.known); n > MaxReports {
		t.Errorf("got %d reports, want at most MaxReports", n)
	}
	if n := len(r.reports.batches); n > maxBatches {
		t.Errorf("got %d batches, want at most maxBatches", n)
	}
	f.runFor(2*relayedReportTime + 2*reportInterval)
	if n := len(r.reports.known); n > 8 {
		t.Errorf("got %d reports after relayedReportTime, want at most 8", n)
	}
}

// TestRelaysShareControllersEvenly: the number of relays is the square root of the number of
// members, the controllers are spread over them, and a relay that leaves does not change the
// others.
func TestRelaysShareControllersEvenly(t *testing.T) {
	for _, size := range []int{1, 2, 5, 100, 670} {
		var ids []members.ID
		for i := range size {
			ids = append(ids, members.ID(fmt.Sprintf("controller-%d", i)))
		}
		relays := relaysOf(ids)
		load := map[members.ID]int{}
		for _, id := range ids {
			load[rendezvousOrder(relays, id, len(relays))[0]]++
		}
		most := 0
		for _, n := range load {
			most = max(most, n)
		}
		t.Logf("%d members: %d relays, at most %d controllers per relay", size, len(relays), most)
		want := map[int]int{1: 1, 2: 2, 5: 3, 100: 10, 670: 26}[size]
		if len(relays) != want || most > 4*(size/want+1) {
			t.Errorf("%d members: got %d relays, with at most %d controllers per relay", size, len(relays), most)
		}
		without := slices.DeleteFunc(slices.Clone(ids), func(id members.ID) bool { return id == relays[0] })
		if again := relaysOf(without); size == 100 && !slices.Equal(again[:len(again)-1], relays[1:]) {
			t.Error("without one relay the others change")
		}
	}
}

// A status shows the state at the time of the query: a controller that has just restarted does not
// count by its earlier run.
func TestStatusIsOfTheQuery(t *testing.T) {
	f := newFleetWithVersion(t, 20, 3, 0)
	f.runFor(2000)
	if s := f.status(t, f.all[0]); s.InForce != 20 {
		t.Fatalf("before the restart: got %+v, want 20 in force", s)
	}
	c := f.all[10]
	f.kill(c)
	c.folder = &folder{documents: map[Hash][]byte{}}
	f.start(c)
	if s := f.status(t, f.all[0]); s.InForce != 19 {
		t.Errorf("right after the restart: got %+v, want 19 in force", s)
	}
}
