package members

import (
	"fmt"
	"slices"
	"testing"
)

// A controller learns hundreds of members at once by an anti-entropy exchange, as the others do by
// theirs. An update that it then learns by gossip must not wait behind them: the next messages carry
// it.
func TestFreshUpdateGoesBeforeSyncedOnes(t *testing.T) {
	table := tableOfSize(0, 100, DefaultConfig())
	for _, e := range slices.Clone(table.updates.queue) { // as if sent transmitLimit times
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
			t.Fatalf("message %d after the update by gossip does not carry that update, want it carried", i)
		}
	}
}
