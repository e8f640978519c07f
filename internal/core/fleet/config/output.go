package config

import "mintkeel/internal/core/fleet/members"

// Output is what the caller has to carry out, as described in the package comment.
type Output struct {
	Messages        []Envelope
	Check           *CheckRequest
	Store           *StoreRequest
	Apply           *ApplyRequest
	ProposalResults []ProposalResult
	QueryResults    []QueryResult
	DocumentResults []DocumentResult
}

// Envelope is a message to be sent.
type Envelope struct {
	To      members.ID
	Message Message
}

// CheckRequest asks whether a document can be used here, by the same code as `mintkeel check`. It
// is answered by Replica.Checked. The check of a large document may take a second; the replica
// handles other input meanwhile.
type CheckRequest struct {
	Hash     Hash
	Document []byte
}

// StoreRequest asks for something to become durable. It is answered by Replica.Stored.
type StoreRequest struct {
	Hash     Hash
	Document []byte   // nil: it is stored already
	Current  *Version // the version to be in force after a restart; nil: unchanged
	Remove   []Hash   // documents to be removed after the rest is durable
}

// ApplyRequest asks for a version to be taken into use. It is answered by Replica.Applied.
type ApplyRequest struct {
	Version  Version
	Document []byte
}

// ProposalResult is the result of a proposal of this controller.
type ProposalResult struct {
	Ref     uint64
	Result  Result
	Version Version
	Reason  string
}

// QueryResult is the answer to a query of this controller.
type QueryResult struct {
	Ref    uint64
	From   members.ID
	Answer Answer
}

// DocumentResult is the result of FetchDocument. Document is nil if it was not found in time.
type DocumentResult struct {
	Ref      uint64
	Hash     Hash
	Document []byte
}

// Readiness shows whether a starting controller has the latest version. It is shown to operators as
// JSON by the names of its fields.
type Readiness struct {
	// Confirmed: the leader or a majority of the voters has answered, and their latest version is
	// in force or rejected here.
	Confirmed bool
	Number    uint64 // the version in force
	Latest    uint64 // the highest known version number
}

// Counters are for operators and measurements. All count from the start.
type Counters struct {
	Applied      int64 // versions taken into use
	Rejected     int64 // versions that can't be used here
	Conflicts    int64 // summaries that contradict what is known here
	Corrupt      int64 // chunks of a wrong size, and documents that did not match their hash
	FetchedBytes int64
	ServedBytes  int64
	Pushed       int64 // summaries pushed
}
