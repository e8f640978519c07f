package router

// Action is something for the caller to do: one of the types below that has the method action.
type Action interface{ action() }

type (
	// StartAttempt sends the query to an engine, as its next attempt.
	StartAttempt struct {
		ID       QueryID
		Engine   EngineID
		Deadline float64 // ms; when the attempt is given up, as TimedOut
		// StartBy, in ms: an attempt that has not been sent by then must not be sent any more, and ends
		// as NotSent or Withdrawn. 0: there is no such time.
		StartBy float64
	}
	// CancelAttempt asks for an attempt to be stopped. Its outcome still comes.
	CancelAttempt struct {
		ID      QueryID
		Attempt AttemptID
	}
	// Reject is the final answer that promises that the query had no effect or may run again: the
	// client may retry.
	Reject struct {
		ID         QueryID
		RetryAfter float64 // ms that the client should wait; 0: unspecified
	}
	// Fail is the final answer that promises nothing.
	Fail struct{ ID QueryID }
	// SetTimer asks for a step after this many ms, with a TimerFired event. It replaces the timer set
	// before.
	SetTimer struct{ After float64 }
	// CheckHealth asks an engine for its health and load.
	CheckHealth struct{ Engine EngineID }
	// Subscribe asks for updates of the endpoint list.
	Subscribe struct{}
)

func (StartAttempt) action()  {}
func (CancelAttempt) action() {}
func (Reject) action()        {}
func (Fail) action()          {}
func (SetTimer) action()      {}
func (CheckHealth) action()   {}
func (Subscribe) action()     {}
