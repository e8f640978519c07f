package members

import (
	"fmt"
	"testing"
)

// tableOfSize returns the table of controller n<self> in a fleet n0 to n<size-1>, all of whose
// members it knows as alive.
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

// TestProbeTargetsFormConnectedOverlay: in a large fleet each controller must probe few others, each
// must be probed by several, and gossip must reach all over these edges in a few steps.
func TestProbeTargetsFormConnectedOverlay(t *testing.T) {
	const size = 200
	probedBy := map[ID]int{}
	edges := map[ID][]ID{}
	for i := range size {
		table := tableOfSize(i, size, DefaultConfig())
		targets := table.probeTargets()
		if len(targets) < rings-4 || len(targets) > rings {
			t.Errorf("n%d probes %d others, want rings-4 to rings", i, len(targets))
		}
		for _, e := range targets {
			probedBy[e.ID]++
			edges[table.self.ID] = append(edges[table.self.ID], e.ID)
		}
	}
	for i := range size {
		if n := probedBy[ID(fmt.Sprintf("n%d", i))]; n < rings-5 {
			t.Errorf("n%d is probed by %d others, want at least rings-5", i, n)
		}
	}
	reached := map[ID]bool{"n0": true}
	frontier := []ID{"n0"}
	for steps := 0; len(frontier) > 0; steps++ {
		if steps > 5 {
			t.Errorf("step %d from n0 still reaches new members, want all reached within 5 steps", steps)
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
		t.Errorf("%d members are reached from n0, want all %d", len(reached), size)
	}
	if n := len(tableOfSize(0, rings+1, DefaultConfig()).probeTargets()); n != rings {
		t.Errorf("in a fleet of %d a controller probes %d others, want as many as rings", rings+1, n)
	}
}

// TestLargeFleetProbesSameFewMembers: the connections to the probed members stay open only if these
// are the same in each round. The first round may have those members that were known first.
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
		t.Errorf("after the first round %d members were pinged, want at most as many as rings", len(peers))
	}
	for id, n := range peers {
		if n < 8 {
			t.Errorf("%s was pinged %d times in 100 s, want at least 8", id, n)
		}
	}
}

// Over a new connection to a distant member an ack takes several round trips, and comes after the
// nack was sent. It must still be passed on, once, or the requester would suspect the member.
func TestLateAckIsPassedOnAfterNack(t *testing.T) {
	table := tableOfSize(0, 3, testConfig)
	table.Tick(1)
	table.TakeMessages()
	table.Receive(10, "n1", Message{Kind: PingRequest, Seq: 77, Target: "n2"})
	relayed := table.TakeMessages()
	if len(relayed) != 1 || relayed[0].To != "n2" || relayed[0].Message.Kind != Ping {
		t.Fatalf("messages after a PingRequest: %+v, want one Ping to n2", relayed)
	}
	table.Tick(10 + testConfig.ProbeTimeout)
	if !sends(table.TakeMessages(), "n1", Message{Kind: Nack, Seq: 77, Target: "n2"}) {
		t.Error("no Nack is sent to n1 after the probe timeout, want one")
	}
	table.Tick(10 + testConfig.ProbeTimeout + 50)
	table.TakeMessages()
	table.Receive(10+testConfig.ProbeTimeout+100, "n2", Message{Kind: Ack, Seq: relayed[0].Message.Seq})
	if !sends(table.TakeMessages(), "n1", Message{Kind: Ack, Seq: 77, Target: "n2"}) {
		t.Error("the late ack is not passed on to n1, want it passed on")
	}
	table.Receive(10+testConfig.ProbeTimeout+200, "n2", Message{Kind: Ack, Seq: relayed[0].Message.Seq})
	if sends(table.TakeMessages(), "n1", Message{Kind: Ack, Seq: 77, Target: "n2"}) {
		t.Error("a duplicate ack is passed on to n1 again, want it passed on once")
	}
	if table.relays.len() != 0 {
		t.Errorf("%d relays are left, want none", table.relays.len())
	}
}

// sends reports whether a message to a member, with any updates, is among the envelopes.
func sends(outs []Envelope, to ID, want Message) bool {
	for _, out := range outs {
		m := out.Message
		if out.To == to && m.Kind == want.Kind && m.Seq == want.Seq && m.Target == want.Target {
			return true
		}
	}
	return false
}

// A ping or its ack is lost. The controller must ask other members to ping the target, and also ping
// it again itself.
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
		t.Errorf("after the probe timeout: %d pings and %d ping requests, want 1 and IndirectProbes", pings, requests)
	}
}
