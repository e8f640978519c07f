package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// configEnvironment is what the configuration's replica sees of its node. It implements
// config.Environment.
type configEnvironment struct {
	node *Node
}

// Members returns all known members, this controller among them.
func (e configEnvironment) Members() []members.Member { return e.node.members.Members() }

// Member returns what is believed of a member, and whether it is known.
func (e configEnvironment) Member(id members.ID) (members.Member, bool) {
	return e.node.members.Lookup(id)
}

// Voters returns the quorum's members, as far as this controller knows.
func (e configEnvironment) Voters() []members.ID { return e.node.Voters() }

// Leader returns the quorum's leader; empty: not known.
func (e configEnvironment) Leader() members.ID { return e.node.Leader() }

// Leads reports whether this controller leads the quorum and has applied all that was agreed on.
func (e configEnvironment) Leads() bool { return e.node.quorum.LeadsCaughtUp() }

// Voting reports whether this controller is a voter.
func (e configEnvironment) Voting() bool {
	role, _ := e.node.quorum.Role()
	return role == quorum.Voter
}

// State returns what the quorum agreed on.
func (e configEnvironment) State() *config.State { return e.node.quorum.ConfigState() }

// Propose proposes to the quorum, if this controller leads it.
func (e configEnvironment) Propose(p config.Proposal) bool {
	return e.node.quorum.ProposeConfig(e.node.cfg.Self.ID, p)
}

// WithConfig calls a function with the configuration's replica, and carries out what follows from
// it. It does nothing if the fleet does not agree on configuration.
func (n *Node) WithConfig(now float64, use func(*config.Replica)) {
	if n.config == nil {
		return
	}
	n.now = max(n.now, now)
	use(n.config)
	n.process()
}

// startConfig starts the replica of the configuration from what the folder holds.
func (n *Node) startConfig() {
	if n.cfg.FleetConfig == nil {
		return
	}
	options := config.Options{
		Self: n.cfg.Self.ID,
		Run:  n.cfg.Self.Run,
		Seed: n.cfg.Seed + configSeedOffset,
	}
	n.config = config.New(options, configEnvironment{n}, n.cfg.FleetConfig.Stored, n.now)
}

// configSummary returns the summary of the configuration that accompanies membership messages; nil:
// there is none.
func (n *Node) configSummary() *config.Message {
	if n.config == nil {
		return nil
	}
	summary := n.config.Summary()
	if summary == nil {
		return nil
	}
	return &config.Message{Summary: summary}
}

// quorumState is the part of the quorum's state of which the configuration's replica is notified
// when it changes.
type quorumState struct {
	newestVersion uint64
	leads         bool
	voting        bool
	leader        members.ID
}

// notifyConfig notifies the replica when the newest agreed version, the leader or this controller's
// role has changed.
func (n *Node) notifyConfig() {
	state := quorumState{
		newestVersion: n.quorum.ConfigState().Newest(),
		leads:         n.quorum.LeadsCaughtUp(),
		voting:        configEnvironment{n}.Voting(),
		leader:        n.Leader(),
	}
	if state == n.lastQuorumState {
		return
	}
	n.lastQuorumState = state
	n.config.QuorumChanged(n.now)
}

// processConfig lets the replica do what is due. Its messages to itself are delivered at once.
func (n *Node) processConfig() {
	if n.config == nil {
		return
	}
	n.notifyConfig()
	for range maxLocalRounds {
		out := n.config.Take()
		local := n.collectConfig(out)
		if len(local) == 0 {
			return
		}
		for _, m := range local {
			n.config.Receive(n.now, n.cfg.Self.ID, &m)
		}
	}
}

// collectConfig adds an output of the replica to the node's, and returns the messages that it sends
// to itself.
func (n *Node) collectConfig(out config.Output) (local []config.Message) {
	for _, s := range out.Messages {
		if s.To == n.cfg.Self.ID {
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
	n.out.Config.ProposalResults = append(n.out.Config.ProposalResults, out.ProposalResults...)
	n.out.Config.QueryResults = append(n.out.Config.QueryResults, out.QueryResults...)
	n.out.Config.DocumentResults = append(n.out.Config.DocumentResults, out.DocumentResults...)
	return local
}
