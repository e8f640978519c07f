// Package config spreads one configuration document over a fleet of controllers. The quorum agrees on numbered versions,
// each the hash of a whole document; the documents are stored by hash, pulled in chunks from any member that has them,
// checked, stored durably and only then taken into use. Each controller reports the version it uses; the reports are
// collected over relays at the quorum's leader.
//
// The package is free of I/O and clocks. Replica is one controller's part: it is told the time, takes messages in, and
// hands out messages, documents to be stored and versions to be applied. It stands beside the loop: no answer to a client
// waits for it.
package config

import (
	"encoding/hex"

	"mintkeel/internal/core/fleet/members"
)

// Bounds of what is agreed, stored and sent.
const (
	MaxDocument  = 1 << 20  // bytes of one document
	MaxHistory   = 32       // versions that the quorum remembers
	MaxStored    = 8 << 20  // bytes of documents that one controller stores; the newest two versions always fit
	MaxAuthor    = 64       // bytes
	MaxReason    = 256      // bytes, of an author's reason and of a refusal
	ChunkBytes   = 32 << 10 // bytes of a document in one message
	MaxReports   = 4096     // controllers that a collector knows
	MaxProposals = 8        // that wait at the leader
)

// Hash is the SHA-256 of a document.
type Hash [32]byte

// String is the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ProposalID tells proposals apart: a proposal that is sent again to another leader is agreed on once.
type ProposalID struct {
	Origin members.ID `cbor:"1,keyasint"`
	Run    uint64     `cbor:"2,keyasint"` // of the origin's process
	Ref    uint64     `cbor:"3,keyasint"` // counted by that process
}

// Version is one document as the quorum agreed on it.
type Version struct {
	Number     uint64     `cbor:"1,keyasint"` // 1 is the first, each next one is one more
	Hash       Hash       `cbor:"2,keyasint"`
	Size       int        `cbor:"3,keyasint"` // bytes
	Author     string     `cbor:"4,keyasint"`
	Reason     string     `cbor:"5,keyasint"`
	Time       int64      `cbor:"6,keyasint"` // Unix milliseconds by the origin's wall clock; for people, nothing is decided by it
	RollbackOf uint64     `cbor:"7,keyasint,omitempty"`
	ID         ProposalID `cbor:"8,keyasint"`
}

// Proposal is a command of the quorum's log: the document becomes the next version if the newest one is still Expect.
type Proposal struct {
	Expect  uint64  `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"` // its Number is not set yet
}

// State is what the quorum agrees on, the same at each voter. The zero value has no versions.
type State struct {
	Versions []Version `cbor:"1,keyasint"` // the last MaxHistory, oldest first
}

// Summary names the newest version whose document the sender has. It rides on what membership sends, and is pushed to
// some members at once when it changes.
type Summary struct {
	Number uint64 `cbor:"1,keyasint"`
	Hash   Hash   `cbor:"2,keyasint"`
	Size   int    `cbor:"3,keyasint"`
}

// Message is one between replicas; any of its fields may be set.
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

// Fetch asks for a chunk of a document.
type Fetch struct {
	Hash   Hash `cbor:"1,keyasint"`
	Offset int  `cbor:"2,keyasint"`
}

// Chunk answers a Fetch. Missing is set where the sender does not have the document.
type Chunk struct {
	Hash    Hash   `cbor:"1,keyasint"`
	Offset  int    `cbor:"2,keyasint"`
	Total   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	Missing bool   `cbor:"5,keyasint,omitempty"`

	Version *Version `cbor:"6,keyasint,omitempty"` // with the first bytes: the version that the document is sent for
}

// ProposeRequest asks the leader for a new version; the leader fetches the document from the sender.
type ProposeRequest struct {
	Proposal Proposal `cbor:"1,keyasint"`
}

// Result is how a proposal ended.
type Result uint8

// Results of a proposal. Unknown is one that was not answered in time: it may have been agreed on.
const (
	Unknown Result = iota
	Committed
	Conflict // another version was agreed on first
	Rejected // the document can't be used, or a bound is passed
)

// ProposeReply answers a ProposeRequest.
type ProposeReply struct {
	ID      ProposalID `cbor:"1,keyasint"`
	Result  Result     `cbor:"2,keyasint"`
	Version Version    `cbor:"3,keyasint"` // the one agreed on, or the newest one if it was lost
	Reason  string     `cbor:"4,keyasint,omitempty"`
}

// HoldRequest asks a voter to store a document durably; the voter fetches it from the sender.
type HoldRequest struct {
	Hash Hash `cbor:"1,keyasint"`
	Size int  `cbor:"2,keyasint"`

	Version *Version `cbor:"3,keyasint,omitempty"` // the proposed version; its Number is not set yet
}

// HoldReply tells that a document is stored durably.
type HoldReply struct {
	Hash Hash `cbor:"1,keyasint"`
}

// Report is what one controller says of itself. Of two with the same ID and Run the one of the higher Sequence counts.
type Report struct {
	ID       members.ID `cbor:"1,keyasint"`
	Run      uint64     `cbor:"2,keyasint"`
	Sequence uint64     `cbor:"3,keyasint"`
	Applied  uint64     `cbor:"4,keyasint"`           // the version in force there; 0: none yet
	Rejected uint64     `cbor:"5,keyasint,omitempty"` // a later version that it can't use
	Reason   string     `cbor:"6,keyasint,omitempty"` // why
	Age      float64    `cbor:"7,keyasint,omitempty"` // ms since the sender of this message heard it
}

// Reports go from a member to its relay, and from a relay to the leader.
type Reports struct {
	Sequence uint64   `cbor:"1,keyasint"` // of this message, echoed in the reply
	List     []Report `cbor:"2,keyasint"`
}

