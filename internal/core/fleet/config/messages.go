package config

import "mintkeel/internal/core/fleet/members"

// Message is a message between replicas, encoded by the keys of its fields. Any combination of them
// may be set.
type Message struct {
	Summary      *Summary        `cbor:"1,keyasint,omitempty"`
	Fetch        *Fetch          `cbor:"2,keyasint,omitempty"`
	Chunk        *Chunk          `cbor:"3,keyasint,omitempty"`
	Propose      *ProposeRequest `cbor:"4,keyasint,omitempty"`
	ProposeReply *ProposeReply   `cbor:"5,keyasint,omitempty"`
	Hold         *HoldRequest    `cbor:"6,keyasint,omitempty"`
	HoldReply    *HoldReply      `cbor:"7,keyasint,omitempty"`
	Reports      *Reports        `cbor:"8,keyasint,omitempty"`
	ReportsReply *ReportsReply   `cbor:"9,keyasint,omitempty"`
	Query        *Query          `cbor:"10,keyasint,omitempty"`
	Answer       *Answer         `cbor:"11,keyasint,omitempty"`
}

// Summary identifies the newest version whose document the sender has. It accompanies membership
// messages, and is pushed to some members at once when it changes.
type Summary struct {
	Number uint64 `cbor:"1,keyasint"`
	Hash   Hash   `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
}

// Fetch requests a chunk of a document.
type Fetch struct {
	Hash   Hash `cbor:"1,keyasint"`
	Offset int  `cbor:"2,keyasint"`
}

// Chunk answers a Fetch.
type Chunk struct {
	Hash   Hash   `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
	Total  int    `cbor:"3,keyasint"` // bytes of the document
	Data   []byte `cbor:"4,keyasint,omitempty"`
	// Missing: the sender does not have the document.
	Missing bool `cbor:"5,keyasint,omitempty"`
	// Version comes with the first chunk: what the sender knows of the document's version.
	Version *Version `cbor:"6,keyasint,omitempty"`
}

// ProposeRequest asks the leader for a new version. The leader fetches the document from the
// sender.
type ProposeRequest struct {
	Proposal Proposal `cbor:"1,keyasint"`
}

// Result is the outcome of a proposal.
type Result uint8

// The results of a proposal.
const (
	// Unknown: it was not answered in time, and may have been agreed on.
	Unknown Result = iota
	// Committed: it was agreed on.
	Committed
	// Conflict: another version than the expected one is the newest.
	Conflict
	// Rejected: the document can't be used, a bound is exceeded, or too many proposals wait.
	Rejected
)

// ProposeReply answers a ProposeRequest.
type ProposeReply struct {
	ID      ProposalID `cbor:"1,keyasint"`
	Result  Result     `cbor:"2,keyasint"`
	Version Version    `cbor:"3,keyasint"` // the one agreed on, or the newest one upon a Conflict
	Reason  string     `cbor:"4,keyasint,omitempty"`
}

// HoldRequest asks a voter to store a document durably before its version is agreed on. The voter
// fetches it from the sender.
type HoldRequest struct {
	Hash Hash `cbor:"1,keyasint"`
	Size int  `cbor:"2,keyasint"`
	// Version is the proposed one; its Number is not set yet.
	Version *Version `cbor:"3,keyasint,omitempty"`
}

// HoldReply confirms that a document is stored durably.
type HoldReply struct {
	Hash Hash `cbor:"1,keyasint"`
}

// Report is a controller's report about itself. Of two with the same ID and Run the one with the
// higher Sequence counts.
type Report struct {
	ID       members.ID `cbor:"1,keyasint"`
	Run      uint64     `cbor:"2,keyasint"`
	Sequence uint64     `cbor:"3,keyasint"`
	// Applied is the version in force there; 0: none yet.
	Applied uint64 `cbor:"4,keyasint"`
	// Rejected is a later version that it can't use, or can't store or apply yet.
	Rejected uint64 `cbor:"5,keyasint,omitempty"`
	// Reason is why Rejected is not in force.
	Reason string `cbor:"6,keyasint,omitempty"`
	// Age is the time in ms for which the sender of this message has known the report.
	Age float64 `cbor:"7,keyasint,omitempty"`
}

// Reports are sent by a member to its relay, and by a relay to the leader.
type Reports struct {
	Sequence uint64   `cbor:"1,keyasint"` // of this message, echoed in the reply
	List     []Report `cbor:"2,keyasint"`
}

// ReportsReply acknowledges Reports. Leader is the leader as the receiver knows it.
type ReportsReply struct {
	Sequence uint64     `cbor:"1,keyasint"`
	Leader   members.ID `cbor:"2,keyasint,omitempty"`
}

// QueryKind is what a Query asks for.
type QueryKind uint8

// The kinds of queries.
const (
	// QueryLatest asks voters for the latest version, at a start.
	QueryLatest QueryKind = iota + 1
	// QueryStatus asks the leader where versions are in force.
	QueryStatus
	// QueryHistory asks the leader for the remembered versions.
	QueryHistory
)

// Query is sent to the leader or to voters.
type Query struct {
	Ref  uint64    `cbor:"1,keyasint"`
	Kind QueryKind `cbor:"2,keyasint"`
}

// Answer answers a Query.
type Answer struct {
	Ref uint64 `cbor:"1,keyasint"`
	// Voting: the sender votes in the quorum, so its state can be relied on.
	Voting bool `cbor:"2,keyasint"`
	// Leads: the sender leads the quorum. Status and Versions come from a leader alone.
	Leads    bool       `cbor:"3,keyasint"`
	Leader   members.ID `cbor:"4,keyasint,omitempty"`
	Latest   Summary    `cbor:"5,keyasint"`
	Status   *Status    `cbor:"6,keyasint,omitempty"`
	Versions []Version  `cbor:"7,keyasint,omitempty"`
}
