package maintenance

import (
	"context"

	"mintkeel/router"
)

// refreshEngines asks the loop what it knows of the engines, in a goroutine of its own. A change of
// what is to be held goes to the loop first, so that its answer is of the time after it.
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
		if err == nil && change == j.holdChanges { // else the answer is of a time before the last change
			j.engines = engines
		}
	})
}

// currentEngines is what the loop last said of the engines; nil: nothing since the last change of
// what is held.
func (j *Job) currentEngines() []router.EngineStatus {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.engines
}
