package router

import (
	"math"
)

const (
	slowStartShareUsed      = 0.6 // share of what the rule allows a warming engine that is used
	slowStartTurnsPerWindow = 2.0 // turns among controllers in a window of the rule
)

// slowStartPartSizes are, in ms of work, what a controller's part of a warming engine must hold for small,
// middling and large queries. Where an equal part holds less, controllers take turns.
var slowStartPartSizes = [...]float64{500, 2000, 8000}

// slowStartAllowance is this controller's part of what a cold engine may be sent within the window, as if
// it had its least stated capacity until warm and all used theirs. Where an equal part is under a command,
// controllers take turns by number, engine and time since its start, at parts for small, middling and large
// commands.
func (r *Router) slowStartAllowance(e *engine) float64 {
	g := r.limits
	if r.now > e.startedAt+g.SlowStartTime+windowSlack || g.SlowStartOverload <= 0 {
		return math.Inf(1)
	}
	whole := slowStartShareUsed * g.SlowStartOverload * g.SlowStartCapacity * e.cores * g.SlowStartWindow
	if whole >= slowStartPartSizes[0]*r.controllers {
		return whole / r.controllers
	}
	whole /= slowStartTurnsPerWindow + 1 // a window touches so many stretches
	stretch := uint64(max(0, r.now-e.startedAt) * slowStartTurnsPerWindow / (g.SlowStartWindow + 2*windowSlack))
	turns := math.Ceil(r.controllers / max(1,
		math.Floor(whole/slowStartPartSizes[stretch%uint64(len(slowStartPartSizes))])))
	if (e.idHash+uint64(r.index)+stretch/uint64(len(slowStartPartSizes)))%uint64(turns) != 0 {
		return 0
	}
	return whole / math.Ceil(r.controllers/turns)
}

func (r *Router) slowStartAllows(q *query, e *engine) bool {
	// what an earlier life sent is not known
	part, from := r.slowStartAllowance(e), r.now-r.limits.SlowStartWindow-windowSlack
	return math.IsInf(part, 1) || r.startedAt <= from &&
		e.slowStartWork.sumSince(from)+q.slowStartCost(r.now) <= part
}

// slowStartCapacityAt is the share of its capacity that a cold engine is taken to have at some time, by
// what is stated of such.
func (r *Router) slowStartCapacityAt(e *engine, at float64) float64 {
	return r.limits.SlowStartCapacity + (1-r.limits.SlowStartCapacity)*min(1, max(0, at-e.startedAt)/max(1,
		r.limits.SlowStartTime))
}

func (r *Router) slowStartCapacity(e *engine) float64 { return r.slowStartCapacityAt(e, r.now) }

// slowStartCost is what c counts for at a cold engine: as its profile usually does, more if its estimate
// says so.
func (q *query) slowStartCost(now float64) float64 {
	return max(q.class.usualWork(now), q.uncappedEstimate)
}
