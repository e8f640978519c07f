// Package node is one controller of a fleet: its membership, its part in the quorum, the leases it
// holds, the fencing check of effects it receives, and its replica of the fleet's configuration,
// with the messages in which these reach other controllers. It stands beside the event loop that
// serves clients, which never waits for it.
//
// # Contract
//
// Like all the packages it puts together it has no I/O, no clock and no goroutine. A [Node] belongs
// to one goroutine. In the daemon that is the fleet service's (internal/fleet), with sockets and a
// disk; in simulations a queue of events drives hundreds of nodes in virtual time. Both run the
// same code. After each call the caller takes the [Output] ([Node.Take]) until it is empty, and
// carries it out:
//
//   - Ready: its record is made durable, then passed to [Node.Advance]. Until then nothing that
//     depends on it is in an Output, and Take returns no other Ready or Compaction.
//   - Compaction: the record is made durable, then passed to [Node.Compacted]; earlier records may
//     then be deleted.
//   - TokensRaised: if effects outlive a restart, the tokens of [Node.FencingTokens] must be
//     durable before Effects of the same Output are carried out. The daemon's effects do not: it
//     stores no tokens and learns them again from the quorum's views.
//   - Messages may be sent at once, and may be lost.
//   - Config is explained in package config.
//
// [Node.Tick] is called when [Node.Next] is reached. Times are in ms of a steady clock that only
// the caller reads.
//
// # Leases
//
// A holder sends its renewals to the leader, which gathers them for a while and proposes them
// together; the answer is sent when the quorum has agreed. Operators' commands and releases are
// repeated until they show in the agreed state or their timeout is over. All lists are bounded by
// the constants in config.go.
package node
