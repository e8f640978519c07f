package members

// ID is a controller's name, the same after a restart.
type ID string

// Incarnation is a member's version of its own state. Only the member itself increments it, to
// refute what others gossip about it or to announce a change.
type Incarnation uint64

// State is a member's state as a controller believes it to be.
type State uint8

// The states, in the order in which one overrides another of the same incarnation.
const (
	// Alive members answer pings.
	Alive State = iota
	// Suspect members did not answer, and are declared dead unless they refute in time.
	Suspect
	// Dead members did not refute in time. A seed that was never heard from counts as dead too.
	Dead
	// Left members announced that they shut down.
	Left
)

// stateNames are the names that operators see; a dead member is shown as "gone".
var stateNames = [...]string{"alive", "suspect", "gone", "left"}

// String returns the state's name as operators see it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// active reports whether a member in this state counts as a part of the fleet and is probed.
func (s State) active() bool { return s <= Suspect }

// Member is an update about a member: what its sender believes. It is encoded by the keys of its
// fields.
type Member struct {
	ID          ID          `cbor:"1,keyasint"`
	Addr        string      `cbor:"2,keyasint"`
	State       State       `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
	// Willing is set if the member accepts leases.
	Willing bool `cbor:"5,keyasint,omitempty"`
	// Run is a random number drawn when the process starts; 0: a seed that was never heard from.
	Run uint64 `cbor:"6,keyasint,omitempty"`
	// Suspector is the member whose own probe of this one failed, if the state is Suspect.
	Suspector ID `cbor:"7,keyasint,omitempty"`
}

// overrides reports whether update a replaces belief b: it has a higher incarnation, or a worse
// state of the same incarnation.
func (a Member) overrides(b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// Change reports that a member is new, or that its state has changed.
type Change struct {
	Member Member
	// Previous is the state before the change; if the member is new, it is the state of Member.
	Previous State
	New      bool
}
