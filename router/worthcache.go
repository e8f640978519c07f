package router

import "math"

// worthCache makes it cheap to ask again and again, while no engine has capacity, whether a queued
// query is still worth running: whyNotWorthRunning is asked once, and its answer is remembered for
// the query until a time before which nothing can change it, in the epoch in which it was given. An
// epoch ends when the run times of the class or the size limit of admission control leave their
// tolerances, or when a shutdown is planned.
type worthCache struct {
	step        uint64  // in which it was last refreshed
	epoch       int     // its number
	allowedWork float64 // ms on one thread that the size limit allowed a query when the epoch began
}

// sizeLimitTolerance is the ratio by which the allowed work may change, up or down, within an
// epoch.
const sizeLimitTolerance = 1.3

// refreshWorthCache begins another epoch of a class if its model, or the allowed work, has left the
// tolerances. It does so once in a step.
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

// knownWorthRunning reports that q is worth running, from the cache where that holds, else by
// asking. A cached yes is always true: of the reasons in whyNotWorthRunning, the tenant's quota is
// asked for anew, the two that come with time can't come before worthUntil, and the size is within
// the limit for the whole epoch.
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

// worthUntilLowerBound is a time in ms until which q, which is worth running now, stays so in this
// epoch; -Inf: it is so near to the size limit that it may be too large before the epoch ends.
func (r *Router) worthUntilLowerBound(q *query) float64 {
	if q.mayExceed(q.class.worthCache.allowedWork) {
		return math.Inf(-1)
	}
	class := q.class
	longest := class.unloadedTimeForModel(q.estimatedWork, class.shedWatch.model) * unloadedTolerance
	return min(r.answerBy(q)-longest, r.latestStartLowerBound(q)) - timeRoundingSlack
}

// mayExceed reports whether q may need more than is allowed, at some time in an epoch that began
// with this allowed work (ms on one thread).
func (q *query) mayExceed(allowedWork float64) bool {
	if q.estimatedWork <= 0 {
		return false
	}
	threads := q.class.Threads
	scale := q.class.shedWatch.model.workScale
	mostWork := max(1, q.estimatedWork*scale*workScaleTolerance/threads) * threads
	return mostWork > allowedWork/sizeLimitTolerance*(1-roundingSlack)
}
