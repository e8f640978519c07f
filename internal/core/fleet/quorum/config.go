package quorum

import "mintkeel/internal/core/fleet/members"

// Config is what a replica is given when its process starts. Self and Run are required.
type Config struct {
	Self members.ID
	// Founders are the first voters, by the operators' file. They count until the members have been
	// changed.
	Founders []members.ID
	// Run is a random number drawn when the process starts.
	Run uint64
	// NextDisk is a random number for the incarnation that follows this one, if there has to be one.
	NextDisk uint64
	// Seed is the seed of the election timeouts.
	Seed int64
}

// Intervals and timeouts in ms.
const (
	// tickInterval is the time between two ticks of the raft library.
	tickInterval = 100.0
	// electionTimeout is the time without a message of a leader after which a voter campaigns, plus up
	// to as much again by a random draw.
	electionTimeout = tickInterval * electionTicks
	// vouchInterval is the time between two requests of an unverified member to the others.
	vouchInterval = 500.0
	// vouchTimeout is the time after which an unverified member that not all others answer requests to
	// join as another incarnation, if the others have a leader.
	vouchTimeout = 5000.0
	// joinInterval is the time between two requests to join, and between two invitations.
	joinInterval = 1000.0
	// joinTimeout is the time after which a request to join that was not repeated is forgotten.
	joinTimeout = 5 * joinInterval
	// settleTime is for how long a new leader learns which members respond before it changes them.
	settleTime = 2 * electionTimeout
	// stepDownDelay is for how long a leader that was removed goes on leading.
	stepDownDelay = 2 * electionTimeout
	// changeTimeout is the time after which a change of the members that was not agreed on is proposed
	// again.
	changeTimeout = 3000.0
	// replaceTimeout is the time after which a replacement that was not completed is forgotten.
	replaceTimeout = 600000.0
	// nonMemberInterval is the time between two ticks of a controller that is no member.
	nonMemberInterval = 60000.0
)

// Counts and bounds.
const (
	// electionTicks is the election timeout in ticks.
	electionTicks = 10
	// heartbeatTicks is the interval of a leader's heartbeats in ticks.
	heartbeatTicks = 3
	// snapshotEntries is the number of applied entries between two snapshots.
	snapshotEntries = 256
	// promotionDistance is how many entries a learner may lack and still be promoted to voter.
	promotionDistance = 16
	// maxRemembered bounds the retired incarnations, join requests, replacements, unknown senders and
	// requesting runs that are remembered.
	maxRemembered = 64
	// maxWaiting bounds the messages that wait until the serials they carry are durable.
	maxWaiting = 256
	// maxNameBytes bounds the names in messages.
	maxNameBytes = 64
	// maxMessageBytes bounds the entries of one raft message.
	maxMessageBytes = 64 << 10
	// maxReadyBytes bounds the committed entries of one Ready.
	maxReadyBytes = 1 << 20
	// maxPendingBytes bounds the proposals that are not agreed on yet.
	maxPendingBytes = 1 << 20
	// maxInflight bounds the messages to one member that it has not acknowledged.
	maxInflight = 64
	// maxEntriesBytes bounds a read of entries from the storage, far above what it ever holds.
	maxEntriesBytes = 1 << 30
)
