// Package quorum is a small group of controllers, the voters, that agrees for the fleet on which controller holds which
// lease. The consensus is a library's state machine (go.etcd.io/raft/v3); this package decides what is agreed on, which
// controllers may vote, and which records have to be durable before a message may be sent. It is free of I/O and clocks:
// its caller passes the time and the messages in, and takes out batches whose record has to be durable before the rest
// of the batch may have any effect. It stands beside the loop.
//
// A member must not vote as itself if its disk lacks anything that it ever promised. It can't detect that alone, because
// an old copy of a folder looks like a good one. So each record has a serial number that rises, each message that depends
// on a record carries that number, and its receiver persists the number before it uses the message. A member that starts
// is doubted: it promises nothing until every other member, and every one that those know of, has answered with the
// highest serial that it received from it.
// If one of them knows a higher serial than the disk holds, this incarnation of the member ends: the member comes back as
// another incarnation, which the others take in as a newcomer, or never.
//
// The files by job: replica.go holds the state machine's entry points, records.go what is persisted, incarnation.go how a
// disk is vouched for, membership.go changes of the voters, raft.go the consensus library, messages.go the wire format.
package quorum

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// Incarnation is a member with one disk: a member that lost its disk, or got an old copy of it back, is another
// incarnation of the same name. Disk is 0 for the first one.
type Incarnation struct {
	Name members.ID `cbor:"1,keyasint"`
	Disk uint64     `cbor:"2,keyasint"`
}

// Number is the incarnation's id in the consensus; it is never 0.
func (i Incarnation) Number() uint64 {
	h := fnv.New64a()
	h.Write([]byte(i.Name))
	h.Write(binary.BigEndian.AppendUint64([]byte{0}, i.Disk))
	return cmp.Or(h.Sum64(), 1)
}

// Role is what a controller is in the quorum.
type Role uint8

// The roles, from a controller that is no member to one that votes.
const (
	Outside  Role = iota // it is no member
	Doubted              // its disk has not been vouched for yet
	Joining              // its former incarnation has ended; it waits to be taken in as another
	Learning             // it has been taken in and does not vote yet
	Voting
)

var roleNames = [...]string{"outside", "doubted", "joining", "learning", "voting"}

// String is the role's name as operators see it.
func (r Role) String() string { return roleNames[r] }

// Intervals and timeouts in ms.
const (
	tickInterval    = 100.0
	electionTimeout = tickInterval * electionTicks // without a leader's message until a voter campaigns, and up to as much more
	askInterval     = 500.0
	joinInterval    = 1000.0
	joinTimeout     = 5 * joinInterval    // after which a request to join that was not repeated is forgotten
	giveUpAsking    = 5000.0              // after which a member that some don't answer asks to join as another incarnation, if the others have a leader
	settleTime      = 2 * electionTimeout // in which a new leader learns which members answer, before it changes them
	stepDownDelay   = 2 * electionTimeout // in which a leader that was taken out goes on to lead
	changeTimeout   = 3000.0              // after which a change of the members that was not agreed on is proposed again
	replaceTimeout  = 600000.0            // after which a replacement that did not come about is forgotten
	outsideInterval = 60000.0             // between two ticks of a controller that is no member
)

// Counts and bounds.
const (
	electionTicks     = 10
	heartbeatTicks    = 3   // between two heartbeats of a leader
	snapshotEntries   = 256 // entries between two snapshots
	maxRetired        = 64  // also bounds the requests to join, the replacements and the askers that are remembered
	maxWaiting        = 256 // messages that wait for the disk
	maxMessageBytes   = 64 << 10
	maxReadyBytes     = 1 << 20
	maxPendingBytes   = 1 << 20 // of proposals that are not agreed on yet
	maxName           = 64      // bytes of a name in a message
	maxInflight       = 64      // messages to one member that it has not acknowledged
	maxEntriesBytes   = 1 << 30 // of entries that are read from the storage at once: all of them
	promotionDistance = 16      // entries that a learner may lack to be given a vote
)

// Facts are what a member is given at its start.
type Facts struct {
	Self     members.ID
	Founders []members.ID // the voters of the operator's file, until others are agreed on
	Run      uint64       // drawn at its start
	Disk     uint64       // drawn too: the next incarnation's, if there has to be one
	Seed     int64
}

// Applied is a command that has been agreed on.
type Applied struct {
	Command lease.Command
	Changed []lease.Name
	By      members.ID // the member that proposed it
	Ref     uint64     // the proposer's number of it
}

// Batch is the next step of the replica: first Record is made durable, if there is one; then Done is called.
type Batch struct {
	Record         *Record
	ready          *raftReady
	marks          map[Incarnation]uint64 // serials of other members that Record makes durable
	received       []*raftMessage         // messages that waited for marks
	newIncarnation bool                   // Record begins a new incarnation and is no part of the consensus
}
