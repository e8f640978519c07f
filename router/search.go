package router

import "math"

// This file is a branch-and-bound search: it finds the engine that selectEngine would find with the
// exact figures of every engine, while it computes them for few engines only. Each engine has
// bounds that are cheap to compare.
//
// The invariant is that a bound never excludes an engine that the exact figures would select: a
// lower bound of the placement score is at most the exact score, and an engine counts as without
// capacity only if hasCapacity says so too. A bound that is too weak costs time; one that is wrong
// would change what is selected.
//
// It holds in floating point, to the last bit. A lower bound is computed by the same operations, in
// the same order, as the exact figure, from operands that are not larger (not smaller for divisors
// and subtrahends). Rounding is monotone, so after each operation the bound is still not larger.
// Where a bound needs operations in another order, roundingSlack covers the difference.
//
// The bounds of an engine hold until the next runPeriodic, which recomputes them with
// updateAllBounds. Code that changes an engine in between calls updateBounds for it. dispatch calls
// updateAllBounds early if the mean load from other controllers falls below what the bounds assume.

// searchState is the state of the searches over engines.
type searchState struct {
	candidates       candidateList // of engineList, for queries that spill from their pools
	exemptEngines    int           // number of engines with bounds.exemptFromPooledLimit
	warmingEngines   int           // above 0 if any may be warming; may count an engine repeatedly
	minFill          float64       // threads per core; lower bound over all engines
	maxCapacity      float64       // cores; upper bound over all engines
	minOthersPerCore float64       // lower bound of meanOthersPerCore
	scoreBuffer      []float64     // reused by scoreLowerBounds
	boundsExamined   int           // number of engine bounds examined since the start; for tests
}

// searchBounds are the bounds of one engine.
type searchBounds struct {
	minFill               float64 // threads per core; lower bound of fill
	maxCapacity           float64 // cores; upper bound of cores times slowStartCapacity
	minSlowdown           float64 // lower bound of the factor of its slowdown in the placement score
	maxThreadLimit        float64 // threads; upper bound of the limit of all controllers together
	maybeHealthy          bool    // false: no class can use it
	maybeWarming          bool    // false: it is certainly warm
	exemptFromPooledLimit bool    // false: it has no capacity once the pooled limit is exceeded
}

const (
	// roundingSlack is a relative difference larger than the rounding error between two ways to
	// compute a figure with a few operations.
	roundingSlack = 1e-12
	// othersPerCoreSlack is the share by which the mean load from other controllers may fall before
	// all bounds are recomputed.
	othersPerCoreSlack = 0.1
)

// meanLowerBound is a lower bound of mean for all times from now to until (ms), and for any prior
// that is not smaller. Without additions the mean moves towards the prior, so it is lowest at one
// of these two times.
func (d *decayedMean) meanLowerBound(now, until, prior, priorWeight float64) float64 {
	if d.weight == 0 && d.sum == 0 {
		return prior
	}
	leastAt := now
	if falling := d.sum > prior*d.weight; falling {
		leastAt = until
	}
	return d.mean(leastAt, prior, priorWeight) * (1 - roundingSlack)
}

// updateBounds recomputes the bounds of an engine, for the time until the next runPeriodic.
func (r *Router) updateBounds(e *engine) {
	until := max(r.now, r.timers.periodicAt)
	b := &e.bounds
	b.maybeHealthy = e.state == Ready &&
		(e.healthy() || e.attempts == 0 || e.succeededAt > r.now-recentSuccessFor)
	b.maybeWarming = r.now <= e.startedAt+r.limits.SlowStartTime+windowSlack
	b.maxCapacity = e.cores * r.slowStartCapacityAt(e, until)
	b.minFill = r.fillLowerBound(e, until)
	b.minSlowdown = e.slowdownLowerBound(r.now, until)
	b.maxThreadLimit = e.threadsPerCore * b.maxCapacity * (1 + roundingSlack)
	r.widenSearchBounds(b)
	r.updatePooledLimitExemption(b)
}

// fillLowerBound is a lower bound of fill until a time (ms). bounds.maxCapacity of e must be up to
// date.
func (r *Router) fillLowerBound(e *engine, until float64) float64 {
	minMean := e.cores * r.search.minOthersPerCore
	minOthers := max(0, e.othersInflight.meanLowerBound(r.now, until, minMean, priorReportWeight))
	return (e.threads + threadsPerOtherQuery*minOthers) / e.bounds.maxCapacity
}

