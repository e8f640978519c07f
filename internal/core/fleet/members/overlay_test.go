package members

import (
	"fmt"
	"testing"
)

// tableOfSize returns the table of controller n<self> that knows all others of a fleet, all alive.
func tableOfSize(self int, size int, config Config) *Table {
	id := func(i int) ID { return ID(fmt.Sprintf("n%d", i)) }
	config.MaxMembers = max(config.MaxMembers, size)
	table := New(Member{ID: id(self), Addr: "x", Run: uint64(self + 1)}, nil, config, int64(self), 0)
	for i := range size {
		if i != self {
			table.applyUpdate(Member{ID: id(i), Addr: "x", Run: uint64(i + 1)}, id(i))
		}
	}
	return table
}

// TestProbeTargetsFormConnectedOverlay: in a large fleet each controller probes few others, each is
// probed by several, and all are reached over these edges in few steps.
func TestProbeTargetsFormConnectedOverlay(t *testing.T) {
	const size = 200
	probedBy := map[ID]int{}
	edges := map[ID][]ID{}
	for i := range size {
		table := tableOfSize(i, size, DefaultConfig())
		targets := table.probeTargets()
		if len(targets) < rings-4 || len(targets) > rings {
			t.Errorf("n%d probes %d others", i, len(targets))
		}
		for _, e := range targets {
			probedBy[e.ID]++
			edges[table.self.ID] = append(edges[table.self.ID], e.ID)
		}
	}
	for i := range size {
		if n := probedBy[ID(fmt.Sprintf("n%d", i))]; n < rings-5 {
			t.Errorf("n%d is probed by %d others", i, n)
		}
	}
	reached := map[ID]bool{"n0": true}
	frontier := []ID{"n0"}
	for steps := 0; len(frontier) > 0; steps++ {
		if steps > 5 {
			t.Errorf("more than %d steps to reach all", steps)
			break
		}
		var next []ID
		for _, id := range frontier {
			for _, to := range edges[id] {
				if !reached[to] {
					reached[to] = true
					next = append(next, to)
				}
			}
		}
		frontier = next
	}
	if len(reached) != size {
		t.Errorf("%d of %d are reached", len(reached), size)
	}
	if n := len(tableOfSize(0, rings+1, DefaultConfig()).probeTargets()); n != rings {
		t.Errorf("in a fleet of %d a controller probes %d", rings+1, n)
	}
}

// TestLargeFleetProbesSameFewMembers: the connections to the probed members stay open only if they
// are the same in each round. The first round may hold the members that were heard from first.
func TestLargeFleetProbesSameFewMembers(t *testing.T) {
	table := tableOfSize(0, 200, DefaultConfig())
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

// Over a new connection to a distant member an ack takes several round trips, and comes after the
// nack was sent. It is passed on all the same, once, or the member would be suspected by the
// requester.
func TestLateAckIsPassedOnAfterNack(t *testing.T) {
	table := tableOfSize(0, 3, testConfig)
	table.Tick(1)
	table.TakeMessages()
	table.Receive(10, "n1", Message{Kind: PingRequest, Seq: 77, Target: "n2"})
	relayed := table.TakeMessages()
	if len(relayed) != 1 || relayed[0].To != "n2" || relayed[0].Message.Kind != Ping {
		t.Fatalf("upon a PingRequest it sends %+v", relayed)
	}
	table.Tick(10 + testConfig.ProbeTimeout)
	if !sends(table.TakeMessages(), "n1", Message{Kind: Nack, Seq: 77, Target: "n2"}) {
		t.Error("no Nack when the ack is late")
	}
	table.Tick(10 + testConfig.ProbeTimeout + 50)
	table.TakeMessages()
	table.Receive(10+testConfig.ProbeTimeout+100, "n2", Message{Kind: Ack, Seq: relayed[0].Message.Seq})
	if !sends(table.TakeMessages(), "n1", Message{Kind: Ack, Seq: 77, Target: "n2"}) {
		t.Error("the late ack is not passed on")
	}
	table.Receive(10+testConfig.ProbeTimeout+200, "n2", Message{Kind: Ack, Seq: relayed[0].Message.Seq})
	if sends(table.TakeMessages(), "n1", Message{Kind: Ack, Seq: 77, Target: "n2"}) {
		t.Error("one ack is passed on twice")
	}
	if table.relays.len() != 0 {
		t.Errorf("%d relays are left", table.relays.len())
	}
}

// sends reports whether a message is sent to a member, whatever its updates are.
func sends(outs []Envelope, to ID, want Message) bool {
	for _, out := range outs {
		m := out.Message
		if out.To == to && m.Kind == want.Kind && m.Seq == want.Seq && m.Target == want.Target {
			return true
		}
	}
	return false
}

// A ping or its ack is lost. Beside the members that are asked to ping the target, the controller
// pings it again itself.
func TestUnansweredTargetIsPingedAgain(t *testing.T) {
	table := tableOfSize(0, 4, testConfig)
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
