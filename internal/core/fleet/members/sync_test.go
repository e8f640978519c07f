package members

import (
	"slices"
	"testing"
)

// exchange runs an anti-entropy exchange that a starts with b, without messages of other kinds.
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

// updatesIn counts the updates of all messages.
func updatesIn(messages []Message) (n int) {
	for _, m := range messages {
		n += len(m.Updates)
	}
	return n
}

// TestSyncOfEqualViewsIsOneMessage: equal checksums need no answer.
func TestSyncOfEqualViewsIsOneMessage(t *testing.T) {
	a, b := tableOfSize(0, 300, DefaultConfig()), tableOfSize(1, 300, DefaultConfig())
	if sent := exchange(a, b); len(sent) != 1 || updatesIn(sent) != 1 {
		t.Errorf("%d messages with %d members", len(sent), updatesIn(sent))
	}
}

// TestSyncExchangesDifferingBucketsOnly: what either view lacks, or has in an older state, is
// exchanged with the buckets concerned alone.
func TestSyncExchangesDifferingBucketsOnly(t *testing.T) {
	a, b := tableOfSize(0, 300, DefaultConfig()), tableOfSize(1, 300, DefaultConfig())
	a.applyUpdate(Member{ID: "only-a", Addr: "x", Run: 9}, "only-a")
	a.applyUpdate(Member{ID: "n7", Addr: "x", Run: 8, State: Dead}, "n9")
	b.applyUpdate(Member{ID: "only-b", Addr: "x", Run: 9}, "only-b")
	b.applyUpdate(Member{ID: "n8", Addr: "x", Run: 9, Incarnation: 3, Willing: true}, "n8")
	sent := exchange(a, b)
	if n := updatesIn(sent); n > 60 {
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

// TestSyncGivesNewcomerAllMembersInParts: a newcomer that knows one address gets all members in
// bounded parts, and is known itself.
func TestSyncGivesNewcomerAllMembersInParts(t *testing.T) {
	old := tableOfSize(1, 900, DefaultConfig())
	newcomer := New(Member{ID: "new", Addr: "x", Run: 5}, []Member{{ID: "n1", Addr: "x"}}, DefaultConfig(), 1, 0)
	sent := exchange(newcomer, old)
	if n := len(newcomer.Members()); n != 901 {
		t.Errorf("the newcomer knows %d members", n)
	}
	if m, known := old.Lookup("new"); !known || m.State != Alive {
		t.Errorf("the newcomer is known as %+v", m)
	}
	if n := updatesIn(sent); n > 910 {
		t.Errorf("%d members were sent", n)
	}
	for _, m := range sent {
		if len(m.Updates) > DefaultConfig().MaxSyncMembers {
			t.Errorf("a part carries %d members", len(m.Updates))
		}
	}
}

// TestSyncOfEarlierVersion: a controller of an earlier version sends its whole view, and gets the
// whole view.
func TestSyncOfEarlierVersion(t *testing.T) {
	table := tableOfSize(0, 300, DefaultConfig())
	wholeView := []Member{{ID: "n1", Addr: "x", Run: 2}}
	table.Receive(1, "n1", Message{Kind: Sync, WantReply: true, Updates: wholeView})
	outs := table.TakeMessages()
	n := 0
	for _, out := range outs {
		n += len(out.Message.Updates)
		if out.Message.WantReply {
			t.Error("the answer wants a reply")
		}
	}
	if n != 300 || len(outs) != 2 {
		t.Errorf("%d members in %d messages", n, len(outs))
	}
}

// A faulty or hostile peer sends checksums of a wrong length, and asks for all buckets with an
// empty part. The answers are bounded, and ask for nothing themselves.
func TestHostileSyncIsBounded(t *testing.T) {
	table := tableOfSize(0, 300, DefaultConfig())
	table.Receive(1, "n1", Message{Kind: Sync, Checksums: make(Checksums, 3)})
	if outs := table.TakeMessages(); len(outs) != 0 {
		t.Errorf("checksums of a wrong length are answered: %d messages", len(outs))
	}
	table.Receive(1, "n1", Message{Kind: Sync, WantReply: true, Buckets: 1<<64 - 1})
	for _, out := range table.TakeMessages() {
		if len(out.Message.Updates) > DefaultConfig().MaxSyncMembers || out.Message.WantReply {
			t.Errorf("an answer of %d members that wants a reply: %v", len(out.Message.Updates), out.Message.WantReply)
		}
	}
}

// Controllers reclaim a dead member at different times. If one that has reclaimed it took it in
// again from the gossip of one that has not, it would be gossiped for ever.
func TestUnknownDeadMemberIsNotTakenIn(t *testing.T) {
	table := tableOfSize(0, 3, testConfig)
	for _, state := range []State{Dead, Left} {
		stranger := Member{ID: "stranger", Addr: "x", Run: 9, State: state}
		table.Receive(1, "n1", Message{Kind: Ping, Updates: []Member{stranger}})
		if m, known := table.Lookup("stranger"); known {
			t.Errorf("a stranger is taken in as %v", m.State)
		}
	}
}

// A member ends. All controllers reclaim it in the end, though they do so at different times and go
// on exchanging views.
func TestDeadMemberIsReclaimedByAll(t *testing.T) {
	n := newNet("a", "b", "c", "d")
	n.run(10000)
	delete(n.tables, "d")
	n.run(n.now + 60000)
	if n.state("a", "d") != Dead {
		t.Fatalf("a stopped member is believed to be %v", n.state("a", "d"))
	}
	n.run(n.now + 2*testConfig.ReclaimTime)
	for _, at := range []ID{"a", "b", "c"} {
		if _, known := n.tables[at].Lookup("d"); known {
			t.Errorf("%s has not reclaimed a member that is dead for long", at)
		}
	}
}
