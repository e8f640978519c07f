package lease

import "mintkeel/internal/core/fleet/members"

// Name is the name of a lease.
type Name string

// Token is a fencing token: it counts the holders that a lease has had, over all generations of the
// fleet.
type Token uint64

// Holder identifies one run of a controller's process: after a restart it is another holder.
type Holder struct {
	ID  members.ID `cbor:"1,keyasint"`
	Run uint64     `cbor:"2,keyasint"`
}

// Lease is the replicated state of one lease. It is encoded by the keys of its fields.
type Lease struct {
	Name  Name  `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
	// Holder is the zero value if nobody holds the lease.
	Holder Holder `cbor:"3,keyasint"`
	// Revision rises with each assignment, renewal and release. An Assign names the revision that
	// the leader's decision was based on.
	Revision uint64 `cbor:"4,keyasint"`
	// Preferred is the next holder that an operator asked for; empty: none.
	Preferred members.ID `cbor:"5,keyasint"`
	// Retired is set if the lease is no longer declared; it is kept only for its fencing token.
	Retired bool `cbor:"6,keyasint"`
	// Serial is the version of State.
	Serial uint64 `cbor:"7,keyasint,omitempty"`
	// State is the job's state, which a holder stores for the next holder.
	State []byte `cbor:"8,keyasint,omitempty"`
}

// Held reports whether the lease has a holder.
func (l Lease) Held() bool { return l.Holder.ID != "" }

// Grant is a lease with the fencing token under which it is held.
type Grant struct {
	Name  Name  `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
}

// Limits on leases and their state, whatever a peer proposes or sends.
const (
	// MaxStateBytes bounds the job's state that a holder stores with its lease.
	MaxStateBytes = 128 << 10
	// maxLeases bounds the leases, including retired ones, of a State, a Client and a FencingCheck.
	maxLeases = 256
	// maxNameBytes bounds the names of leases and of preferred holders.
	maxNameBytes = 64
)
