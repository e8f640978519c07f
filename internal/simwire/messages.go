package simwire

// Controller is the number of the controller that a message is for.
type Controller int

// ControllerNumber returns the controller's number. Messages inherit the method from an embedded
// Controller.
func (c Controller) ControllerNumber() int { return int(c) }

// Body is the content of a message: one of the types below.
type Body interface{ ControllerNumber() int }

// Options are the settings of a controller by key.
type Options map[string]string

// EndpointScope is the scope of an update of the endpoint list.
type EndpointScope int64

const (
	// ScopeChanges means that the update has the engines that have changed.
	ScopeChanges EndpointScope = iota
	// ScopeComplete means that the update has all engines.
	ScopeComplete
	// ScopeCached means that the update has all engines as cached before the controller started.
	ScopeCached
	// ScopeFailed means that discovery failed; the update has no engines.
	ScopeFailed
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	StartedAt       int64 // ns
	Zone            string
	MachineKind     string
	NominalCapacity float64 // not used, as the module measures the capacity
	Cell            int64
	Engine          string
	State           int64
}

// Messages from the simulator. Times are in nanoseconds.
type (
	// Start starts a controller.
	Start struct {
		Controller
		Seed    uint64
		Options Options
	}
	// Stop stops a controller immediately. Its state is lost.
	Stop struct{ Controller }
	// EndpointsUpdated is an update of the endpoint list.
	EndpointsUpdated struct {
		Controller
		Scope     EndpointScope
		Endpoints []Endpoint // nil if Scope is ScopeFailed
	}
	// QueryArrived is a query that a client has sent.
	QueryArrived struct {
		Controller
		ID                uint32
		Tenant            string // empty: none
		Flags             int64  // FlagEstimated
		Class             string
		TableGroup        int64
		EstimatedWork     int64 // valid only with FlagEstimated
		TimeLeft          int64 // until the client gives up
		EstimatedMemoryMB float64
		OrderingKey       string // empty: none
	}
	// ResponseStarted reports that the client has received the first part of a response.
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
	// ClientDisconnected reports that the client of a query has disconnected.
	ClientDisconnected struct {
		Controller
		ID uint32
	}
	// TimerFired reports that a controller's timer has fired.
	TimerFired struct{ Controller }
	// HealthCheckEnded is the result of a health check.
	HealthCheckEnded struct {
		Controller
		Engine     string
		Outcome    string
		LoadReport []float64 // nil: none
	}
	// PeerMessage is a message from another controller. It is not used.
	PeerMessage struct{ Controller }
)

// FlagEstimated is the bit of QueryArrived.Flags that is set if EstimatedWork is valid.
const FlagEstimated = 1

// Message is a message with the number of the line that it was read from.
type Message struct {
	Line int // counted from 1
	Body Body
}

// Batch is the messages of one clock time.
type Batch struct {
	Now      int64  // ns
	Number   string // repeated in the answer's end line
	Messages []Message
}
