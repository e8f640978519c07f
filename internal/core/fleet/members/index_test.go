package members

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// lossyNet runs a network that loses messages, with members that restart and leave, all determined
// by a seed. It calls inspect after each event, and returns all messages that were sent.
func lossyNet(seed int64, until float64, inspect func(*net)) (sent []Message) {
	ids := []ID{"a", "b", "c", "d", "e", "f", "g", "h"}
	n := newNet(ids...)
	rng := rand.New(rand.NewSource(seed))
	n.lost = func(_, _ ID, m Message) bool {
		sent = append(sent, m)
		return rng.Float64() < 0.4
	}
	for n.now < until {
		n.run(n.now + 3000)
		id := ids[rng.Intn(len(ids))]
		switch rng.Intn(4) {
		case 0:
			restarted := Member{ID: id, Addr: string(id), Run: rng.Uint64()}
			n.tables[id] = New(restarted, []Member{{ID: "a", Addr: "a"}}, testConfig, rng.Int63(), n.now)
		case 1:
			n.tables[id].Leave(n.now)
		}
		inspect(n)
	}
	return sent
}

// TestIndexEqualsScan compares the sorted lists, the first expiry and the update queue with a scan
// of the table, while members of a lossy network restart and leave: an entry that is missing from a
// list would no longer be probed, declared dead or gossiped.
func TestIndexEqualsScan(t *testing.T) {
	lossyNet(1, 200_000, func(n *net) {
		for id, table := range n.tables {
			if err := checkIndex(table); err != nil {
				t.Fatalf("index of %s at %v ms: %v", id, n.now, err)
			}
		}
	})
}

// checkIndex returns an error if a table's index differs from a scan of its entries.
func checkIndex(table *Table) error {
	scan := func(which func(*entry) bool) (list []*entry) {
		for _, id := range slices.Sorted(maps.Keys(table.entries)) {
			if e := table.entries[id]; which(e) {
				list = append(list, e)
			}
		}
		return list
	}
	other := func(which func(State) bool) []*entry {
		return scan(func(e *entry) bool { return e != table.self && which(e.State) })
	}
	x := &table.index
	for name, lists := range map[string][2][]*entry{
		"all":      {x.all, scan(func(*entry) bool { return true })},
		"active":   {x.active, other(func(s State) bool { return s <= Suspect })},
		"alive":    {x.alive, other(func(s State) bool { return s == Alive })},
		"suspects": {x.suspects, other(func(s State) bool { return s == Suspect })},
		"dead":     {x.dead, other(func(s State) bool { return s == Dead })},
		"absent":   {x.absent, other(func(s State) bool { return s >= Dead })},
	} {
		if !slices.Equal(lists[0], lists[1]) {
			return fmt.Errorf("list %s has %d entries, want the %d that a scan finds", name, len(lists[0]), len(lists[1]))
		}
	}
	expiry := math.Inf(1)
	for _, e := range x.suspects {
		expiry = min(expiry, table.deadAt(e))
	}
	if got := table.firstExpiry(); got != expiry {
		return fmt.Errorf("first expiry at %v ms, want %v ms as a scan finds", got, expiry)
	}
	if !slices.IsSortedFunc(table.updates.queue, func(a, b *entry) int { return a.transmits - b.transmits }) {
		return fmt.Errorf("the update queue is not sorted by transmits")
	}
	for _, e := range table.updates.queue {
		if !e.queued || table.entries[e.ID] != e {
			return fmt.Errorf("%s is in the update queue but not marked as queued, or not the table's entry", e.ID)
		}
	}
	return nil
}

// TestSameSeedSendsSameMessages: simulations can be replayed only if the same seed and events give
// the same messages.
func TestSameSeedSendsSameMessages(t *testing.T) {
	once := lossyNet(7, 100_000, func(*net) {})
	again := lossyNet(7, 100_000, func(*net) {})
	if !reflect.DeepEqual(once, again) {
		t.Error("two runs with the same seed and events sent different messages, want the same")
	}
}

// A controller that left continues to answer until its caller stops it. It reclaims members that
// left long ago, and must not reclaim its own entry, which is in state Left too.
func TestLeavingMemberReclaimsOthersNotItself(t *testing.T) {
	table := New(Member{ID: "a", Addr: "a", Run: 1}, nil, testConfig, 1, 0)
	table.Receive(0, "b", Message{Kind: Ping, Updates: []Member{{ID: "b", Addr: "b", Run: 2, State: Left}}})
	table.Leave(1000)
	for now := 2000.0; now < 1000+2*testConfig.ReclaimTime; now += 1000 {
		table.Tick(now)
	}
	if _, known := table.Lookup("b"); known {
		t.Error("b, which left longer than ReclaimTime ago, is still known, want it reclaimed")
	}
	if m, known := table.Lookup("a"); !known || m.State != Left {
		t.Errorf("the leaving controller reclaimed itself, or its own state is %v, want left", m.State)
	}
}
