package members

import (
	"fmt"
	"slices"
	"testing"
)

// A controller learns hundreds of members at once by an anti-entropy exchange, as others do by
// theirs. A fresh update that comes by gossip must not wait behind them: it goes out with the next
// messages.
func TestFreshUpdateGoesBeforeSyncedOnes(t *testing.T) {
	table := tableOfSize(0, 100, DefaultConfig())
	for _, e := range slices.Clone(table.updates.queue) { // as if sent often enough
		table.updates.remove(e)
	}
	for part := range 3 {
		m := Message{Kind: Sync, Buckets: 1}
		for i := range 100 {
			m.Updates = append(m.Updates, Member{ID: ID(fmt.Sprintf("bulk%d-%d", part, i)), Addr: "x", Run: 9})
		}
		table.Receive(1, "n1", m)
	}
	table.Receive(2, "n1", Message{Kind: Ping, Updates: []Member{{ID: "fresh", Addr: "x", Run: 9}}})
	table.TakeMessages()
	for i := range syncedUpdateTransmits - 2 {
		table.Receive(3, "n1", Message{Kind: Ping, Seq: uint32(i)})
		updates := table.TakeMessages()[0].Message.Updates
		if !slices.ContainsFunc(updates, func(m Member) bool { return m.ID == "fresh" }) {
			t.Fatalf("message %d does not carry the fresh update", i)
		}
	}
}
