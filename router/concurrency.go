package router

import (
	"math"
	"slices"
)

// concurrency is what this controller has in flight, over all engines.
type concurrency struct {
	attempts    int
	threads     float64 // of these attempts
	threadLimit float64 // on all engines together
	readyCores  float64 // cores of the engines that are ready
}

const (
	initialThreadsPerCore = 2.0
	minThreadsPerCore     = 1.5
	maxThreadsPerCore     = 2.5
	widenBelowSlowdown    = 1.8   // slowdown of an engine below which its limit widens
	cutAboveSlowdown      = 3.0   // slowdown of an engine above which its limit is cut
	widenStep             = 0.5   // threads, for each answer
	limitCutFactor        = 0.85  // of the limit is left by a cut
	limitCutInterval      = 400.0 // ms between cuts
	poolOverhang          = 3.0   // threads over the pooled limit that may start where reports tell of capacity
	threadsPerOtherQuery  = 1.2   // threads that a query of another controller is taken to use
	maxMemoryGranted      = 0.9   // share of an engine's memory; it gets nothing new while it reports more
)

func (r *Router) threadLimit(e *engine) float64 {
	return e.threadsPerCore * e.cores * r.slowStartCapacity(e) * r.trafficShare()
}

// hasCapacity is the thread bound, for the engine and pooled over all: a small controller's part of one
// engine is less than a command, of which one may always run, and the last may overhang. Its part of all is
// coarse too: it may go a little past it where a report tells of room, and nothing goes where one tells of
// no memory.
func (r *Router) hasCapacity(q *query, e *engine, fill float64) bool {
	told, pool, room, t := r.now-e.reportedAt < reportMaxAge, r.concurrency.threadLimit,
		fill*r.threadLimit(e), e.classBackoff(q.class)
	if room < 1 && !math.IsInf(r.slowStartAllowance(e), 1) { // a cold one's guard is its part
		pool, room = math.Inf(1), room/r.trafficShare()
	} else if told && r.fill(e) < roomyFill*initialThreadsPerCore {
		pool += poolOverhang
	}
	return r.now >= t.until && (e.healthy() || t.succeededSince(r.now-recentSuccessFor) ||
		e.attempts == 0 && r.now >= e.trialAt) &&
		(r.concurrency.attempts == 0 || r.concurrency.threads <= pool && (e.attempts == 0 ||
			e.threads <= room) && (!told || e.memoryGranted <= maxMemoryGranted))
}

// refreshEngines computes the pooled concurrency limit anew and asks engines for their health that are due.
// A warming engine from which no class may get anything adds nothing to the limit.
func (r *Router) refreshEngines() {
	r.concurrency.threadLimit = 0
	r.concurrency.readyCores = 0
	for _, e := range r.engineList {
		e.slowdown.halfLife = r.slowdownHalfLife()
		if e.state != Ready {
			continue
		}
		r.concurrency.readyCores += e.cores
		if r.usableByAnyClass(e) {
			r.concurrency.threadLimit += r.threadLimit(e)
		}
		if r.now >= e.healthCheckAt && r.healthChecks.credit > maxHealthCheckCredit/2 {
			r.checkHealth(e)
		}
	}
}

// slowdownHalfLife is as long as it takes for some own queries to come to each engine, within bounds.
func (r *Router) slowdownHalfLife() float64 {
	queryRate := r.traffic.queryRate.rate(r.now) + 1e-9
	wanted := slowdownLifeFactor * float64(len(r.engineList)) / queryRate
	return min(maxSlowdownHalfLife, max(reportHalfLife, wanted))
}

// usableByAnyClass reports whether a usual query of some class fits what e may get while it warms up.
func (r *Router) usableByAnyClass(e *engine) bool {
	return slices.ContainsFunc(r.classes, func(class *queryClass) bool {
		return class.usualWork(r.now) < r.slowStartAllowance(e)
	})
}
