package sharedstatistics

import (
	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

// message is a message between the jobs of two controllers. Besides Digest, one field is set. Its
// encoding depends on the order of the fields.
type message struct {
	_                 struct{} `cbor:",toarray"`
	Digest            bool     // always true; messages of other jobs differ in this position
	RequestStatistics bool     // requests the receiver's own statistics
	RequestDigest     bool     // requests the digest for a newcomer
	Snapshot          *snapshot
}

// snapshot contains the statistics of one controller or, as a digest, of the fleet. A digest is
// also the effect of the lease. Its encoding depends on the order of the fields.
type snapshot struct {
	_        struct{} `cbor:",toarray"`
	Settings uint64   // hash of the sender's settings
	Now      float64  // the sender's clock in ms since 1970, which the records' times refer to
	Whole    bool     // true for a digest, false for one controller's statistics
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
