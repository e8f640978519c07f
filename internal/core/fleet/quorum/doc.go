// Package quorum is the fleet's consensus: a small group of controllers, the voters, agrees on
// which controller holds which lease and on the versions of the fleet's configuration. It stands
// beside the event loop that serves clients, which never asks it.
//
// The consensus itself is the state machine of go.etcd.io/raft/v3. This package decides what is
// agreed on, which controllers may vote, and which records must be durable before a message may be
// sent.
//
// # Contract
//
// The package has no I/O, no clock and no goroutine. A [Replica] belongs to one goroutine, that of
// its caller (package node), which passes in the time and the messages of authenticated members,
// and
//
//   - takes a [Ready] and makes its Record durable, if it has one. Nothing else of the Ready may
//     have an effect before: a message sent earlier could promise a vote or an entry that a crash
//     then loses. After that the caller passes the Ready to [Replica.Advance]. Only one Ready is
//     pending at a time.
//   - takes the messages to be sent ([Replica.TakeMessages]) and the commands that were agreed on
//     ([Replica.TakeApplied]). Both may be used at once: what they depend on is durable.
//   - takes a record that replaces all earlier ones ([Replica.Compact]) when the log has grown
//     long, makes it durable while no Ready is pending, and passes it to [Replica.Compacted].
//   - calls [Replica.Tick] when [Replica.Next] is reached.
//
// Messages may be lost, duplicated and reordered. All queues and what is remembered of peers are
// bounded by the constants in config.go.
//
// # Lost and restored disks
//
// Raft is safe only if a member's disk holds all that it ever promised. A member can't detect alone
// that it doesn't, because an old copy of a folder looks like a good one. So each record has a
// serial number that rises, each message that depends on a record carries its serial, and the
// receiver persists the serial before it uses the message. A member that starts is [Unverified]: it
// promises nothing until all other members, and all that those know of, have answered with the
// highest serial that they received from it. If one of them knows a higher serial than the disk
// holds, this incarnation of the member ends. It comes back as another [Incarnation], which the
// others take in as a learner, or not at all.
//
// # Files
//
// replica.go has the replica and its queries, ready.go the cycle of Ready and Advance, propose.go
// proposals, consensus.go the raft library and entries, messages.go the wire format, records.go the
// stored records, storage.go and snapshot.go what is replayed from them, verification.go how a disk
// is verified, incarnation.go and join.go how a member comes back as another incarnation,
// members.go the agreed members, membership.go the changes of members that a leader carries out.
package quorum
