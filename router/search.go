package router

import (
	"math"
)

// searchState has the bounds by which selectEngine leaves out engines that can't be selected. They hold
// until the next runPeriodic.
type searchState struct {
	candidates       candidateList // of all engines, for queries that leave their pools
	exemptEngines    int           // that may have capacity although all threads of the pooled limit are in use
	warmingEngines   int           // at least 1 if an engine may be warming up
	minFill          float64       // threads a core, at most that of the least filled engine
	maxCapacity      float64       // cores, at least those of the largest engine
	minOthersPerCore float64       // least value of traffic.othersPerCore for which the bounds hold
	scores           []float64     // of the engines of one search, kept for its memory
	boundsExamined   int           // engines whose bounds were looked at, ever; read by tests
}

// searchBounds are those of an engine, until r.tendAt. Each is reckoned as the exact figure is, operation
// by operation, from parts that are no larger (or, under a division, no smaller): rounding keeps order, so
// it is a bound to the last bit.
type searchBounds struct {
	minFill                    float64 // at least so many threads a core is it taken to run
	maxCapacity                float64 // at most so many cores does it have, as far as it is warm
	minSlowdown                float64 // at least this is the factor of its pace
	maxThreads                 float64 // at most so many threads is its bound, for a part of the traffic of one
	maybeHealthy, maybeWarming bool    // it may be fit for some profile; it may be cold
	exemptFromPool             bool    // it may have room by reports, or as it is cold, where the pool has none
}

// roundingError is how far a mean may lie outside of those at two times, when taken between these; and more.
const roundingError = 1e-12

// lowerBound is the lowerBound that a mean may be between two times, for a prior that is no smaller.
func (d *decayedMean) lowerBound(now, until, prior, weight float64) float64 {
	if d.weight == 0 && d.sum == 0 {
		return prior
	}
	if d.sum > prior*d.weight { // it falls towards the prior
		now = until
	}
	return d.mean(now, prior, weight) * (1 - roundingError)
}

// updateBounds reckons an engine's bounds anew.
func (r *Router) updateBounds(e *engine) {
	until := max(r.now, r.timers.periodicAt)
	b := &e.bounds
	b.maybeHealthy = e.state == Ready && (e.healthy() || e.attempts == 0 || e.succeededAt > r.now-recentSuccessFor)
	b.maxCapacity = e.cores * r.slowStartCapacityAt(e, until)
	b.minFill = (e.threads + threadsPerOtherQuery*max(0, e.othersInflight.lowerBound(r.now, until, e.cores*r.search.minOthersPerCore, priorReportWeight))) / b.maxCapacity
	b.minSlowdown = 1
	if e.slowdown.sum > e.slowdown.weight {
		b.minSlowdown = max(1, e.slowdown.lowerBound(r.now, until, 1, 1)/widenBelowSlowdown)
	}
	if b.maybeHealthy {
		r.search.minFill, r.search.maxCapacity = min(r.search.minFill, b.minFill), max(r.search.maxCapacity, b.maxCapacity)
	}
	b.maxThreads = e.threadsPerCore * b.maxCapacity * (1 + roundingError)
	if b.maybeWarming = r.now <= e.startedAt+r.limits.SlowStartTime+windowSlack; b.maybeWarming {
		r.search.warmingEngines++ // at the least: it only tells that there is one
	}
	if was := b.exemptFromPool; was != (b.maybeHealthy && (b.maybeWarming || b.minFill < spillShare*initialThreadsPerCore)) {
		if b.exemptFromPool = !was; was {
			r.search.exemptEngines--
		} else {
			r.search.exemptEngines++
		}
	}
}

// updateAllBounds reckons all anew; busy, of which every engine takes a part where it has not been heard
// of, may fall by a tenth until then.
func (r *Router) updateAllBounds() {
	r.search.minOthersPerCore = 0.9 * r.traffic.othersPerCore.mean(r.now, 0, 1)
	r.search.minFill, r.search.maxCapacity, r.search.warmingEngines = math.Inf(1), 0, 0
	for _, e := range r.engineList {
		r.updateBounds(e)
	}
}

