package node

import (
	"testing"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// TestRenewalsShareAnAgreement: the renewals of several holders within the batch time must be
// proposed together and written as one record, or each would cost messages and a write on all voters.
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
		t.Fatalf("before the end of the batch time: answers %v and %d records, want none", early, d.records-before)
	}
	d.advance(batch / 2)
	answers := d.takeRenewResponses()
	for _, id := range []members.ID{"h1", "h2"} {
		if a := answers[id]; a == nil || a.Sequence != 2 || len(a.Valid) != 1 || len(a.Invalid) > 0 {
			t.Errorf("%s is answered %+v, want sequence 2, one valid grant and none invalid", id, a)
		}
	}
	if d.records != before+1 {
		t.Errorf("%d records for two renewals, want 1", d.records-before)
	}
}

// A holder may not act before its first renewal is confirmed, so that renewal must be proposed at
// once, together with those that wait. A renewal of a grant that is no longer valid must be answered
// as invalid.
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
			t.Fatal("the released lease is not offered within a lease's duration, want an offer")
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
		t.Errorf("the first renewal is answered %+v, want two valid grants", a)
	}
	if a := answers["h2"]; a == nil || len(a.Invalid) != 1 {
		t.Errorf("the renewal of a released lease is answered %+v, want one invalid grant", a)
	}
}

// TestOnlyLeasesNotRenewedAreOffered: a lease that was not renewed for two intervals must be offered
// again, as its holder may have dropped it. One that is renewed must not be.
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
		t.Errorf("%d offers of leases that are renewed, want none", n)
	}
	d.advance(2 * timing.RenewInterval())
	if n := d.countOffers(); n < 2 {
		t.Errorf("%d offers of two leases that are no longer renewed, want at least 2", n)
	}
}

// A leader holds a batch of renewals and no longer leads when the batch is due. It must send their
// holders its view, so that they renew with the next leader.
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
	t.Error("h1, whose renewal was not proposed, gets no view, want one")
}

// A lease is no longer declared, its holder releases it, and it is declared again. The release must
// not count as that of a member that shuts down: the lease must be assigned to the same holder
// within two seconds if no other member is willing.
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
		t.Fatalf("the holder of a lease that is no longer declared is answered %+v, want one lease to yield", a)
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
	t.Errorf("h1 was not offered the lease again within 2 s, want an offer with a new token; the leases are %+v",
		d.node.quorum.State().List())
}
