package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// configEnvironment gives the configuration replica access to its node. It implements
// config.Environment.
type configEnvironment struct {
	node *Node
}

// Members returns all known members, including this controller.
func (e configEnvironment) Members() []members.Member { return e.node.members.Members() }

// Member returns what is believed of a member, and whether it is known.
func (e configEnvironment) Member(id members.ID) (members.Member, bool) {
	return e.node.members.Lookup(id)
}

// Voters returns the quorum's members, as far as this controller knows.
func (e configEnvironment) Voters() []members.ID { return e.node.Voters() }

// Leader returns the quorum's leader, or empty if this controller knows none.
func (e configEnvironment) Leader() members.ID { return e.node.Leader() }

// Leads reports whether this controller leads the quorum and has applied all that was committed
// before its term.
func (e configEnvironment) Leads() bool { return e.node.quorum.LeadsCaughtUp() }

// Voting reports whether this controller is a voter.
func (e configEnvironment) Voting() bool {
	role, _ := e.node.quorum.Role()
	return role == quorum.Voter
}

// State returns the quorum's replicated state of the configuration.
func (e configEnvironment) State() *config.State { return e.node.quorum.ConfigState() }

// Propose proposes a version to the quorum. It returns false if this controller does not lead or
// too much is pending.
func (e configEnvironment) Propose(p config.Proposal) bool {
	return e.node.quorum.ProposeConfig(e.node.cfg.Self.ID, p)
}

// WithConfig calls a function with the configuration replica, then processes the replica's output.
// It does nothing if the fleet has no replicated configuration.
func (n *Node) WithConfig(now float64, use func(*config.Replica)) {
	if n.config == nil {
		return
	}
	n.now = max(n.now, now)
	use(n.config)
	n.process()
}

// startConfig starts the configuration replica from its stored state.
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

// configSummary returns the summary of the configuration that accompanies membership messages, or
// nil if there is none.
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

// quorumState is the part of the quorum's state whose changes the configuration replica is notified
// of.
type quorumState struct {
	newestVersion uint64
	leads         bool
	voting        bool
	leader        members.ID
}

// notifyConfig notifies the configuration replica if the newest committed version, the leader or
// this controller's role has changed.
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

// processConfig notifies the configuration replica and takes its output. The replica's messages to
// itself are delivered at once.
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

// collectConfig adds an output of the configuration replica to the node's output, and returns the
// messages that the replica sends to itself.
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
