package router

import (
	"math"
	"slices"
)

// concurrency is what this controller has in flight, over all engines.
type concurrency struct {
	attempts          int
	threads           float64 // of these attempts
	pooledThreadLimit float64 // on all engines together
	readyCores        float64 // cores of the engines that are ready
}

// The concurrency limit of an engine, and how it changes.
const (
	initialThreadsPerCore = 2.0
	minThreadsPerCore     = 1.5
	maxThreadsPerCore     = 2.5
	increaseBelowSlowdown = 1.8   // slowdown of an engine below which its limit widens
	decreaseAboveSlowdown = 3.0   // slowdown of an engine above which its limit is cut
	limitIncreaseStep     = 0.5   // threads that an answer adds to the limit
	limitIncreaseMinUse   = 0.7   // share of the limit that must be in use for it to widen
	limitDecreaseFactor   = 0.85  // factor of a cut on the limit
	limitDecreaseInterval = 400.0 // ms between cuts for slowness; a rejection cuts at once
)

const (
	pooledLimitTolerance = 3.0 // threads past the pooled limit, on engines that report capacity
	threadsPerOtherQuery = 1.2 // threads that a query of another controller is taken to use
	maxMemoryGranted     = 0.9 // of an engine's memory; past it a busy controller starts nothing there
)

// threadLimit is the concurrency limit of this controller on one engine, in threads: the engine's
// own, times the capacity that it has while it warms up, times this controller's share of the
// traffic.
func (r *Router) threadLimit(e *engine) float64 {
	return e.threadsPerCore * e.cores * r.slowStartCapacity(e) * r.trafficShare()
}

// adjustThreadLimit adjusts the concurrency limit of e after an answer to an attempt that used some
// threads, by additive increase and multiplicative decrease. The limit widens while queries run
// less than increaseBelowSlowdown times as long as on an idle engine and the limit is in use, and is
// cut when they run more than decreaseAboveSlowdown times as long.
func (r *Router) adjustThreadLimit(e *engine, threads float64) {
	slowdown := e.meanSlowdown(r.now)
	limit := r.threadLimit(e)
	switch {
	case slowdown < increaseBelowSlowdown && e.threads+threads >= limitIncreaseMinUse*limit:
		e.threadsPerCore = min(maxThreadsPerCore, e.threadsPerCore*(1+limitIncreaseStep/max(1, limit)))
	case slowdown > decreaseAboveSlowdown && r.now-e.limitDecreasedAt > limitDecreaseInterval:
		e.threadsPerCore = max(minThreadsPerCore, e.threadsPerCore*limitDecreaseFactor)
		e.limitDecreasedAt = r.now
	}
}

// hasCapacity reports whether e may take q now, up to a share of its thread limit. A controller
// with nothing in flight may always start one attempt: a small controller's part of the engines is
// less than one query.
func (r *Router) hasCapacity(q *query, e *engine, share float64) bool {
	if r.now < e.classBackoff(q.class).until || !r.usable(q.class, e) {
		return false
	}
	return r.concurrency.attempts == 0 || r.withinThreadLimits(e, share)
}

// withinThreadLimits reports whether the threads in flight are within the limits, on e and pooled
// over all engines. The last attempt may overhang either, and one may always run on an engine that
// has none. The pooled limit may be passed a little on an engine that reports capacity, as a
// controller's share is coarse. It does not count for a warming engine with a part below one
// thread, as slowStartAllows guards that. Nothing starts on an engine that reports its memory as
// used up (hasCapacity does not ask while nothing is in flight).
func (r *Router) withinThreadLimits(e *engine, share float64) bool {
	reported := r.now-e.reportedAt < reportMaxAge
	pooledLimit := r.concurrency.pooledThreadLimit
	limit := share * r.threadLimit(e)
	if limit < 1 && !math.IsInf(r.slowStartAllowance(e), 1) {
		pooledLimit = math.Inf(1)
		limit /= r.trafficShare()
	} else if reported && r.fill(e) < spillShare*initialThreadsPerCore {
		pooledLimit += pooledLimitTolerance
	}
	return r.concurrency.threads <= pooledLimit &&
		(e.attempts == 0 || e.threads <= limit) &&
		(!reported || e.memoryGranted <= maxMemoryGranted)
}

// refreshEngines computes the pooled concurrency limit anew and checks the health of the engines
// that are due. A warming engine from which no class may get anything adds nothing to the limit.
func (r *Router) refreshEngines() {
	r.concurrency.pooledThreadLimit = 0
	r.concurrency.readyCores = 0
	for _, e := range r.engineList {
		e.slowdown.halfLife = r.slowdownHalfLife()
		if e.state != Ready {
			continue
		}
		r.concurrency.readyCores += e.cores
		if r.averageQueryFits(e) {
			r.concurrency.pooledThreadLimit += r.threadLimit(e)
		}
		if r.now >= e.healthCheckAt && r.healthChecks.credit > reservedCredit {
			r.checkHealth(e)
		}
	}
}

// averageQueryFits reports whether a usual query of some class fits into what e may get while it
// warms up.
func (r *Router) averageQueryFits(e *engine) bool {
	return slices.ContainsFunc(r.classes, func(class *queryClass) bool {
		return class.meanWork(r.now) < r.slowStartAllowance(e)
	})
}
