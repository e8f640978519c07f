package engines

import (
	"mintkeel/internal/enginewire"
	"mintkeel/router"
)

// Remarks of progress messages on the wire.
const (
	remarkProgress = "progress"
	remarkSpilling = "spill_mb"
	remarkBlocked  = "blocked"
)

// blockedByTables is the value with remarkBlocked for an attempt that waits for locked tables.
// Other values mean that it waits for memory.
const blockedByTables = 2

// progressKind maps a remark to the module's term; known is false if the answer has no remark.
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
