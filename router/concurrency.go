package router

import (
	"math"
	"slices"
)

// concurrency counts what this controller has in flight on all engines together.
type concurrency struct {
	attempts          int
	threads           float64 // used by these attempts
	pooledThreadLimit float64 // limit on threads, over all engines
	readyCores        float64 // cores of the engines that are ready
}

// The concurrency limit of an engine and its adjustment.
const (
	initialThreadsPerCore = 2.0
	minThreadsPerCore     = 1.5
	maxThreadsPerCore     = 2.5
	increaseBelowSlowdown = 1.8   // slowdown of an engine below which its limit is increased
	decreaseAboveSlowdown = 3.0   // slowdown of an engine above which its limit is decreased
	limitIncreaseStep     = 0.5   // threads that an answer adds to the limit
	limitIncreaseMinUse   = 0.7   // share of the limit that must be in use for an increase
	limitDecreaseFactor   = 0.85  // applied to the limit in each decrease
	limitDecreaseInterval = 400.0 // ms between decreases for slowness; a rejection decreases at once
)

const (
	pooledLimitTolerance = 3.0 // threads over the pooled limit, on engines that report spare capacity
	threadsPerOtherQuery = 1.2 // threads that a query of another controller is assumed to use
	maxMemoryGranted     = 0.9 // of an engine's memory; above it, a busy controller starts nothing
)

// threadLimit is the concurrency limit in threads of this controller on one engine: the limit of
// the engine, scaled by its capacity while it warms up and by this controller's share of the
// traffic.
func (r *Router) threadLimit(e *engine) float64 {
	return e.threadsPerCore * e.cores * r.slowStartCapacity(e) * r.trafficShare()
}

// adjustThreadLimit adjusts the concurrency limit of e by additive increase and multiplicative
// decrease, after an answer to an attempt that used the given threads. The limit is increased while
// it is in use and queries run less than increaseBelowSlowdown times as long as on an idle engine,
// and decreased when they run more than decreaseAboveSlowdown times as long.
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

// hasCapacity reports whether e may take q now, with up to the given share of its thread limit in
// use. A controller with nothing in flight may always start one attempt, because a small
// controller's share of an engine can be less than one query.
func (r *Router) hasCapacity(q *query, e *engine, share float64) bool {
	if r.now < e.classBackoff(q.class).until || !r.usable(q.class, e) {
		return false
	}
	return r.concurrency.attempts == 0 || r.withinThreadLimits(e, share)
}

// withinThreadLimits reports whether the threads in flight are within the limit of e and within the
// limit pooled over all engines. The attempt to be started is not counted, so the last one may
// exceed either limit, and the limit of e does not apply while e has no attempts.
//
// On an engine that reports spare capacity the pooled limit may be exceeded by
// pooledLimitTolerance, because a controller's share is a coarse estimate. It does not apply to a
// warming engine on which this controller's limit is below one thread; slowStartAllows guards that
// one. Nothing starts on an engine that reports its memory as used up, but hasCapacity does not ask
// while this controller has nothing in flight.
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

// refreshEngines recomputes the pooled concurrency limit and requests the health checks that are
// due. A warming engine that may not be sent an average query of any class adds nothing to the
// limit.
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

// averageQueryFits reports whether, for at least one class, a query of average work fits into what
// this controller may send to e while it warms up.
func (r *Router) averageQueryFits(e *engine) bool {
	return slices.ContainsFunc(r.classes, func(class *queryClass) bool {
		return class.meanWork(r.now) < r.slowStartAllowance(e)
	})
}
