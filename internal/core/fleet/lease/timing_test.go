package lease

import (
	"testing"
)

// The holder's clock is slow and the leader's is fast, 40% apart. If the holder still acted when
// the leader reassigns the lease, two controllers would act at once.
func TestHolderStopsBeforeReassignmentWithSkewedClocks(t *testing.T) {
	timing := Timing{Duration: 1000}
	const holderRate, leaderRate = 0.82, 1.18
	if timing.HoldTime()/holderRate >= timing.ReassignAfter()/leaderRate {
		t.Errorf("a holder whose clock is slow holds for %.0f, a leader whose clock is fast reassigns after %.0f",
			timing.HoldTime()/holderRate, timing.ReassignAfter()/leaderRate)
	}
	if 3*timing.RenewInterval() >= timing.HoldTime() {
		t.Error("two lost renewals end a lease, want three renew intervals shorter than the hold time")
	}
}
