package lease

import "mintkeel/internal/core/fleet/members"

// Command is a proposal to the quorum about leases, an entry of its log. Exactly one field is set.
// Commands and their parts are encoded by the keys of their fields, and stored.
type Command struct {
	Declare    *Declare    `cbor:"1,keyasint,omitempty"`
	Assign     *Assign     `cbor:"2,keyasint,omitempty"`
	Renew      *Renew      `cbor:"3,keyasint,omitempty"`
	Release    *Release    `cbor:"4,keyasint,omitempty"`
	Prefer     *Prefer     `cbor:"5,keyasint,omitempty"`
	StoreState *StoreState `cbor:"6,keyasint,omitempty"`
	LoadState  *LoadState  `cbor:"7,keyasint,omitempty"`
}

// ChangesHolders reports whether the command may change which leases exist, their holders or
// their preferred holders.
func (c Command) ChangesHolders() bool {
	return c.Declare != nil || c.Assign != nil || c.Release != nil || c.Prefer != nil
}

// Declare sets which leases exist. All others are retired.
type Declare struct {
	Names []Name `cbor:"1,keyasint"`
}

// Assign assigns a lease to a holder, unless the lease has changed since the leader's decision.
type Assign struct {
	Name     Name   `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"` // of the lease at the leader's decision
	To       Holder `cbor:"3,keyasint"`
}

// Renew renews all leases of a holder.
type Renew struct {
	Holder   Holder  `cbor:"1,keyasint"`
	Grants   []Grant `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"` // number that the holder gave this renewal
}

// Release ends a holder's lease: the holder has stopped and begins no more effects under the grant.
type Release struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
	Failed bool   `cbor:"3,keyasint,omitempty"` // the holder could not run the lease's job
}

// Prefer sets the preferred next holder of a lease, by an operator's command.
type Prefer struct {
	Name Name       `cbor:"1,keyasint"`
	To   members.ID `cbor:"2,keyasint"`
}

// StoreState replaces the job's state that is stored with a lease. It is applied only if the holder
// still holds the lease and Serial follows the stored one, which shows that it has read that state.
type StoreState struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
	Serial uint64 `cbor:"3,keyasint"` // one more than that of the state it replaces
	Data   []byte `cbor:"4,keyasint"`
}

// LoadState reads the state of a lease at this command's index of the log, so that a new holder
// reads all that earlier holders stored.
type LoadState struct {
	Holder Holder `cbor:"1,keyasint"`
	Grant  Grant  `cbor:"2,keyasint"`
}
