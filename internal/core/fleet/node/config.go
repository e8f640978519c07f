package node

import (
	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
)

// Config is the configuration of a node, set when its process starts.
type Config struct {
	Self        members.Member // with the Run of this process
	Seeds       []members.Member
	Founders    []members.ID // of the quorum
	Leases      []lease.Name // which this node declares while it leads the quorum
	LeaseTiming lease.Timing
	Membership  members.Config
	NextDisk    uint64       // see quorum.Config
	Seed        int64        // of all random numbers
	FleetConfig *FleetConfig // nil: the fleet has no replicated configuration
}

// FleetConfig is set in a Config if the fleet has a replicated configuration.
type FleetConfig struct {
	Stored config.StoredState // as read from the controller's folder
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

// Offsets from Config.Seed, so that the parts of a node generate different random numbers.
// Membership uses the seed itself.
const (
	quorumSeedOffset = 1
	refSeedOffset    = 2 // of the first proposal number
	configSeedOffset = 3
	viewSeedOffset   = 4 // of the requests for the quorum's view
)

// Intervals and timeouts in ms.
const (
	// offerInterval is the time between two offers of a lease to a holder that does not renew it. It
	// is also the longest time between two checks of the leases by a leader.
	offerInterval = 1000.0
	// minManageInterval is the shortest time between two checks of the leases by a leader.
	minManageInterval = 50.0
	// releaseInterval is the time between two messages about a release.
	releaseInterval = 300.0
	// releaseTimeout is the time after which a release that was not confirmed is no longer sent: the
	// lease then has to expire.
	releaseTimeout = 10000.0
	// preferInterval is the time between two messages about an operator's preference.
	preferInterval = 1000.0
	// preferTimeout is the time after which a preference that has not become part of the replicated
	// state is no longer sent.
	preferTimeout = 10000.0
)

// Limits on counts.
const (
	// maxReleases bounds the releases that are not confirmed yet.
	maxReleases = 256
	// maxPreferences bounds the operators' preferences that are not committed yet.
	maxPreferences = 256
	// maxUnanswered bounds the proposals that have to be answered when they are applied.
	maxUnanswered = 4096
	// maxBatchedRenewals bounds the renewals in a leader's batch; a full batch is proposed at once.
	maxBatchedRenewals = 256
	// maxProcessRounds bounds how often the parts of a node handle each other's output in one call.
	maxProcessRounds = 4
	// maxLocalRounds bounds how often the configuration replica's messages to itself are delivered in
	// one call.
	maxLocalRounds = 16
	// leaderTimeoutRenewals is the number of renew intervals without a message from the leader after
	// which messages for the leader go to other members of the quorum.
	leaderTimeoutRenewals = 2
)

// Intervals at which a controller that is no member of the quorum requests the quorum's view.
const (
	// viewInterval is the interval between two requests in a small fleet, in ms.
	viewInterval = 5000.0
	// viewIntervalPerMember times the size of the fleet is the interval in a large fleet, in ms, so
	// that the whole fleet sends at most ten requests a second.
	viewIntervalPerMember = 100.0
	// currentViewFactor multiplies the interval while nothing has changed since the last view.
	currentViewFactor = 10.0
	// viewJitterShare is the largest fraction by which the interval is randomly made shorter or
	// longer, so that the requests of controllers that started together soon spread over time.
	viewJitterShare = 0.5
)
