// Package lease decides which controller of a fleet runs each job that exactly one of them may run
// at a time. It stands beside the event loop that serves clients, which never asks it.
//
// A lease has one holder and one fencing token that only rises. By its clock a holder stops, and
// the leader assigns the lease to another controller. Clocks never decide which of two holders is
// right: the fencing token does, which every receiver that keeps an effect checks.
//
// The package has no I/O, no clock and no goroutine. Its parts share types, and each belongs to the
// goroutine of its caller (package node):
//
//   - [State] is what the quorum agrees on. Each voter applies the same [Command]s in the order of
//     the log, and gets the same State. It is part of the quorum's snapshots.
//   - [Manager] is the leader's: it measures the leases by the leader's clock and proposes
//     assignments. It is not stored; a new leader makes a new one.
//   - [Client] is a holder's: it requests renewals and knows until when the holder may begin an
//     effect. It is not stored: a controller that restarts is another [Holder], and holds nothing.
//   - [FencingCheck] is the receiver's. Where effects outlive a restart, a token that Admit reports
//     as new must be durable before the effect is.
//
// Times are in ms of the caller's steady clock; two controllers' times are never compared. What a
// peer can make the parts hold is bounded by the constants of this package.
package lease
