package node

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// outsider is a controller outside the quorum a, b, c that knows so many members.
func outsider(t *testing.T, size int) *Node {
	t.Helper()
	seeds := []members.Member{{ID: "a", Addr: "a"}, {ID: "b", Addr: "b"}, {ID: "c", Addr: "c"}}
	n, err := New(Facts{Self: members.Member{ID: "x", Addr: "x", Run: 1}, Seeds: seeds, Founders: []members.ID{"a", "b", "c"},
		Terms: lease.Timing{Duration: 10000}, Pace: members.DefaultConfig(), Seed: 1}, nil, nil, 0)
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

// All controllers of a fleet together ask the voters for their view ten times a second at most, however many there are.
func TestViewInterval(t *testing.T) {
	for _, c := range []struct {
		size        int
		leader      members.ID
		least, most float64 // ms
	}{
		{3, "a", 2500, 7500},
		{50, "a", 2500, 7500},
		{670, "a", 33500, 100500},
		{670, "", 2500, 7500}, // one that knows no leader goes on asking
	} {
		n := outsider(t, c.size)
		n.leader = c.leader
		for range 100 {
			if wait := n.nextView() - n.now; wait < c.least || wait > c.most {
				t.Fatalf("%d members, leader %q: asks after %v ms", c.size, c.leader, wait)
			}
		}
	}
}

// Controllers that began together ask the voters apart from the second round on: no ten seconds see many more requests than
// the mean.
func TestViewsSpread(t *testing.T) {
	const size, bucket, rounds = 670, 10000.0, 8
	n := outsider(t, size)
	n.leader = "a"
	requests := map[int]int{}
	for range size {
		n.now = 0
		for range rounds {
			n.now = n.nextView()
			requests[int(n.now/bucket)]++
		}
	}
	mean := bucket / viewPerMember
	for at := 15; at < 35; at++ { // from the second round to the fifth, all of which have been drawn
		if got := float64(requests[at]); got > 1.4*mean || got < 0.6*mean {
			t.Errorf("%v requests from %v s on, where %v are the mean", got, float64(at)*bucket/1000, mean)
		}
	}
}

// A controller outside the quorum learns of a leader by what rides on membership's messages, and tells it on.
func TestLeaderHint(t *testing.T) {
	n := outsider(t, 3)
	hear := func(id members.ID, term uint64) {
		n.Receive(n.now+1, "m1", &Message{Members: &members.Message{Kind: members.Ping, Seq: 1}, Leader: &LeaderHint{ID: id, Term: term}})
	}
	for _, c := range []struct {
		id   members.ID
		term uint64
		want members.ID
	}{{"a", 5, "a"}, {"b", 4, "a"}, {"", 9, "a"}, {"c", 6, "c"}, {"a", 5, "c"}} {
		n.Take()
		hear(c.id, c.term)
		if n.Leader() != c.want {
			t.Errorf("after %q in term %d: %q leads", c.id, c.term, n.Leader())
		}
		told := false
		for _, s := range n.Take().Sends {
			if s.Message.Members != nil {
				told = s.Message.Leader != nil && s.Message.Leader.ID == c.want
			}
		}
		if !told {
			t.Errorf("after %q in term %d: its answer does not name %q", c.id, c.term, c.want)
		}
	}
}

// viewRequests counts the requests for the quorum's view that a node sends within a time.
func viewRequests(n *Node, long float64) (count int) {
	for end := n.now + long; n.now < end; {
		n.Tick(min(end, max(n.now+1, n.Next())))
		for _, s := range n.Take().Sends {
			if s.Message.ViewRequest != nil {
				count++
			}
		}
	}
	return count
}

// A controller whose view is current asks for it a tenth as often, and soon where something has changed. One that hears
// that it has changed and is answered by a voter that is late asks on as usual.
func TestViewAfterChange(t *testing.T) {
	const usual = viewInterval * (1 + viewJitterShare)
	n := outsider(t, 3)
	n.Take()
	hint := func(changed uint64) {
		n.Receive(n.now+1, "m1", &Message{Members: &members.Message{Kind: members.Ping, Seq: 1}, Leader: &LeaderHint{ID: "a", Term: 2, Changed: changed}})
	}
	answer := func(changed uint64) {
		n.Receive(n.now+1, "a", &Message{View: &View{Leader: "a", Leases: []lease.Lease{{Name: "x", Token: 1}}, Changed: changed}})
	}
	hint(5)
	answer(5)
	if count := viewRequests(n, viewCurrent*viewInterval*(1-viewJitterShare)-2); count > 0 {
		t.Errorf("%d requests for a view that is current", count)
	}
	if count := viewRequests(n, viewCurrent*usual); count == 0 {
		t.Error("a view that is current is never asked for again")
	}
	answer(5)
	hint(6)
	if count := viewRequests(n, viewInterval+2); count == 0 {
		t.Error("not asked for after a change")
	}
	answer(5)
	if count := viewRequests(n, 4*usual); count < 4 {
		t.Errorf("%d requests within four intervals after a late answer", count)
	}
	answer(6)
	hint(4) // an old one, passed on late
	if count := viewRequests(n, usual); count > 0 {
		t.Errorf("%d requests after an old hint", count)
	}
}

// The quorum's view changes with holders and with the leases that there are, not with renewals.
func TestChangedIndex(t *testing.T) {
	d, held := leaderOfTwo(t)
	before := d.node.quorum.ChangedIndex()
	if before == 0 {
		t.Error("no change is told after leases were assigned")
	}
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.advance(1000)
	if now := d.node.quorum.ChangedIndex(); now != before {
		t.Errorf("a renewal changes it from %d to %d", before, now)
	}
	d.receive("h2", Message{Release: &lease.Release{Holder: lease.Holder{ID: "h2", Run: 1}, Grant: held["h2"]}})
	d.advance(10)
	if now := d.node.quorum.ChangedIndex(); now <= before {
		t.Errorf("it stays at %d though a holder has gone", now)
	}
	if hint := d.node.leaderHint(); hint == nil || hint.Changed != d.node.quorum.ChangedIndex() {
		t.Errorf("the hint tells %+v", hint)
	}
}
