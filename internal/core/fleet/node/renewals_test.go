package node

import (
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// driver has a node run without disk and network: what it has to make durable is so at once.
type driver struct {
	t       *testing.T
	node    *Node
	now     float64 // ms
	records int     // made durable
	sends   []Send
}

func (d *driver) settle() {
	for {
		out := d.node.Take()
		d.sends = append(d.sends, out.Sends...)
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

// advance lets time pass.
func (d *driver) advance(long float64) {
	for end := d.now + long; d.now < end; {
		d.now = min(end, max(d.now+1, d.node.Next()))
		d.node.Tick(d.now)
		d.settle()
	}
}

func (d *driver) receive(from members.ID, m Message) {
	d.node.Receive(d.now, from, &m)
	d.settle()
}

// take hands over what was sent since the last call.
func (d *driver) take() []Send {
	sends := d.sends
	d.sends = nil
	return sends
}

// answers are the answered renewals among what was sent since the last call, by holder.
func (d *driver) answers() map[members.ID]*Granted {
	answers := map[members.ID]*Granted{}
	for _, s := range d.take() {
		if s.Message.Granted != nil {
			answers[s.To] = s.Message.Granted
		}
	}
	return answers
}

// offers counts the offers of leases among what was sent since the last call.
func (d *driver) offers() (count int) {
	for _, s := range d.take() {
		if s.Message.Offer != nil {
			count++
		}
	}
	return count
}

const testLease = 10000.0

// leaderOfTwo is the only voter of a quorum; h1 and h2 hold a lease each and have renewed it once.
func leaderOfTwo(t *testing.T) (d *driver, held map[members.ID]lease.Grant) {
	t.Helper()
	pace := members.DefaultConfig()
	pace.ProbeInterval, pace.SyncInterval = 1e9, 1e9 // nobody answers here
	node, err := New(Facts{Self: members.Member{ID: "a", Addr: "a", Run: 1}, Founders: []members.ID{"a"}, Leases: []lease.Name{"x", "y"},
		Terms: lease.Timing{Duration: testLease}, Pace: pace, Seed: 1}, nil, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	d = &driver{t: t, node: node}
	holders := []members.Member{{ID: "h1", Addr: "h1", Run: 1, Willing: true}, {ID: "h2", Addr: "h2", Run: 1, Willing: true}}
	d.receive("h1", Message{Members: &members.Message{Kind: members.Sync, Updates: holders}})
	held = map[members.ID]lease.Grant{}
	for ; len(held) < 2; d.advance(100) {
		if d.now > testLease {
			t.Fatalf("%d leases are offered", len(held))
		}
		for _, s := range d.take() {
			if s.Message.Offer != nil {
				held[s.To] = s.Message.Offer.Grant
			}
		}
	}
	for id, grant := range held {
		d.receive(id, renewal(id, grant, 1))
		if answer := d.answers()[id]; answer == nil || len(answer.Held) != 1 {
			t.Fatalf("the first renewal of %s is not answered at once: %+v", id, answer)
		}
	}
	return d, held
}

func renewal(id members.ID, grant lease.Grant, sequence uint64) Message {
	return Message{Renew: &lease.Renew{Holder: lease.Holder{ID: id, Run: 1}, Grants: []lease.Grant{grant}, Sequence: sequence}}
}

// Renewals of several holders that come within a while are agreed on together and written once.
func TestRenewalsShareAnAgreement(t *testing.T) {
	d, held := leaderOfTwo(t)
	batch := lease.Timing{Duration: testLease}.RenewalBatchTime()
	d.advance(1000)
	d.take()
	before := d.records
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.advance(batch / 2)
	d.receive("h2", renewal("h2", held["h2"], 2))
	if early := d.answers(); len(early) > 0 || d.records > before {
		t.Fatalf("agreed on before the time: %v, %d records", early, d.records-before)
	}
	d.advance(batch / 2)
	answers := d.answers()
	for _, id := range []members.ID{"h1", "h2"} {
		if a := answers[id]; a == nil || a.Sequence != 2 || len(a.Held) != 1 || len(a.Lost) > 0 {
			t.Errorf("%s is answered %+v", id, a)
		}
	}
	if d.records != before+1 {
		t.Errorf("%d records for two renewals", d.records-before)
	}
}

// A first renewal does not wait, and takes along those that were waiting; a renewal of a grant that is no longer valid is
// answered as lost.
func TestFirstRenewalDoesNotWait(t *testing.T) {
	d, held := leaderOfTwo(t)
	d.advance(1000)
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.receive("h2", Message{Release: &lease.Release{Holder: lease.Holder{ID: "h2", Run: 1}, Grant: held["h2"]}})
	d.take()
	var next lease.Grant
	for next.Token == 0 { // the lease goes to another holder
		if d.advance(10); d.now > testLease {
			t.Fatal("the lease that was given up is not offered")
		}
		for _, s := range d.sends {
			if o := s.Message.Offer; o != nil && o.Grant.Name == held["h2"].Name {
				next = o.Grant
			}
		}
	}
	d.take()
	d.receive("h2", renewal("h2", held["h2"], 3)) // it had crossed the release
	d.receive("h1", Message{Renew: &lease.Renew{Holder: lease.Holder{ID: "h1", Run: 1}, Grants: []lease.Grant{held["h1"], next}, Sequence: 4}})
	answers := d.answers()
	if a := answers["h1"]; a == nil || len(a.Held) != 2 {
		t.Errorf("the first renewal is answered %+v", a)
	}
	if a := answers["h2"]; a == nil || len(a.Lost) != 1 {
		t.Errorf("the renewal of what was given up is answered %+v", a)
	}
}

// A lease that is renewed is not offered again; one that is not renewed for two intervals is, as its holder may have
// dropped it.
func TestOffers(t *testing.T) {
	d, held := leaderOfTwo(t)
	terms := lease.Timing{Duration: testLease}
	d.take()
	for sequence := uint64(2); sequence < 8; sequence++ {
		for id, grant := range held {
			d.receive(id, renewal(id, grant, sequence))
		}
		d.advance(terms.RenewInterval())
	}
	if n := d.offers(); n > 0 {
		t.Errorf("%d offers of leases that are renewed", n)
	}
	d.advance(2 * terms.RenewInterval())
	if n := d.offers(); n < 2 {
		t.Errorf("%d offers of leases that are not renewed any more", n)
	}
}

// Holders whose renewals were gathered by a leader that leads no more are told so, and ask the next one.
func TestRenewalsOfFormerLeader(t *testing.T) {
	d, held := leaderOfTwo(t)
	d.advance(1000)
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.take()
	d.node.quorum = outsider(t, 3).quorum
	d.advance(lease.Timing{Duration: testLease}.RenewalBatchTime())
	for _, s := range d.take() {
		if s.To == "h1" && s.Message.View != nil {
			return
		}
	}
	t.Error("h1 is told nothing")
}

// A lease that is taken out of those declared is given up by its holder; put back, it goes to the same holder within two
// seconds where no other would take it.
func TestLeaseDeclaredAgain(t *testing.T) {
	d, held := leaderOfTwo(t)
	d.receive("h2", Message{Members: &members.Message{Kind: members.Sync, Updates: []members.Member{
		{ID: "h2", Addr: "h2", Run: 1, Incarnation: 1}}}}) // it takes on none from now on
	grant := held["h1"]
	other := held["h2"].Name
	d.node.SetLeases(d.now, []lease.Name{other})
	d.settle()
	d.advance(1000)
	d.receive("h1", renewal("h1", grant, 2))
	d.advance(lease.Timing{Duration: testLease}.RenewalBatchTime())
	if a := d.answers()["h1"]; a == nil || len(a.Yield) != 1 {
		t.Fatalf("the holder of a lease that is no longer declared is answered %+v", a)
	}
	d.receive("h1", Message{Release: &lease.Release{Holder: lease.Holder{ID: "h1", Run: 1}, Grant: grant}})
	d.node.SetLeases(d.now, []lease.Name{"x", "y"})
	d.settle()
	d.advance(2000)
	for _, s := range d.take() {
		if o := s.Message.Offer; s.To == "h1" && o != nil && o.Grant.Name == grant.Name && o.Grant.Token > grant.Token {
			return
		}
	}
	t.Errorf("it has no holder: %+v", d.node.quorum.State().List())
}
