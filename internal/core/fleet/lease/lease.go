package lease

import "mintkeel/internal/core/fleet/members"

// Name is the name of a lease.
type Name string

// Token is a fencing token: it counts the holders that a lease has had, over all generations of the
// fleet.
type Token uint64

// Holder is one run of a controller's process: after a restart it is another holder.
type Holder struct {
	ID  members.ID `cbor:"1,keyasint"`
	Run uint64     `cbor:"2,keyasint"`
}

// Lease is what the quorum has agreed on about one lease. It is encoded by the keys of its fields.
type Lease struct {
	Name  Name  `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
	// Holder is the zero value if nobody holds the lease.
	Holder Holder `cbor:"3,keyasint"`
	// Revision rises with each assignment, renewal and release. An Assign names the one it was
	// decided on.
	Revision uint64 `cbor:"4,keyasint"`
	// Preferred is the next holder by an operator's command; empty: none.
	Preferred members.ID `cbor:"5,keyasint"`
	// Retired: it is no longer declared, and is kept for its fencing token alone.
	Retired bool `cbor:"6,keyasint"`
	// Serial is the version of State.
	Serial uint64 `cbor:"7,keyasint,omitempty"`
	// State is the state that a holder hands on to the next one.
	State []byte `cbor:"8,keyasint,omitempty"`
}

// Held reports whether the lease has a holder.
func (l Lease) Held() bool { return l.Holder.ID != "" }

// Grant is a lease with the fencing token under which it is held.
type Grant struct {
	Name  Name  `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
}

// Bounds on what is agreed on and remembered, whatever is proposed.
const (
	// MaxStateBytes bounds the state that the holders of a lease hand on.
	MaxStateBytes = 128 << 10
	// maxLeases bounds the leases, retired ones among them, of a State, a Client and a FencingCheck.
	maxLeases = 256
	// maxNameBytes bounds the names of leases and of preferred holders.
	maxNameBytes = 64
)
