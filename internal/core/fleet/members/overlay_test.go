package members

import (
	"fmt"
	"testing"
)

// knowing is a table that knows some members, all alive.
func knowing(self int, size int, p Config) *Table {
	id := func(i int) ID { return ID(fmt.Sprintf("n%d", i)) }
	p.MaxMembers = max(p.MaxMembers, size)
	table := New(Member{ID: id(self), Addr: "x", Run: uint64(self + 1)}, nil, p, int64(self), 0)
	for i := range size {
		if i != self {
			table.applyUpdate(Member{ID: id(i), Addr: "x", Run: uint64(i + 1)}, id(i))
		}
	}
	return table
}

// TestSubjects has each controller ping a few, each be pinged by some, and all be reached over
// these paths.
func TestSubjects(t *testing.T) {
	const size = 200
	pinged := map[ID]int{}
	paths := map[ID][]ID{}
	for i := range size {
		table := knowing(i, size, DefaultConfig())
		subjects := table.probeTargets()
		if len(subjects) < rings-4 || len(subjects) > rings {
			t.Errorf("n%d pings %d others", i, len(subjects))
		}
		for _, e := range subjects {
			pinged[e.ID]++
			paths[table.self.ID] = append(paths[table.self.ID], e.ID)
		}
	}
	for i := range size {
		if n := pinged[ID(fmt.Sprintf("n%d", i))]; n < rings-5 {
			t.Errorf("n%d is pinged by %d others", i, n)
		}
	}
	reached := map[ID]bool{"n0": true}
	front := []ID{"n0"}
	for steps := 0; len(front) > 0; steps++ {
		if steps > 5 {
			t.Errorf("more than %d steps to reach all", steps)
			break
		}
		var next []ID
		for _, id := range front {
			for _, to := range paths[id] {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		front = next
	}
	if len(reached) != size {
		t.Errorf("%d of %d are reached", len(reached), size)
	}
	if n := len(knowing(0, rings+1, DefaultConfig()).probeTargets()); n != rings {
		t.Errorf("in a fleet of %d one pings %d", rings+1, n)
	}
}

// TestFewPeers has a controller of a large fleet send its pings to the same few, whose connections
// stay open. The first round may be of those that it heard of first.
func TestFewPeers(t *testing.T) {
	table := knowing(0, 200, DefaultConfig())
	peers := map[ID]int{}
	for now := 0.0; now < 130_000; now = table.Next() {
		table.Tick(now)
		for _, out := range table.TakeMessages() {
			if out.Message.Kind == Ping {
				if now > 30_000 {
					peers[out.To]++
				}
				table.Receive(now, out.To, Message{Kind: Ack, Seq: out.Message.Seq})
			}
		}
	}
	if len(peers) > rings {
		t.Errorf("pings went to %d others", len(peers))
	}
	for id, n := range peers {
		if n < 8 {
			t.Errorf("%s was pinged %d times in 100 s", id, n)
		}
	}
}

// TestLateAnswer has an answer passed on that comes after the Nack, as over a new connection to a
// far member.
func TestLateAnswer(t *testing.T) {
	table := knowing(0, 3, testConfig)
	table.Tick(1)
	table.TakeMessages()
	table.Receive(10, "n1", Message{Kind: PingRequest, Seq: 77, Target: "n2"})
	asked := table.TakeMessages()
	if len(asked) != 1 || asked[0].To != "n2" || asked[0].Message.Kind != Ping {
		t.Fatalf("asked to ping another it sends %+v", asked)
	}
	table.Tick(10 + testConfig.ProbeTimeout)
	if !sends(table.TakeMessages(), "n1", Message{Kind: Nack, Seq: 77, Target: "n2"}) {
		t.Error("no Nack when the answer is late")
	}
	table.Tick(10 + testConfig.ProbeTimeout + 50)
	table.TakeMessages()
	table.Receive(10+testConfig.ProbeTimeout+100, "n2", Message{Kind: Ack, Seq: asked[0].Message.Seq})
	if !sends(table.TakeMessages(), "n1", Message{Kind: Ack, Seq: 77, Target: "n2"}) {
		t.Error("the late answer is not passed on")
	}
	table.Receive(10+testConfig.ProbeTimeout+200, "n2", Message{Kind: Ack, Seq: asked[0].Message.Seq})
	if sends(table.TakeMessages(), "n1", Message{Kind: Ack, Seq: 77, Target: "n2"}) {
		t.Error("one answer is passed on twice")
	}
	if table.relays.len() != 0 {
		t.Errorf("%d relays are left", table.relays.len())
	}
}

// sends tells whether a message goes to one, whatever its news.
func sends(outs []Envelope, to ID, want Message) bool {
	for _, out := range outs {
		m := out.Message
		if out.To == to && m.Kind == want.Kind && m.Seq == want.Seq && m.Target == want.Target {
			return true
		}
	}
	return false
}

// TestSecondPing has a target that does not answer in time pinged again, beside those that are asked to.
func TestSecondPing(t *testing.T) {
	table := knowing(0, 4, testConfig)
	table.Tick(table.probeAt)
	table.TakeMessages()
	target := table.probe.target
	table.Tick(table.probe.sentAt + testConfig.ProbeTimeout)
	pings, requests := 0, 0
	for _, out := range table.TakeMessages() {
		if out.Message.Kind == Ping && out.To == target {
			pings++
		}
		if out.Message.Kind == PingRequest && out.Message.Target == target {
			requests++
		}
	}
	if pings != 1 || requests != testConfig.IndirectProbes {
		t.Errorf("%d pings and %d requests", pings, requests)
	}
}
