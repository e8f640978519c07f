// Package members maintains one controller's view of the fleet's membership: SWIM failure detection
// with suspicion and incarnations, Lifeguard's local health awareness, gossip dissemination, and
// anti-entropy. The event loop that serves clients does not depend on it.
//
// The package has no I/O, no clock and no goroutine. A [Table] belongs to one goroutine, that of
// the controller's fleet service (or of a simulation), which
//
//   - calls [Table.Receive] for each message, with the sender that the transport has authenticated;
//   - calls [Table.Tick] when [Table.Next] is reached;
//   - then takes the outputs with [Table.TakeMessages] and [Table.TakeChanges].
//
// Times are in ms of a clock that only the caller reads. Random numbers are generated from the seed
// given to [New], so the same inputs give the same messages.
//
// Nothing has to be durable: a restarted controller draws a new Run at random, begins at
// incarnation 0 and refutes what the others still gossip about its former run. Messages may be
// lost, duplicated and reordered.
//
// The states [Suspect] and [Dead] are this controller's belief. They never decide which controller
// may act: that is decided by the fencing token of a lease (package lease).
//
// [Config] bounds the memory that a peer can make a Table use: the number of members, of relayed
// pings, and of members in a message.
//
// The files are divided by concern: probe.go (failure detection by direct and indirect pings),
// relays.go (pings on behalf of others), suspicion.go (timeouts of suspects), merge.go (which
// update overrides which, refutation), gossip.go and updates.go (dissemination), sync.go
// (anti-entropy), overlay.go (which members are probed), reconnect.go (dead members), index.go
// (sorted lists).
package members