// slowdownLowerBound is a lower bound of the factor of an engine's slowdown in the placement score.
func (e *engine) slowdownLowerBound(now, until float64) float64 {
	if e.slowdown.sum <= e.slowdown.weight {
		return 1
	}
	return max(1, e.slowdown.meanLowerBound(now, until, 1, slowdownPriorWeight)/increaseBelowSlowdown)
}

// widenSearchBounds extends the bounds over all engines to include those of one.
func (r *Router) widenSearchBounds(b *searchBounds) {
	if b.maybeHealthy {
		r.search.minFill = min(r.search.minFill, b.minFill)
		r.search.maxCapacity = max(r.search.maxCapacity, b.maxCapacity)
	}
	if b.maybeWarming {
		r.search.warmingEngines++
	}
}

// updatePooledLimitExemption sets exemptFromPooledLimit from the other bounds of the engine, and
// updates the count of such engines. The two cases are those in which withinThreadLimits lets an
// engine exceed the pooled limit: it is warming up, or its load reports show capacity.
func (r *Router) updatePooledLimitExemption(b *searchBounds) {
	exempt := b.maybeHealthy && (b.maybeWarming || b.minFill < spillShare*initialThreadsPerCore)
	switch {
	case exempt && !b.exemptFromPooledLimit:
		r.search.exemptEngines++
	case !exempt && b.exemptFromPooledLimit:
		r.search.exemptEngines--
	}
	b.exemptFromPooledLimit = exempt
}

// updateAllBounds recomputes the bounds of all engines.
func (r *Router) updateAllBounds() {
	r.search.minOthersPerCore = (1 - othersPerCoreSlack) * r.meanOthersPerCore()
	r.search.minFill = math.Inf(1)
	r.search.maxCapacity = 0
	r.search.warmingEngines = 0
	for _, e := range r.engineList {
		r.updateBounds(e)
	}
}

// fillScoreLowerBound is a lower bound of the part of the placement score of q on e that comes from
// the fill and the slowdown of e.
func (q *query) fillScoreLowerBound(e *engine) float64 {
	b := &e.bounds
	return (b.minFill + q.class.Threads/b.maxCapacity) * b.minSlowdown
}

// affinityScore is the part of the placement score of q on e that comes from the affinity of its
// table group.
func (q *query) affinityScore(e *engine) float64 {
	return affinityWeight * (1 - rendezvousAffinity(q.tables, e))
}

// scoreLowerBound is a lower bound of the placement score of q on e.
func (q *query) scoreLowerBound(e *engine) float64 {
	bound := q.fillScoreLowerBound(e)
	if !q.class.LocksTables {
		bound += q.affinityScore(e)
	}
	return bound
}

// capacityBound holds the inputs of mayHaveCapacity that are the same for all engines of a list.
type capacityBound struct {
	nothingInFlight   bool // this controller has no attempt in flight
	withinPooledLimit bool // the pooled thread limit is not exceeded

	// limitShare is the share of an engine's thread limit, of all controllers together, that this
	// controller may use.
	limitShare float64
}

// capacityBound returns the bound for a list of engines on which the search may use a share of this
// controller's thread limit.
func (r *Router) capacityBound(share, trafficShare float64) capacityBound {
	return capacityBound{
		nothingInFlight:   r.concurrency.attempts == 0,
		withinPooledLimit: r.concurrency.threads <= r.concurrency.pooledThreadLimit,
		limitShare:        share * trafficShare,
	}
}

// mayHaveCapacity reports whether e may have capacity. If it returns false, so does hasCapacity,
// for every class.
func (c *capacityBound) mayHaveCapacity(e *engine) bool {
	b := &e.bounds
	if !b.maybeHealthy || c.nothingInFlight {
		return b.maybeHealthy
	}
	return (c.withinPooledLimit || b.exemptFromPooledLimit) &&
		(e.attempts == 0 || b.maybeWarming || e.threads <= c.limitShare*b.maxThreadLimit)
}

