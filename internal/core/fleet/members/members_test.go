package members

import (
	"maps"
	"slices"
	"testing"
)

// testConfig allows few members and reclaims dead ones after a short time.
var testConfig = Config{
	ProbeInterval:     1000,
	ProbeTimeout:      400,
	IndirectProbes:    2,
	SuspicionMult:     4,
	SuspicionMaxMult:  6,
	SyncInterval:      30000,
	ReconnectInterval: 5000,
	ReclaimTime:       60000,
	MaxUpdates:        8,
	MaxSyncMembers:    200,
	MaxMembers:        100,
}

// net is a simulated network that delivers messages between tables in virtual time.
type net struct {
	tables map[ID]*Table
	now    float64                           // ms
	lost   func(from, to ID, m Message) bool // nil: no message is lost
}

// newNet returns a network of controllers that all have each other as seeds.
func newNet(ids ...ID) *net {
	n := &net{tables: map[ID]*Table{}}
	var seeds []Member
	for _, id := range ids {
		seeds = append(seeds, Member{ID: id, Addr: string(id)})
	}
	for i, id := range ids {
		self := Member{ID: id, Addr: string(id), Run: uint64(i + 1), Willing: true}
		n.tables[id] = New(self, seeds, testConfig, int64(i), 0)
	}
	return n
}

// run advances the time in steps of 10 ms.
func (n *net) run(until float64) {
	for ; n.now < until; n.now += 10 {
		for range 3 {
			for _, from := range slices.Sorted(maps.Keys(n.tables)) {
				t := n.tables[from]
				if n.now >= t.Next() {
					t.Tick(n.now)
				}
				for _, o := range t.TakeMessages() {
					if to := n.tables[o.To]; to != nil && (n.lost == nil || !n.lost(from, o.To, o.Message)) {
						to.Receive(n.now, from, o.Message)
					}
				}
			}
		}
	}
}

// stateUnknown is no valid State: it stands for a member that is not known.
const stateUnknown State = 99

// state returns what one controller believes of another.
func (n *net) state(at, of ID) State {
	m, ok := n.tables[at].Lookup(of)
	if !ok {
		return stateUnknown
	}
	return m.State
}

// TestMembersDiscoverEachOther: controllers that start from seeds must come to believe each other
// alive, and learn when one leaves.
func TestMembersDiscoverEachOther(t *testing.T) {
	n := newNet("a", "b", "c")
	n.run(10000)
	for _, at := range []ID{"a", "b", "c"} {
		for _, of := range []ID{"a", "b", "c"} {
			if n.state(at, of) != Alive {
				t.Errorf("%s believes %s to be %v, want alive", at, of, n.state(at, of))
			}
		}
	}
	n.tables["c"].Leave(n.now)
	n.run(n.now + 5000)
	if n.state("a", "c") != Left || n.state("b", "c") != Left {
		t.Error("a or b does not believe c, which left, to have left")
	}
}

// A network fault between only two members must not lead to a suspicion, as others reach both by
// indirect probes. A member that nobody reaches must be suspected, then declared dead; when the
// partition heals it refutes, and all must be alive again.
func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	n := newNet("a", "b", "c", "d")
	n.run(10000)
	n.lost = func(from, to ID, _ Message) bool { return from == "a" && to == "d" || from == "d" && to == "a" }
	n.run(60000)
	if n.state("a", "d") != Alive || n.tables["d"].Refutations() > 0 {
		t.Errorf("a can't reach d, others can: a believes d to be %v, want alive, and no refutation by d", n.state("a", "d"))
	}
	n.lost = func(from, to ID, _ Message) bool { return from == "d" || to == "d" }
	n.run(67000)
	if n.state("a", "d") != Suspect && n.state("b", "d") != Suspect {
		t.Error("neither a nor b suspects a silent member, want one of them to suspect it")
	}
	n.run(120000)
	for _, at := range []ID{"a", "b", "c"} {
		if n.state(at, "d") != Dead {
			t.Errorf("%s believes a partitioned member to be %v, want gone", at, n.state(at, "d"))
		}
	}
	n.lost = nil
	n.run(150000)
	for _, at := range []ID{"a", "b", "c", "d"} {
		for _, of := range []ID{"a", "b", "c", "d"} {
			if n.state(at, of) != Alive {
				t.Errorf("after the partition %s believes %s to be %v, want alive", at, of, n.state(at, of))
			}
		}
	}
}

