package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/router"
)

// Maintenance is the lease of the job that takes engines out and brings them back. Its holder decides by
// core/fleet/maintenance: its plans and steps are agreed through the quorum, so that the next holder goes on; the list of
// engines to hold is an effect with its fencing token, so that a former holder changes nothing. Every controller, the
// holder too, holds the listed engines and confirms when nothing of its own still runs there.
const Maintenance lease.Name = "maintenance"

// Intervals and timeouts in ms, and bounds.
const (
	stepInterval         = 500.0  // between two steps of the holder
	announceInterval     = 1000.0 // between two announcements of the engines to hold, to each controller
	confirmationLifetime = 5000.0 // a controller repeats its confirmation with each announcement
	proposalTimeout      = 2000.0 // after which the agreed state is read again in place of awaiting a proposal
	lostEngineTime       = 3600e3 // for which a missing engine that nobody took out counts as lost: after that it has left for good

	engineTimeout = 2 * time.Second  // of a question to the loop
	hookBackoff   = 10 * time.Second // until a program that failed is run again
	hookWaitDelay = time.Second      // for a program's output after its end

	maxPendingRequests = 64
	maxKnownEngines    = 4096
	maxWithout         = 256
	maxReasons         = 100
)

// MaintenanceHost is what maintenance needs of its controller.
type MaintenanceHost struct {
	Engines func(ctx context.Context) ([]router.EngineStatus, error)
	Hold    func([]router.EngineID)
	Kinds   []string // names, by number
	Bounds  [][]router.KindID
	Log     *slog.Logger
}

// MaintenanceJob is the Job of the Maintenance lease.
type MaintenanceJob struct {
	host  MaintenanceHost
	block atomic.Pointer[MaintenanceBlock]
	now   func() float64 // ms since 1970

	// The holder's side.
	holdsLease     bool
	grant          lease.Grant
	known          bool // the agreed state has been read
	agreed         maintenanceState
	serial         uint64
	proposing      bool
	proposedAt     float64
	stepAt         float64
	announceAt     float64
	effectID       uint64
	confirmations  map[members.ID]confirmation
	reasons        []maintenance.Reason
	waits          map[maintenance.EngineID]string
	requests       []pendingRequest
	engineLostFrom map[maintenance.EngineID]float64 // ms, since when one is missing, as this holder saw it

	// Each controller's side.
	held        holdEffect // as the latest holder announced it
	heldToken   lease.Token
	heldFrom    members.ID
	confirmAt   float64
	replies     map[uint64]chan MaintenanceStatus
	lastRequest uint64

	mu          sync.Mutex
	engines     []router.EngineStatus // nil: not known since the last change of what is held
	asking      bool
	holdChanges int               // how often what is to be held has changed
	toHold      []router.EngineID // and what it is now
	appliedHold int               // up to which change the loop knows it
	hooks       map[string]hookRun
	ctx         context.Context
	end         context.CancelFunc
	group       sync.WaitGroup
}

// NewMaintenanceJob is the job of one controller; Close ends it.
func NewMaintenanceJob(host MaintenanceHost, b MaintenanceBlock) *MaintenanceJob {
	ctx, end := context.WithCancel(context.Background())
	j := &MaintenanceJob{
		host:           host,
		now:            func() float64 { return float64(time.Now().UnixMicro()) / 1e3 },
		confirmations:  map[members.ID]confirmation{},
		waits:          map[maintenance.EngineID]string{},
		engineLostFrom: map[maintenance.EngineID]float64{},
		replies:        map[uint64]chan MaintenanceStatus{},
		hooks:          map[string]hookRun{},
		lastRequest:    draw() >> 1,
		ctx:            ctx,
		end:            end,
	}
	j.block.Store(&b)
	return j
}

// SetBlock has the programs and times of another block used from now on. A program that runs goes on as it began.
func (j *MaintenanceJob) SetBlock(b MaintenanceBlock) { j.block.Store(&b) }

