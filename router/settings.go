package router

// Ids have distinct types so that one can't be used in place of another.
type (
	// QueryID numbers a query within one controller.
	QueryID uint32
	// EngineID names an engine. It stays the same when the engine's process is replaced: see
	// Endpoint.StartedAt.
	EngineID string
	// OrderingKey groups queries that run one at a time; empty: the query is not ordered.
	OrderingKey string
	// Zone names a zone.
	Zone string
	// CellID numbers a group of engines that share one record of the queries they have run.
	CellID int
	// KindID is an index into the machine kinds given to New; -1: a kind that is not configured.
	KindID int
	// ClassID is an index into the query classes given to New.
	ClassID int
	// TenantID is an index into the tenants given to New; -1: none.
	TenantID int
	// TableGroup numbers a group of tables that are queried together.
	TableGroup int64
	// AttemptID numbers the attempts of one query, from 0.
	AttemptID int
)

// RepeatEffect is the effect of running a query a second time.
type RepeatEffect int

const (
	// Idempotent queries may run again.
	Idempotent RepeatEffect = iota
	// Deduplicated queries carry an idempotency key: within the DeduplicationWindow, engines of one
	// DeduplicationScope drop a repeat.
	Deduplicated
	// NonIdempotent queries must never run twice.
	NonIdempotent
)

// DeduplicationScope defines which engines know each other's idempotency keys.
type DeduplicationScope int

// Engines share idempotency keys with all engines, those of their zone or those of their cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// covers reports whether each of two engines drops repeats of queries that the other has run.
func (s DeduplicationScope) covers(a, b *engine) bool {
	return s == ScopeAll || s == ScopeZone && a.zone == b.zone || s == ScopeCell && a.cell == b.cell
}

// QueryClass is the configuration of a query class.
type QueryClass struct {
	Effect RepeatEffect

	// Scope and DeduplicationWindow (ms) apply only to Deduplicated queries.
	Scope               DeduplicationScope
	DeduplicationWindow float64

	Ordered bool     // queries with the same OrderingKey run one at a time, in order of arrival
	Kinds   []KindID // the only machine kinds that may run it; nil: any
	Zones   []Zone   // the only zones that may run it; nil: any

	// LatencyObjective is the time in ms within which a client wants the answer. ObjectivePerWork is
	// added to it for each ms of the query's work divided by its threads.
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

// Tenant is the configuration of one of the tenants that share the engines.
type Tenant struct {
	QueriesPerSecond float64 // quota, over all controllers; 0: none is configured
}

// Identity identifies a controller among those that serve the same engines.
type Identity struct {
	Controllers int // number of controllers; 0 counts as 1
	Index       int // index of this controller, from 0
	Zone        Zone
}

// Capabilities defines what a controller can do in its deployment.
type Capabilities struct {
	Cancel           bool    // attempts can be cancelled
	HealthChecks     bool    // engines can be asked for their health and load
	Hedging          bool    // a second attempt may run concurrently with the first
	RetryAfter       bool    // a rejection may tell the client when to retry
	PollEndpoints    bool    // the endpoint list comes only when it is polled
	MaxAttempts      int     // of one query
	MaxRetryAfter    float64 // ms
	ProgressInterval float64 // ms between progress messages of a running attempt; 0: none
}

// SafetyLimits holds the parameters of the rules that always hold (see the package comment).
type SafetyLimits struct {
	EventInterval float64 // ms; the longest time a caller takes to pass an event to Step

	// A warming engine starts with at least SlowStartCapacity, a share of its full capacity, and
	// reaches full capacity after SlowStartTime (ms). It collapses if for SlowStartWindow (ms) it is
	// sent more than SlowStartOverload times its capacity at that moment. SlowStartOverload 0: no such
	// limit.
	SlowStartCapacity float64
	SlowStartTime     float64
	SlowStartOverload float64
	SlowStartWindow   float64

	// OrderingCooldown (ms) is the cooldown of an ordering key after an attempt that may still be
	// running.
	OrderingCooldown float64

	// If RetryBudgeted is set, the number of retries in any RetryBudgetWindow (ms) is at most
	// RetryBudgetMin plus RetryBudgetRatio times the queries that arrived in it.
	RetryBudgeted     bool
	RetryBudgetMin    float64
	RetryBudgetRatio  float64
	RetryBudgetWindow float64

	// PollWithin (ms) is the maximum age of the last poll of the endpoint list, if
	// Capabilities.PollEndpoints is set.
	PollWithin float64
	// OverQuotaBenefit is the share of their benefit that queries over their tenant's quota keep.
	OverQuotaBenefit float64
}
