package members

import (
	"maps"
	"slices"
	"testing"
)

var testConfig = Config{ProbeInterval: 1000, ProbeTimeout: 400, IndirectProbes: 2, SuspicionMult: 4, SuspicionMaxMult: 6, SyncInterval: 30000, ReconnectInterval: 5000, ReclaimTime: 60000, MaxUpdates: 8,
	MaxSyncMembers: 200, MaxMembers: 100}

// net carries messages between some tables, but for those that cut says are lost.
type net struct {
	tables map[ID]*Table
	now    float64
	cut    func(from, to ID, m Message) bool
}

func newNet(ids ...ID) *net {
	n := &net{tables: map[ID]*Table{}}
	var seeds []Member
	for _, id := range ids {
		seeds = append(seeds, Member{ID: id, Addr: string(id)})
	}
	for i, id := range ids {
		n.tables[id] = New(Member{ID: id, Addr: string(id), Run: uint64(i + 1), Willing: true}, seeds, testConfig, int64(i), 0)
	}
	return n
}

func (n *net) run(until float64) {
	for ; n.now < until; n.now += 10 {
		for range 3 {
			for _, from := range slices.Sorted(maps.Keys(n.tables)) {
				t := n.tables[from]
				if n.now >= t.Next() {
					t.Tick(n.now)
				}
				for _, o := range t.TakeMessages() {
					if to := n.tables[o.To]; to != nil && (n.cut == nil || !n.cut(from, o.To, o.Message)) {
						to.Receive(n.now, from, o.Message)
					}
				}
			}
		}
	}
}

func (n *net) state(at, of ID) State {
	m, ok := n.tables[at].Lookup(of)
	if !ok {
		return 99
	}
	return m.State
}

func TestFound(t *testing.T) {
	n := newNet("a", "b", "c")
	n.run(10000)
	for _, at := range []ID{"a", "b", "c"} {
		for _, of := range []ID{"a", "b", "c"} {
			if n.state(at, of) != Alive {
				t.Errorf("%s takes %s as %v", at, of, n.state(at, of))
			}
		}
	}
	n.tables["c"].Leave(n.now)
	n.run(n.now + 5000)
	if n.state("a", "c") != Left || n.state("b", "c") != Left {
		t.Error("one that said that it ends is not taken to have left")
	}
}

// One that is silent is suspected, then gone; when it is heard again it says that it is there. One
// that only one other can't reach is not even suspected, as others ping it in that one's place.
func TestSilence(t *testing.T) {
	n := newNet("a", "b", "c", "d")
	n.run(10000)
	n.cut = func(from, to ID, _ Message) bool { return from == "a" && to == "d" || from == "d" && to == "a" }
	n.run(60000)
	if n.state("a", "d") != Alive || n.tables["d"].Refutations() > 0 {
		t.Errorf("a can't reach d, others can: %v", n.state("a", "d"))
	}
	n.cut = func(from, to ID, _ Message) bool { return from == "d" || to == "d" }
	n.run(67000)
	if n.state("a", "d") != Suspect && n.state("b", "d") != Suspect {
		t.Error("nobody suspects one that says nothing")
	}
	n.run(120000)
	for _, at := range []ID{"a", "b", "c"} {
		if n.state(at, "d") != Dead {
			t.Errorf("%s takes one that is cut off as %v", at, n.state(at, "d"))
		}
	}
	n.cut = nil
	n.run(150000)
	for _, at := range []ID{"a", "b", "c", "d"} {
		for _, of := range []ID{"a", "b", "c", "d"} {
			if n.state(at, of) != Alive {
				t.Errorf("after the cut %s takes %s as %v", at, of, n.state(at, of))
			}
		}
	}
}

// A process that stood still has nobody declared gone for it.
func TestPause(t *testing.T) {
	n := newNet("a", "b", "c")
	n.run(10000)
	paused := n.tables["a"]
	delete(n.tables, "a")
	n.run(14000)
	n.tables["a"] = paused
	paused.Tick(n.now)
	if paused.HealthScore() == 0 {
		t.Error("it does not notice that it stood still")
	}
	for _, of := range []ID{"b", "c"} {
		if n.state("a", of) != Alive {
			t.Errorf("it takes %s as %v", of, n.state("a", of))
		}
	}
	n.run(60000)
	if paused.HealthScore() != 0 || n.state("b", "a") != Alive {
		t.Errorf("later it takes itself as slow (%d), or others take it as %v", paused.HealthScore(), n.state("b", "a"))
	}
}

// One that starts again under its name is known as another run, soon, whatever was believed of the
// one before.
func TestRestart(t *testing.T) {
	n := newNet("a", "b", "c")
	n.run(10000)
	n.tables["a"].SetWilling(n.now, false) // a higher incarnation than the new one begins with
	n.run(15000)
	n.tables["a"] = New(Member{ID: "a", Addr: "a", Run: 77, Willing: true}, []Member{{ID: "b", Addr: "b"}}, testConfig, 9, n.now)
	n.run(25000)
	for _, at := range []ID{"b", "c"} {
		if m, _ := n.tables[at].Lookup("a"); m.Run != 77 || m.State != Alive || !m.Willing {
			t.Errorf("%s knows %+v", at, m)
		}
	}
}

