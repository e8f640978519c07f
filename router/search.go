package router

import "math"

// This file is a branch-and-bound search: it finds the engine that selectEngine would find by an
// exact look at every engine, while it looks exactly at few of them. Each engine has bounds that
// are cheap to compare.
//
// The invariant is that a bound never excludes an engine that the exact figures would select: a
// lower bound of the placement score is at most the exact score, and an engine counts as without
// capacity only if hasCapacity says so too. A bound that is too weak costs time; one that is wrong
// would change what is selected.
//
// It holds in floating point, to the last bit. A bound is computed by the same operations, in the
// same order, as the exact figure, from operands that are not larger (under a division or a
// subtraction: not smaller). Rounding is monotone, so after each operation the bound is still not
// larger. Where a bound takes operations in another order, roundingSlack covers the difference.
//
// The bounds of an engine hold for all times until the next runPeriodic, which computes them anew
// with updateAllBounds. Whatever changes an engine in between calls updateBounds for it. dispatch
// calls updateAllBounds early if the mean load of the other controllers falls below what the bounds
// assume.

// searchState is what is kept for the searches over engines.
type searchState struct {
	candidates       candidateList // of engineList, for queries that leave their pools
	exemptEngines    int           // engines with bounds.exemptFromPooledLimit
	warmingEngines   int           // above 0 if an engine may be warming; counts some repeatedly
	minFill          float64       // threads per core; lower bound over all engines
	maxCapacity      float64       // cores; upper bound over all engines
	minOthersPerCore float64       // lower bound of meanOthersPerCore
	scoreBuffer      []float64     // kept for its memory: scoreLowerBounds
	boundsExamined   int           // bounds of engines examined since the start; read by tests
}

// searchBounds are the bounds of one engine.
type searchBounds struct {
	minFill               float64 // threads per core; lower bound of fill
	maxCapacity           float64 // cores; upper bound of cores times slowStartCapacity
	minSlowdown           float64 // lower bound of the factor of its slowdown in the placement score
	maxThreadLimit        float64 // threads; upper bound of the thread limit of all controllers together
	maybeHealthy          bool    // false: it is usable for no class
	maybeWarming          bool    // false: it is warm
	exemptFromPooledLimit bool    // false: it has no capacity once the pooled thread limit is used up
}

const (
	// roundingSlack is a relative difference, larger than rounding can make between two ways to
	// compute a figure of a few operations.
	roundingSlack = 1e-12
	// othersPerCoreSlack is how far the mean load of the other controllers may fall, as a share of
	// itself, before all bounds are computed anew.
	othersPerCoreSlack = 0.1
)

// meanLowerBound is a lower bound of mean for all times from now until another, and for a prior
// that is not smaller. Without additions the mean moves towards the prior, so it is least at one of
// the two times.
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

// updateBounds computes the bounds of an engine anew, for the time until the next runPeriodic.
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

// fillLowerBound is a lower bound of fill until a time (ms). bounds.maxCapacity of e must hold
// already.
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

// widenSearchBounds widens the bounds over all engines to those of one.
func (r *Router) widenSearchBounds(b *searchBounds) {
	if b.maybeHealthy {
		r.search.minFill = min(r.search.minFill, b.minFill)
		r.search.maxCapacity = max(r.search.maxCapacity, b.maxCapacity)
	}
	if b.maybeWarming {
		r.search.warmingEngines++
	}
}

// updatePooledLimitExemption sets exemptFromPooledLimit by the other bounds of the engine, and keeps the count of such
// engines. The two cases are those in which withinThreadLimits lets an engine pass the pooled
// limit: it is warming up, or its reports tell of capacity.
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

// updateAllBounds computes the bounds of all engines anew.
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
// how full and how slow e is.
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

// capacityBound is the part of mayHaveCapacity that is the same for all engines of a list.
type capacityBound struct {
	nothingInFlight   bool // this controller has no attempt
	withinPooledLimit bool // the pooled thread limit is not used up

	// limitShare is the share of the thread limit of all controllers on an engine up to which this one
	// may fill it.
	limitShare float64
}

// capacityBound returns the bound for a list of engines that are filled up to a share of this
// controller's thread limit on them.
func (r *Router) capacityBound(share, trafficShare float64) capacityBound {
	return capacityBound{
		nothingInFlight:   r.concurrency.attempts == 0,
		withinPooledLimit: r.concurrency.threads <= r.concurrency.pooledThreadLimit,
		limitShare:        share * trafficShare,
	}
}

// mayHaveCapacity reports whether e may have capacity. If it says no, hasCapacity does so too, for every
// class.
func (c *capacityBound) mayHaveCapacity(e *engine) bool {
	b := &e.bounds
	if !b.maybeHealthy || c.nothingInFlight {
		return b.maybeHealthy
	}
	return (c.withinPooledLimit || b.exemptFromPooledLimit) &&
		(e.attempts == 0 || b.maybeWarming || e.threads <= c.limitShare*b.maxThreadLimit)
}

// scoreLowerBounds returns a bound for each of some engines, and the index of the least one. The
// bound is +Inf where the engine has no capacity, else a lower bound of the placement score of q on
// it. The affinity is left out of it where the engine can't be the least anyway: hashes are the
// more expensive part.
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

// scoreBuffer returns memory for the scores of a number of engines, which the next call uses again.
func (r *Router) scoreBuffer(length int) []float64 {
	if cap(r.search.scoreBuffer) < length {
		r.search.scoreBuffer = make([]float64, length+length/2)
	}
	return r.search.scoreBuffer[:length]
}

// bestCandidate is the best engine that a search has found so far.
type bestCandidate struct {
	engine *engine // nil: none
	score  float64 // placement score; +Inf: there is none
	index  int     // in the list that is searched; -1: it comes from an earlier list
}

// beatenBy reports whether an engine with this score at this index is better: of two alike the
// first is.
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

// tryEngine looks at one engine of the list exactly, and makes it the best one if it is. It is
// handed on beside the listSearch, as the closure would be allocated anew for each search if it
// were part of it.
type tryEngine func(e *engine, index int)

// eachPossibleBest calls try for the engines of a list that their bounds don't exclude.
func (r *Router) eachPossibleBest(s *listSearch, try tryEngine) {
	if r.queue.length < minQueuedForList && !s.q.class.LocksTables {
		if order := r.affinityOrderOf(s.candidates, s.q.tables, s.engines); order != nil {
			r.searchByAffinity(s, order, try)
			return
		}
	}
	r.searchByBounds(s, try)
}

// searchByAffinity tries engines in the order of their affinity. The score is at least the
// affinity's part and what the least filled engine would have, so the search ends as soon as that
// is worse than the best: the engines that follow have less affinity.
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

// searchByBounds tries the engine with the least bound first, as it will hardly be beaten, and then
// those with a bound that is better than its score.
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

// noCapacityAnywhere reports that no engine has capacity for q, as far as that is known without a
// search. It may be false although none has.
func (r *Router) noCapacityAnywhere(q *query) bool {
	return r.pooledLimitExceeded() || r.knownWithoutCapacityFor(q)
}

// pooledLimitExceeded reports that the pooled thread limit is used up, and that no engine may pass
// it.
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
