package quorum

import (
	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// proposal is the data of a normal log entry, encoded by the keys of its fields.
type proposal struct {
	Proposer members.ID    `cbor:"1,keyasint"`
	Ref      uint64        `cbor:"2,keyasint"`
	Command  lease.Command `cbor:"3,keyasint"`
	// Config is set if the proposal is about the fleet's configuration; then Command is empty.
	Config *config.Proposal `cbor:"4,keyasint,omitempty"`
}

// encodeProposal returns the data of the log entry of a proposal.
func encodeProposal(p proposal) ([]byte, error) { return cbor.Marshal(p) }

// Request is a command to propose.
type Request struct {
	Proposer members.ID // the controller from which the command came
	Ref      uint64     // number by which the caller recognizes the command when it is applied
	Command  lease.Command
}

// Propose proposes a command. It returns false if this member does not lead or too much is pending.
func (r *Replica) Propose(by members.ID, ref uint64, command lease.Command) bool {
	if !r.isLeader || r.node == nil {
		return false
	}
	data, err := encodeProposal(proposal{Proposer: by, Ref: ref, Command: command})
	return err == nil && r.node.Propose(data) == nil
}

// ProposeAll proposes several commands in the given order, with one message to each member. It
// returns false, and proposes none, if this member does not lead or too much is pending.
func (r *Replica) ProposeAll(requests []Request) bool {
	if !r.isLeader || r.node == nil {
		return false
	}
	if len(requests) == 0 {
		return true
	}
	entries := make([]*pb.Entry, 0, len(requests))
	for _, request := range requests {
		p := proposal{Proposer: request.Proposer, Ref: request.Ref, Command: request.Command}
		data, err := encodeProposal(p)
		if err != nil {
			return false
		}
		entries = append(entries, &pb.Entry{Data: data})
	}
	number := r.incarnation.Number()
	return r.node.Step(&raftMessage{Type: pb.MsgProp.Enum(), From: &number, Entries: entries}) == nil
}

// ProposeConfig proposes a version of the fleet's configuration. It returns false if this member
// does not lead or too much is pending.
func (r *Replica) ProposeConfig(by members.ID, p config.Proposal) bool {
	if !r.isLeader || r.node == nil {
		return false
	}
	data, err := encodeProposal(proposal{Proposer: by, Config: &p})
	return err == nil && r.node.Propose(data) == nil
}
