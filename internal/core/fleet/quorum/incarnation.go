package quorum

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"

	"mintkeel/internal/core/fleet/members"
)

// Incarnation is a member together with one disk. After its disk was lost, or replaced by an old
// copy, a member is another incarnation of the same name.
type Incarnation struct {
	Name members.ID `cbor:"1,keyasint"`
	// Disk is 0 for the first incarnation, a random number for later ones.
	Disk uint64 `cbor:"2,keyasint"`
}

// Number returns the incarnation's ID in the raft library; it is never 0.
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
	// NonMember takes no part in the quorum.
	NonMember Role = iota
	// Unverified is a member with a disk that the others have not vouched for yet. It promises
	// nothing.
	Unverified
	// Joining is a member that requests to be taken in again, as its former incarnation has ended.
	Joining
	// Learner has been taken in and does not vote until it has caught up.
	Learner
	// Voter votes.
	Voter
)

// roleNames are the names that operators see, by role.
var roleNames = [...]string{"outside", "doubted", "joining", "learning", "voting"}

// String returns the role's name as operators see it.
func (r Role) String() string { return roleNames[r] }
