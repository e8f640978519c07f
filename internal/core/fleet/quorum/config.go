package quorum

import "mintkeel/internal/core/fleet/members"

// Config is the configuration of a replica, set when its process starts. Self and Run are required.
type Config struct {
	Self members.ID
	// Founders are the first voters, as configured by the operators. They are the members until
	// these have been changed.
	Founders []members.ID
	// Run is a random number drawn when the process starts.
	Run uint64
	// NextDisk is the random number that identifies the next incarnation, if this one ends.
	NextDisk uint64
	// Seed is the seed of the election timeouts.
	Seed int64
}

// Intervals and timeouts in ms.
const (
	// tickInterval is the time between two ticks of the raft library.
	tickInterval = 100.0
	// electionTimeout is the shortest time without a message from a leader after which a voter
	// campaigns. A random time of up to as much again is added.
	electionTimeout = tickInterval * electionTicks
	// vouchInterval is the time between two requests of an unverified member to the others.
	vouchInterval = 500.0
	// vouchTimeout is the time after which an unverified member that not all others have answered
	// requests to join as another incarnation, if the others have a leader.
	vouchTimeout = 5000.0
	// joinInterval is the time between two requests to join, and between two invitations.
	joinInterval = 1000.0
	// joinTimeout is the time after which a request to join that was not repeated is discarded.
	joinTimeout = 5 * joinInterval
	// settleTime is how long a new leader observes which members respond before it changes the
	// members.
	settleTime = 2 * electionTimeout
	// stepDownDelay is how long a leader that was removed continues to lead.
	stepDownDelay = 2 * electionTimeout
	// changeTimeout is the time after which a change of the members that was not applied is proposed
	// again.
	changeTimeout = 3000.0
	// replaceTimeout is the time after which a replacement that was not completed is discarded.
	replaceTimeout = 600000.0
	// nonMemberInterval is the time between two ticks of a controller that is no member.
	nonMemberInterval = 60000.0
)

// Limits on counts and sizes.
const (
	// electionTicks is the election timeout in ticks.
	electionTicks = 10
	// heartbeatTicks is the interval of a leader's heartbeats in ticks.
	heartbeatTicks = 3
	// snapshotEntries is the number of applied entries between two snapshots.
	snapshotEntries = 256
	// promotionDistance is how many entries a learner may lack and still be promoted to voter.
	promotionDistance = 16
	// maxRemembered bounds each of the sets of retired incarnations, removed members, join requests,
	// replacements, unknown senders, requesting runs and extra vouchers.
	maxRemembered = 64
	// maxWaiting bounds the received messages that wait until their serials are durable.
	maxWaiting = 256
	// maxNameBytes bounds the names in messages.
	maxNameBytes = 64
	// maxMessageBytes bounds the entries of one raft message.
	maxMessageBytes = 64 << 10
	// maxReadyBytes bounds the committed entries of one Ready.
	maxReadyBytes = 1 << 20
	// maxPendingBytes bounds the proposals that are not committed yet.
	maxPendingBytes = 1 << 20
	// maxInflight bounds the raft messages to one member that it has not acknowledged.
	maxInflight = 64
	// maxEntriesBytes is the size limit of a read of entries from the storage. It is far above what
	// the storage ever holds.
	maxEntriesBytes = 1 << 30
)
