package main

import (
	"math"

	"mintkeel/internal/simwire"
	"mintkeel/router"
)

// writeActions writes the actions that a controller's module has returned. Times are rounded so
// that a timer never fires early and a deadline is never late.
func writeActions(w *simwire.Writer, controller int, actions []router.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			deadline := int64(math.Floor(a.Deadline * nsPerMS))
			w.Line(actionStartAttempt, controller, uint32(a.ID), string(a.Engine), deadline)
		case router.CancelAttempt:
			w.Line(actionCancelAttempt, controller, uint32(a.ID), int(a.Attempt))
		case router.Reject:
			w.Line(actionReject, controller, uint32(a.ID), int64(a.RetryAfter*nsPerMS))
		case router.Fail:
			w.Line(actionFail, controller, uint32(a.ID))
		case router.SetTimer:
			w.Line(actionSetTimer, controller, int64(math.Ceil(a.After*nsPerMS)), 0)
		case router.CheckHealth:
			w.Line(actionCheckHealth, controller, string(a.Engine))
		case router.Subscribe:
			w.Line(actionSubscribe, controller, 1)
		}
	}
}
