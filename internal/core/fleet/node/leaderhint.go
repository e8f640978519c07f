package node

// leaderHint returns what this controller knows of the leader, or nil if it knows none. First it
// updates that from its own replica of the quorum.
func (n *Node) leaderHint() *LeaderHint {
	if leader := n.quorum.Leader(); leader != "" {
		n.leader.id = leader
		n.leader.term = n.quorum.Term()
	}
	n.view.latestIndex = max(n.view.latestIndex, n.quorum.ChangedIndex())
	if n.leader.id == "" || n.leader.term == 0 {
		return nil
	}
	return &LeaderHint{ID: n.leader.id, Term: n.leader.term, Changed: n.view.latestIndex}
}

// handleLeaderHint handles the leader that another controller names. A term has at most one leader,
// and a lower term has ended. If the quorum's view has changed, it is requested after a random part
// of the usual interval, as all controllers learn of the change at about the same time.
func (n *Node) handleLeaderHint(hint *LeaderHint) {
	if hint == nil || hint.ID == "" || hint.Term < n.leader.term {
		return
	}
	n.leader.id = hint.ID
	n.leader.term = hint.Term
	if hint.Changed > n.view.latestIndex {
		n.view.latestIndex = hint.Changed
		n.view.requestAt = min(n.view.requestAt, n.now+n.viewRequestInterval()*n.rng.Float64())
	}
}

// sendMembership sends the membership messages. Each carries the summary of the configuration and
// the leader as this controller knows them.
func (n *Node) sendMembership() {
	envelopes := n.members.TakeMessages()
	if len(envelopes) == 0 {
		return
	}
	summary := n.configSummary()
	hint := n.leaderHint()
	for _, e := range envelopes {
		m := Message{Members: &e.Message, Config: summary, Leader: hint}
		n.out.Messages = append(n.out.Messages, Envelope{To: e.To, Addr: e.Addr, Message: m})
	}
}