// scoreLowerBound is a bound on the pressure of c on e.
func (q *query) scoreLowerBound(e *engine) float64 {
	x := (e.bounds.minFill + q.class.Threads/e.bounds.maxCapacity) * e.bounds.minSlowdown
	if !q.class.LocksTables {
		x += affinityWeight * (1 - rendezvousAffinity(q.tables, e))
	}
	return x
}

// scoreLowerBounds fills in, for each of some engines, a bound on the pressure of c on it, without end
// where it can't have room, and tells where the least of them is. Where leaning can't make it the least it
// is left out.
func (r *Router) scoreLowerBounds(q *query, engines []*engine, fill, part float64) (list []float64, at int) {
	if cap(r.search.scores) < len(engines) {
		r.search.scores = make([]float64, len(engines)+len(engines)/2)
	}
	r.search.boundsExamined += len(engines)
	list = r.search.scores[:len(engines)]
	least, threads, leans := math.Inf(1), q.class.Threads, !q.class.LocksTables
	none, pooled, fill := r.concurrency.attempts == 0, r.concurrency.threads <= r.concurrency.threadLimit, fill*part
	for i, e := range engines {
		b := &e.bounds
		x := math.Inf(1)
		if b.maybeHealthy && (none || (pooled || b.exemptFromPool) && (e.attempts == 0 || b.maybeWarming || e.threads <= fill*b.maxThreads)) {
			if x = (b.minFill + threads/b.maxCapacity) * b.minSlowdown; x < least {
				if leans {
					x += affinityWeight * (1 - rendezvousAffinity(q.tables, e))
				}
				if x < least {
					least, at = x, i
				}
			}
		}
		list[i] = x
	}
	return list, at
}

// mayHaveCapacity tells whether hasRoom could say so, filled up to a share, for a part of the traffic.
func (r *Router) mayHaveCapacity(e *engine, fill, part float64) bool {
	b := &e.bounds
	return b.maybeHealthy && (r.concurrency.attempts == 0 || (r.concurrency.threads <= r.concurrency.threadLimit || b.exemptFromPool) &&
		(e.attempts == 0 || b.maybeWarming || e.threads <= fill*part*b.maxThreads))
}

// bestCandidate is the engine that is pressed least so far, with its place in the list that is looked
// through.
type bestCandidate struct {
	engine *engine
	score  float64
	index  int
}

// beatenBy tells whether another wins over it: of two alike the first.
func (w *bestCandidate) beatenBy(x float64, at int) bool {
	return x < w.score || x == w.score && at < w.index
}

// eachLikelyWinner hands the engines to try that may win, by their bounds, the likeliest first. try makes
// the winner.
func (r *Router) eachLikelyWinner(q *query, s *candidateList, all []*engine, fill, part float64, best *bestCandidate, try func(e *engine, at int)) {
	if r.queue.length < minQueuedForList && !q.class.LocksTables {
		if places := r.affinityOrderOf(s, q.tables, all); places != nil {
			least := r.search.minFill + q.class.Threads/r.search.maxCapacity
			for _, i := range places {
				e := all[i]
				if least+affinityWeight*(1-rendezvousAffinity(q.tables, e)) > best.score { // and so is it for all that are liked less
					return
				}
				if r.mayHaveCapacity(e, fill, part) && best.beatenBy(q.scoreLowerBound(e), int(i)) {
					try(e, int(i))
				}
			}
			return
		}
	}
	engines := r.withCapacity(s, all, fill, part)
	floors, first := r.scoreLowerBounds(q, engines, fill, part)
	if first < len(engines) { // who will hardly be beaten spares the others
		try(engines[first], first)
	}
	for i, x := range floors {
		if i != first && best.beatenBy(x, i) && best.beatenBy(q.scoreLowerBound(engines[i]), i) {
			try(engines[i], i)
		}
	}
}

// noCapacityAnywhere tells that no engine has room for c, as far as that is known without looking: the pool
// is used up and no engine is excused, or none had room for another of its profile in this step.
func (r *Router) noCapacityAnywhere(q *query) bool {
	return r.concurrency.attempts > 0 && r.concurrency.threads > r.concurrency.threadLimit && (r.concurrency.threads > r.concurrency.threadLimit+poolOverhang && r.search.warmingEngines == 0 || r.search.exemptEngines == 0) || r.knownFullFor(q)
}
