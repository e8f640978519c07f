package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Output is what the caller has to carry out, in the order that the package comment describes.
type Output struct {
	Messages   []Envelope
	Ready      *quorum.Ready  // to pass to Advance when its record is durable
	Compaction *quorum.Record // to pass to Compacted when it is durable

	Began       []lease.Grant // grants under which this controller may now act
	Ended       []lease.Grant // grants under which it may no longer act
	Checkpoints []Checkpoint  // stored states of leases that it holds
	JobMessages []JobMessage

	Changes []members.Change

	TokensRaised    bool // FencingTokens returns a higher token than before
	Effects         []AcceptedEffect
	EffectResponses []EffectResponse

	Config config.Output // its messages are among Messages
}

// Envelope is a message to send to a controller. Addr is empty if the address is not known.
type Envelope struct {
	To      members.ID
	Addr    string
	Message Message
}

// AcceptedEffect is an effect that passed the fencing check of this controller.
type AcceptedEffect struct {
	From   members.ID
	Effect Effect
}

// JobMessage is a message from a lease's job at another controller to the same job here.
type JobMessage struct {
	From members.ID
	Data []byte
}

// Take returns the output since the last call, which the caller has to carry out. At most one of
// Ready and Compaction is pending at a time.
func (n *Node) Take() Output {
	if n.out.Ready == nil && !n.compactionPending {
		if record := n.quorum.Compact(); record != nil {
			n.out.Compaction = record
			n.compactionPending = true
		} else {
			n.out.Ready = n.quorum.Ready()
		}
	}
	out := n.out
	n.out = Output{}
	return out
}
