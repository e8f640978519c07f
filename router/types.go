// Package router decides which command runs when, on which engine and with how much memory. This file is its
// interface: what a controller knows at start, what it is told, what it orders. All times are milliseconds.
package router

// Ids are distinct types so that one can't stand where another is meant.
type (
	QueryID     uint32
	EngineID    string
	OrderingKey string // empty: the command belongs to no order
	Zone        string
	CellID      int
	KindID      int // place in the list of machine kinds given at start; -1: a kind not listed there
	ClassID     int // place in the list of profiles given at start
	TenantID    int // place in the list of tenants given at start; -1: none
	TableGroup  int64
	AttemptID   int // number of a send within its command, from 0
)

// RepeatEffect says what a second run of a command would do.
type RepeatEffect int

const (
	Idempotent    RepeatEffect = iota // may run again
	Deduplicated                      // a repeat is dropped by engines of the same scope, for a while
	NonIdempotent                     // must never run twice
)

// DeduplicationScope is the group of engines that drop a uniqued command's repeats.
type DeduplicationScope int

const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// QueryClass is what is stated of one profile of command.
type QueryClass struct {
	Effect              RepeatEffect
	Scope               DeduplicationScope
	DeduplicationWindow float64
	Ordered             bool
	Kinds               []KindID // nil: any
	Zones               []Zone   // nil: any
	LatencyObjective    float64  // latency target, before the part that grows with the work
	ObjectivePerWork    float64  // added to the latency target for each millisecond of work over threads
	ClientTimeout       float64  // client timeout
	LateBenefit         float64  // share of the benefit left after the latency target
	Threads             float64
	LocksTables         bool // it holds its table group on its engine while it runs
	WaitsForTables      bool // it stands still while its table group is held on its engine
}

// MachineKind is a machine kind.
type MachineKind struct{ Cores, MemoryMB float64 }

// Tenant is one that shares the fleet; PerSecond is its share, over all controllers (0: unstated).
type Tenant struct{ QueriesPerSecond float64 }

// Identity is a controller's own position.
type Identity struct {
	Controllers int
	Index       int // its own among them, from 0
	Zone        Zone
}

// Capabilities says what the deployment lets a controller do.
type Capabilities struct {
	Cancel, HealthChecks, Hedging, RetryAfter bool

	MaxAttempts      int
	MaxRetryAfter    float64
	ProgressInterval float64 // between notes of a send that runs; 0: there are none
	PollEndpoints    bool    // the list comes only when asked for
}

// SafetyLimits are the figures of the rules.
type SafetyLimits struct {
	EventInterval     float64 // events come at most this often
	SlowStartCapacity float64 // share of its capacity that an engine starts with, at the least
	SlowStartTime     float64 // by then it is warm
	SlowStartOverload float64 // sent more than this multiple of its capacity
	SlowStartWindow   float64 // for this long, a cold engine falls over
	OrderingCooldown  float64 // a key's rest after a doubtful outcome
	RetryBudgeted     bool    // sends after the first are rationed:
	RetryBudgetMin    float64 // so many, and
	RetryBudgetRatio  float64 // so many for each command taken
	RetryBudgetWindow float64 // within this long
	PollWithin        float64 // where MustAsk: how old the last question may grow
	OverQuotaBenefit  float64 // what is left of the benefit of a tenant's commands past its share
}

// Outcome is how a send ended.
type Outcome int

const (
	Succeeded Outcome = iota
	Errored
	EngineFull
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	Withdrawn // it never went out, for what tells nothing of its engine
)

// NeverRan reports whether the outcome proves that the send had no effect.
func (o Outcome) NeverRan() bool {
	return o == EngineFull || o == ConnectFailed || o == NotSent || o == Withdrawn
}

// MayRunOn reports whether a send with this outcome may still be running.
func (o Outcome) MayRunOn() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// LoadReport is an engine's report; a negative value is one that the report does not hold.
type LoadReport struct {
	Inflight, Utilization, Memory, Disk float64
}

// EngineState is an engine's state in the list.
type EngineState int

const (
	Ready EngineState = iota
	Draining
	Gone
)

// Endpoint is one engine of a list.
type Endpoint struct {
	Engine    EngineID
	State     EngineState
	Zone      Zone
	Kind      KindID
	Cell      CellID
	StartedAt float64 // when it last started; 0: long ago
}

// Event is one of the types below that ends in the method event.
type Event interface{ event() }

