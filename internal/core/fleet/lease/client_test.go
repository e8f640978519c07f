package lease

import (
	"fmt"
	"testing"
)

// TestClientActsOnlyOnConfirmedRenewals: an offer, an answer that was not asked for, one of another
// token and one that comes too late never let a holder act.
func TestClientActsOnlyOnConfirmedRenewals(t *testing.T) {
	timing := Timing{Duration: 1000}
	client := NewClient(a, timing)
	canAct := func(now float64) bool {
		_, _, ok := client.CanAct(now, "x")
		return ok
	}
	if client.Renewal(0) != nil || client.Release("x", false) != nil {
		t.Error("a new client holds something")
	}
	client.AcceptOffer(100, Grant{"x", 3})
	if canAct(100) {
		t.Error("it acts on an offer alone")
	}
	r := client.Renewal(100)
	if r == nil || client.Renewal(101) != nil || client.Next(101) != 300 {
		t.Fatal("renewals are due too often, or none is")
	}
	client.ConfirmRenewal(500, r.Sequence+1, r.Grants) // an answer to no renewal
	if canAct(500) {
		t.Error("it acts on an answer that it did not ask for")
	}
	client.ConfirmRenewal(500, r.Sequence, []Grant{{"x", 2}})
	if canAct(500) {
		t.Error("it acts under another token")
	}
	r = client.Renewal(500)
	client.ConfirmRenewal(900, r.Sequence, r.Grants)
	if !canAct(900) || !canAct(1199) || canAct(1200) {
		t.Error("it may act from the answer until 0.7 leases after it sent the renewal")
	}
	if began, _ := client.TakeChanges(900); len(began) != 1 || began[0] != (Grant{"x", 3}) {
		t.Errorf("began %v", began)
	}
	client.ConfirmRenewal(1000, r.Sequence, r.Grants) // a duplicate
	if canAct(1200) {
		t.Error("one answer counts twice")
	}
	client.AcceptOffer(1000, Grant{"x", 2})
	if !canAct(1000) {
		t.Error("an old offer ends the lease")
	}
	if _, ended := client.TakeChanges(1200); len(ended) != 1 || client.Renewal(1300) != nil {
		t.Errorf("ended %v", ended)
	}
	client.AcceptOffer(2000, Grant{"x", 4})
	r = client.Renewal(2000)
	client.ConfirmRenewal(2800, r.Sequence, r.Grants) // too late
	if began, _ := client.TakeChanges(2800); canAct(2800) || began != nil {
		t.Error("it begins on an answer that came after the hold time")
	}
	r = client.Renewal(2800)
	client.ConfirmRenewal(2801, r.Sequence, r.Grants)
	release := client.Release("x", true)
	if release == nil || !release.Failed || release.Grant != (Grant{"x", 4}) || canAct(2802) {
		t.Error("released and still held")
	}
	client.AcceptOffer(3000, Grant{"x", 6})
	r = client.Renewal(3000)
	client.ConfirmRenewal(3000, r.Sequence, r.Grants)
	client.Revoke(Grant{"x", 5})
	if !canAct(3000) {
		t.Error("the revocation of an old grant ends the lease")
	}
	client.Revoke(Grant{"x", 6})
	if canAct(3000) {
		t.Error("revoked and still held")
	}
	for i := range 2 * maxLeases {
		client.AcceptOffer(4000, Grant{Name(fmt.Sprint(i)), 1})
	}
	if r := client.Renewal(4000); len(r.Grants) > maxLeases {
		t.Errorf("%d grants", len(r.Grants))
	}
}
