// Package lease decides which controller of a fleet does what exactly one of them may do at a time. It is free of I/O and
// clocks, in parts that share types: State is what the quorum agrees on, the same on each voter; Manager is what the
// quorum's leader concludes from the passing of time; Client is what a holder may still do; FencingCheck is what the
// receivers of a lease's effects refuse. It stands beside the loop.
//
// A lease has one holder and one fencing token that only rises. Clocks tell a holder when to stop and the leader when to
// assign a lease to another; they never decide which holder is right. That is the fencing token, which each receiver
// that keeps an effect checks.
package lease

import "mintkeel/internal/core/fleet/members"

// Name is the name of a lease.
type Name string

// Token is a fencing token: it counts the holders that a lease has had, over all generations of the fleet.
type Token uint64

// Holder is one incarnation of a controller: after a restart it is another.
type Holder struct {
	ID  members.ID `cbor:"1,keyasint"`
	Run uint64     `cbor:"2,keyasint"`
}

// Lease is what is agreed of one lease.
type Lease struct {
	Name      Name       `cbor:"1,keyasint"`
	Token     Token      `cbor:"2,keyasint"`
	Holder    Holder     `cbor:"3,keyasint"` // empty: none
	Renewal   uint64     `cbor:"4,keyasint"` // rises with each change and each renewal
	Preferred members.ID `cbor:"5,keyasint"` // the next holder by an operator's command
	Retired   bool       `cbor:"6,keyasint"` // no longer declared; kept for its fencing token
	Serial    uint64     `cbor:"7,keyasint,omitempty"`
	State     []byte     `cbor:"8,keyasint,omitempty"` // what its holders hand on
}

// Held tells whether the lease has a holder.
func (l Lease) Held() bool { return l.Holder.ID != "" }

// Grant is a lease with the fencing token under which it is held.
type Grant struct {
	Name  Name  `cbor:"1,keyasint"`
	Token Token `cbor:"2,keyasint"`
}

// Bounds on what is agreed, whatever is proposed.
const (
	MaxData   = 128 << 10 // bytes of the state that the holders of one lease hand on
	maxLeases = 256
	maxName   = 64
)

// Terms are the durations of leases in ms.
type Terms struct {
	Lease float64
}

// A holder stops at a share of its lease after it sent the renewal that was granted, and the leader assigns the lease to
// another at a multiple of it after the renewal was applied. Between the two lies the margin: clocks that run 40% apart
// keep it, or a pause of half a lease between a holder's last look at its clock and the end of what it then began. A
// holder that breaks the margin has another one beside it, and is refused by its fencing token.
const (
	stopShare   = 0.7
	assignShare = 1.5
	renewShare  = 0.2
	batchShare  = 0.05
)

// HoldsFor is how long after sending a renewal a holder may begin an effect, in ms.
func (t Terms) HoldsFor() float64 { return stopShare * t.Lease }

// FreeAfter is how long after the last renewal the leader waits before it assigns a lease to another, in ms.
func (t Terms) FreeAfter() float64 { return assignShare * t.Lease }

// BatchFor is how long the leader may gather renewals to have them agreed on together, in ms.
func (t Terms) BatchFor() float64 { return batchShare * t.Lease }

// RenewEach is the time between a holder's renewals, in ms.
func (t Terms) RenewEach() float64 { return renewShare * t.Lease }
