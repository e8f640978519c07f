package engines

import (
	"mintkeel/internal/enginewire"
	"mintkeel/router"
)

// Values of a progress message's remark field on the wire.
const (
	remarkProgress = "progress"
	remarkSpilling = "spill_mb"
	remarkBlocked  = "blocked"
)

// blockedByTables is the value of a remarkBlocked message if the attempt waits for locked tables.
// Any other value means that it waits for memory.
const blockedByTables = 2

// progressKind maps the remark of an answer to the module's kind; known is false if the answer has
// no remark.
func progressKind(answer enginewire.Answer) (kind router.ProgressKind, known bool) {
	switch string(answer.Remark) {
	case "":
		return 0, false
	case remarkProgress:
		return router.ProgressDone, true
	case remarkSpilling:
		return router.ProgressSpilling, true
	case remarkBlocked:
		if answer.Value == blockedByTables {
			return router.ProgressWaitsForTables, true
		}
		return router.ProgressWaitsForMemory, true
	}
	return router.ProgressOther, true
}
