package router

// Event is something that has happened: one of the types below that has the method event.
type Event interface{ event() }

type (
	// EndpointsUpdated is an update of the endpoint list.
	EndpointsUpdated struct {
		Complete bool // the list is whole: engines that it does not name are gone
		Cached   bool // it was stored before this start, and is not confirmed
		Failed   bool // the poll failed or the watch broke; the list stands as it was
		// ExpiredFor above 0 says that there was no update for longer than the rules allow. It is the
		// time in ms within which an engine has to have answered an attempt to be trusted. 0: the list is
		// current.
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
		MoreKeys []OrderingKey // further ordering keys, which earlier sets of rules give it
		TimeLeft float64       // ms until the client gives up
		// ArrivalWait is the time in ms since the query was read, in which the controller was busy with
		// others.
		ArrivalWait float64
		// ClientQueueTime is the time in ms, at most, that the query waited in its client's own queue. It
		// is part of what the client counts as its timeout.
		ClientQueueTime   float64
		EstimatedWork     float64  // ms on one thread; 0: no estimate
		EstimateCap       float64  // ms; a larger EstimatedWork counts as this. 0: no cap
		EstimatedMemoryMB float64  // 0: no estimate
		Kinds             []KindID // narrows the class's kinds; nil: does not
		Zones             []Zone   // narrows the class's zones; nil: does not
		Hot               bool     // its table group is to be served by more engines from the start
	}
	// OrderingKeyAdded puts a query into the order of one more key, at the place of its arrival: the
	// rules that give keys have changed while it is queued or runs.
	OrderingKeyAdded struct {
		ID  QueryID
		Key OrderingKey
	}
	// ResponseStarted says that the client has got the first part of a streamed response.
	ResponseStarted struct {
		ID      QueryID
		Attempt AttemptID
	}
	// AttemptProgress is a progress message of a running attempt.
	AttemptProgress struct {
		ID      QueryID
		Attempt AttemptID
		Kind    ProgressKind
		Value   float64 // what it means depends on Kind
	}
	// AttemptEnded is the outcome of an attempt; there is one for each.
	AttemptEnded struct {
		ID        QueryID
		Attempt   AttemptID
		Outcome   Outcome
		QueryDone bool        // the query has its final answer
		Elapsed   float64     // ms since the attempt was started
		Work      float64     // of a success, its true work: ms on one thread; 0: not reported
		MemoryMB  float64     // of a success, its true memory; 0: not reported
		Load      *LoadReport // nil: none came with it
	}
	// ClientDisconnected says that the client has gone: no answer is owed any more.
	ClientDisconnected struct{ ID QueryID }
	// HealthCheckEnded is the result of a health check.
	HealthCheckEnded struct {
		Engine  EngineID
		Outcome Outcome
		Load    *LoadReport // nil: none came with it
	}
	// StatisticsRestored brings what an earlier run of this controller learned, as far as it is still
	// valid. It comes with or after the first endpoint list, as engines are known by it. Whatever it
	// says, the rules hold as without it.
	StatisticsRestored struct{ Statistics Statistics }
	// ShutdownStarted says that the controller will end within this many ms: queries without an answer
	// by then would have none.
	ShutdownStarted struct{ Within float64 }
	// TimerFired asks for a step: the time of a SetTimer has come, or the caller wants the next step
	// at once.
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

// Outcome is how an attempt or a health check ended.
type Outcome int

const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Errored is an error that the engine answered. The query may have had its effect.
	Errored
	// EngineFull is a rejection by the engine before it ran anything.
	EngineFull
	// TimedOut says that the attempt's deadline passed without an answer; it may still be running.
	TimedOut
	// ConnectFailed says that there was no connection to be had, or it was lost before the query was
	// sent whole.
	ConnectFailed
	// ConnectionReset says that the connection was lost after the query was sent; it may still be
	// running.
	ConnectionReset
	// Cancelled follows CancelAttempt; it may still be running.
	Cancelled
	// NotSent says that the attempt never ran, as it could not be sent in time or its engine had no
	// use for it any more. It counts as a rejection by the engine.
	NotSent
	// Withdrawn says that the attempt was never sent, for a reason that says nothing about its engine.
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

// LoadReport is what an engine reports of its load; a negative value is one that the report does
// not hold.
type LoadReport struct {
	Inflight    float64 // queries, of all controllers
	Utilization float64 // busy cores over all cores
	Memory      float64 // share of its memory that is granted
	Disk        float64 // share of its disks that is busy
}

// EngineState is an engine's state in the endpoint list.
type EngineState int

const (
	// Ready engines take queries.
	Ready EngineState = iota
	// Draining engines finish what they run and must get nothing new.
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

// ProgressKind is what a progress message says.
type ProgressKind int

const (
	// ProgressDone has in Value the share of the work that is done, from 0 to 1.
	ProgressDone ProgressKind = iota
	// ProgressSpilling has in Value the megabytes of memory that are missing.
	ProgressSpilling
	// ProgressWaitsForMemory says that the attempt waits for memory on its engine.
	ProgressWaitsForMemory
	// ProgressWaitsForTables says that the attempt waits for a lock on its table group.
	ProgressWaitsForTables
	// ProgressOther is any other message: the attempt is alive.
	ProgressOther
)
