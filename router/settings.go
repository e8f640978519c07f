package router

// Ids are distinct types so that one can't stand where another is meant.
type (
	// QueryID numbers a query within one controller.
	QueryID uint32
	// EngineID names an engine. It outlives the engine's process: see Endpoint.StartedAt.
	EngineID string
	// OrderingKey groups queries that run one at a time; empty: the query is in no order.
	OrderingKey string
	// Zone names a zone.
	Zone string
	// CellID numbers a group of engines that share the record of what they have run.
	CellID int
	// KindID is an index into the machine kinds given to New; -1: a kind that is not among them.
	KindID int
	// ClassID is an index into the query classes given to New.
	ClassID int
	// TenantID is an index into the tenants given to New; -1: none.
	TenantID int
	// TableGroup numbers a group of tables that queries read together.
	TableGroup int64
	// AttemptID numbers the attempts of one query, from 0.
	AttemptID int
)

// RepeatEffect says what a second run of a query would do.
type RepeatEffect int

const (
	// Idempotent queries may run again.
	Idempotent RepeatEffect = iota
	// Deduplicated queries carry an idempotency key: engines of one DeduplicationScope drop a repeat,
	// for the DeduplicationWindow.
	Deduplicated
	// NonIdempotent queries must never run twice.
	NonIdempotent
)

// DeduplicationScope says which engines know of each other's deduplicated queries.
type DeduplicationScope int

// The scopes.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// covers reports whether two engines drop each other's repeats.
func (s DeduplicationScope) covers(a, b *engine) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// QueryClass is what is configured for one class of queries.
type QueryClass struct {
	Effect RepeatEffect

	// Scope and DeduplicationWindow (ms) count for Deduplicated queries alone.
	Scope               DeduplicationScope
	DeduplicationWindow float64

	Ordered bool     // queries with the same OrderingKey run one at a time, as they arrived
	Kinds   []KindID // the only machine kinds that may run it; nil: any
	Zones   []Zone   // the only zones that may run it; nil: any

	// LatencyObjective is the time in ms within which a client wants the answer, and ObjectivePerWork
	// what is added to it for each ms of work over threads.
	LatencyObjective float64
	ObjectivePerWork float64

	ClientTimeout  float64 // ms after which a client gives up
	LateBenefit    float64 // share of the benefit that an answer keeps after the latency objective
	Threads        float64 // that a query uses
	LocksTables    bool    // it locks its table group on its engine while it runs
	WaitsForTables bool    // it waits while its table group is locked on its engine
}

// MachineKind is a kind of machine that engines run on.
type MachineKind struct {
	Cores    float64
	MemoryMB float64
}

// Tenant is one that shares the engines with others.
type Tenant struct {
	QueriesPerSecond float64 // quota, over all controllers; 0: none is configured
}

// Identity is a controller's place among those that serve the same engines.
type Identity struct {
	Controllers int // how many there are; 0 counts as 1
	Index       int // its own number, from 0
	Zone        Zone
}

// Capabilities says what the deployment lets a controller do.
type Capabilities struct {
	Cancel           bool    // attempts can be cancelled
	HealthChecks     bool    // engines can be asked for their health and load
	Hedging          bool    // a second attempt may run beside the first
	RetryAfter       bool    // a rejection may say when to come back
	PollEndpoints    bool    // the endpoint list comes only when it is asked for
	MaxAttempts      int     // of one query
	MaxRetryAfter    float64 // ms
	ProgressInterval float64 // ms between progress messages of a running attempt; 0: there are none
}

// SafetyLimits are the figures of the rules that always hold.
type SafetyLimits struct {
	EventInterval float64 // ms; a caller may take this long to hand over an event

	// A warming engine starts with at least SlowStartCapacity, a share of its full capacity, and has
	// all of it after SlowStartTime (ms). It collapses when it is sent more than SlowStartOverload
	// times what it can do at that moment for SlowStartWindow (ms). SlowStartOverload 0: no such
	// limit.
	SlowStartCapacity float64
	SlowStartTime     float64
	SlowStartOverload float64
	SlowStartWindow   float64

	// OrderingCooldown (ms) is how long an ordering key is in cooldown after an attempt that may still
	// be running.
	OrderingCooldown float64

	// Where RetryBudgeted, in any RetryBudgetWindow (ms) there are at most RetryBudgetMin retries, and
	// RetryBudgetRatio for each query taken in it.
	RetryBudgeted     bool
	RetryBudgetMin    float64
	RetryBudgetRatio  float64
	RetryBudgetWindow float64

	// PollWithin (ms) is how old the last poll of the endpoint list may become, where
	// Capabilities.PollEndpoints.
	PollWithin float64
	// OverQuotaBenefit is the share of the benefit that is left of a tenant's queries over its quota.
	OverQuotaBenefit float64
}
