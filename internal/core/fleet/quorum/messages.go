package quorum

import "mintkeel/internal/core/fleet/members"

// Message is one between members. Exactly one of Raft, Ask, Answer, Join, Invite and Redirect is set.
type Message struct {
	From     Incarnation `cbor:"1,keyasint"`
	To       Incarnation `cbor:"2,keyasint"`
	Raft     []byte      `cbor:"3,keyasint,omitempty"`
	Serial   uint64      `cbor:"4,keyasint,omitempty"` // of the sender's record that Raft depends on; 0: it depends on none
	Ask      *Ask        `cbor:"5,keyasint,omitempty"`
	Answer   *Answer     `cbor:"6,keyasint,omitempty"`
	Join     *Join       `cbor:"7,keyasint,omitempty"`
	Run      uint64      `cbor:"8,keyasint,omitempty"` // of the sender's process
	Invite   bool        `cbor:"9,keyasint,omitempty"` // the leader asks a controller outside to join
	Redirect *Redirect   `cbor:"10,keyasint,omitempty"`
}

// Ask is sent by a member that starts: what is the highest serial that you received from this incarnation of mine?
type Ask struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Answer answers an Ask of a run.
type Answer struct {
	Run     uint64 `cbor:"1,keyasint"`
	Mark    uint64 `cbor:"2,keyasint"`
	Retired bool   `cbor:"3,keyasint,omitempty"` // that incarnation has ended
	Led     bool   `cbor:"4,keyasint,omitempty"` // the quorum has a leader other than the asker

	Members []members.ID `cbor:"5,keyasint,omitempty"` // as of Index; one whose folder is older has to ask them too
	Index   uint64       `cbor:"6,keyasint,omitempty"` // of the last entry of the consensus that the sender has applied
	Pending []members.ID `cbor:"7,keyasint,omitempty"` // added by later entries, which may not be agreed on yet: to be asked in any case
}

// Join asks to be taken in, as a new incarnation.
type Join struct {
	Run uint64 `cbor:"1,keyasint"`
}

// Redirect answers a Join that came to a member that does not lead.
type Redirect struct {
	Leader members.ID `cbor:"1,keyasint"`
}

// Receive takes in a message of a member. A message whose names don't fit its sender or this member is ignored.
func (r *Replica) Receive(now float64, from members.ID, m *Message) {
	r.now = max(r.now, now)
	if m.From.Name != from || m.To.Name != r.facts.Self || from == r.facts.Self {
		return
	}
	switch {
	case m.Ask != nil:
		r.answerAsk(m)
	case m.Answer != nil:
		r.receiveAnswer(from, m.Answer)
	case m.Join != nil:
		r.receiveJoin(from, m)
	case m.Redirect != nil:
		r.receiveRedirect(m.Redirect)
	case m.Invite:
		r.receiveInvite(m)
	case m.Raft != nil:
		r.receiveRaft(m)
	}
}

// Out hands over the messages that are to be sent since the last call.
func (r *Replica) Out() []Message {
	out := r.out
	r.out = nil
	return out
}

// send enqueues a message of this incarnation.
func (r *Replica) send(to Incarnation, m Message) {
	m.From, m.To, m.Run = r.incarnation, to, r.run
	r.out = append(r.out, m)
}
