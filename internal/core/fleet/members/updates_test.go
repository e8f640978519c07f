package members

import (
	"fmt"
	"slices"
	"testing"
)

// TestFreshBeforeBulk has news that comes in with a message go out with the next ones, though
// hundreds of members were learned at once from a comparison of views, which others do too.
func TestFreshBeforeBulk(t *testing.T) {
	table := knowing(0, 100, DefaultConfig())
	for _, e := range slices.Clone(table.updates.queue) { // what it learned one by one has been passed on long ago
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
		news := table.TakeMessages()[0].Message.Updates
		if !slices.ContainsFunc(news, func(m Member) bool { return m.ID == "fresh" }) {
			t.Fatalf("message %d does not pass the fresh news on", i)
		}
	}
}
