package sharedstatistics

import (
	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

// message is one between the jobs of two controllers; besides Digest one of its fields is set. It
// is encoded by the order of its fields.
type message struct {
	_                 struct{} `cbor:",toarray"`
	Digest            bool     // always true: other jobs' messages have another value here
	RequestStatistics bool     // asks for the statistics of the receiver
	RequestDigest     bool     // asks for the digest: the sender has no statistics
	Snapshot          *snapshot
}

// snapshot has the statistics of one controller, or of the fleet. As the effect of the lease it is
// encoded by the order of its fields.
type snapshot struct {
	_        struct{} `cbor:",toarray"`
	Settings uint64   // identifies the sender's settings
	Now      float64  // the sender's clock, ms since 1970: the records' times are by it
	Whole    bool     // the digest, and not one controller's statistics
	Token    uint64   // fencing token of the holder that merged a digest
	Data     []byte   // encoded by memory.EncodeStatistics
}

// sendMessage sends a message to the job of another controller.
func sendMessage(jobContext job.Context, to members.ID, m message) {
	m.Digest = true
	data, err := cbor.Marshal(m)
	if err != nil {
		return
	}
	jobContext.SendMessage(to, data)
}
