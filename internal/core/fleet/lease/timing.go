package lease

// Timing holds the duration of leases, from which all other times follow. All controllers of a
// fleet must use the same.
type Timing struct {
	// Duration of a lease in ms. It must be above 0: with 0 no holder may ever act.
	Duration float64
}

// Times as shares of a lease's duration.
//
// A holder stops holdShare after it sent the last confirmed renewal; the leader assigns the lease
// to another holder reassignShare after that renewal was applied, which is later. The margin
// between the two covers clocks that differ in rate by 40%, or a pause of half a lease between a
// holder's check of its clock and the end of the effect it then began. If a holder exceeds the
// margin, two controllers act at once, and receivers reject the older fencing token.
const (
	holdShare         = 0.7  // see HoldTime
	reassignShare     = 1.5  // see ReassignAfter
	renewShare        = 0.2  // see RenewInterval
	renewalBatchShare = 0.05 // see RenewalBatchTime
)

// HoldTime returns how long after sending a renewal a holder may begin an effect, in ms.
func (t Timing) HoldTime() float64 { return holdShare * t.Duration }

// ReassignAfter returns how long after the last applied renewal the leader assigns a lease to
// another holder, in ms.
func (t Timing) ReassignAfter() float64 { return reassignShare * t.Duration }

// RenewalBatchTime returns how long the leader may delay renewals to propose them together, in ms.
func (t Timing) RenewalBatchTime() float64 { return renewalBatchShare * t.Duration }

// RenewInterval returns the time between a holder's renewals, in ms.
func (t Timing) RenewInterval() float64 { return renewShare * t.Duration }

// The leader's backoffs and timeouts in ms.
const (
	// failureBackoff is how long a member that could not run a lease's job is not assigned the lease.
	failureBackoff = 60000.0
	// unconfirmedBackoff is how long a member that was assigned a lease and never renewed it, or that
	// released it, is not assigned it again.
	unconfirmedBackoff = 15000.0
	// proposalTimeout is the time after which an assignment that was not committed is proposed again.
	proposalTimeout = 3000.0
	// preferredWait is the longest time that a free lease waits for the member that an operator
	// prefers.
	preferredWait = 60000.0
)
