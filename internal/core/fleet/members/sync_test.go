package members

import (
	"slices"
	"testing"
)

// exchange has a compare its view with b's and carries all that follows, but nothing of other kinds.
func exchange(a, b *Table) (sent []Message) {
	tables := map[ID]*Table{a.self.ID: a, b.self.ID: b}
	a.startSync(a.entries[b.self.ID])
	for moved := true; moved; {
		moved = false
		for _, from := range []*Table{a, b} {
			for _, out := range from.TakeMessages() {
				if out.Message.Kind == Sync && tables[out.To] != nil {
					moved = true
					sent = append(sent, out.Message)
					tables[out.To].Receive(1, from.self.ID, out.Message)
				}
			}
		}
	}
	return sent
}

func newsOf(messages []Message) (n int) {
	for _, m := range messages {
		n += len(m.Updates)
	}
	return n
}

// TestCompareEqual has equal views cost one message.
func TestCompareEqual(t *testing.T) {
	a, b := knowing(0, 300, DefaultConfig()), knowing(1, 300, DefaultConfig())
	if sent := exchange(a, b); len(sent) != 1 || newsOf(sent) != 1 {
		t.Errorf("%d messages with %d members", len(sent), newsOf(sent))
	}
}

// TestCompareDifferent has what either lacks, or has older, go over with the buckets concerned alone.
func TestCompareDifferent(t *testing.T) {
	a, b := knowing(0, 300, DefaultConfig()), knowing(1, 300, DefaultConfig())
	a.applyUpdate(Member{ID: "only-a", Addr: "x", Run: 9}, "only-a")
	a.applyUpdate(Member{ID: "n7", Addr: "x", Run: 8, State: Dead}, "n9")
	b.applyUpdate(Member{ID: "only-b", Addr: "x", Run: 9}, "only-b")
	b.applyUpdate(Member{ID: "n8", Addr: "x", Run: 9, Incarnation: 3, Willing: true}, "n8")
	sent := exchange(a, b)
	if n := newsOf(sent); n > 60 {
		t.Errorf("%d members were sent for four differences", n)
	}
	for _, table := range []*Table{a, b} {
		for id, want := range map[ID]Member{
			"only-a": {State: Alive},
			"only-b": {State: Alive},
			"n7":     {State: Dead},
			"n8":     {State: Alive, Incarnation: 3},
		} {
			m, known := table.Lookup(id)
			if !known || m.State != want.State || m.Incarnation != want.Incarnation {
				t.Errorf("%s knows of %s %+v", table.self.ID, id, m)
			}
		}
	}
	if !slices.Equal(a.checksums(), b.checksums()) {
		t.Error("the views differ after the exchange")
	}
}

// TestCompareNewcomer has one that knows an address alone get all at once, in bounded parts, and be
// known itself.
func TestCompareNewcomer(t *testing.T) {
	old := knowing(1, 900, DefaultConfig())
	newcomer := New(Member{ID: "new", Addr: "x", Run: 5}, []Member{{ID: "n1", Addr: "x"}}, DefaultConfig(), 1, 0)
	sent := exchange(newcomer, old)
	if n := len(newcomer.Members()); n != 901 {
		t.Errorf("the newcomer knows %d members", n)
	}
	if m, known := old.Lookup("new"); !known || m.State != Alive {
		t.Errorf("the newcomer is known as %+v", m)
	}
	if n := newsOf(sent); n > 910 {
		t.Errorf("%d members were sent", n)
	}
	for _, m := range sent {
		if len(m.Updates) > DefaultConfig().MaxSyncMembers {
			t.Errorf("a part has %d members", len(m.Updates))
		}
	}
}

// TestSyncOfEarlierVersion has a controller that sends its whole view, as earlier versions do, get
// the same.
func TestSyncOfEarlierVersion(t *testing.T) {
	table := knowing(0, 300, DefaultConfig())
	table.Receive(1, "n1", Message{Kind: Sync, WantReply: true, Updates: []Member{{ID: "n1", Addr: "x", Run: 2}}})
	outs := table.TakeMessages()
	n := 0
	for _, out := range outs {
		n += len(out.Message.Updates)
		if out.Message.WantReply {
			t.Error("the answer asks again")
		}
	}
	if n != 300 || len(outs) != 2 {
		t.Errorf("%d members in %d messages", n, len(outs))
	}
}

// TestHostileSums has sums of a wrong length, and parts that ask without end, cost nothing without
// bound.
func TestHostileSums(t *testing.T) {
	table := knowing(0, 300, DefaultConfig())
	table.Receive(1, "n1", Message{Kind: Sync, Checksums: make(Checksums, 3)})
	if outs := table.TakeMessages(); len(outs) != 0 {
		t.Errorf("sums of a wrong length are answered: %d messages", len(outs))
	}
	table.Receive(1, "n1", Message{Kind: Sync, WantReply: true, Buckets: 1<<64 - 1})
	for _, out := range table.TakeMessages() {
		if len(out.Message.Updates) > DefaultConfig().MaxSyncMembers || out.Message.WantReply {
			t.Errorf("an answer of %d members that asks again: %v", len(out.Message.Updates), out.Message.WantReply)
		}
	}
}

// TestUnknownGone has what is said of a stranger that is gone not taken in: it would go round for
// ever among controllers that forget it at different times.
func TestUnknownGone(t *testing.T) {
	table := knowing(0, 3, testConfig)
	for _, state := range []State{Dead, Left} {
		table.Receive(1, "n1", Message{Kind: Ping, Updates: []Member{{ID: "stranger", Addr: "x", Run: 9, State: state}}})
		if m, known := table.Lookup("stranger"); known {
			t.Errorf("a stranger is known as %v", m.State)
		}
	}
}

// TestForgottenByAll has all forget one that is gone, though they do so at different times and go
// on exchanging views.
func TestForgottenByAll(t *testing.T) {
	n := newNet("a", "b", "c", "d")
	n.run(10000)
	delete(n.tables, "d")
	n.run(n.now + 60000)
	if n.state("a", "d") != Dead {
		t.Fatalf("one that ended is %v", n.state("a", "d"))
	}
	n.run(n.now + 2*testConfig.ReclaimTime)
	for _, at := range []ID{"a", "b", "c"} {
		if _, known := n.tables[at].Lookup("d"); known {
			t.Errorf("%s has not forgotten one that is gone for long", at)
		}
	}
}
