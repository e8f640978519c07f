package maintenance

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/lease"
	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// Lease is the name of the lease for carrying out maintenance.
const Lease lease.Name = "maintenance"

// Intervals and timeouts of the session's goroutine, in ms of the monotonic clock.
const (
	stepInterval         = 500.0  // between two steps of the holder, and two confirmations
	announceInterval     = 1000.0 // between two announcements of the engines to hold
	confirmationLifetime = 5000.0 // how long a confirmation counts unless it is repeated
	proposalTimeout      = 2000.0 // for a proposal to be committed; then the state is read again
	lostEngineTimeout    = 3600e3 // after which an engine missing without a task counts as removed
)

// Timeouts of the job's own goroutines.
const (
	engineTimeout = 2 * time.Second  // for the loop to report the engines
	hookBackoff   = 10 * time.Second // until a failed program is run again
	hookWaitDelay = time.Second      // for a program's output to be closed after its end
)

// Bounds of the job's state. Requests and plans over the bound are rejected, other items left out.
const (
	maxPendingRequests = 64
	maxPlans           = 32
	maxKnownEngines    = 4096
	maxExcluded        = 256
	maxReasons         = 100
)

// Host is what the job needs of its controller. Goroutines of the job call its functions.
type Host struct {
	Engines func(ctx context.Context) ([]router.EngineStatus, error)
	Hold    func([]router.EngineID) // replaces the set of engines that get no new attempts
	Kinds   []string                // names of machine kinds, by number
	Bounds  [][]router.KindID       // machine kinds of each query class that is bound to some kinds
	Log     *slog.Logger
}

// Job is the job of the maintenance lease.
type Job struct {
	host  Host
	block atomic.Pointer[Block]
	now   func() float64 // ms since 1970

	// State of the lease holder, owned by the session's goroutine.
	holdsLease      bool
	grant           lease.Grant
	stateRead       bool // the committed state has been read
	agreed          agreedState
	serial          uint64 // of the agreed state
	proposing       bool
	proposedAt      float64 // ms
	nextStepAt      float64 // ms, when the next step is due
	nextAnnounceAt  float64 // ms, when the next announcement is due
	effectID        uint64  // of the last announcement
	confirmations   map[members.ID]confirmation
	reasons         []core.Reason            // why engines had to wait at the last decision
	waitReasons     map[core.EngineID]string // what the task of an engine waits for
	requests        []pendingRequest
	engineLostSince map[core.EngineID]float64 // ms, when this holder first saw the engine missing

	// State of every controller, owned by the session's goroutine.
	held          holdEffect // the latest announcement
	heldToken     lease.Token
	heldFrom      members.ID // sender of the latest announcement; empty if none was received
	nextConfirmAt float64    // ms, when the next confirmation is due
	replies       map[uint64]chan Status
	lastRequest   uint64

	mu          sync.Mutex            // guards the fields up to hooks
	engines     []router.EngineStatus // nil if not reported since the last change of toHold
	refreshing  bool
	holdChanges int               // number of changes of toHold
	toHold      []router.EngineID // engines that the loop is to hold
	appliedHold int               // value of holdChanges when the loop was last given toHold
	hooks       map[string]hookRun
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup
}

// NewJob returns the job of one controller; Close ends it.
func NewJob(host Host, b Block) *Job {
	ctx, end := context.WithCancel(context.Background())
	j := &Job{
		host:            host,
		now:             func() float64 { return float64(time.Now().UnixMicro()) / 1e3 },
		confirmations:   map[members.ID]confirmation{},
		waitReasons:     map[core.EngineID]string{},
		engineLostSince: map[core.EngineID]float64{},
		replies:         map[uint64]chan Status{},
		hooks:           map[string]hookRun{},
		// Random, so that an answer to an earlier process of this controller matches no request.
		lastRequest: rand.Uint64() >> 1,
		ctx:         ctx,
		cancel:      end,
	}
	j.block.Store(&b)
	return j
}

// SetBlock sets the block whose programs and times are used from now on. Running programs continue
// unchanged.
func (j *Job) SetBlock(b Block) { j.block.Store(&b) }

// LeaseAcquired starts the work of the lease holder, which reads the committed state before
// anything else.
func (j *Job) LeaseAcquired(jobContext job.Context, grant lease.Grant) {
	if grant.Name != Lease {
		return
	}
	j.holdsLease = true
	j.grant = grant
	j.stateRead = false
	j.proposing = false
	j.nextStepAt = jobContext.Now()
	j.confirmations = map[members.ID]confirmation{}
	jobContext.RequestState(Lease)
}

// LeaseLost ends the work of the lease holder.
func (j *Job) LeaseLost(grant lease.Grant) {
	if grant.Name == Lease {
		j.holdsLease = false
		j.stateRead = false
	}
}

// Close ends the job and its programs.
func (j *Job) Close() {
	j.cancel()
	j.group.Wait()
}

// EffectResponseReceived does nothing: an announcement is repeated in any case.
func (j *Job) EffectResponseReceived(node.EffectResponse) {}

// Tick confirms the engines that this controller holds. If it holds the lease, it also makes the
// next step: an announcement, an operator's request or a move of a task.
func (j *Job) Tick(jobContext job.Context, now float64) {
	j.confirm(jobContext)
	if !j.holdsLease || now < j.nextStepAt {
		return
	}
	j.nextStepAt = now + stepInterval
	j.refreshEngines()
	if !j.stateRead || j.proposing {
		j.retryState(jobContext, now)
		return
	}
	if now >= j.nextAnnounceAt {
		j.nextAnnounceAt = now + announceInterval
		j.announce(jobContext)
	}
	if len(j.requests) > 0 {
		first := j.requests[0]
		j.requests = j.requests[1:]
		j.executeRequest(jobContext, first)
		return
	}
	j.advance(jobContext)
}

// retryState requests the committed state again if the result of a proposal or the state has not
// arrived in time, as a message was lost. The state shows whether the proposal was committed.
func (j *Job) retryState(jobContext job.Context, now float64) {
	if now <= j.proposedAt+proposalTimeout {
		return
	}
	j.proposedAt = now
	j.proposing = false
	j.stateRead = false
	jobContext.RequestState(Lease)
}

// StateReceived handles the committed state of the lease.
func (j *Job) StateReceived(jobContext job.Context, s node.Checkpoint) {
	if s.Grant != j.grant || !j.holdsLease {
		return
	}
	if j.stateRead && s.Serial <= j.serial {
		j.proposing = j.proposing && s.Serial < j.serial
		return
	}
	var agreed agreedState
	if len(s.Data) > 0 {
		if err := frames.Decoder.Unmarshal(s.Data, &agreed); err != nil {
			j.host.Log.Error("maintenance: agreed state can't be decoded", "why", err)
			jobContext.Release(Lease, true)
			return
		}
	}
	if agreed.ConfirmedWork == nil {
		agreed.ConfirmedWork = map[string]uint64{}
	}
	j.agreed = agreed
	j.serial = s.Serial
	j.stateRead = true
	j.proposing = false
}

// propose proposes a changed state to the quorum. The job acts on it only once it is committed.
func (j *Job) propose(jobContext job.Context, state agreedState) {
	data, err := cbor.Marshal(state)
	if err != nil || len(data) > lease.MaxStateBytes {
		j.host.Log.Error("maintenance: state is too large to be proposed", "bytes", len(data))
		return
	}
	if jobContext.ProposeState(Lease, j.serial+1, data) {
		j.proposing = true
		j.proposedAt = jobContext.Now()
	}
}
