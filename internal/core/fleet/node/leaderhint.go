package node

import "mintkeel/internal/core/fleet/members"

// LeaderHint names the quorum's leader of a term, and tells how far what the quorum agrees on has changed. It rides on
// membership's messages, so that a controller outside the quorum learns of both within seconds and need not ask the voters
// for them: in a fleet of hundreds these could not answer all of them each few seconds.
type LeaderHint struct {
	ID      members.ID `cbor:"1,keyasint"`
	Term    uint64     `cbor:"2,keyasint"`
	Changed uint64     `cbor:"3,keyasint,omitempty"` // the quorum's ChangedIndex; 0: not told
}

// Times between two requests for the quorum's view by a controller outside it, in ms.
const (
	viewInterval    = 5000.0 // at least
	viewPerMember   = 100.0  // for each member of the fleet, so that all together ask ten times a second
	viewCurrent     = 10.0   // times as long where nothing has changed since the last view, as far as is heard
	viewJitterShare = 0.5    // by which the time is drawn shorter or longer: those that began together soon ask apart
)

// leaderHint is what this controller knows of the leader; nil: nothing.
func (n *Node) leaderHint() *LeaderHint {
	if leader := n.quorum.Leader(); leader != "" {
		n.leader, n.leaderTerm = leader, n.quorum.Term()
	}
	n.changed = max(n.changed, n.quorum.ChangedIndex())
	if n.leader == "" || n.leaderTerm == 0 {
		return nil
	}
	return &LeaderHint{ID: n.leader, Term: n.leaderTerm, Changed: n.changed}
}

// receiveLeaderHint takes in which controller leads. Of one term there is one leader, and a lower term is over. Where
// something has changed the view is asked for within the usual interval, by a draw: all hear of it at about one time.
func (n *Node) receiveLeaderHint(hint *LeaderHint) {
	if hint == nil || hint.ID == "" || hint.Term < n.leaderTerm {
		return
	}
	n.leader, n.leaderTerm = hint.ID, hint.Term
	if hint.Changed > n.changed {
		n.changed = hint.Changed
		n.viewAt = min(n.viewAt, n.now+n.viewWait()*n.rng.Float64())
	}
}

// viewIsCurrent tells whether this controller has a view since which nothing has changed, as far as it has heard.
func (n *Node) viewIsCurrent() bool { return n.viewChanged > 0 && n.viewChanged >= n.changed }

// viewWait is the usual interval between two requests for the view, in ms.
func (n *Node) viewWait() float64 {
	if n.leader == "" {
		return viewInterval
	}
	return max(viewInterval, viewPerMember*float64(n.members.Size()))
}

// nextView is when the view is to be asked for again.
func (n *Node) nextView() float64 {
	interval := n.viewWait()
	if n.leader != "" && n.viewIsCurrent() {
		interval *= viewCurrent
	}
	return n.now + interval*(1-viewJitterShare+2*viewJitterShare*n.rng.Float64())
}

// requestView asks for the quorum's view, unless this controller leads it.
func (n *Node) requestView() {
	n.viewAt = n.nextView()
	if !n.quorum.Leads() {
		n.toLeader(Message{ViewRequest: &ViewRequest{}})
	}
}

// sendMembership hands out what membership has to send. What this controller knows of the configuration and of the leader
// rides on it.
func (n *Node) sendMembership() {
	outs := n.members.TakeMessages()
	if len(outs) == 0 {
		return
	}
	summary, hint := n.summary(), n.leaderHint()
	for _, o := range outs {
		m := Message{Members: &o.Message, Config: summary, Leader: hint}
		n.out.Sends = append(n.out.Sends, Send{o.To, o.Addr, m})
	}
}
