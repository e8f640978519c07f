package quorum

import "mintkeel/internal/core/fleet/members"

// Message is a message between members. Exactly one of Raft, VouchRequest, VouchResponse, Join,
// Invite and Redirect is set. It is encoded by the keys of its fields.
type Message struct {
	From Incarnation `cbor:"1,keyasint"`
	To   Incarnation `cbor:"2,keyasint"`
	// Raft is a message of the raft library, in its protobuf encoding.
	Raft []byte `cbor:"3,keyasint,omitempty"`
	// Serial is the serial of the sender's record that Raft depends on; 0: it depends on none.
	Serial        uint64         `cbor:"4,keyasint,omitempty"`
	VouchRequest  *VouchRequest  `cbor:"5,keyasint,omitempty"`
	VouchResponse *VouchResponse `cbor:"6,keyasint,omitempty"`
	Join          *Join          `cbor:"7,keyasint,omitempty"`
	// Run identifies the sender's process.
	Run uint64 `cbor:"8,keyasint,omitempty"`
	// Invite is an invitation to a controller that is no member to request to join.
	Invite   bool      `cbor:"9,keyasint,omitempty"`
	Redirect *Redirect `cbor:"10,keyasint,omitempty"`
}

// VouchRequest is sent by an unverified member. It requests the highest serial that the receiver
// got from this incarnation.
type VouchRequest struct {
	Run uint64 `cbor:"1,keyasint"`
}

// VouchResponse answers a VouchRequest.
type VouchResponse struct {
	// Run is the Run of the request.
	Run uint64 `cbor:"1,keyasint"`
	// ReceivedSerial is the highest serial that the sender got from the requesting incarnation; 0:
	// none.
	ReceivedSerial uint64 `cbor:"2,keyasint"`
	// Retired is set if the requesting incarnation has ended.
	Retired bool `cbor:"3,keyasint,omitempty"`
	// HasLeader is set if the quorum has a leader other than the requester.
	HasLeader bool `cbor:"4,keyasint,omitempty"`
	// Members are the quorum's other members as of Index. A requester whose disk is older needs their
	// responses too.
	Members []members.ID `cbor:"5,keyasint,omitempty"`
	// Index is the index of the last entry that the sender has applied.
	Index uint64 `cbor:"6,keyasint,omitempty"`
	// PendingMembers are added by later entries, which may not be committed yet. The requester needs
	// their responses in any case.
	PendingMembers []members.ID `cbor:"7,keyasint,omitempty"`
}

// Join requests to join as the incarnation that sends it.
type Join struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Redirect answers a Join that came to a member that does not lead.
type Redirect struct {
	Leader members.ID `cbor:"1,keyasint"`
}

// Receive handles a message. The transport must have authenticated from. A message is ignored if
// its names don't match its sender and this member.
func (r *Replica) Receive(now float64, from members.ID, m *Message) {
	r.now = max(r.now, now)
	if m.From.Name != from || m.To.Name != r.cfg.Self || from == r.cfg.Self {
		return
	}
	switch {
	case m.VouchRequest != nil:
		r.handleVouchRequest(m)
	case m.VouchResponse != nil:
		r.handleVouchResponse(from, m.VouchResponse)
	case m.Join != nil:
		r.handleJoin(from, m)
	case m.Redirect != nil:
		r.handleRedirect(m.Redirect)
	case m.Invite:
		r.handleInvite(m)
	case m.Raft != nil:
		r.handleRaft(m)
	}
}

// TakeMessages returns the messages to send that were enqueued since the last call.
func (r *Replica) TakeMessages() []Message {
	out := r.outgoing
	r.outgoing = nil
	return out
}

// send enqueues a message of this incarnation.
func (r *Replica) send(to Incarnation, m Message) {
	m.From = r.incarnation
	m.To = to
	m.Run = r.run
	r.outgoing = append(r.outgoing, m)
}