// A process is stopped for some seconds and receives no ack meanwhile. When it runs again it must
// not declare dead the members that sent the acks it missed.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	n := newNet("a", "b", "c")
	n.run(10000)
	paused := n.tables["a"]
	delete(n.tables, "a")
	n.run(14000)
	n.tables["a"] = paused
	paused.Tick(n.now)
	if paused.HealthScore() == 0 {
		t.Error("the health score after a pause is 0, want it above 0")
	}
	for _, of := range []ID{"b", "c"} {
		if n.state("a", of) != Alive {
			t.Errorf("after its pause a believes %s to be %v, want alive", of, n.state("a", of))
		}
	}
	n.run(60000)
	if paused.HealthScore() != 0 || n.state("b", "a") != Alive {
		t.Errorf("46 s after the pause the health score is %d and b believes a to be %v, want 0 and alive",
			paused.HealthScore(), n.state("b", "a"))
	}
}

// A member with a high incarnation restarts, and begins at incarnation 0, which overrides nothing.
// It must be notified of what the others believe and refute, so that all know its new run within
// seconds.
func TestRestartedMemberIsKnownByItsNewRun(t *testing.T) {
	n := newNet("a", "b", "c")
	n.run(10000)
	n.tables["a"].SetWilling(n.now, false) // a higher incarnation than the new one begins with
	n.run(15000)
	restarted := Member{ID: "a", Addr: "a", Run: 77, Willing: true}
	n.tables["a"] = New(restarted, []Member{{ID: "b", Addr: "b"}}, testConfig, 9, n.now)
	n.run(25000)
	for _, at := range []ID{"b", "c"} {
		if m, _ := n.tables[at].Lookup("a"); m.Run != 77 || m.State != Alive || !m.Willing {
			t.Errorf("%s knows the restarted member as %+v, want run 77, alive and willing", at, m)
		}
	}
}

// TestHigherIncarnationThenWorseStateOverrides: if two controllers ordered updates differently, their
// views would never agree.
func TestHigherIncarnationThenWorseStateOverrides(t *testing.T) {
	for _, c := range []struct {
		a, b Member
		want bool
	}{
		{Member{State: Suspect}, Member{State: Alive}, true},
		{Member{State: Alive}, Member{State: Suspect}, false},
		{Member{State: Alive, Incarnation: 1}, Member{State: Dead}, true},
		{Member{State: Dead}, Member{State: Alive, Incarnation: 1}, false},
		{Member{State: Left}, Member{State: Dead}, true},
		{Member{}, Member{}, false},
	} {
		if c.a.overrides(c.b) != c.want {
			t.Errorf("%v overrides %v: %v, want the opposite", c.a, c.b, !c.want)
		}
	}
}

// deadAt returns when a suspect is declared dead, in ms.
func (t *Table) deadAt(e *entry) float64 {
	return e.suspectedAt + t.suspicionTimeouts()[e.confirmations()]
}

// If each member that passes a suspicion on confirmed it, gossip alone would shorten the suspect's
// time to refute. Only members whose own probe of the suspect failed may confirm.
func TestOnlyOtherSuspectorsConfirmSuspicion(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	for _, id := range []ID{"b", "c", "d", "e"} {
		table.applyUpdate(Member{ID: id, Addr: string(id), Run: 2}, id)
	}
	suspect := Member{ID: "e", Addr: "e", Run: 2, State: Suspect, Suspector: "b"}
	table.applyUpdate(suspect, "b")
	unconfirmed := table.deadAt(table.entries["e"])
	table.applyUpdate(suspect, "c")
	table.applyUpdate(suspect, "d")
	if table.deadAt(table.entries["e"]) != unconfirmed {
		t.Error("members that pass a suspicion on change the suspect's timeout, want it unchanged")
	}
	suspect.Suspector = "c"
	table.applyUpdate(suspect, "c")
	if at := table.deadAt(table.entries["e"]); at >= unconfirmed {
		t.Error("a second suspector does not shorten the suspect's timeout, want it shorter")
	}
}

