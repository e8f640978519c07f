package router

import (
	"math"
)

// worthCache is what a profile's held commands were found wise by.
type worthCache struct {
	step      uint64 // at which it was last looked at,
	epoch     int    // which counts how often it has changed,
	sizeLimit float64
}

const sizeLimitTolerance = 1.3 // of the size that a command may have

// refreshWorthCache begins another epoch if the profile's pace, or the size that it may have, has moved too
// far.
func (class *queryClass) refreshWorthCache(r *Router) {
	w := &class.worthCache
	if w.step == r.stepCount {
		return
	}
	was := class.shedWatch.model
	class.refreshShedWatch(r.now)
	limit := r.admission.sizeLimit * class.usualWork(r.now)
	if w.step = r.stepCount; was != class.shedWatch.model || !withinRatio(limit, w.sizeLimit, sizeLimitTolerance) {
		w.epoch, w.sizeLimit = w.epoch+1, limit
	}
}

// knownWorthRunning tells that c is not unwise, from what was reckoned of it before where that still holds,
// else by asking. It may say no of one that is.
func (r *Router) knownWorthRunning(q *query) bool {
	class := q.class
	if len(q.attempts) > 0 {
		return true
	}
	class.refreshWorthCache(r)
	if q.overQuota && r.now < r.admission.overloadedUntil {
		return false
	}
	if q.worthEpoch == class.worthCache.epoch && r.now < q.worthUntil {
		return true
	}
	if r.whyNotWorthRunning(q) != noReason {
		return false
	}
	long := class.unloadedTimeBy(q.estimatedWork, class.shedWatch.model) * unloadedTolerance
	if q.worthEpoch, q.worthUntil = class.worthCache.epoch, min(r.answerBy(q)-long, r.latestStartLowerBound(q))-0.01; q.estimatedWork > 0 &&
		max(1, q.estimatedWork*class.shedWatch.model.workScale*workScaleTolerance/class.Threads)*class.Threads > class.worthCache.sizeLimit/sizeLimitTolerance*(1-roundingError) {
		q.worthUntil = math.Inf(-1) // it is too near the limit to be sure of it
	}
	return true
}
