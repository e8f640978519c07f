package node

import (
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// driver runs a node without a disk or a network: records are durable at once, and messages are
// collected.
type driver struct {
	t        *testing.T
	node     *Node
	now      float64 // ms
	records  int     // made durable
	messages []Envelope
}

// settle carries out the node's outputs until there are none.
func (d *driver) settle() {
	for {
		out := d.node.Take()
		d.messages = append(d.messages, out.Messages...)
		switch {
		case out.Compaction != nil:
			d.node.Compacted(d.now, out.Compaction)
		case out.Ready != nil:
			if out.Ready.Record != nil {
				d.records++
			}
			d.node.Advance(d.now, out.Ready)
		default:
			return
		}
	}
}

// advance advances the time by a duration in ms.
func (d *driver) advance(duration float64) {
	for end := d.now + duration; d.now < end; {
		d.now = min(end, max(d.now+1, d.node.Next()))
		d.node.Tick(d.now)
		d.settle()
	}
}

// receive passes a message to the node, and carries out its outputs.
func (d *driver) receive(from members.ID, m Message) {
	d.node.Receive(d.now, from, &m)
	d.settle()
}

// takeMessages returns the messages sent since the last call.
func (d *driver) takeMessages() []Envelope {
	sends := d.messages
	d.messages = nil
	return sends
}

// takeRenewResponses returns the renew responses among the messages sent since the last call, by holder.
func (d *driver) takeRenewResponses() map[members.ID]*RenewResponse {
	responses := map[members.ID]*RenewResponse{}
	for _, s := range d.takeMessages() {
		if s.Message.RenewResponse != nil {
			responses[s.To] = s.Message.RenewResponse
		}
	}
	return responses
}

// countOffers counts the offers of leases among the messages sent since the last call.
func (d *driver) countOffers() (count int) {
	for _, s := range d.takeMessages() {
		if s.Message.Offer != nil {
			count++
		}
	}
	return count
}

// testLease is the duration of leases in ms.
const testLease = 10000.0

// leaderWithTwoHolders returns a driver of the only voter of a quorum, and the grants of h1 and h2,
// each of which holds a lease and has renewed it once.
func leaderWithTwoHolders(t *testing.T) (d *driver, held map[members.ID]lease.Grant) {
	t.Helper()
	membership := members.DefaultConfig()
	membership.ProbeInterval = 1e9 // no member answers probes
	membership.SyncInterval = 1e9
	node, err := New(Config{
		Self:        members.Member{ID: "a", Addr: "a", Run: 1},
		Founders:    []members.ID{"a"},
		Leases:      []lease.Name{"x", "y"},
		LeaseTiming: lease.Timing{Duration: testLease},
		Membership:  membership,
		Seed:        1,
	}, nil, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	d = &driver{t: t, node: node}
	holders := []members.Member{
		{ID: "h1", Addr: "h1", Run: 1, Willing: true},
		{ID: "h2", Addr: "h2", Run: 1, Willing: true},
	}
	d.receive("h1", Message{Members: &members.Message{Kind: members.Sync, Updates: holders}})
	held = map[members.ID]lease.Grant{}
	for ; len(held) < 2; d.advance(100) {
		if d.now > testLease {
			t.Fatalf("leases were offered to %d holders within a lease's duration, want 2", len(held))
		}
		for _, s := range d.takeMessages() {
			if s.Message.Offer != nil {
				held[s.To] = s.Message.Offer.Grant
			}
		}
	}
	for id, grant := range held {
		d.receive(id, renewal(id, grant, 1))
		if answer := d.takeRenewResponses()[id]; answer == nil || len(answer.Valid) != 1 {
			t.Fatalf("immediate answer to the first renewal of %s: %+v, want one valid grant", id, answer)
		}
	}
	return d, held
}

// renewal returns a message that renews one grant.
func renewal(id members.ID, grant lease.Grant, sequence uint64) Message {
	return Message{Renew: &lease.Renew{
		Holder:   lease.Holder{ID: id, Run: 1},
		Grants:   []lease.Grant{grant},
		Sequence: sequence,
	}}
}
