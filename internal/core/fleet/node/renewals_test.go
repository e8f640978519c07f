package node

import (
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// TestRenewalsShareAnAgreement: the renewals of several holders that come within a while are
// proposed together and written once.
func TestRenewalsShareAnAgreement(t *testing.T) {
	d, held := leaderWithTwoHolders(t)
	batch := lease.Timing{Duration: testLease}.RenewalBatchTime()
	d.advance(1000)
	d.takeMessages()
	before := d.records
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.advance(batch / 2)
	d.receive("h2", renewal("h2", held["h2"], 2))
	if early := d.takeRenewResponses(); len(early) > 0 || d.records > before {
		t.Fatalf("agreed on before the time: %v, %d records", early, d.records-before)
	}
	d.advance(batch / 2)
	answers := d.takeRenewResponses()
	for _, id := range []members.ID{"h1", "h2"} {
		if a := answers[id]; a == nil || a.Sequence != 2 || len(a.Valid) != 1 || len(a.Invalid) > 0 {
			t.Errorf("%s is answered %+v", id, a)
		}
	}
	if d.records != before+1 {
		t.Errorf("%d records for two renewals", d.records-before)
	}
}

// A holder may not act before its first renewal is agreed on, so that one does not wait, and takes
// along those that do. A renewal of a grant that is no longer valid is answered as invalid.
func TestFirstRenewalDoesNotWait(t *testing.T) {
	d, held := leaderWithTwoHolders(t)
	d.advance(1000)
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.receive("h2", Message{Release: &lease.Release{Holder: lease.Holder{ID: "h2", Run: 1}, Grant: held["h2"]}})
	d.takeMessages()
	var next lease.Grant
	for next.Token == 0 { // until the lease is offered to another holder
		d.advance(10)
		if d.now > testLease {
			t.Fatal("the released lease is not offered")
		}
		for _, s := range d.messages {
			if o := s.Message.Offer; o != nil && o.Grant.Name == held["h2"].Name {
				next = o.Grant
			}
		}
	}
	d.takeMessages()
	d.receive("h2", renewal("h2", held["h2"], 3)) // sent before the release
	both := renewal("h1", held["h1"], 4)
	both.Renew.Grants = append(both.Renew.Grants, next)
	d.receive("h1", both)
	answers := d.takeRenewResponses()
	if a := answers["h1"]; a == nil || len(a.Valid) != 2 {
		t.Errorf("the first renewal is answered %+v", a)
	}
	if a := answers["h2"]; a == nil || len(a.Invalid) != 1 {
		t.Errorf("the renewal of a released lease is answered %+v", a)
	}
}

// TestOnlyLeasesNotRenewedAreOffered: a lease that is not renewed for two intervals is offered
// again, as its holder may have dropped it.
func TestOnlyLeasesNotRenewedAreOffered(t *testing.T) {
	d, held := leaderWithTwoHolders(t)
	timing := lease.Timing{Duration: testLease}
	d.takeMessages()
	for sequence := uint64(2); sequence < 8; sequence++ {
		for id, grant := range held {
			d.receive(id, renewal(id, grant, sequence))
		}
		d.advance(timing.RenewInterval())
	}
	if n := d.countOffers(); n > 0 {
		t.Errorf("%d offers of leases that are renewed", n)
	}
	d.advance(2 * timing.RenewInterval())
	if n := d.countOffers(); n < 2 {
		t.Errorf("%d offers of leases that are not renewed any more", n)
	}
}

// A leader has gathered renewals and leads no more when they are due. Their holders get its view,
// and send them to the next leader.
func TestFormerLeaderAnswersGatheredRenewals(t *testing.T) {
	d, held := leaderWithTwoHolders(t)
	d.advance(1000)
	d.receive("h1", renewal("h1", held["h1"], 2))
	d.takeMessages()
	d.node.quorum = nonMemberNode(t, 3).quorum
	d.advance(lease.Timing{Duration: testLease}.RenewalBatchTime())
	for _, s := range d.takeMessages() {
		if s.To == "h1" && s.Message.View != nil {
			return
		}
	}
	t.Error("h1 gets no view")
}

// A lease is no longer declared, its holder releases it, and it is declared again. The release must
// not count as that of a member that shuts down: the lease goes to the same holder within two
// seconds if no other would take it.
func TestLeaseDeclaredAgainIsAssignedSoon(t *testing.T) {
	d, held := leaderWithTwoHolders(t)
	unwilling := members.Member{ID: "h2", Addr: "h2", Run: 1, Incarnation: 1}
	sync := &members.Message{Kind: members.Sync, Updates: []members.Member{unwilling}}
	d.receive("h2", Message{Members: sync})
	grant := held["h1"]
	other := held["h2"].Name
	d.node.SetLeases(d.now, []lease.Name{other})
	d.settle()
	d.advance(1000)
	d.receive("h1", renewal("h1", grant, 2))
	d.advance(lease.Timing{Duration: testLease}.RenewalBatchTime())
	if a := d.takeRenewResponses()["h1"]; a == nil || len(a.Yield) != 1 {
		t.Fatalf("the holder of a lease that is no longer declared is answered %+v", a)
	}
	d.receive("h1", Message{Release: &lease.Release{Holder: lease.Holder{ID: "h1", Run: 1}, Grant: grant}})
	d.node.SetLeases(d.now, []lease.Name{"x", "y"})
	d.settle()
	d.advance(2000)
	for _, s := range d.takeMessages() {
		o := s.Message.Offer
		if s.To == "h1" && o != nil && o.Grant.Name == grant.Name && o.Grant.Token > grant.Token {
			return
		}
	}
	t.Errorf("the lease has no holder: %+v", d.node.quorum.State().List())
}
