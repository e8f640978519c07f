package lease

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// candidates returns willing candidates.
func candidates(ids ...members.ID) (list []Candidate) {
	for _, id := range ids {
		list = append(list, Candidate{Holder: Holder{id, 1}, Willing: true})
	}
	return list
}

// assignments returns the assignments of commands as text, "lease:holder ".
func assignments(commands []Command) string {
	text := ""
	for _, c := range commands {
		text += fmt.Sprintf("%s:%s ", c.Assign.Name, c.Assign.To.ID)
	}
	return text
}

// TestManagerAssignsFreeAndExpiredLeases: a lease must be assigned as soon as it is free or
// expired, not before, and not to a member that backs off, is unwilling, or comes after a better
// candidate.
func TestManagerAssignsFreeAndExpiredLeases(t *testing.T) {
	timing := Timing{Duration: 1000}
	s := stateWithHolders(a) // y is free
	manager := NewManager(timing, 0)
	if got := assignments(manager.Decide(0, s, candidates("b"))); got != "y:b " {
		t.Errorf("a free lease: %q", got)
	}
	if got := assignments(manager.Decide(10, s, candidates("b"))); got != "" {
		t.Errorf("while the proposal is pending: %q", got)
	}
	if got := assignments(manager.Decide(proposalTimeout+1, s, candidates("b"))); got != "x:b y:b " {
		t.Errorf("after the proposal was lost and x was not renewed: %q", got)
	}
	manager = NewManager(timing, 0)
	for _, at := range []float64{1, 1499} {
		if got := assignments(manager.Decide(at, s, candidates("b"))); at > 1 && got != "" {
			t.Errorf("%g ms after it became leader: %q", at, got)
		}
	}
	renewed := renew(a, "x", 1)
	manager.Applied(1400, renewed, s.Apply(renewed))
	if got := assignments(manager.Decide(2899, s, candidates("b"))); got != "" {
		t.Errorf("after a renewal: %q", got)
	}
	if got := assignments(manager.Decide(2900, s, candidates("a", "b"))); got != "x:b " {
		t.Errorf("when its lease has expired: %q", got)
	}
	if manager.Next(2000, stateWithHolders()) > 3000 || manager.Next(2000, s) != 2900 {
		t.Error("Next at 2000 is after 3000 with free leases, or not 2900, when x expires")
	}

	manager = NewManager(timing, 0)
	got := assignments(manager.Decide(0, stateWithHolders(), candidates("a", "b")))
	if got != "x:a y:b " && got != "x:b y:a " {
		t.Errorf("two leases and two candidates: %q", got)
	}
	list := candidates("a", "b")
	list[0].Avoid = true
	if got := assignments(NewManager(timing, 0).Decide(0, stateWithHolders(), list)); got != "x:b y:b " {
		t.Errorf("one is to be avoided: %q", got)
	}
	list[1].Willing = false
	if got := assignments(NewManager(timing, 0).Decide(0, stateWithHolders(), list)); got != "x:a y:a " {
		t.Errorf("the other one is not willing: %q", got)
	}
	if got := assignments(NewManager(timing, 0).Decide(0, stateWithHolders(), nil)); got != "" {
		t.Errorf("no candidate: %q", got)
	}

	s = stateWithHolders(a) // a member that failed at a lease does not get it back soon
	manager = NewManager(timing, 0)
	failed := Command{Release: &Release{Holder: a, Grant: Grant{"x", 1}, Failed: true}}
	manager.Applied(100, failed, s.Apply(failed))
	if got := assignments(manager.Decide(101, s, candidates("a"))); got != "y:a " {
		t.Errorf("the only candidate has failed at x: %q", got)
	}
	if got := assignments(manager.Decide(101+failureBackoff, s, candidates("a"))); got != "x:a y:a " {
		t.Errorf("after the backoff: %q", got)
	}

	s = stateWithHolders() // a holder that never renews
	manager = NewManager(timing, 0)
	assignX := assign("x", 0, a)
	manager.Applied(0, assignX, s.Apply(assignX))
	if got := assignments(manager.Decide(1500, s, candidates("a", "b"))[:1]); got != "x:b " {
		t.Errorf("the holder has not renewed: %q", got)
	}

	s = stateWithHolders(a) // an operator's preference
	s.Apply(preferredHolder("c"))
	s.Apply(release(a, "x", 1))
	if got := assignments(NewManager(timing, 0).Decide(0, s, candidates("a", "b", "c"))[:1]); got != "x:c " {
		t.Errorf("c is preferred: %q", got)
	}
	manager = NewManager(timing, 0)
	if got := assignments(manager.Decide(10, s, candidates("a"))); got != "y:a " {
		t.Errorf("c is no candidate: %q", got)
	}
	if got := assignments(manager.Decide(5000, s, candidates("a"))); got != "x:a y:a " {
		t.Errorf("c has not become a candidate: %q", got)
	}
}