// A faulty or hostile peer sends too many updates at once, more members than a table may hold, and
// updates without an ID or address or with an unknown state. The table must stay bounded and accept
// none of the invalid updates.
func TestHostileUpdatesAreBoundedAndValidated(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	updates := make([]Member, 1000)
	table.Receive(1, "b", Message{Kind: Sync, Updates: updates})
	for i := range 1000 {
		table.Receive(1, "b", Message{Kind: Ping, Updates: []Member{{ID: ID(rune(i + 1000)), Addr: "x", Run: 3}}})
	}
	invalid := []Member{{ID: "", Addr: "x"}, {ID: "z"}, {ID: "y", Addr: "y", State: 9}}
	table.Receive(1, "b", Message{Kind: Ping, Updates: invalid})
	if n := len(table.Members()); n > testConfig.MaxMembers {
		t.Errorf("the table holds %d members, want at most MaxMembers", n)
	}
	for _, id := range []ID{"", "y", "z"} {
		if _, known := table.Lookup(id); known {
			t.Errorf("the member %q of an invalid update is known, want it rejected", id)
		}
	}
	if table.Receive(2, "a", Message{Kind: Ping}); len(table.TakeMessages()) != 0 {
		t.Error("a ping that names the controller itself as sender is answered, want it ignored")
	}
}

// A controller probes a member that another one suspects already, and gets no ack. That is a
// confirmation: the suspect's timeout must get shorter, and the controller must gossip itself as a
// suspector.
func TestFailedProbeOfSuspectConfirmsSuspicion(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	for _, id := range []ID{"b", "c"} {
		table.Receive(0, "b", Message{Kind: Ping, Updates: []Member{{ID: id, Addr: string(id), Run: 2}}})
	}
	suspected := Member{ID: "c", Addr: "c", Run: 2, State: Suspect, Suspector: "b"}
	table.Receive(1, "b", Message{Kind: Ping, Updates: []Member{suspected}})
	unconfirmed := table.deadAt(table.entries["c"])
	ownSuspicion := func(m Member) bool { return m.ID == "c" && m.Suspector == "a" }
	gossiped := false
	for now := 1.0; now < 6*testConfig.ProbeInterval; now = table.Next() {
		table.Tick(now)
		for _, out := range table.TakeMessages() {
			if out.To == "b" && out.Message.Kind == Ping {
				table.Receive(now, "b", Message{Kind: Ack, Seq: out.Message.Seq})
			}
			gossiped = gossiped || slices.ContainsFunc(out.Message.Updates, ownSuspicion)
		}
	}
	if table.deadAt(table.entries["c"]) >= unconfirmed {
		t.Error("a failed probe of a suspect does not shorten its timeout, want it shorter")
	}
	if !gossiped {
		t.Error("no message names a as a suspector of c, want the confirmation gossiped")
	}
}

// A member restarted with the incarnation that it had before, so some controllers know its former
// run and some its new one, and neither update overrides the other. A controller that receives the
// other run must ping the member, even if that is none of its probe targets. The member refutes, and
// the controller learns the new run.
func TestConflictingRunsAreResolved(t *testing.T) {
	former := Member{ID: "b", Addr: "b", Run: 1}
	restarted := Member{ID: "b", Addr: "b", Run: 2}
	survivor := New(Member{ID: "a", Addr: "a", Run: 9}, nil, testConfig, 1, 0)
	other := Member{ID: "c", Addr: "c", Run: 3}
	survivor.Receive(1, "c", Message{Kind: Ack, Updates: []Member{other, former}})
	survivor.TakeMessages()
	survivor.Receive(2, "c", Message{Kind: Ack, Updates: []Member{restarted}})
	outs := survivor.TakeMessages()
	if len(outs) != 1 || outs[0].To != "b" || !slices.Contains(outs[0].Message.Updates, former) {
		t.Fatalf("messages after the update of another run: %+v, want one to b with the former run", outs)
	}
	survivor.Receive(3, "c", Message{Kind: Ack, Updates: []Member{restarted}})
	if outs := survivor.TakeMessages(); len(outs) != 0 {
		t.Errorf("messages after the same update within a probe interval: %+v, want none", outs)
	}
	member := New(restarted, []Member{other}, testConfig, 2, 0)
	member.Receive(4, "a", outs[0].Message)
	if self := member.Self(); self.Incarnation != 1 || self.Run != 2 {
		t.Errorf("the restarted member announces %+v, want incarnation 1 of run 2", self)
	}
	survivor.Receive(5, "c", Message{Kind: Ack, Updates: []Member{member.Self()}})
	if about, _ := survivor.Lookup("b"); about.Run != 2 {
		t.Errorf("after the refutation the member is known as %+v, want run 2", about)
	}
}
