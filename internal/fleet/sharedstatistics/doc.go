// Package sharedstatistics implements the job of the digest lease: it shares the controllers'
// statistics on engines, query classes and table groups, so that a newcomer, a controller that
// starts without statistics of its own, can start with those of the fleet.
//
// The lease holder requests the statistics of a few controllers at a time, merges them
// (internal/core/fleet/digest), and sends the digest to the voters of the quorum, which keep the
// latest one in memory. A newcomer requests the digest from some voters for at most newcomerWindow,
// and serves clients meanwhile.
//
// # Goroutines
//
// The session's goroutine owns the methods of job.Job and most of the state, and never blocks. One
// goroutine at a time reads the controller's own statistics from the daemon's loop in parts (within
// collectTimeout) and leaves them for the next Tick; Job.mu guards the fields that both use. Close
// ends that goroutine and waits for it.
//
// # Loss, bounds and trust
//
// Nothing is stored, and every message may be lost: the holder requests and publishes again at the
// next interval. A digest is an effect with the lease's fencing token, so a voter rejects one from
// a former holder. The statistics that one controller sends are bounded by maxRecords and
// maxSnapshotBytes; the table groups with the least demand are left out first, and a receiver drops
// a larger digest. Requests that arrive while statistics are being read are not answered, nor are
// requests for a digest within digestSendInterval of the last one; a newcomer repeats its request.
//
// Statistics are used only between controllers with the same settings, as the settings define the
// numbers of query classes and machine kinds. Their times refer to the sender's clock and are
// shifted by its difference to the receiver's. A newcomer treats statistics from the digest as
// unconfirmed until its own answers confirm them (internal/core/restore).
package sharedstatistics
