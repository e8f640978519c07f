package router

// Action tells the caller what to do: one of the types below that has the method action.
type Action interface{ action() }

type (
	// StartAttempt sends the query to an engine, as its next attempt.
	StartAttempt struct {
		ID       QueryID
		Engine   EngineID
		Deadline float64 // ms; an attempt without an answer by then ends as TimedOut
		// StartBy (ms) is the latest time to send the attempt. If it has not been sent by then, it must
		// not be sent, and ends as NotSent or Withdrawn. 0: no limit.
		StartBy float64
	}
	// CancelAttempt asks for an attempt to be stopped. An AttemptEnded event still follows.
	CancelAttempt struct {
		ID      QueryID
		Attempt AttemptID
	}
	// Reject is a final answer after which the client may retry: it guarantees that the query had no
	// effect or may run again.
	Reject struct {
		ID         QueryID
		RetryAfter float64 // ms that the client should wait; 0: unspecified
	}
	// Fail is a final answer without that guarantee: the query may have had its effect.
	Fail struct{ ID QueryID }
	// SetTimer asks for a step with a TimerFired event after this many ms. It replaces the previous
	// timer.
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
