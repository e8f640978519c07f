package router

import "math"

// worthCache makes it cheap to check repeatedly, while no engine has capacity, whether a queued
// query is still worth running. If whyNotWorthRunning finds no reason against it, that result is
// cached in the query, with a time before which only its tenant's quota can change it within the
// current epoch. An epoch ends when the run times of the class, or the work that the size limit of
// admission control allows, leave their tolerances, or when a shutdown starts.
type worthCache struct {
	step        uint64  // of the last refresh
	epoch       int     // number of the current epoch
	allowedWork float64 // ms on one thread that the size limit allowed per query when the epoch began
}

// sizeLimitTolerance is the ratio by which the allowed work may change, up or down, within an
// epoch.
const sizeLimitTolerance = 1.3

// refreshWorthCache begins a new epoch of a class if its model or the allowed work has left the
// tolerances. It checks once per step. A model that overdueQueries has adopted before begins no
// epoch.
func (r *Router) refreshWorthCache(class *queryClass) {
	cache := &class.worthCache
	if cache.step == r.stepCount {
		return
	}
	cache.step = r.stepCount
	model := class.shedWatch.model
	class.refreshShedWatch(r.now)
	allowedWork := r.admission.sizeLimit * class.meanWork(r.now)
	if model != class.shedWatch.model ||
		!withinRatio(allowedWork, cache.allowedWork, sizeLimitTolerance) {
		cache.epoch++
		cache.allowedWork = allowedWork
	}
}

// knownWorthRunning reports whether q is worth running, from the cache if it is valid, else by
// whyNotWorthRunning. A cached yes is right while the class stays within the tolerances of the
// epoch: of the reasons in whyNotWorthRunning, the tenant's quota is checked on each call, the two
// that depend on time can't apply before worthUntil, and the size stays within the limit.
func (r *Router) knownWorthRunning(q *query) bool {
	if len(q.attempts) > 0 {
		return true
	}
	r.refreshWorthCache(q.class)
	if q.overQuota && r.now < r.admission.overloadedUntil {
		return false
	}
	if q.worthEpoch == q.class.worthCache.epoch && r.now < q.worthUntil {
		return true
	}
	if r.whyNotWorthRunning(q) != noReason {
		return false
	}
	q.worthEpoch = q.class.worthCache.epoch
	q.worthUntil = r.worthUntilLowerBound(q)
	return true
}

// worthUntilLowerBound returns a time in ms until which q, which is worth running now, stays worth
// running in this epoch. It returns -Inf if q is so close to the size limit that it may exceed the
// limit before the epoch ends.
func (r *Router) worthUntilLowerBound(q *query) float64 {
	if q.mayExceed(q.class.worthCache.allowedWork) {
		return math.Inf(-1)
	}
	class := q.class
	longest := class.unloadedTimeForModel(q.estimatedWork, class.shedWatch.model) * unloadedTolerance
	return min(r.answerBy(q)-longest, r.latestStartLowerBound(q)) - timeRoundingSlack
}

// mayExceed reports whether q may need more than the allowed work at some time in an epoch that
// began with this allowed work (ms on one thread).
func (q *query) mayExceed(allowedWork float64) bool {
	if q.estimatedWork <= 0 {
		return false
	}
	threads := q.class.Threads
	scale := q.class.shedWatch.model.workScale
	mostWork := max(1, q.estimatedWork*scale*workScaleTolerance/threads) * threads
	return mostWork > allowedWork/sizeLimitTolerance*(1-roundingSlack)
}
