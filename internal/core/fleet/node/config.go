package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Config is what a node is given when its process starts.
type Config struct {
	Self        members.Member // with the Run of this process
	Seeds       []members.Member
	Founders    []members.ID // of the quorum
	Leases      []lease.Name // to be declared, if this node leads the quorum
	LeaseTiming lease.Timing
	Membership  members.Config
	NextDisk    uint64       // see quorum.Config
	Seed        int64        // of all random draws
	FleetConfig *FleetConfig // nil: the fleet does not agree on configuration
}

// FleetConfig is what a node is given at its start if the fleet agrees on configuration.
type FleetConfig struct {
	Stored config.StoredState // what the folder holds
}

// quorumConfig returns the configuration of the node's replica in the quorum.
func (c Config) quorumConfig() quorum.Config {
	return quorum.Config{
		Self:     c.Self.ID,
		Founders: c.Founders,
		Run:      c.Self.Run,
		NextDisk: c.NextDisk,
		Seed:     c.Seed + quorumSeedOffset,
	}
}

// Offsets from Config.Seed, so that the parts of a node draw different numbers. Membership draws
// from the seed itself.
const (
	quorumSeedOffset = 1
	refSeedOffset    = 2 // of the numbers of proposals
	configSeedOffset = 3
	viewSeedOffset   = 4 // of requests for the quorum's view
)

// Intervals and timeouts in ms.
const (
	// offerInterval is the time between two offers of a lease to a holder that does not renew it. A
	// leader checks the leases at least that often.
	offerInterval = 1000.0
	// minManageInterval is the shortest time between two checks of the leases by a leader.
	minManageInterval = 50.0
	// releaseInterval is the time between two messages about a release.
	releaseInterval = 300.0
	// releaseTimeout is the time after which a release that was not confirmed is given up: the quorum
	// then waits for the lease to expire.
	releaseTimeout = 10000.0
	// preferInterval is the time between two messages about an operator's preference.
	preferInterval = 1000.0
	// preferTimeout is the time after which a preference that does not show in the agreed state is
	// given up.
	preferTimeout = 10000.0
)

// Counts and bounds.
const (
	// maxReleases bounds the releases that are not confirmed yet.
	maxReleases = 256
	// maxPreferences bounds the operators' preferences that are not agreed on yet.
	maxPreferences = 256
	// maxUnanswered bounds the proposals that are to be answered when they are agreed on.
	maxUnanswered = 4096
	// maxBatchedRenewals bounds the renewals that a leader gathers; with so many they are proposed at once.
	maxBatchedRenewals = 256
	// maxProcessRounds bounds how often the parts of a node handle each other's output in one call.
	maxProcessRounds = 4
	// maxLocalRounds bounds how often the configuration's messages to itself are delivered in one
	// call.
	maxLocalRounds = 16
	// leaderTimeoutRenewals is the number of renew intervals without a message of the leader after
	// which another member is asked which one leads.
	leaderTimeoutRenewals = 2
)

// Requests for the quorum's view by a controller that is no member.
const (
	// viewInterval is the shortest usual interval between two requests, in ms.
	viewInterval = 5000.0
	// viewIntervalPerMember times the members of the fleet is the interval in a large fleet, in ms, so
	// that the whole fleet sends at most ten requests a second.
	viewIntervalPerMember = 100.0
	// currentViewFactor multiplies the interval while nothing has changed since the last view.
	currentViewFactor = 10.0
	// viewJitterShare is by which share of itself the interval is drawn shorter or longer, so that
	// controllers that started together soon send their requests apart.
	viewJitterShare = 0.5
)