func TestOverrides(t *testing.T) {
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
			t.Errorf("%v over %v: %v", c.a, c.b, !c.want)
		}
	}
}

// Who passes a suspicion on has not found it out: only others who say so themselves shorten the time.
func TestConfirmations(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	for _, id := range []ID{"b", "c", "d", "e"} {
		table.applyUpdate(Member{ID: id, Addr: string(id), Run: 2}, id)
	}
	suspect := Member{ID: "e", Addr: "e", Run: 2, State: Suspect, Suspector: "b"}
	table.applyUpdate(suspect, "b")
	alone := table.deadAt(table.entries["e"])
	table.applyUpdate(suspect, "c")
	table.applyUpdate(suspect, "d")
	if table.deadAt(table.entries["e"]) != alone {
		t.Error("who passes it on counts")
	}
	suspect.Suspector = "c"
	table.applyUpdate(suspect, "c")
	if at := table.deadAt(table.entries["e"]); at >= alone {
		t.Error("who finds it out too does not count")
	}
}

// Strangers' claims are bounded, and of nobody.
func TestBounds(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	news := make([]Member, 1000)
	table.Receive(1, "b", Message{Kind: Sync, Updates: news})
	for i := range 1000 {
		table.Receive(1, "b", Message{Kind: Ping, Updates: []Member{{ID: ID(rune(i + 1000)), Addr: "x", Run: 3}}})
	}
	table.Receive(1, "b", Message{Kind: Ping, Updates: []Member{{ID: "", Addr: "x"}, {ID: "z"}, {ID: "y", Addr: "y", State: 9}}})
	if n := len(table.Members()); n > testConfig.MaxMembers {
		t.Errorf("%d members", n)
	}
	for _, id := range []ID{"", "y", "z"} {
		if _, known := table.Lookup(id); known {
			t.Errorf("%q is known", id)
		}
	}
	if table.Receive(2, "a", Message{Kind: Ping}); len(table.TakeMessages()) != 0 {
		t.Error("it answers itself")
	}
}

// TestOwnFindingConfirms has a controller ping, in vain, one that others suspect already: that is a
// confirmation, for which the suspect's time gets shorter, and it is passed on with this controller
// as its finder.
func TestOwnFindingConfirms(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	for _, id := range []ID{"b", "c"} {
		table.Receive(0, "b", Message{Kind: Ping, Updates: []Member{{ID: id, Addr: string(id), Run: 2}}})
	}
	table.Receive(1, "b", Message{Kind: Ping, Updates: []Member{{ID: "c", Addr: "c", Run: 2, State: Suspect, Suspector: "b"}}})
	alone := table.deadAt(table.entries["c"])
	passedOn := false
	for now := 1.0; now < 6*testConfig.ProbeInterval; now = table.Next() {
		table.Tick(now)
		for _, out := range table.TakeMessages() {
			if out.To == "b" && out.Message.Kind == Ping {
				table.Receive(now, "b", Message{Kind: Ack, Seq: out.Message.Seq})
			}
			passedOn = passedOn || slices.ContainsFunc(out.Message.Updates, func(m Member) bool { return m.ID == "c" && m.Suspector == "a" })
		}
	}
	if table.deadAt(table.entries["c"]) >= alone {
		t.Error("one that pings a suspect in vain does not confirm it")
	}
	if !passedOn {
		t.Error("the confirmation is not passed on")
	}
}

// One that restarted with the incarnation that it had before is known by two runs. Who hears of the
// other run asks the member itself, though it would not ping it otherwise, and all come to know the
// new run.
func TestTwoRuns(t *testing.T) {
	former := Member{ID: "b", Addr: "b", Run: 1}
	restarted := Member{ID: "b", Addr: "b", Run: 2}
	survivor := New(Member{ID: "a", Addr: "a", Run: 9}, nil, testConfig, 1, 0)
	other := Member{ID: "c", Addr: "c", Run: 3}
	survivor.Receive(1, "c", Message{Kind: Ack, Updates: []Member{other, former}})
	survivor.TakeMessages()
	survivor.Receive(2, "c", Message{Kind: Ack, Updates: []Member{restarted}})
	outs := survivor.TakeMessages()
	if len(outs) != 1 || outs[0].To != "b" || !slices.Contains(outs[0].Message.Updates, former) {
		t.Fatalf("the member is not asked: %+v", outs)
	}
	survivor.Receive(3, "c", Message{Kind: Ack, Updates: []Member{restarted}})
	if outs := survivor.TakeMessages(); len(outs) != 0 {
		t.Errorf("it is asked again within a period: %+v", outs)
	}
	member := New(restarted, []Member{other}, testConfig, 2, 0)
	member.Receive(4, "a", outs[0].Message)
	if self := member.Self(); self.Incarnation != 1 || self.Run != 2 {
		t.Errorf("the member does not refute: %+v", self)
	}
	survivor.Receive(5, "c", Message{Kind: Ack, Updates: []Member{member.Self()}})
	if about, _ := survivor.Lookup("b"); about.Run != 2 {
		t.Errorf("the former run is still believed: %+v", about)
	}
}
