package node

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// nonMemberNode returns a controller x that is no member of the quorum a, b, c and knows the members
// of a fleet of a size.
func nonMemberNode(t *testing.T, size int) *Node {
	t.Helper()
	n, err := New(Config{
		Self:        members.Member{ID: "x", Addr: "x", Run: 1},
		Seeds:       []members.Member{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}},
		Founders:    []members.ID{"a", "b", "c"},
		LeaseTiming: lease.Timing{Duration: 10000},
		Membership:  members.DefaultConfig(),
		Seed:        1,
	}, nil, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var known []members.Member
	for i := 1; i < size; i++ {
		id := fmt.Sprint("m", i)
		known = append(known, members.Member{ID: members.ID(id), Addr: id, Run: 1})
	}
	for len(known) > 0 {
		part := known[:min(len(known), 100)]
		known = known[len(part):]
		n.Receive(1, "a", &Message{Members: &members.Message{Kind: members.Sync, Updates: part}})
	}
	n.Take()
	return n
}

// pingWithHint returns a ping that carries a leader hint.
func pingWithHint(hint LeaderHint) *Message {
	return &Message{Members: &members.Message{Kind: members.Ping, Seq: 1}, Leader: &hint}
}

// viewRequests counts the requests for the quorum's view that a node sends within a duration.
func viewRequests(n *Node, duration float64) (count int) {
	for end := n.now + duration; n.now < end; {
		n.Tick(min(end, max(n.now+1, n.Next())))
		for _, s := range n.Take().Messages {
			if s.Message.ViewRequest != nil {
				count++
			}
		}
	}
	return count
}

// If each of hundreds of controllers requested the view every few seconds, the voters could not
// answer all of them. The whole fleet must send at most ten requests a second.
func TestViewIntervalGrowsWithFleet(t *testing.T) {
	for _, c := range []struct {
		size        int
		leader      members.ID
		least, most float64 // ms
	}{
		{3, "a", 2500, 7500},
		{50, "a", 2500, 7500},
		{670, "a", 33500, 100500},
		{670, "", 2500, 7500}, // a controller that knows no leader must not wait long for one
	} {
		n := nonMemberNode(t, c.size)
		n.leader.id = c.leader
		for range 100 {
			if wait := n.nextViewRequestAt() - n.now; wait < c.least || wait > c.most {
				t.Fatalf("%d members, leader %q: the next request is due in %v ms, want it within the range of the case", c.size, c.leader, wait)
			}
		}
	}
}

// Controllers that start together request the view together at first. From the second round on their
// requests must be spread over time, so that each ten seconds have about the mean number.
func TestViewRequestsSpreadOverTime(t *testing.T) {
	const size, bucket, rounds = 670, 10000.0, 8
	n := nonMemberNode(t, size)
	n.leader.id = "a"
	requests := map[int]int{}
	for range size {
		n.now = 0
		for range rounds {
			n.now = n.nextViewRequestAt()
			requests[int(n.now/bucket)]++
		}
	}
	mean := bucket / viewIntervalPerMember
	for at := 15; at < 35; at++ { // from the second round to the fifth
		if got := float64(requests[at]); got > 1.4*mean || got < 0.6*mean {
			t.Errorf("%v requests in the ten seconds from %v s on, want within 40%% of the mean of %v",
				got, float64(at)*bucket/1000, mean)
		}
	}
}

// TestLeaderHintSpreadsByGossip: a controller that is no member must learn the leader from membership
// messages and pass it on, and must ignore hints of lower terms or without a leader.
func TestLeaderHintSpreadsByGossip(t *testing.T) {
	n := nonMemberNode(t, 3)
	receiveHint := func(id members.ID, term uint64) {
		n.Receive(n.now+1, "m1", pingWithHint(LeaderHint{ID: id, Term: term}))
	}
	for _, c := range []struct {
		id   members.ID
		term uint64
		want members.ID
	}{
		{"a", 5, "a"},
		{"b", 4, "a"},
		{"", 9, "a"},
		{"c", 6, "c"},
		{"a", 5, "c"},
	} {
		n.Take()
		receiveHint(c.id, c.term)
		if n.Leader() != c.want {
			t.Errorf("after a hint of %q in term %d the leader is %q, want that of the case", c.id, c.term, n.Leader())
		}
		passedOn := false
		for _, s := range n.Take().Messages {
			if s.Message.Members != nil {
				passedOn = s.Message.Leader != nil && s.Message.Leader.ID == c.want
			}
		}
		if !passedOn {
			t.Errorf("the answer to a hint of %q in term %d does not name %q as leader, want it named", c.id, c.term, c.want)
		}
	}
}

// A controller whose view is current must request it a tenth as often, and soon after a change. If a
// voter that lags behind answers it after a change, it must continue at the usual interval, or it
// would keep an old view for long.
func TestViewIsRequestedAfterChange(t *testing.T) {
	const usual = viewInterval * (1 + viewJitterShare)
	n := nonMemberNode(t, 3)
	n.Take()
	hint := func(changed uint64) {
		n.Receive(n.now+1, "m1", pingWithHint(LeaderHint{ID: "a", Term: 2, Changed: changed}))
	}
	answer := func(changed uint64) {
		leases := []lease.Lease{{Name: "x", Token: 1}}
		n.Receive(n.now+1, "a", &Message{View: &View{Leader: "a", Leases: leases, Changed: changed}})
	}
	hint(5)
	answer(5)
	if count := viewRequests(n, currentViewFactor*viewInterval*(1-viewJitterShare)-2); count > 0 {
		t.Errorf("%d requests within the shortest interval of a current view, want none", count)
	}
	if count := viewRequests(n, currentViewFactor*usual); count == 0 {
		t.Error("no request within the longest interval of a current view, want at least one")
	}
	answer(5)
	hint(6)
	if count := viewRequests(n, viewInterval+2); count == 0 {
		t.Error("no request within the usual interval after a change, want at least one")
	}
	answer(5)
	if count := viewRequests(n, 4*usual); count < 4 {
		t.Errorf("%d requests within four usual intervals after an outdated answer, want at least 4", count)
	}
	answer(6)
	hint(4) // an outdated hint
	if count := viewRequests(n, usual); count > 0 {
		t.Errorf("%d requests after an outdated hint, want none", count)
	}
}

// Renewals must not count as changes of the quorum's view, or all controllers would request it all
// the time. Changes of holders must.
func TestRenewalsDoNotChangeView(t *testing.T) {
	d, held := leaderWithTwoHolders(t)
	before := d.node.quorum.ChangedIndex()
	if before == 0 {
		t.Error("the changed index is 0 after leases were assigned, want it above 0")
	}
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.advance(1000)
	if now := d.node.quorum.ChangedIndex(); now != before {
		t.Errorf("a renewal changes the changed index from %d to %d, want it unchanged", before, now)
	}
	d.receive("h2", Message{Release: &lease.Release{Holder: lease.Holder{ID: "h2", Run: 1}, Grant: held["h2"]}})
	d.advance(10)
	if now := d.node.quorum.ChangedIndex(); now <= before {
		t.Errorf("the changed index is still %d after a release, want it higher", now)
	}
	if hint := d.node.leaderHint(); hint == nil || hint.Changed != d.node.quorum.ChangedIndex() {
		t.Errorf("the leader hint is %+v, want one with the quorum's changed index", hint)
	}
}
