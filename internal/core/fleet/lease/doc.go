// Package lease decides which controller of a fleet runs each job that exactly one of them may run
// at a time. The event loop that serves clients does not depend on it.
//
// A lease has at most one holder, and a fencing token that only rises. A holder that cannot renew
// stops acting after a time by its own clock; later the leader, by its clock, assigns the lease to
// another controller. If the two clocks drift too far apart, two controllers act at once: safety
// rests not on clocks but on the fencing token, which every receiver that keeps an effect checks.
//
// The package has no I/O, no clock and no goroutine. Its types are used by package node, each from
// the goroutine of its caller:
//
//   - [State] is the replicated state. Each voter applies the same [Command]s in the order of the
//     log, and gets the same State. It is part of the quorum's snapshots.
//   - [Manager] runs on the leader: it measures the leases by the leader's clock and proposes
//     assignments. It is not stored; a new leader creates a new one.
//   - [Client] runs on a holder: it requests renewals and tracks until when the holder may begin an
//     effect. It is not stored: a controller that restarts is another [Holder], and holds nothing.
//   - [FencingCheck] runs on the receiver of effects. Where effects outlive a restart, a token that
//     Admit reports as new must be durable before the effect is.
//
// Times are in ms of the caller's steady clock; two controllers' times are never compared. The
// constants of this package bound the memory that a peer can make these types use.
package lease
