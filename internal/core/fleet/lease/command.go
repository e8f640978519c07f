package lease

import "mintkeel/internal/core/fleet/members"

// Command is one entry of the quorum's log; one of its fields is set.
type Command struct {
	Declare    *Declare    `cbor:"1,keyasint,omitempty"`
	Assign     *Assign     `cbor:"2,keyasint,omitempty"`
	Renew      *Renew      `cbor:"3,keyasint,omitempty"`
	Release    *Release    `cbor:"4,keyasint,omitempty"`
	Prefer     *Prefer     `cbor:"5,keyasint,omitempty"`
	StoreState *StoreState `cbor:"6,keyasint,omitempty"`
	LoadState  *LoadState  `cbor:"7,keyasint,omitempty"`
}

// ChangesHolders tells whether a command is one that changes which leases there are, who holds them or is to hold them.
func (c Command) ChangesHolders() bool {
	return c.Declare != nil || c.Assign != nil || c.Release != nil || c.Prefer != nil
}

// Declare says which leases there are to be.
type Declare struct {
	Names []Name `cbor:"1,keyasint"`
}

// Assign gives a lease to a holder, if nothing has changed since the leader looked.
type Assign struct {
	Name    Name   `cbor:"1,keyasint"`
	Renewal uint64 `cbor:"2,keyasint"` // as it was then
	To      Holder `cbor:"3,keyasint"`
}

// Renew is a holder's heartbeat, for all its leases.
type Renew struct {
	Holder   Holder  `cbor:"1,keyasint"`
	Grants   []Grant `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
}

// Release says that a holder has stopped, for good.
type Release struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
	Failed bool   `cbor:"3,keyasint,omitempty"` // the holder could not do the lease's work
}

// Prefer is an operator's command that names the next holder of a lease.
type Prefer struct {
	Name Name       `cbor:"1,keyasint"`
	To   members.ID `cbor:"2,keyasint"`
}

// StoreState stores the state that a lease's holder hands on to the next one, small and as a whole. It is applied if the holder
// still is one and knows the state before.
type StoreState struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
	Serial uint64 `cbor:"3,keyasint"` // one more than that of the state before
	Data   []byte `cbor:"4,keyasint"`
}

// LoadState reads the state of a lease as of its own place in the log: a holder that begins reads what every earlier one stored.
type LoadState struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
}
