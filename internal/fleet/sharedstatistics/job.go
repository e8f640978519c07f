package sharedstatistics

import (
	"context"
	"log/slog"
	"math/rand"
	"slices"
	"sync"
	"time"

	"mintkeel/internal/core/fleet/digest"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/memory"
	"mintkeel/router"
)

// Lease is the name of the lease for gathering and publishing statistics.
const Lease lease.Name = "digest"

// Intervals of the session's goroutine, in ms of the monotonic clock.
const (
	gatherInterval     = 5000.0   // between two rounds of requests for statistics
	publishInterval    = 5000.0   // between two digests
	newcomerInterval   = 500.0    // between two requests of a newcomer for the digest
	newcomerWindow     = 15000.0  // after its start, in which a newcomer requests the digest
	digestLifetime     = 120000.0 // age up to which a voter sends a digest to newcomers
	digestSendInterval = 100.0    // between two digests that a voter sends to newcomers
)

// collectTimeout bounds the time to read the controller's own statistics.
const collectTimeout = 2 * time.Second

// Bounds on requests and statistics.
const (
	gatherPeers      = 4    // controllers that a round of requests goes to
	newcomerPeers    = 2    // voters that a newcomer's request goes to
	partRecords      = 1000 // records read from the loop at once
	maxRecords       = 6000 // records after which a controller reads no further part
	maxSnapshotBytes = 400 << 10
)

// Host is what the job needs of its controller.
type Host struct {
	Source   memory.StatisticsSource // nil if this controller has no statistics to send
	Settings uint64                  // hash of the settings, which number classes and machine kinds
	Restore  func(router.Statistics) // restores the fleet's statistics; nil if there are own ones
	Log      *slog.Logger
}

// Job is the job of the digest lease.
type Job struct {
	host  Host
	rng   *rand.Rand
	clock func() float64 // ms since 1970, as in statistics

	// State of the lease holder, owned by the session's goroutine.
	holdsLease    bool
	gathered      digest.Collector
	nextGatherAt  float64 // ms, when the next round of requests is due
	nextPublishAt float64 // ms, when the next digest is due
	effectID      uint64  // of the last digest sent

	// State of a voter, owned by the session's goroutine.
	latestDigest     *snapshot // nil if none was received
	digestReceivedAt time.Time
	nextDigestSendAt float64 // ms, from when the digest may be sent again

	// State of a newcomer, owned by the session's goroutine.
	needsDigest   bool    // the controller has no statistics yet and requests the digest
	startedAt     float64 // ms, of the first Tick
	nextRequestAt float64 // ms, when the next request is due

	mu         sync.Mutex // guards the fields up to requester
	collecting bool
	collected  []byte     // the controller's own statistics to be sent, encoded; nil if there are none
	requester  members.ID // controller that requested them

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// NewJob returns the job of one controller; Close ends it.
func NewJob(host Host) *Job {
	ctx, end := context.WithCancel(context.Background())
	return &Job{
		host:        host,
		rng:         rand.New(rand.NewSource(rand.Int63())),
		clock:       func() float64 { return float64(time.Now().UnixMicro()) / 1e3 },
		needsDigest: host.Restore != nil,
		ctx:         ctx,
		cancel:      end,
	}
}

// LeaseAcquired starts the work of the lease holder.
func (j *Job) LeaseAcquired(jobContext job.Context, grant lease.Grant) {
	if grant.Name != Lease {
		return
	}
	j.holdsLease = true
	j.nextGatherAt = jobContext.Now()
	j.nextPublishAt = jobContext.Now() + publishInterval/2
	j.gathered = digest.Collector{}
}

// LeaseLost ends the work of the lease holder.
func (j *Job) LeaseLost(grant lease.Grant) {
	if grant.Name == Lease {
		j.holdsLease = false
	}
}

// EffectResponseReceived does nothing: the next digest is sent at the next interval in any case.
func (j *Job) EffectResponseReceived(node.EffectResponse) {}

// StateReceived does nothing: the lease has no state.
func (j *Job) StateReceived(job.Context, node.Checkpoint) {}

// Close ends the goroutine of the job.
func (j *Job) Close() {
	j.cancel()
	j.group.Wait()
}

// Tick sends the messages that are due: collected statistics, a lease holder's requests and digest,
// and a newcomer's request.
func (j *Job) Tick(jobContext job.Context, now float64) {
	if j.startedAt == 0 {
		j.startedAt = now
	}
	j.sendCollected(jobContext)
	if j.holdsLease && now >= j.nextGatherAt {
		j.nextGatherAt = now + gatherInterval
		j.gather(jobContext)
	}
	if j.holdsLease && now >= j.nextPublishAt {
		j.nextPublishAt = now + publishInterval
		j.publish(jobContext)
	}
	if j.needsDigest && now >= j.nextRequestAt {
		j.nextRequestAt = now + newcomerInterval
		j.needsDigest = now < j.startedAt+newcomerWindow
		if j.needsDigest {
			j.requestDigest(jobContext)
		}
	}
}

// EffectReceived stores the digest of the latest lease holder in memory.
func (j *Job) EffectReceived(_ job.Context, _ members.ID, effect node.Effect) {
	if effect.Grant.Name != Lease {
		return
	}
	var received snapshot
	err := frames.Decoder.Unmarshal(effect.Data, &received)
	if err != nil || len(received.Data) > maxSnapshotBytes {
		return
	}
	received.Token = uint64(effect.Grant.Token)
	j.latestDigest = &received
	j.digestReceivedAt = time.Now()
}

// MessageReceived handles a request or statistics. It returns false for a message of another job.
func (j *Job) MessageReceived(jobContext job.Context, from members.ID, data []byte) bool {
	var received message
	if err := frames.Decoder.Unmarshal(data, &received); err != nil || !received.Digest {
		return false
	}
	switch {
	case received.RequestStatistics:
		j.collect(from)
	case received.RequestDigest:
		j.sendDigest(jobContext, from)
	case received.Snapshot != nil && received.Snapshot.Whole:
		j.restoreDigest(received.Snapshot)
	case received.Snapshot != nil && j.holdsLease:
		j.addReport(from, received.Snapshot)
	}
	return true
}

// drawPeers returns up to count random other members that are alive and eligible.
func (j *Job) drawPeers(
	jobContext job.Context, count int, eligible func(members.Member) bool,
) (peers []members.ID) {
	for _, m := range jobContext.Members() {
		if m.State == members.Alive && m.ID != jobContext.Self() && eligible(m) {
			peers = append(peers, m.ID)
		}
	}
	j.rng.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(count, len(peers))]
}

// isVoter returns a function that reports whether a member is a voter.
func isVoter(jobContext job.Context) func(members.Member) bool {
	voters := jobContext.Voters()
	return func(m members.Member) bool { return slices.Contains(voters, m.ID) }
}
