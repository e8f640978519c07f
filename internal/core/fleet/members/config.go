package members

// Config holds the intervals, timeouts and bounds of the protocol. All controllers of a fleet
// should use the same. The zero value is not usable; begin with DefaultConfig.
type Config struct {
	// ProbeInterval is the time between two probes in ms, longer while the local health score is
	// above 0. Default 1000; must be above 0, or Tick is always due.
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
	// SuspicionMaxMult times the shortest suspicion timeout is the longest, which applies to a suspect
	// that no second member suspects. Default 6; 0 or 1: all timeouts are the shortest.
	SuspicionMaxMult float64
	// SyncInterval is the time between two anti-entropy exchanges in ms. Default 10000; 0: one at
	// each tick.
	SyncInterval float64
	// ReconnectInterval is the time between pings of dead members in ms, which find the end of a
	// network partition. Default 5000; 0: one at each tick.
	ReconnectInterval float64
	// ReclaimTime is how long a dead or left member is kept before it is removed, in ms. Default
	// 24 h; 0: until the next reconnect.
	ReclaimTime float64
	// MaxUpdates is the maximum number of updates in a message, besides those that the receiver must
	// get. Default 8; 0: no gossip.
	MaxUpdates int
	// MaxSyncMembers is the maximum number of members in a part of an anti-entropy exchange. Default
	// 200; must be above 0.
	MaxSyncMembers int
	// MaxMembers bounds the members known at once, and the pings relayed at once. Default 4096; 0:
	// only the seeds are accepted as members.
	MaxMembers int
}

// DefaultConfig returns the configuration for fleets of three to a thousand controllers. A suspect
// in a fleet of a thousand has 12 to 72 s to refute, so a process that pauses for a few seconds is
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
	// maxHealthScore is the highest local health score: the probe interval and timeout are multiplied
	// by at most 1+maxHealthScore.
	maxHealthScore = 8
	// maxSuspicionConfirmations is how many independent confirmations reduce a suspicion timeout to
	// the shortest.
	maxSuspicionConfirmations = 3
	// retransmitMult times log2 of the fleet's size is how often an update is sent before it is
	// removed from the queue.
	retransmitMult = 4.0
	// syncedUpdateTransmits is how often an update learned by anti-entropy counts as sent already:
	// updates learned by gossip, which fewer members know, are sent first.
	syncedUpdateTransmits = 10
	// pauseHealthPenalty is added to the health score after a pause of this process.
	pauseHealthPenalty = 2
	// intervalJitter is the largest fraction by which an interval is randomly made shorter or longer,
	// so that members don't act at the same times.
	intervalJitter = 0.1
	// requiredUpdates is the number of updates that a message may carry beyond MaxUpdates: one about
	// the receiver and one about the sender.
	requiredUpdates = 2
)