type (
	// EndpointsUpdated is news of the engine list.
	EndpointsUpdated struct {
		Complete   bool    // what is absent has left
		Cached     bool    // the list as last had before this start
		Failed     bool    // the question failed or the subscription broke; the old list stands
		ExpiredFor float64 // above 0: so long without news that whatever is older than this counts as told
		Endpoints  []Endpoint
	}
	// QueryArrived is a command taken from a client.
	QueryArrived struct {
		ID                QueryID
		Tenant            TenantID
		Class             ClassID
		Tables            TableGroup
		Key               OrderingKey
		MoreKeys          []OrderingKey // further keys in whose turn it stands, as other rules would key it
		TimeLeft          float64       // until the client gives up
		InboxWait         float64       // since it was read: the controller has been busy with others so long
		ClientQueueTime   float64       // so long at the most has it stood in a line at its client, out of what Left says
		EstimatedWork     float64       // of its work on one thread; 0: none
		EstimateCap       float64       // past which the estimate counts as this; 0: it does not
		EstimatedMemoryMB float64       // estimated memory; 0: none
		Kinds             []KindID      // narrows the profile's; nil: it does not
		Zones             []Zone        // the same
		Hot               bool          // its table group is to be owned by more engines from the start
	}
	// OrderingKeyAdded says that a command stands in the turn of one more key, at the place of its arrival: rules have changed
	// while it is held or out.
	OrderingKeyAdded struct {
		ID  QueryID
		Key OrderingKey
	}
	// ResponseStarted is the first part of a streamed answer.
	ResponseStarted struct {
		ID      QueryID
		Attempt AttemptID
	}
	// AttemptProgress is word of a send that is out.
	AttemptProgress struct {
		ID      QueryID
		Attempt AttemptID
		Kind    ProgressKind
		Value   float64
	}
	// AttemptEnded is a send's outcome; Over is set once its command is finished.
	AttemptEnded struct {
		ID        QueryID
		Attempt   AttemptID
		Outcome   Outcome
		QueryDone bool
		Elapsed   float64
		Work      float64 // with Answered: true work on one thread; 0: not told
		MemoryMB  float64 // with Answered: true memory; 0: not told
		Load      *LoadReport
	}
	// ClientDisconnected says that the client has gone.
	ClientDisconnected struct{ ID QueryID }
	// HealthCheckEnded is what a probe found.
	HealthCheckEnded struct {
		Engine  EngineID
		Outcome Outcome
		Load    *LoadReport
	}
	// StatisticsRestored is what an earlier run of this controller learned, as far as it is still believed. It comes with or
	// after the first list, as engines are known by it; whatever it says, the rules hold as without it.
	StatisticsRestored struct{ Statistics Statistics }
	// ShutdownStarted says that the controller is to end: what has no answer within this long will have none.
	ShutdownStarted struct{ Within float64 }
	// TimerFired says that the time of a Wake has come.
	TimerFired struct{}
)

// ProgressKind is what a note tells.
type ProgressKind int

const (
	ProgressDone     ProgressKind = iota // Level: share done
	ProgressSpilling                     // Level: megabytes missing
	ProgressWaitsForMemory
	ProgressWaitsForTables
	ProgressOther
)

func (EndpointsUpdated) event()   {}
func (QueryArrived) event()       {}
func (OrderingKeyAdded) event()   {}
func (ResponseStarted) event()    {}
func (AttemptProgress) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (HealthCheckEnded) event()   {}
func (StatisticsRestored) event() {}
func (ShutdownStarted) event()    {}
func (TimerFired) event()         {}

// Action is one of the types below that ends in the method action.
type Action interface{ action() }

type (
	// StartAttempt starts a send; Until is when to drop it. If it has not gone out by Begin, where that is above 0, it must not
	// any more, and never ran.
	StartAttempt struct {
		ID       QueryID
		Engine   EngineID
		Deadline float64
		StartBy  float64
	}
	// CancelAttempt stops waiting for a send.
	CancelAttempt struct {
		ID      QueryID
		Attempt AttemptID
	}
	// Reject is the final answer that allows the client to try again, after a while if After is above 0.
	Reject struct {
		ID         QueryID
		RetryAfter float64
	}
	// Fail is the final answer without a promise.
	Fail struct{ ID QueryID }
	// SetTimer asks for a Woke event.
	SetTimer struct{ After float64 }
	// CheckHealth asks an engine for its load.
	CheckHealth struct{ Engine EngineID }
	// Subscribe asks for news of the list.
	Subscribe struct{}
)

func (StartAttempt) action()  {}
func (CancelAttempt) action() {}
func (Reject) action()        {}
func (Fail) action()          {}
func (SetTimer) action()      {}
func (CheckHealth) action()   {}
func (Subscribe) action()     {}
