package lease

import (
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// Cases that mutation testing found: in each of them a mutant of the package passed all other
// tests.
func TestCasesFoundByMutationTesting(t *testing.T) {
	timing := Timing{Duration: 1000}
	s := stateWithHolders(a)
	s.Apply(preferredHolder("b"))
	s.Apply(assign("x", 1, b))
	if s.Leases["x"].Preferred != "" {
		t.Error("x has a preferred holder after its assignment to that holder, want none")
	}

	s = stateWithHolders(a)
	manager := NewManager(timing, 0)
	failed := Command{Release: &Release{Holder: a, Grant: Grant{"x", 1}, Failed: true}}
	manager.Applied(100, failed, s.Apply(failed))
	if got := assignments(manager.Decide(101+unconfirmedBackoff, s, candidates("a"))); got != "y:a " {
		t.Errorf("after the backoff of a release, but not of a failure, Decide assigns %q, want y:a alone", got)
	}

	s = &State{} // the candidate with the fewest leases gets the next, whatever the hash says
	s.Apply(declare("p", "q", "r", "s", "t", "u"))
	got := map[members.ID]int{}
	for _, c := range NewManager(timing, 0).Decide(0, s, candidates("a", "b", "c")) {
		got[c.Assign.To.ID]++
	}
	if got["a"] != 2 || got["b"] != 2 || got["c"] != 2 {
		t.Errorf("six leases for three candidates: %v, want two each", got)
	}
	s = &State{} // leases that are held already count too
	s.Apply(declare("p", "q", "r"))
	s.Apply(assign("p", 0, a))
	s.Apply(assign("q", 0, b))
	s.Apply(renew(a, "p", 1))
	if got := assignments(NewManager(timing, 0).Decide(0, s, candidates("a", "b", "c"))); got != "r:c " {
		t.Errorf("a and b hold one lease each: Decide assigns %q, want r:c", got)
	}

	s = &State{} // two holders in turn never renew: the third gets it, not the first again
	s.Apply(declare("p"))
	manager = NewManager(timing, 0)
	assigned := map[members.ID]bool{}
	for i, now := 0, 0.0; i < 3; i, now = i+1, now+1500 {
		for _, c := range manager.Decide(now, s, candidates("a", "b", "c")) {
			if assigned[c.Assign.To.ID] {
				t.Errorf("%s never renewed and is assigned the lease again, want another candidate", c.Assign.To.ID)
			}
			assigned[c.Assign.To.ID] = true
			manager.Applied(now, c, s.Apply(c))
		}
	}
	if len(assigned) != 3 {
		t.Errorf("the lease was assigned to %v, want to all three candidates in turn", assigned)
	}

	client := NewClient(a, timing)
	client.AcceptOffer(0, Grant{"x", 1})
	r := client.Renewal(0)
	client.ConfirmRenewal(1, r.Sequence, r.Grants)
	if n := client.Next(1); n != 200 {
		t.Errorf("Next = %g, want 200, when a renewal is due", n)
	}
	client.renewAt = 900 // later than the end of the lease, which must not be missed
	if n := client.Next(1); n != timing.HoldTime() {
		t.Errorf("Next = %g, want %g, when the grant ends", n, timing.HoldTime())
	}
	client.TakeChanges(1)
	client.AcceptOffer(2, Grant{"x", 2})
	if _, ended := client.TakeChanges(2); len(ended) != 1 || ended[0] != (Grant{"x", 1}) {
		t.Errorf("grants that ended by an offer with a newer token: %v, want x with token 1 alone", ended)
	}
	if held := client.Held(2); held != nil {
		t.Errorf("after an offer with a newer token the client holds %v, want none before a renewal", held)
	}
	if n := NewClient(a, timing).Next(7); n != 1007 {
		t.Errorf("Next of a client that holds nothing = %g, want 1007", n)
	}
	for i := range 10000 {
		client.RenewNow(float64(i))
		client.Renewal(float64(i))
	}
	if len(client.sentAt) > 1100 {
		t.Errorf("the client remembers %d renewals, want at most 1100", len(client.sentAt))
	}
}
