package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Message is a message between controllers, encoded by the keys of its fields. One field is set,
// except that Config and Leader may accompany Members. JobMessage is from the job of a lease to the
// same job at another controller.
type Message struct {
	Members        *members.Message  `cbor:"1,keyasint,omitempty"`
	Quorum         *quorum.Message   `cbor:"2,keyasint,omitempty"`
	Renew          *lease.Renew      `cbor:"3,keyasint,omitempty"`
	RenewResponse  *RenewResponse    `cbor:"4,keyasint,omitempty"`
	Offer          *Offer            `cbor:"5,keyasint,omitempty"`
	Release        *lease.Release    `cbor:"6,keyasint,omitempty"`
	Prefer         *lease.Prefer     `cbor:"7,keyasint,omitempty"`
	ViewRequest    *ViewRequest      `cbor:"8,keyasint,omitempty"`
	View           *View             `cbor:"9,keyasint,omitempty"`
	Effect         *Effect           `cbor:"10,keyasint,omitempty"`
	EffectResponse *EffectResponse   `cbor:"11,keyasint,omitempty"`
	Replace        *Replace          `cbor:"12,keyasint,omitempty"`
	JobMessage     []byte            `cbor:"13,keyasint,omitempty"`
	StoreState     *lease.StoreState `cbor:"14,keyasint,omitempty"`
	LoadState      *lease.LoadState  `cbor:"15,keyasint,omitempty"`
	Checkpoint     *Checkpoint       `cbor:"16,keyasint,omitempty"`
	Config         *config.Message   `cbor:"17,keyasint,omitempty"`
	Leader         *LeaderHint       `cbor:"18,keyasint,omitempty"`
}

// Checkpoint carries the job's state that is stored with a lease. It answers a StoreState or
// LoadState of the lease's holder.
type Checkpoint struct {
	To     lease.Holder `cbor:"1,keyasint"`
	Grant  lease.Grant  `cbor:"2,keyasint"`
	Serial uint64       `cbor:"3,keyasint"`
	Data   []byte       `cbor:"4,keyasint"`
}

// RenewResponse answers a Renew when it is committed and applied. It also confirms a Release.
type RenewResponse struct {
	// Sequence is the Sequence of the renewal; 0 if the response is to a Release.
	Sequence uint64 `cbor:"1,keyasint"`
	// Valid are the grants that are renewed, Invalid those that the holder no longer holds.
	Valid   []lease.Grant `cbor:"2,keyasint"`
	Invalid []lease.Grant `cbor:"3,keyasint,omitempty"`
	// Yield are the leases that the holder has to release: an operator prefers another holder, or
	// they are no longer declared.
	Yield  []lease.Name `cbor:"4,keyasint,omitempty"`
	Leader members.ID   `cbor:"5,keyasint"`
	// To identifies the holder's run, as the sequence numbers of each run start from 1.
	To lease.Holder `cbor:"6,keyasint"`
}

// Offer notifies a holder that it was assigned a lease.
type Offer struct {
	To    lease.Holder `cbor:"1,keyasint"`
	Grant lease.Grant  `cbor:"2,keyasint"`
}

// ViewRequest requests the quorum's view from one of its members.
type ViewRequest struct{}

// View describes the quorum as a controller, usually one of its members, knows it. It may be stale.
// Leader is empty if none is known.
type View struct {
	Leader members.ID    `cbor:"1,keyasint"`
	Voters []members.ID  `cbor:"2,keyasint"`
	Leases []lease.Lease `cbor:"3,keyasint"`
	// Changed is the quorum's ChangedIndex as of this view; 0: unknown.
	Changed uint64 `cbor:"4,keyasint,omitempty"`
}

// Effect is an action that a holder of a lease asks another controller to carry out.
type Effect struct {
	Grant lease.Grant `cbor:"1,keyasint"`
	ID    uint64      `cbor:"2,keyasint"` // number that the sender gave the effect
	Data  []byte      `cbor:"3,keyasint"`
}

// EffectResponse answers an Effect.
type EffectResponse struct {
	Lease lease.Name `cbor:"1,keyasint"`
	ID    uint64     `cbor:"2,keyasint"`
	// HighestToken is the highest fencing token that the receiver has seen of the lease; lower ones
	// are rejected.
	HighestToken lease.Token `cbor:"3,keyasint"`
	Accepted     bool        `cbor:"4,keyasint"`
}

// Replace is an operator's command to replace a voter, or to remove it if Successor is empty.
type Replace struct {
	Old       members.ID `cbor:"1,keyasint"`
	Successor members.ID `cbor:"2,keyasint"`
}

// LeaderHint names the quorum's leader of a term, and the index of the quorum's last change. It
// accompanies membership messages, so that a controller that is no voter learns both by gossip. In
// a fleet of hundreds the voters could not answer requests of all controllers every few seconds.
type LeaderHint struct {
	ID   members.ID `cbor:"1,keyasint"`
	Term uint64     `cbor:"2,keyasint"`
	// Changed is the quorum's ChangedIndex; 0: unknown.
	Changed uint64 `cbor:"3,keyasint,omitempty"`
}
