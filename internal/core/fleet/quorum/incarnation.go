package quorum

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"

	"mintkeel/internal/core/fleet/members"
)

// Incarnation is a member together with one disk. After its disk was lost, or replaced by an old
// copy, a member continues as another incarnation of the same name.
type Incarnation struct {
	Name members.ID `cbor:"1,keyasint"`
	// Disk is 0 for the first incarnation, a random number for later ones.
	Disk uint64 `cbor:"2,keyasint"`
}

// Number returns the incarnation's ID in the raft library. It is never 0, which the library
// reserves.
func (i Incarnation) Number() uint64 {
	h := fnv.New64a()
	h.Write([]byte(i.Name))
	h.Write(binary.BigEndian.AppendUint64([]byte{0}, i.Disk))
	return cmp.Or(h.Sum64(), 1)
}

// Role is the role of a controller in the quorum.
type Role uint8

// The roles, from a controller that takes no part in the quorum to one with a vote.
const (
	// NonMember takes no part in the quorum.
	NonMember Role = iota
	// Unverified is a member whose disk the others have not vouched for yet. It promises nothing.
	Unverified
	// Joining is a controller that requests to join as a new incarnation.
	Joining
	// Learner is a member that has joined and does not vote until it has caught up.
	Learner
	// Voter is a member with a vote.
	Voter
)

// roleNames are the names of the roles as operators see them.
var roleNames = [...]string{"outside", "doubted", "joining", "learning", "voting"}

// String returns the role's name as operators see it.
func (r Role) String() string { return roleNames[r] }