// Began takes in that this controller holds the lease. It reads the agreed state before it does anything.
func (j *MaintenanceJob) Began(h Context, grant lease.Grant) {
	if grant.Name != Maintenance {
		return
	}
	j.holdsLease, j.grant = true, grant
	j.known, j.proposing = false, false
	j.stepAt = h.Now()
	j.confirmations = map[members.ID]confirmation{}
	h.RequestState(Maintenance)
}

// Ended takes in that this controller holds the lease no more.
func (j *MaintenanceJob) Ended(grant lease.Grant) {
	if grant.Name == Maintenance {
		j.holdsLease, j.known = false, false
	}
}

// Close ends the job and its programs.
func (j *MaintenanceJob) Close() {
	j.end()
	j.group.Wait()
}

// VerdictReceived is of no use here: an announcement is repeated whatever became of it.
func (j *MaintenanceJob) VerdictReceived(node.EffectResponse) {}

// Tick confirms what this controller holds and, where it holds the lease, makes the next step.
func (j *MaintenanceJob) Tick(h Context, now float64) {
	j.confirm(h)
	if !j.holdsLease || now < j.stepAt {
		return
	}
	j.stepAt = now + stepInterval
	j.refreshEngines()
	if !j.known || j.proposing {
		if now > j.proposedAt+proposalTimeout { // a message was lost: the agreed state tells which
			j.proposedAt, j.proposing = now, false
			j.known = false
			h.RequestState(Maintenance)
		}
		return
	}
	if now >= j.announceAt {
		j.announceAt = now + announceInterval
		j.announce(h)
	}
	if len(j.requests) > 0 {
		first := j.requests[0]
		j.requests = j.requests[1:]
		j.carryOut(h, first)
		return
	}
	j.advance(h)
}

// StateReceived takes in the agreed state.
func (j *MaintenanceJob) StateReceived(h Context, s node.Checkpoint) {
	if s.Grant != j.grant || !j.holdsLease {
		return
	}
	if j.known && s.Serial <= j.serial {
		j.proposing = j.proposing && s.Serial < j.serial
		return
	}
	var agreed maintenanceState
	if len(s.Data) > 0 {
		if err := frames.Decoder.Unmarshal(s.Data, &agreed); err != nil {
			j.host.Log.Error("maintenance: the agreed state can't be read", "why", err)
			h.Release(Maintenance, true)
			return
		}
	}
	if agreed.Hooked == nil {
		agreed.Hooked = map[string]uint64{}
	}
	j.agreed, j.serial = agreed, s.Serial
	j.known, j.proposing = true, false
}

// propose has a changed state agreed on; it is acted on once it is.
func (j *MaintenanceJob) propose(h Context, state maintenanceState) {
	data, err := cbor.Marshal(state)
	if err != nil || len(data) > lease.MaxStateBytes {
		j.host.Log.Error("maintenance: the state is too big to be agreed on", "bytes", len(data))
		return
	}
	if h.ProposeState(Maintenance, j.serial+1, data) {
		j.proposing, j.proposedAt = true, h.Now()
	}
}

// refreshEngines asks the loop what it knows of the engines, in a goroutine of its own. A change of what is to be held goes
// to the loop first, so that its answer is of the time after it.
func (j *MaintenanceJob) refreshEngines() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.asking {
		return
	}
	j.asking = true
	change, toHold, changed := j.holdChanges, j.toHold, j.holdChanges != j.appliedHold
	j.group.Go(func() {
		ctx, cancel := context.WithTimeout(j.ctx, engineTimeout)
		defer cancel()
		if changed {
			j.host.Hold(toHold)
		}
		engines, err := j.host.Engines(ctx)
		j.mu.Lock()
		defer j.mu.Unlock()
		j.asking, j.appliedHold = false, change
		if err == nil && change == j.holdChanges { // else the answer is of a time before the last change
			j.engines = engines
		}
	})
}

// currentEngines is what the loop last said of the engines; nil: nothing since the last change of what is held.
func (j *MaintenanceJob) currentEngines() []router.EngineStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.engines
}
