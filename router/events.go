package router

// Event reports to the Router what has happened: one of the types below that has the method event.
type Event interface{ event() }

type (
	// EndpointsUpdated is an update of the endpoint list.
	EndpointsUpdated struct {
		Complete bool // the list is complete: engines that it does not name are gone
		Cached   bool // it was stored before this start, and is not confirmed yet
		Failed   bool // the poll failed or the watch ended; the previous list stays in force
		// ExpiredFor above 0 means that there has been no update for longer than the rules allow: only
		// engines that have answered an attempt that started within this time (ms) are trusted. 0: the
		// list is current.
		ExpiredFor float64
		Endpoints  []Endpoint
	}
	// QueryArrived is a query that a client has sent.
	QueryArrived struct {
		ID       QueryID
		Tenant   TenantID
		Class    ClassID
		Tables   TableGroup
		Key      OrderingKey
		MoreKeys []OrderingKey // further ordering keys, assigned by earlier versions of the rules
		TimeLeft float64       // ms until the client gives up
		// ArrivalWait is the time in ms from the reading of the query to this event, while the controller
		// was busy with other queries.
		ArrivalWait float64
		// ClientQueueTime is an upper bound, in ms, of the time that the query waited in its client's own
		// queue. The client counts this time towards its timeout.
		ClientQueueTime   float64
		EstimatedWork     float64  // ms on one thread; 0: no estimate
		EstimateCap       float64  // ms; upper limit on EstimatedWork. 0: no cap
		EstimatedMemoryMB float64  // 0: no estimate
		Kinds             []KindID // further limit on the machine kinds of the class; nil: none
		Zones             []Zone   // further limit on the zones of the class; nil: none
		Hot               bool     // by an operator's rule, more engines serve its table group
	}
	// OrderingKeyAdded adds an ordering key to a query that is queued or running, because the rules
	// that assign the keys have changed. The query takes its place by arrival in the queue of the key.
	OrderingKeyAdded struct {
		ID  QueryID
		Key OrderingKey
	}
	// ResponseStarted reports that the client has received the first part of a streamed response.
	ResponseStarted struct {
		ID      QueryID
		Attempt AttemptID
	}
	// AttemptProgress is a progress message of a running attempt.
	AttemptProgress struct {
		ID      QueryID
		Attempt AttemptID
		Kind    ProgressKind
		Value   float64 // its meaning depends on Kind
	}
	// AttemptEnded is the outcome of an attempt. Each attempt has exactly one.
	AttemptEnded struct {
		ID        QueryID
		Attempt   AttemptID
		Outcome   Outcome
		QueryDone bool        // the query has its final answer
		Elapsed   float64     // ms since the attempt was started
		Work      float64     // measured work of a success, ms on one thread; 0: not reported
		MemoryMB  float64     // measured memory of a success; 0: not reported
		Load      *LoadReport // nil: none came with it
	}
	// ClientDisconnected reports that the client has disconnected: the query needs no final answer.
	ClientDisconnected struct{ ID QueryID }
	// HealthCheckEnded is the result of a health check.
	HealthCheckEnded struct {
		Engine  EngineID
		Outcome Outcome
		Load    *LoadReport // nil: none came with it
	}
	// StatisticsRestored holds the statistics of an earlier run of this controller that are still
	// valid. It comes with or after the first endpoint list, because records of unlisted engines can't
	// be used. The rules that always hold don't depend on its content.
	StatisticsRestored struct{ Statistics Statistics }
	// ShutdownStarted reports that the controller will stop within this many ms. Every query has to
	// get its final answer by then.
	ShutdownStarted struct{ Within float64 }
	// TimerFired requests a step without another event: the time of a SetTimer has come, or the caller
	// wants the next step at once.
	TimerFired struct{}
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

// Outcome is the outcome of an attempt or of a health check.
type Outcome int

const (
	// Succeeded is a complete answer.
	Succeeded Outcome = iota
	// Errored is an error answer of the engine. The query may have had its effect.
	Errored
	// EngineFull is a rejection by the engine, which ran nothing of the attempt.
	EngineFull
	// TimedOut means that the deadline of the attempt passed without an answer. It may still be
	// running.
	TimedOut
	// ConnectFailed means that no connection could be established, or that it was lost before the
	// whole query was sent.
	ConnectFailed
	// ConnectionReset means that the connection was lost after the query was sent. The attempt may
	// still be running.
	ConnectionReset
	// Cancelled follows CancelAttempt. The attempt may still be running.
	Cancelled
	// NotSent means that the attempt never ran, because it could not be sent in time or had already
	// been ended at the engine when it came. It counts as a rejection by the engine.
	NotSent
	// Withdrawn means that the attempt was never sent, for a reason unrelated to its engine.
	Withdrawn
)

// NeverRan reports whether the outcome proves that the attempt had no effect and will have none.
func (o Outcome) NeverRan() bool {
	return o == EngineFull || o == ConnectFailed || o == NotSent || o == Withdrawn
}

// MayStillRun reports whether an attempt with this outcome may still be running.
func (o Outcome) MayStillRun() bool {
	return o == TimedOut || o == ConnectionReset || o == Cancelled
}

// LoadReport is the load that an engine reports. A negative value is missing from the report.
type LoadReport struct {
	Inflight    float64 // queries, of all controllers
	Utilization float64 // busy cores over all cores
	Memory      float64 // granted share of its memory
	Disk        float64 // busy share of its disks
}

// EngineState is an engine's state in the endpoint list.
type EngineState int

const (
	// Ready engines accept queries.
	Ready EngineState = iota
	// Draining engines finish their attempts and must get no new ones.
	Draining
	// Gone engines have left the list.
	Gone
)

// Endpoint is one engine of the endpoint list.
type Endpoint struct {
	Engine    EngineID
	State     EngineState
	Zone      Zone
	Kind      KindID
	Cell      CellID
	StartedAt float64 // ms, when its process started; 0: long ago
}

// ProgressKind is the kind of a progress message.
type ProgressKind int

const (
	// ProgressDone gives in Value the completed share of the work, from 0 to 1.
	ProgressDone ProgressKind = iota
	// ProgressSpilling means that the attempt spills to disk; Value is the memory it lacks, in
	// megabytes.
	ProgressSpilling
	// ProgressWaitsForMemory means that the attempt waits for memory on its engine.
	ProgressWaitsForMemory
	// ProgressWaitsForTables means that the attempt waits because its table group is locked.
	ProgressWaitsForTables
	// ProgressOther is any other message. It shows that the attempt is alive.
	ProgressOther
)
