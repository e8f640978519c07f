package members

import (
	"slices"
	"testing"
)

// exchange runs an anti-entropy exchange that a starts with b, and returns its messages. Messages of
// other kinds are not delivered.
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

// TestSyncOfEqualViewsIsOneMessage: equal views must not be sent, so equal checksums get no answer.
func TestSyncOfEqualViewsIsOneMessage(t *testing.T) {
	a, b := tableOfSize(0, 300, DefaultConfig()), tableOfSize(1, 300, DefaultConfig())
	if sent := exchange(a, b); len(sent) != 1 || updatesIn(sent) != 1 {
		t.Errorf("a sync of equal views took %d messages with %d members, want 1 with 1", len(sent), updatesIn(sent))
	}
}

// TestSyncExchangesDifferingBucketsOnly: a sync must give both views what either lacks or has in an
// older state, and send only the buckets that differ.
func TestSyncExchangesDifferingBucketsOnly(t *testing.T) {
	a, b := tableOfSize(0, 300, DefaultConfig()), tableOfSize(1, 300, DefaultConfig())
	a.applyUpdate(Member{ID: "only-a", Addr: "x", Run: 9}, "only-a")
	a.applyUpdate(Member{ID: "n7", Addr: "x", Run: 8, State: Dead}, "n9")
	b.applyUpdate(Member{ID: "only-b", Addr: "x", Run: 9}, "only-b")
	b.applyUpdate(Member{ID: "n8", Addr: "x", Run: 9, Incarnation: 3, Willing: true}, "n8")
	sent := exchange(a, b)
	if n := updatesIn(sent); n > 60 {
		t.Errorf("%d members were sent for four differences, want at most 60", n)
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
				t.Errorf("%s knows member %s as %+v, want it known with the state and incarnation of the case", table.self.ID, id, m)
			}
		}
	}
	if !slices.Equal(a.checksums(), b.checksums()) {
		t.Error("the checksums of the two views differ after the exchange, want them equal")
	}
}

// TestSyncGivesNewcomerAllMembersInParts: a new controller that knows one address must get all
// members in parts of bounded size, and become known itself.
func TestSyncGivesNewcomerAllMembersInParts(t *testing.T) {
	old := tableOfSize(1, 900, DefaultConfig())
	newcomer := New(Member{ID: "new", Addr: "x", Run: 5}, []Member{{ID: "n1", Addr: "x"}}, DefaultConfig(), 1, 0)
	sent := exchange(newcomer, old)
	if n := len(newcomer.Members()); n != 901 {
		t.Errorf("the new controller knows %d members, want 901", n)
	}
	if m, known := old.Lookup("new"); !known || m.State != Alive {
		t.Errorf("the new controller is known as %+v, want it alive", m)
	}
	if n := updatesIn(sent); n > 910 {
		t.Errorf("%d members were sent, want at most 910", n)
	}
	for _, m := range sent {
		if len(m.Updates) > DefaultConfig().MaxSyncMembers {
			t.Errorf("a part carries %d members, want at most MaxSyncMembers", len(m.Updates))
		}
	}
}

// TestSyncOfEarlierVersion: a controller of an earlier version sends its whole view without
// checksums, and must get the whole view in return.
func TestSyncOfEarlierVersion(t *testing.T) {
	table := tableOfSize(0, 300, DefaultConfig())
	wholeView := []Member{{ID: "n1", Addr: "x", Run: 2}}
	table.Receive(1, "n1", Message{Kind: Sync, WantReply: true, Updates: wholeView})
	outs := table.TakeMessages()
	n := 0
	for _, out := range outs {
		n += len(out.Message.Updates)
		if out.Message.WantReply {
			t.Error("the answer to a whole view requests a reply, want none requested")
		}
	}
	if n != 300 || len(outs) != 2 {
		t.Errorf("the answer has %d members in %d messages, want 300 in 2", n, len(outs))
	}
}

// A faulty or hostile peer sends checksums of a wrong length, and requests all buckets with an empty
// part. The answers must be bounded and request no reply.
func TestHostileSyncIsBounded(t *testing.T) {
	table := tableOfSize(0, 300, DefaultConfig())
	table.Receive(1, "n1", Message{Kind: Sync, Checksums: make(Checksums, 3)})
	if outs := table.TakeMessages(); len(outs) != 0 {
		t.Errorf("checksums of a wrong length are answered with %d messages, want none", len(outs))
	}
	table.Receive(1, "n1", Message{Kind: Sync, WantReply: true, Buckets: 1<<64 - 1})
	for _, out := range table.TakeMessages() {
		if len(out.Message.Updates) > DefaultConfig().MaxSyncMembers || out.Message.WantReply {
			t.Errorf("an answer has %d members and requests a reply: %v, want at most MaxSyncMembers and false", len(out.Message.Updates), out.Message.WantReply)
		}
	}
}

// Controllers reclaim a dead member at different times. If one that has reclaimed it added it again
// from the gossip of one that has not, the member would be gossiped forever.
func TestUnknownDeadMemberIsNotTakenIn(t *testing.T) {
	table := tableOfSize(0, 3, testConfig)
	for _, state := range []State{Dead, Left} {
		stranger := Member{ID: "stranger", Addr: "x", Run: 9, State: state}
		table.Receive(1, "n1", Message{Kind: Ping, Updates: []Member{stranger}})
		if m, known := table.Lookup("stranger"); known {
			t.Errorf("an unknown member in state %v is added, want it ignored", m.State)
		}
	}
}

// A member stops for good. All controllers must eventually reclaim it, though they do so at
// different times and continue to exchange views.
func TestDeadMemberIsReclaimedByAll(t *testing.T) {
	n := newNet("a", "b", "c", "d")
	n.run(10000)
	delete(n.tables, "d")
	n.run(n.now + 60000)
	if n.state("a", "d") != Dead {
		t.Fatalf("a believes a stopped member to be %v, want gone", n.state("a", "d"))
	}
	n.run(n.now + 2*testConfig.ReclaimTime)
	for _, at := range []ID{"a", "b", "c"} {
		if _, known := n.tables[at].Lookup("d"); known {
			t.Errorf("%s still knows a member that died more than ReclaimTime ago, want it reclaimed", at)
		}
	}
}
