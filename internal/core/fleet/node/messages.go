package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Message is what one controller says to another; one of its fields is set.
type Message struct {
	Members     *members.Message  `cbor:"1,keyasint,omitempty"`
	Quorum      *quorum.Message   `cbor:"2,keyasint,omitempty"`
	Renew       *lease.Renew      `cbor:"3,keyasint,omitempty"`
	Granted     *Granted          `cbor:"4,keyasint,omitempty"`
	Offer       *Offer            `cbor:"5,keyasint,omitempty"`
	Release     *lease.Release    `cbor:"6,keyasint,omitempty"`
	Prefer      *lease.Prefer     `cbor:"7,keyasint,omitempty"`
	ViewRequest *ViewRequest      `cbor:"8,keyasint,omitempty"`
	View        *View             `cbor:"9,keyasint,omitempty"`
	Effect      *Effect           `cbor:"10,keyasint,omitempty"`
	Verdict     *Verdict          `cbor:"11,keyasint,omitempty"`
	Replace     *Replace          `cbor:"12,keyasint,omitempty"`
	JobMessage  []byte            `cbor:"13,keyasint,omitempty"` // of a lease's own program, to that of another
	StoreState  *lease.StoreState `cbor:"14,keyasint,omitempty"`
	LoadState   *lease.LoadState  `cbor:"15,keyasint,omitempty"`
	Checkpoint  *Checkpoint       `cbor:"16,keyasint,omitempty"`
	Config      *config.Message   `cbor:"17,keyasint,omitempty"` // may ride on a Members message
	Leader      *LeaderHint       `cbor:"18,keyasint,omitempty"` // may ride on a Members message
}

// Checkpoint is the state that the holders of a lease hand on, agreed on by a StoreState or LoadState of its holder.
type Checkpoint struct {
	To     lease.Holder `cbor:"1,keyasint"`
	Grant  lease.Grant  `cbor:"2,keyasint"`
	Serial uint64       `cbor:"3,keyasint"`
	Data   []byte       `cbor:"4,keyasint"`
}

// Granted answers a Renew, when the quorum has agreed on it.
type Granted struct {
	Sequence uint64        `cbor:"1,keyasint"`
	Held     []lease.Grant `cbor:"2,keyasint"`
	Lost     []lease.Grant `cbor:"3,keyasint,omitempty"` // claims that do not hold
	Yield    []lease.Name  `cbor:"4,keyasint,omitempty"` // to be given up: an operator wants them elsewhere
	Leader   members.ID    `cbor:"5,keyasint"`
	To       lease.Holder  `cbor:"6,keyasint"` // tokens of another run count from the beginning too
}

// Offer tells the receiver's run that it holds a lease.
type Offer struct {
	To    lease.Holder `cbor:"1,keyasint"`
	Grant lease.Grant  `cbor:"2,keyasint"`
}

// ViewRequest asks a member of the quorum for its view.
type ViewRequest struct{}

// View is what a member of the quorum knows: it may be late. Leader is empty if it knows none.
type View struct {
	Leader members.ID    `cbor:"1,keyasint"`
	Voters []members.ID  `cbor:"2,keyasint"`
	Leases []lease.Lease `cbor:"3,keyasint"`
	// Changed is the quorum's ChangedIndex as of this view; 0: its sender does not tell.
	Changed uint64 `cbor:"4,keyasint,omitempty"`
}

// Effect is what a holder does at another controller.
type Effect struct {
	Grant lease.Grant `cbor:"1,keyasint"`
	ID    uint64      `cbor:"2,keyasint"`
	Data  []byte      `cbor:"3,keyasint"`
}

// Verdict answers an Effect: whether it was taken and, if not, for which fencing token it is refused.
type Verdict struct {
	Lease    lease.Name  `cbor:"1,keyasint"`
	ID       uint64      `cbor:"2,keyasint"`
	Seen     lease.Token `cbor:"3,keyasint"`
	Accepted bool        `cbor:"4,keyasint"`
}

// Replace is an operator's command to replace a voter.
type Replace struct {
	Old  members.ID `cbor:"1,keyasint"`
	With members.ID `cbor:"2,keyasint"`
}
