package members

// Config holds the intervals, timeouts and bounds of the protocol. All controllers of a fleet
// should use the same. The zero value is not usable; begin with DefaultConfig.
type Config struct {
	// ProbeInterval is the time between two probes in ms, longer while the local health score is
	// above 0. Default 1000; must be above 0, else Tick is due at all times.
	ProbeInterval float64
	// ProbeTimeout is how long a ping may take, in ms, before others are asked to ping the member
	// too. Default 400; 0: they are asked at the next tick.
	ProbeTimeout float64
	// IndirectProbes is how many members are asked to ping one that did not answer. Default 3; 0:
	// none.
	IndirectProbes int
	// SuspicionMult times log10 of the fleet's size times ProbeInterval is the shortest suspicion
	// timeout. Default 4; 0: a suspect is declared dead at the next tick.
	SuspicionMult float64
	// SuspicionMaxMult times the shortest suspicion timeout is the longest: that of a suspect that
	// nobody else suspects. Default 6; 0 or 1: all timeouts are the shortest.
	SuspicionMaxMult float64
	// SyncInterval is the time between two anti-entropy exchanges in ms. Default 10000; 0: one at
	// each tick.
	SyncInterval float64
	// ReconnectInterval is the time between pings of dead members in ms, which find the end of a
	// network partition. Default 5000; 0: one at each tick.
	ReconnectInterval float64
	// ReclaimTime is after how long a dead or left member is removed, in ms. Default 24 h; 0: at
	// the next reconnect.
	ReclaimTime float64
	// MaxUpdates is how many updates a message carries at most, but for those that the receiver
	// must get. Default 8; 0: no gossip.
	MaxUpdates int
	// MaxSyncMembers is how many members a part of an anti-entropy exchange carries at most.
	// Default 200; must be above 0.
	MaxSyncMembers int
	// MaxMembers bounds the members known at once, and the pings relayed at once. Default 4096; 0:
	// no member but the seeds is accepted.
	MaxMembers int
}

// DefaultConfig returns the configuration for fleets of three to a thousand controllers. A suspect
// in a fleet of a thousand has 12 to 72 s to refute, so a process that pauses for some seconds is
// not declared dead.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:     1000,
		ProbeTimeout:      400,
		IndirectProbes:    3,
		SuspicionMult:     4,
		SuspicionMaxMult:  6,
		SyncInterval:      10000,
		ReconnectInterval: 5000,
		ReclaimTime:       24 * 3600 * 1000,
		MaxUpdates:        8,
		MaxSyncMembers:    200,
		MaxMembers:        4096,
	}
}

const (
	// maxHealthScore is the highest local health score: intervals are stretched to at most
	// 1+maxHealthScore times.
	maxHealthScore = 8
	// maxSuspicionConfirmations is how many independent confirmations bring a suspicion timeout
	// down to the shortest.
	maxSuspicionConfirmations = 3
	// retransmitMult times log2 of the fleet's size is how often an update is sent before it is
	// dropped from the queue.
	retransmitMult = 4.0
	// syncedUpdateTransmits is how often an update learned by anti-entropy counts as sent already:
	// fresh updates, which nobody else has yet, go first.
	syncedUpdateTransmits = 10
	// pauseHealthPenalty is added to the health score by a pause of this process.
	pauseHealthPenalty = 2
	// intervalJitter is by which share of itself an interval varies at most, up and down, so that
	// members don't act in step.
	intervalJitter = 0.1
	// requiredUpdates are the updates that a message carries beyond MaxUpdates: the receiver's own
	// and the sender's.
	requiredUpdates = 2
)