// scoreLowerBounds returns a bound for each engine of a list, and the index of the lowest one. The
// bound is +Inf if the engine has no capacity, else a lower bound of the placement score of q on
// it. The bound omits the affinity where it can't be the lowest even without it, because hashes are
// the more expensive part.
func (r *Router) scoreLowerBounds(
	q *query, engines []*engine, capacity capacityBound,
) ([]float64, int) {
	bounds := r.scoreBuffer(len(engines))
	r.search.boundsExamined += len(engines)
	least := math.Inf(1)
	leastIndex := 0
	for i, e := range engines {
		bound := math.Inf(1)
		if capacity.mayHaveCapacity(e) {
			bound = q.fillScoreLowerBound(e)
			if bound < least && !q.class.LocksTables {
				bound += q.affinityScore(e)
			}
		}
		if bound < least {
			least = bound
			leastIndex = i
		}
		bounds[i] = bound
	}
	return bounds, leastIndex
}

// scoreBuffer returns a slice for the scores of a number of engines. The next call reuses its
// memory.
func (r *Router) scoreBuffer(length int) []float64 {
	if cap(r.search.scoreBuffer) < length {
		r.search.scoreBuffer = make([]float64, length+length/2)
	}
	return r.search.scoreBuffer[:length]
}

// bestCandidate is the best engine that a search has found so far.
type bestCandidate struct {
	engine *engine // nil: none
	score  float64 // placement score; +Inf: no engine
	index  int     // in the list being searched; -1: found in an earlier list
}

// beatenBy reports whether an engine with this score at this index is better. Of equal scores the
// lower index wins.
func (best *bestCandidate) beatenBy(score float64, index int) bool {
	return score < best.score || score == best.score && index < best.index
}

// listSearch is the search for the best engine of one list.
type listSearch struct {
	q          *query
	candidates *candidateList // of the list
	engines    []*engine
	capacity   capacityBound
	best       *bestCandidate
}

// tryEngine compares one engine of the list by its exact figures, and makes it the best one if it
// is better. It is not a field of listSearch, because the closure would then be allocated for each
// search.
type tryEngine func(e *engine, index int)

// eachPossibleBest calls try for the engines of a list that are not excluded by their bounds.
func (r *Router) eachPossibleBest(s *listSearch, try tryEngine) {
	if r.queue.length < minQueuedForList && !s.q.class.LocksTables {
		if order := r.affinityOrderOf(s.candidates, s.q.tables, s.engines); order != nil {
			r.searchByAffinity(s, order, try)
			return
		}
	}
	r.searchByBounds(s, try)
}

// searchByAffinity tries engines in order of decreasing affinity. The score of an engine is at
// least its affinity score plus the lowest fill score of any engine. The search ends once that sum
// exceeds the best score, because the engines that follow have less affinity.
func (r *Router) searchByAffinity(s *listSearch, order []int32, try tryEngine) {
	minFillScore := r.search.minFill + s.q.class.Threads/r.search.maxCapacity
	for _, index := range order {
		e := s.engines[index]
		if minFillScore+s.q.affinityScore(e) > s.best.score {
			return
		}
		if s.capacity.mayHaveCapacity(e) && s.best.beatenBy(s.q.scoreLowerBound(e), int(index)) {
			try(e, int(index))
		}
	}
}

// searchByBounds first tries the engine with the lowest bound, which is most likely the best, and
// then those whose bounds are better than the best score.
func (r *Router) searchByBounds(s *listSearch, try tryEngine) {
	engines := r.withCapacity(s)
	bounds, first := r.scoreLowerBounds(s.q, engines, s.capacity)
	if first < len(engines) {
		try(engines[first], first)
	}
	for i, bound := range bounds {
		if i == first || !s.best.beatenBy(bound, i) {
			continue
		}
		if s.best.beatenBy(s.q.scoreLowerBound(engines[i]), i) {
			try(engines[i], i)
		}
	}
}

// noCapacityAnywhere reports whether it is known without a search that no engine has capacity for
// q. False does not mean that one has.
func (r *Router) noCapacityAnywhere(q *query) bool {
	return r.pooledLimitExceeded() || r.knownWithoutCapacityFor(q)
}

// pooledLimitExceeded reports whether the pooled thread limit is exceeded and no engine is exempt
// from it.
func (r *Router) pooledLimitExceeded() bool {
	pooled := &r.concurrency
	if pooled.attempts == 0 || pooled.threads <= pooled.pooledThreadLimit {
		return false
	}
	if r.search.exemptEngines == 0 {
		return true
	}
	return r.search.warmingEngines == 0 &&
		pooled.threads > pooled.pooledThreadLimit+pooledLimitTolerance
}
