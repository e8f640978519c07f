package lease

import (
	"fmt"
	"testing"
)

// TestClientActsOnlyOnConfirmedRenewals: a holder must not act on an offer alone, on an answer to
// no renewal of its own, on an answer for another token, or on one that comes after the hold time.
func TestClientActsOnlyOnConfirmedRenewals(t *testing.T) {
	timing := Timing{Duration: 1000}
	client := NewClient(a, timing)
	canAct := func(now float64) bool {
		_, _, ok := client.CanAct(now, "x")
		return ok
	}
	if client.Renewal(0) != nil || client.Release("x", false) != nil {
		t.Error("a new client renews or releases a lease, want neither")
	}
	client.AcceptOffer(100, Grant{"x", 3})
	if canAct(100) {
		t.Error("the client can act on an offer alone, want not before a confirmed renewal")
	}
	r := client.Renewal(100)
	if r == nil || client.Renewal(101) != nil || client.Next(101) != 300 {
		t.Fatal("no renewal is due at 100, or another one before 300, want one at 100 and the next at 300")
	}
	client.ConfirmRenewal(500, r.Sequence+1, r.Grants) // an answer to no renewal
	if canAct(500) {
		t.Error("the client can act on an answer to a renewal that it did not send")
	}
	client.ConfirmRenewal(500, r.Sequence, []Grant{{"x", 2}})
	if canAct(500) {
		t.Error("the client can act on a confirmation of token 2, but was offered token 3")
	}
	r = client.Renewal(500)
	client.ConfirmRenewal(900, r.Sequence, r.Grants)
	if !canAct(900) || !canAct(1199) || canAct(1200) {
		t.Error("the client can't act from 900 to 1199, or can at 1200, want it able until 0.7 leases after it sent the renewal")
	}
	if began, _ := client.TakeChanges(900); len(began) != 1 || began[0] != (Grant{"x", 3}) {
		t.Errorf("grants that began: %v, want x with token 3 alone", began)
	}
	client.ConfirmRenewal(1000, r.Sequence, r.Grants) // a duplicate
	if canAct(1200) {
		t.Error("a duplicate answer extends the hold time")
	}
	client.AcceptOffer(1000, Grant{"x", 2})
	if !canAct(1000) {
		t.Error("an offer with an older token ends the lease")
	}
	if _, ended := client.TakeChanges(1200); len(ended) != 1 || client.Renewal(1300) != nil {
		t.Errorf("grants that ended by 1200: %v, want one, and no renewal after it", ended)
	}
	client.AcceptOffer(2000, Grant{"x", 4})
	r = client.Renewal(2000)
	client.ConfirmRenewal(2800, r.Sequence, r.Grants) // too late
	if began, _ := client.TakeChanges(2800); canAct(2800) || began != nil {
		t.Error("a grant begins on an answer that came after the hold time, want none")
	}
	r = client.Renewal(2800)
	client.ConfirmRenewal(2801, r.Sequence, r.Grants)
	release := client.Release("x", true)
	if release == nil || !release.Failed || release.Grant != (Grant{"x", 4}) || canAct(2802) {
		t.Error("no failed release of x with token 4, or the client can act after it, want the release and no action")
	}
	client.AcceptOffer(3000, Grant{"x", 6})
	r = client.Renewal(3000)
	client.ConfirmRenewal(3000, r.Sequence, r.Grants)
	client.Revoke(Grant{"x", 5})
	if !canAct(3000) {
		t.Error("the revocation of an older token ends the lease")
	}
	client.Revoke(Grant{"x", 6})
	if canAct(3000) {
		t.Error("the client can act on a revoked grant")
	}
	for i := range 2 * maxLeases {
		client.AcceptOffer(4000, Grant{Name(fmt.Sprint(i)), 1})
	}
	if r := client.Renewal(4000); len(r.Grants) > maxLeases {
		t.Errorf("a renewal has %d grants, want at most maxLeases", len(r.Grants))
	}
}
