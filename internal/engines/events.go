package engines

import (
	"time"

	"mintkeel/internal/request"
	"mintkeel/router"
)

// Event is an event that the pool reports: one of the types below.
type Event interface{ event() }

type (
	// AttemptEnded is the outcome of an attempt. Exactly one follows each StartAttempt.
	AttemptEnded struct {
		Query   *request.Query
		Attempt router.AttemptID
		Outcome router.Outcome
		Elapsed time.Duration      // since StartAttempt
		Pages   [][]byte           // the complete result; nil unless Outcome is router.Succeeded
		Load    *router.LoadReport // nil: none was received
	}
	// AttemptProgress is a progress message of an attempt that is running.
	AttemptProgress struct {
		Query   *request.Query
		Attempt router.AttemptID
		Kind    router.ProgressKind
		Value   float64 // its meaning depends on Kind
	}
	// HealthCheckEnded is the result of a health check.
	HealthCheckEnded struct {
		Engine  router.EngineID
		Outcome router.Outcome
		Load    *router.LoadReport // nil: none was received
	}
)

func (AttemptEnded) event()     {}
func (AttemptProgress) event()  {}
func (HealthCheckEnded) event() {}
