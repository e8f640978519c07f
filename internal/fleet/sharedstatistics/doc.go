// Package sharedstatistics shares what controllers have learned of engines, query classes and table
// groups, so that one that starts with no statistics of its own can begin with those of the fleet:
// the job of the digest lease.
//
// The lease holder asks a few controllers at a time for their statistics, merges what they send
// (internal/core/fleet/digest), and sends the digest to the voters of the quorum, which keep the
// latest in memory. A controller that starts without statistics asks some voters for it, for
// newcomerWindow at most, and serves meanwhile.
//
// # Goroutines
//
// The methods of job.Job and most state belong to the session's goroutine and never wait. One
// goroutine at a time takes the controller's own statistics out of the loop, a part after another
// (within collectTimeout), and leaves them for the next Tick; the job's mutex guards what both use.
// Close ends it and waits.
//
// # Loss, bounds and trust
//
// Nothing is stored, and every message may be lost: the holder asks and publishes again at the next
// interval. A digest is an effect with the lease's fencing token, so a voter drops that of a former
// holder. What one controller sends is bounded by maxRecords and maxSnapshotBytes, of which the
// table groups with the least demand are left out; a larger digest is dropped by the receiver. A
// request that comes while statistics are being taken out is not answered, nor one for a digest
// within digestSendInterval of the last: a newcomer asks again.
//
// Statistics count only among controllers with the same settings, as the numbers of classes and
// machine kinds are theirs. Their times are of the sender's clock, and are shifted by the
// difference to the receiver's. What a newcomer takes over is unconfirmed until answers of its own
// confirm it (internal/core/restore).
package sharedstatistics
