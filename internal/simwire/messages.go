package simwire

// Controller is the number of the controller that a message is for.
type Controller int

// ControllerNumber returns the number. Messages have it by embedding a Controller.
func (c Controller) ControllerNumber() int { return int(c) }

// Body is the content of a message: one of the types below.
type Body interface{ ControllerNumber() int }

// Options are the settings of a controller, by their keys.
type Options map[string]string

// EndpointScope is what an update of the endpoint list holds.
type EndpointScope int64

const (
	// ScopeChanges has the engines that have changed.
	ScopeChanges EndpointScope = iota
	// ScopeComplete has all engines.
	ScopeComplete
	// ScopeCached has all engines as they were cached before the controller started.
	ScopeCached
	// ScopeFailed has nothing: discovery failed.
	ScopeFailed
)

// Endpoint is an engine in the endpoint list.
type Endpoint struct {
	StartedAt       int64 // ns
	Zone            string
	MachineKind     string
	NominalCapacity float64 // capacity; not used, as the module measures it
	Cell            int64
	Engine          string
	State           int64
}

// Messages that come in. Times are nanoseconds.
type (
	// Start starts a controller.
	Start struct {
		Controller
		Seed    uint64
		Options Options
	}
	// Stop ends a controller at once; its state goes with it.
	Stop struct{ Controller }
	// EndpointsUpdated is an update of the endpoint list.
	EndpointsUpdated struct {
		Controller
		Scope     EndpointScope
		Endpoints []Endpoint // nil with ScopeFailed
	}
	// QueryArrived is a query that a client has sent.
	QueryArrived struct {
		Controller
		ID                uint32
		Tenant            string // empty: none
		Flags             int64  // FlagEstimated
		Class             string
		TableGroup        int64
		EstimatedWork     int64 // valid with FlagEstimated
		TimeLeft          int64 // until the client gives up
		EstimatedMemoryMB float64
		OrderingKey       string // empty: none
	}
	// ResponseStarted says that the client has got the first part of a response.
	ResponseStarted struct {
		Controller
		ID      uint32
		Attempt int
	}
	// AttemptProgress is a progress message of an attempt.
	AttemptProgress struct {
		Controller
		ID      uint32
		Attempt int
		Kind    int64
		Value   float64
	}
	// AttemptEnded is the outcome of an attempt.
	AttemptEnded struct {
		Controller
		ID         uint32
		Elapsed    int64
		Outcome    string
		QueryDone  bool
		Cost       int64 // packed work and memory of a success; 0: unknown
		Attempt    int
		LoadReport []float64 // nil: none
	}
	// ClientDisconnected says that a query's client has gone.
	ClientDisconnected struct {
		Controller
		ID uint32
	}
	// TimerFired says that a controller's timer has fired.
	TimerFired struct{ Controller }
	// HealthCheckEnded is the result of a health check.
	HealthCheckEnded struct {
		Controller
		Engine     string
		Outcome    string
		LoadReport []float64 // nil: none
	}
	// PeerMessage is a message of another controller. It is not used.
	PeerMessage struct{ Controller }
)

// FlagEstimated says that a query has an estimate.
const FlagEstimated = 1

// Message is a body with the line that it was read from.
type Message struct {
	Line int // from 1
	Body Body
}

// Batch has all messages of one clock time.
type Batch struct {
	Now      int64  // ns
	Number   string // the answer has to repeat it
	Messages []Message
}
