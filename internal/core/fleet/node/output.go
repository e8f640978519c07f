package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Send is a message to be sent.
type Send struct {
	To      members.ID
	Addr    string
	Message Message
}

// Accepted is an effect that has passed the fencing check here.
type Accepted struct {
	From   members.ID
	Effect Effect
}

// JobMessage is what another controller's program of a lease said to this one's.
type JobMessage struct {
	From members.ID
	Data []byte
}

// Output is what is to be done after some input.
type Output struct {
	Sends       []Send
	Ready       *quorum.Ready  // to be made durable, then Saved; nothing of it has an effect before
	Compaction  *quorum.Record // the same of a whole record that replaces all before it, then Kept
	Began       []lease.Grant  // this controller holds these from now on
	Ended       []lease.Grant  // and no longer these
	Changes     []members.Change
	Effects     []Accepted
	Verdicts    []Verdict
	JobMessages []JobMessage
	Checkpoints []Checkpoint
	Seen        bool          // the fencing check has seen a higher fencing token
	Config      config.Output // its Sends are among Sends
}

// Take hands over what is to be done.
func (n *Node) Take() Output {
	if n.out.Ready == nil && !n.wholeOut {
		if whole := n.quorum.Compact(); whole != nil {
			n.out.Compaction, n.wholeOut = whole, true
		} else {
			n.out.Ready = n.quorum.Ready()
		}
	}
	out := n.out
	n.out = Output{}
	return out
}
