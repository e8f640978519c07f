package node

import (
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
)

// TryEffect sends an effect under a lease that this controller holds. It returns false, and sends
// nothing, if the controller does not hold the lease. The hold time is checked here and the message
// is sent later: if the process pauses in between, and the receiver has seen the next holder's
// token meanwhile, its fencing check rejects the effect.
func (n *Node) TryEffect(now float64, name lease.Name, to members.ID, id uint64, data []byte) bool {
	n.now = max(n.now, now)
	grant, held := n.currentGrant(name)
	if !held {
		return false
	}
	n.send(to, Message{Effect: &Effect{Grant: grant, ID: id, Data: data}})
	return true
}

// handleEffect accepts or rejects an effect of another controller by the fencing check, and
// answers.
func (n *Node) handleEffect(from members.ID, e *Effect) {
	ok, isNew := n.fencing.Admit(e.Grant.Name, e.Grant.Token)
	if ok {
		n.out.Effects = append(n.out.Effects, AcceptedEffect{From: from, Effect: *e})
	}
	n.out.TokensRaised = n.out.TokensRaised || isNew
	n.send(from, Message{EffectResponse: &EffectResponse{
		Lease:        e.Grant.Name,
		ID:           e.ID,
		HighestToken: n.fencing.Seen()[e.Grant.Name],
		Accepted:     ok,
	}})
}

// raiseTokens records which fencing tokens are in use. A controller that restarted without stored
// tokens learns them again this way.
func (n *Node) raiseTokens(leases []lease.Lease) {
	before := n.fencing.Seen()
	for _, l := range leases {
		if l.Token > before[l.Name] {
			n.fencing.Raise(l.Name, l.Token)
			n.out.TokensRaised = true
		}
	}
}

// FencingTokens returns the highest fencing token seen of each lease. The caller makes them durable
// if effects outlive a restart.
func (n *Node) FencingTokens() map[lease.Name]lease.Token { return n.fencing.Seen() }

// SendMessage sends a message of a job to the same job at another controller. It may be lost.
func (n *Node) SendMessage(now float64, to members.ID, data []byte) {
	n.now = max(n.now, now)
	n.send(to, Message{JobMessage: data})
}
