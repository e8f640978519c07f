// Package quorum implements the fleet's consensus: a small group of controllers, the voters, agrees
// on which controller holds which lease and on the versions of the fleet's configuration. The event
// loop that serves clients does not depend on it.
//
// The consensus algorithm is the state machine of go.etcd.io/raft/v3. This package defines the
// replicated state, decides which controllers may vote, and which records must be durable before a
// message may be sent.
//
// # Contract
//
// The package has no I/O, no clock and no goroutine. A [Replica] belongs to one goroutine, that of
// its caller (package node), which passes in the time and the messages of authenticated members,
// and
//
//   - takes a [Ready] and makes its Record durable, if it has one. Nothing else of the Ready may
//     take effect before that: a message sent earlier could promise a vote or an entry that a crash
//     then loses. After that the caller passes the Ready to [Replica.Advance]. Only one Ready is
//     pending at a time.
//   - takes the messages to send ([Replica.TakeMessages]) and the commands that were committed and
//     applied ([Replica.TakeApplied]). Both may be used at once: what they depend on is durable.
//   - takes a record that replaces all earlier ones ([Replica.Compact]) when the log has grown
//     long, makes it durable while no Ready is pending, and passes it to [Replica.Compacted].
//   - calls [Replica.Tick] when [Replica.Next] is reached.
//
// Messages may be lost, duplicated and reordered. The constants in config.go bound all queues and
// all that is stored about peers.
//
// # Lost and restored disks
//
// Raft is safe only if a member's disk holds all that the member ever promised. A member can't
// detect by itself that its disk does not, because an old copy of a folder looks like a good one.
// Therefore each record has a rising serial number, each message that depends on a record carries
// the record's serial, and the receiver persists the serial before it uses the message. A member
// that starts is [Unverified]: it promises nothing until all other members, and all that those know
// of, have answered with the highest serial that they received from it. If one of them knows a
// higher serial than the disk holds, this incarnation of the member ends. The member may then only
// join again as another [Incarnation], which the others add as a learner.
//
// # Files
//
// replica.go has the replica and its queries, ready.go the cycle of Ready and Advance, propose.go
// proposals, consensus.go the use of the raft library and the application of entries, messages.go
// the wire format, records.go the stored records, storage.go and snapshot.go the state that is
// replayed from them, verification.go the verification of a disk, incarnation.go and join.go the
// return of a member as another incarnation, members.go the replicated list of members, and
// membership.go the changes of members that a leader carries out.
package quorum
