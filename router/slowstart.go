package router

import "math"

const (
	// slowStartShareUsed is the share of the work that rule 4 allows which all controllers together
	// use at most.
	slowStartShareUsed = 0.6
	// slowStartTurnsPerWindow is the number of turns in one window of the rule, where controllers take
	// turns.
	slowStartTurnsPerWindow = 2.0
)

// slowStartPartSizes are the sizes, in ms of work, of a controller's part of a warming engine that
// hold a small, a medium or a large query.
var slowStartPartSizes = [...]float64{500, 2000, 8000}

// slowStartAllows is rule 4: it reports whether an attempt of q fits into this controller's part of
// what a warming engine may be sent in one window. A controller that has not run for a whole window
// yet starts nothing on a warming engine, because it does not know what it sent before its own
// restart.
func (r *Router) slowStartAllows(q *query, e *engine) bool {
	allowance := r.slowStartAllowance(e)
	if math.IsInf(allowance, 1) {
		return true
	}
	windowStart := r.now - r.limits.SlowStartWindow - windowSlack
	return r.startedAt <= windowStart &&
		e.slowStartWork.sumSince(windowStart)+q.slowStartCost(r.now) <= allowance
}

// slowStartAllowance is this controller's part, in ms of work, of what a warming engine may be sent
// in one window; +Inf once the engine is warm. Controllers don't communicate, so it is computed as
// if all of them used their parts, and as if the engine had only its initial capacity until it is
// warm.
//
// Where equal parts would be too small for any query, controllers take turns: in each turn some of
// them have a larger part and the others none. Which controllers have a turn follows from their
// indexes, the engine and the time since the engine's start, on which all controllers agree. The
// size of the parts changes from turn to turn, so that large queries fit in some of them.
func (r *Router) slowStartAllowance(e *engine) float64 {
	limits := &r.limits
	warm := r.now > e.startedAt+limits.SlowStartTime+windowSlack
	if warm || limits.SlowStartOverload <= 0 {
		return math.Inf(1)
	}
	totalAllowance := slowStartShareUsed * limits.SlowStartOverload * limits.SlowStartCapacity *
		e.cores * limits.SlowStartWindow
	if totalAllowance >= slowStartPartSizes[0]*r.controllers {
		return totalAllowance / r.controllers
	}
	totalAllowance /= slowStartTurnsPerWindow + 1 // a window overlaps this many turns
	const sizes = uint64(len(slowStartPartSizes))
	window := limits.SlowStartWindow + 2*windowSlack
	turn := uint64(max(0, r.now-e.startedAt) * slowStartTurnsPerWindow / window)
	partsAtOnce := max(1, math.Floor(totalAllowance/slowStartPartSizes[turn%sizes]))
	groups := math.Ceil(r.controllers / partsAtOnce)
	if (e.idHash+uint64(r.index)+turn/sizes)%uint64(groups) != 0 {
		return 0
	}
	return totalAllowance / math.Ceil(r.controllers/groups)
}

// countsForSlowStart reports whether the work of an attempt on e is recorded: while e warms up, and
// for one window more, so that no window of the rule misses any of it.
func (r *Router) countsForSlowStart(e *engine) bool {
	return r.now < e.startedAt+r.limits.SlowStartTime+r.limits.SlowStartWindow
}

// slowStartCapacityAt is the share of its full capacity that e is assumed to have at a time: it
// grows linearly from the configured initial capacity to 1.
func (r *Router) slowStartCapacityAt(e *engine, at float64) float64 {
	limits := &r.limits
	warmUpProgress := min(1, max(0, at-e.startedAt)/max(1, limits.SlowStartTime))
	return limits.SlowStartCapacity + (1-limits.SlowStartCapacity)*warmUpProgress
}

// slowStartCapacity is slowStartCapacityAt now.
func (r *Router) slowStartCapacity(e *engine) float64 { return r.slowStartCapacityAt(e, r.now) }

// slowStartCost is the work in ms that q counts for on a warming engine: the mean work of its
// class, or its own estimate if that is larger. The estimate counts without its cap, because too
// low a value would break rule 4.
func (q *query) slowStartCost(now float64) float64 {
	return max(q.class.meanWork(now), q.uncappedEstimate)
}
