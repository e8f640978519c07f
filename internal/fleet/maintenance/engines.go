package maintenance

import (
	"context"

	"mintkeel/router"
)

// refreshEngines reads the state of the engines from the daemon's loop, in a separate goroutine. It
// first passes a changed set of engines to hold to the loop, so that the loop's answer reflects it.
func (j *Job) refreshEngines() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.refreshing {
		return
	}
	j.refreshing = true
	change := j.holdChanges
	changed := change != j.appliedHold
	toHold := j.toHold
	j.group.Go(func() {
		ctx, cancel := context.WithTimeout(j.ctx, engineTimeout)
		defer cancel()
		if changed {
			j.host.Hold(toHold)
		}
		engines, err := j.host.Engines(ctx)
		j.mu.Lock()
		defer j.mu.Unlock()
		j.refreshing = false
		j.appliedHold = change
		if err == nil && change == j.holdChanges { // otherwise the answer predates the last change
			j.engines = engines
		}
	})
}

// currentEngines returns the state of the engines that the loop last reported; nil if it has not
// reported any since the set of held engines last changed.
func (j *Job) currentEngines() []router.EngineStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.engines
}
