package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// effect lets an effect of another pass, or not.
func (n *Node) effect(from members.ID, e *Effect) {
	ok, risen := n.fencing.Admit(e.Grant.Name, e.Grant.Token)
	if ok {
		n.out.Effects = append(n.out.Effects, Accepted{from, *e})
	}
	n.out.Seen = n.out.Seen || risen
	n.send(from, Message{Verdict: &Verdict{Lease: e.Grant.Name, ID: e.ID, Accepted: ok, Seen: n.fencing.Seen()[e.Grant.Name]}})
}

// TryEffect sends an effect of a lease that this controller holds now; it is false where it does not, and then nothing is sent. The clock
// is looked at here, and the message goes after that: what a pause in between does is for the receiver's fencing check.
func (n *Node) TryEffect(now float64, w lease.Name, to members.ID, id uint64, data []byte) bool {
	n.now = max(n.now, now)
	token, _, ok := n.client.CanAct(n.now, w)
	if !ok {
		return false
	}
	n.send(to, Message{Effect: &Effect{lease.Grant{Name: w, Token: token}, id, data}})
	return true
}

// SendMessage sends a message of a job to the same job of another controller.
func (n *Node) SendMessage(now float64, to members.ID, data []byte) {
	n.now = max(n.now, now)
	n.send(to, Message{JobMessage: data})
}