// ReportsReply acknowledges Reports. Leader is whom the receiver takes for the leader.
type ReportsReply struct {
	Sequence uint64     `cbor:"1,keyasint"`
	Leader   members.ID `cbor:"2,keyasint,omitempty"`
}

// QueryKind tells questions apart.
type QueryKind uint8

// Kinds of questions. AskLatest goes to voters at a start, the others to the leader.
const (
	QueryLatest QueryKind = iota + 1
	QueryStatus
	QueryHistory
)

// Query asks a voter.
type Query struct {
	Ref  uint64    `cbor:"1,keyasint"`
	Kind QueryKind `cbor:"2,keyasint"`
}

// Answer answers a Query. Voting tells that the sender is a voter whose state counts, Leads that it leads the quorum.
type Answer struct {
	Ref      uint64     `cbor:"1,keyasint"`
	Voting   bool       `cbor:"2,keyasint"`
	Leads    bool       `cbor:"3,keyasint"`
	Leader   members.ID `cbor:"4,keyasint,omitempty"`
	Latest   Summary    `cbor:"5,keyasint"`
	Status   *Status    `cbor:"6,keyasint,omitempty"`
	Versions []Version  `cbor:"7,keyasint,omitempty"`
}

// Status is where versions are in force, as the leader collected it. No controller counts twice, and one that was not
// heard of lately is not counted as in force.
type Status struct {
	Latest       Version            `cbor:"1,keyasint"`
	Members      int                `cbor:"2,keyasint"`                          // controllers that should have the latest: all known but those that left
	InForce      int                `cbor:"3,keyasint"`                          // of which so many reported it
	ByVersion    map[uint64]int     `cbor:"4,keyasint" json:"Counts"`            // controllers heard of, by the version they reported
	Rejected     []ControllerReport `cbor:"5,keyasint,omitempty" json:"Refused"` // at most MaxListed of each
	Behind       []ControllerReport `cbor:"6,keyasint,omitempty"`
	Unreachable  []ControllerReport `cbor:"7,keyasint,omitempty" json:"Unheard"`
	Omitted      int                `cbor:"8,keyasint,omitempty" json:"More"` // that found no room in these lists
	CollectedFor float64            `cbor:"9,keyasint" json:"Since"`          // ms for which the leader has collected: after a change of leader reports come anew
}

// MaxListed bounds each list of a Status.
const MaxListed = 64

// ControllerReport is one controller in a Status.
type ControllerReport struct {
	ID      members.ID `cbor:"1,keyasint"`
	Run     uint64     `cbor:"2,keyasint"`
	Applied uint64     `cbor:"3,keyasint"`
	Reason  string     `cbor:"4,keyasint,omitempty"`
	Age     float64    `cbor:"5,keyasint"` // ms since it was heard of; below 0: never
}

// StoredState is what a controller's folder holds of an earlier run.
type StoredState struct {
	Current   Version         // the version to be in force at the start; Number 0: none
	Documents map[Hash][]byte // all that are stored, that of Current among them
}

// Environment is what a replica asks of the node around it. Its answers are those of this very moment.
type Environment interface {
	Members() []members.Member // all that are known, this one among them
	Member(id members.ID) (members.Member, bool)
	Voters() []members.ID  // of the quorum, as far as this one knows
	Leader() members.ID    // of the quorum; empty: not known
	Leads() bool           // this one leads the quorum
	Voting() bool          // this one is a voter whose State counts
	State() *State         // what the quorum agreed on, where Voting
	Propose(Proposal) bool // into the quorum's log, where Leads; false: not taken
}

// Options are what a replica is told at its start.
type Options struct {
	Self members.ID
	Run  uint64
	Seed int64
}

// Envelope is a message to be sent.
type Envelope struct {
	To      members.ID
	Message Message
}

// StoreRequest asks for something to become durable. It is answered by Replica.Stored.
type StoreRequest struct {
	Hash     Hash
	Document []byte   // nil: it is stored already
	Current  *Version // set: from now on this version is the one to be in force at a start
	Remove   []Hash   // documents that are not needed any more; removed after the rest is durable
}

// ApplyRequest asks for a version to be taken into use. It is answered by Replica.Applied.
type ApplyRequest struct {
	Version  Version
	Document []byte
}

// ProposalResult is how a proposal of this controller ended.
type ProposalResult struct {
	Ref     uint64
	Result  Result
	Version Version
	Reason  string
}

// QueryResult is the answer to a question of this controller.
type QueryResult struct {
	Ref    uint64
	From   members.ID
	Answer Answer
}

// DocumentResult is a document that this controller asked for; Document is nil where nobody asked had it.
type DocumentResult struct {
	Ref      uint64
	Hash     Hash
	Document []byte
}

// Output is what is to be done after some input. At most one CheckRequest, one StoreRequest and one ApplyRequest are out
// at a time; an ApplyRequest comes only after its version passed the check and was stored as Current.
type Output struct {
	Messages        []Envelope
	Check           *CheckRequest
	Store           *StoreRequest
	Apply           *ApplyRequest
	ProposalResults []ProposalResult
	QueryResults    []QueryResult
	DocumentResults []DocumentResult
}

// Readiness is whether a controller that starts knows the latest version.
type Readiness struct {
	Confirmed bool   // the leader, or a majority of the voters, was heard, and their latest version is in force or refused here
	Number    uint64 // the version in force
	Latest    uint64 // the highest number heard of
}

// Counters are for operators and measurements.
type Counters struct {
	Applied, Rejected, Conflicts, Corrupt, FetchedBytes, ServedBytes, Pushed int64
}
