// Package node implements one controller of a fleet. It combines the controller's membership, its
// part in the quorum, the leases it holds, the fencing check of effects it receives, and its
// replica of the fleet's configuration, and defines the messages that these exchange with other
// controllers. The event loop that serves clients never waits for it.
//
// # Contract
//
// Like all the packages it combines it has no I/O, no clock and no goroutine. A [Node] belongs to
// one goroutine. In the daemon that is the fleet service's (internal/fleet), which has sockets and
// a disk; in simulations a queue of events drives hundreds of nodes in virtual time. Both run the
// same code. After each call the caller takes the [Output] ([Node.Take]) until it is empty, and
// carries it out:
//
//   - Ready: its record is made durable, then the Ready is passed to [Node.Advance]. Until then no
//     Output has anything that depends on it, and Take returns no other Ready or Compaction.
//   - Compaction: the record is made durable, then passed to [Node.Compacted]; earlier records may
//     then be deleted.
//   - TokensRaised: if effects outlive a restart, the tokens of [Node.FencingTokens] must be
//     durable before Effects of the same Output are carried out. The daemon's effects do not
//     outlive a restart: it stores no tokens and learns them again from the quorum's views.
//   - Messages may be sent at once, and may be lost.
//   - Config is described in package config.
//
// [Node.Tick] is called when [Node.Next] is reached. Times are in ms of a steady clock that only
// the caller reads.
//
// # Leases
//
// A holder sends its renewals to the leader, which collects them for a short time and proposes them
// together; it answers when they are committed and applied. Operators' commands are repeated until
// their effect is part of the replicated state, and releases until they are confirmed, or until
// their timeout ends. All lists are bounded by the constants in config.go.
package node
