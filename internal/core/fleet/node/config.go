package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// ConfigFacts are what a node is told at its start where the fleet agrees on configuration.
type ConfigFacts struct {
	Kept config.Kept
}

// configEnvironment is what the configuration's replica sees of its node.
type configEnvironment struct{ node *Node }

// Members are all that are known, this one among them.
func (e configEnvironment) Members() []members.Member { return e.node.members.Members() }

// Member is what is believed of one.
func (e configEnvironment) Member(id members.ID) (members.Member, bool) {
	return e.node.members.Lookup(id)
}

// Voters are the quorum's, as far as this one knows.
func (e configEnvironment) Voters() []members.ID { return e.node.Voters() }

// Leader is the quorum's; empty: not known.
func (e configEnvironment) Leader() members.ID { return e.node.Leader() }

// Leads tells whether this one leads the quorum and knows all that was agreed on.
func (e configEnvironment) Leads() bool { return e.node.quorum.LeadsCaughtUp() }

// Voting tells whether this one is a voter.
func (e configEnvironment) Voting() bool {
	role, _ := e.node.quorum.Role()
	return role == quorum.Voter
}

// State is what the quorum agreed on.
func (e configEnvironment) State() *config.State { return e.node.quorum.ConfigState() }

// Propose puts a proposal into the quorum's log, where this one leads.
func (e configEnvironment) Propose(p config.Proposal) bool {
	return e.node.quorum.ProposeConfig(e.node.facts.Self.ID, p)
}

// Config lets the caller use the configuration's replica, and carries out what follows. It does nothing where the fleet
// does not agree on configuration.
func (n *Node) Config(now float64, use func(*config.Replica)) {
	if n.config == nil {
		return
	}
	n.now = max(n.now, now)
	use(n.config)
	n.turn()
}

// startConfig begins with what the folder holds.
func (n *Node) startConfig() {
	if n.facts.Config == nil {
		return
	}
	facts := config.Facts{Self: n.facts.Self.ID, Run: n.facts.Self.Run, Seed: n.facts.Seed + 3}
	n.config = config.New(facts, configEnvironment{n}, n.facts.Config.Kept, n.now)
}

// summary is what rides on membership's messages; nil where there is nothing to tell.
func (n *Node) summary() *config.Message {
	if n.config == nil {
		return nil
	}
	s := n.config.Summary()
	if s == nil {
		return nil
	}
	return &config.Message{Summary: s}
}

// tellConfig lets the replica know what the quorum agreed on and who leads it, when either has changed.
func (n *Node) tellConfig() {
	newest := n.quorum.ConfigState().Newest()
	seen := configSeen{number: newest, leads: n.quorum.LeadsCaughtUp(), voting: configEnvironment{n}.Voting(), leader: n.Leader()}
	if seen == n.configSeen {
		return
	}
	n.configSeen = seen
	n.config.Agreed(n.now)
}

// configSeen is what the replica was last told of the quorum.
type configSeen struct {
	number uint64
	leads  bool
	voting bool
	leader members.ID
}

// maxLocalRounds bounds how often a replica's messages to itself are delivered in one turn.
const maxLocalRounds = 16

// turnConfig lets the replica do what is to be done by now. What it sends to itself is delivered at once.
func (n *Node) turnConfig() {
	if n.config == nil {
		return
	}
	n.tellConfig()
	for range maxLocalRounds {
		out := n.config.Take()
		local := n.takeConfig(out)
		if len(local) == 0 {
			return
		}
		for _, m := range local {
			n.config.Receive(n.now, n.facts.Self.ID, &m)
		}
	}
}

// takeConfig adds an output of the replica to the node's, and returns the messages that it sends to itself.
func (n *Node) takeConfig(out config.Output) (local []config.Message) {
	for _, s := range out.Sends {
		if s.To == n.facts.Self.ID {
			local = append(local, s.Message)
			continue
		}
		n.send(s.To, Message{Config: &s.Message})
	}
	if out.Check != nil {
		n.out.Config.Check = out.Check
	}
	if out.Store != nil {
		n.out.Config.Store = out.Store
	}
	if out.Apply != nil {
		n.out.Config.Apply = out.Apply
	}
	n.out.Config.Outcomes = append(n.out.Config.Outcomes, out.Outcomes...)
	n.out.Config.Answers = append(n.out.Config.Answers, out.Answers...)
	n.out.Config.Documents = append(n.out.Config.Documents, out.Documents...)
	return local
}
