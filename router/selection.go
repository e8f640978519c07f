package router

import "math"

const (
	spillShare          = 0.75    // of the thread limit, up to which other pools' queries are accepted
	affinityWeight      = 1.0     // penalty, in threads per core, for the lowest affinity
	tableLockPenalty    = 4.0     // penalty, in threads per core, for each unit of contention
	tableLockMessageAge = 1500.0  // ms for which a progress message about a table lock counts
	widelyLockedShare   = 2.0 / 3 // of the healthy engines, see tablesLockedWidely
	priorReportWeight   = 0.5     // of the mean of all engines in the load of one, in reports
)

// selection is one search for an engine for a query.
type selection struct {
	q            *query
	lockedOnly   bool    // only engines on which its tables are locked already are allowed
	trafficShare float64 // of this controller
	best         bestCandidate
}

// selectEngine returns the engine for q, or nil if no engine may take it now: the one with the
// lowest placement score among the engines with capacity in its table group's pools. If there is
// none, or q would meet a table lock or its own earlier failure on it, q spills over to any engine
// that is below spillShare of its thread limit. Ties go to the first engine in the list.
func (r *Router) selectEngine(q *query) *engine {
	if r.noCapacityAnywhere(q) {
		return nil
	}
	s := selection{
		q:            q,
		lockedOnly:   r.tablesLockedWidely(q),
		trafficShare: r.trafficShare(),
		best:         bestCandidate{score: math.Inf(1)},
	}
	for kind, pool := range q.tables.pools {
		if pool != nil && permits(q.class.Kinds, KindID(kind)) {
			r.searchIn(&s, &pool.candidates, pool.engines, 1)
		}
	}
	if s.best.engine == nil || r.contention(q, s.best.engine) > 0 {
		r.searchIn(&s, &r.search.candidates, r.engineList, spillShare)
	}
	return s.best.engine
}

// searchIn searches a list for an engine with a better score than the best so far, on condition
// that no more than the given share of its thread limit is in use. The bounds in search.go skip
// engines that can't be better. If no engine of the list has capacity, and nothing but its class
// and table group restricts the choice of q, that is remembered for the other queries of its class
// in this step.
func (r *Router) searchIn(
	s *selection, candidates *candidateList, engines []*engine, share float64,
) {
	q := s.q
	if r.knownWithoutCapacity(candidates, q.class) {
		return
	}
	nothingFoundYet := s.best.engine == nil
	s.best.index = -1 // a best engine of an earlier list comes before all of this one
	search := listSearch{
		q:          q,
		candidates: candidates,
		engines:    engines,
		capacity:   r.capacityBound(share, s.trafficShare),
		best:       &s.best,
	}
	r.eachPossibleBest(&search, func(e *engine, index int) {
		if !q.placementAllows(e.kind, e.zone) {
			return
		}
		if s.lockedOnly && e.tableLocksHeld(q.tables, r.now) == 0 {
			return
		}
		score := r.placementScore(q, e)
		if s.best.beatenBy(score, index) && r.hasCapacity(q, e, share) && r.eligible(q, e) {
			s.best = bestCandidate{engine: e, score: score, index: index}
		}
	})
	if nothingFoundYet && s.best.engine == nil && !s.lockedOnly && r.unrestricted(q) {
		r.markWithoutCapacity(candidates, q.class)
	}
}

// placementScore ranks engines for a query, lowest first: the fill of the engine with q on it,
// times its slowdown relative to increaseBelowSlowdown, plus penalties for contention and for a
// lack of affinity to the table group. Queries that lock their tables have no affinity: it would
// bring them together on one engine, where they wait for each other.
func (r *Router) placementScore(q *query, e *engine) float64 {
	fill := r.fill(e) + q.class.Threads/(e.cores*r.slowStartCapacity(e))
	score := fill * max(1, e.meanSlowdown(r.now)/increaseBelowSlowdown)
	score += tableLockPenalty * r.contention(q, e)
	if !q.class.LocksTables {
		score += affinityWeight * (1 - rendezvousAffinity(q.tables, e))
	}
	return score
}

// fill is the number of threads per core that an engine is assumed to run: those of this
// controller's attempts, and those of other controllers' queries by its reports, or by the mean of
// all engines while it has not reported.
func (r *Router) fill(e *engine) float64 {
	mean := e.cores * r.meanOthersPerCore()
	others := e.othersInflight.mean(r.now, mean, priorReportWeight)
	return (e.threads + threadsPerOtherQuery*others) / (e.cores * r.slowStartCapacity(e))
}

// contention counts what speaks against q on e: the table locks that q would wait for, and its own
// attempts that failed there.
func (r *Router) contention(q *query, e *engine) float64 {
	failed := q.failedAttemptsOn(e)
	if q.class.LocksTables || q.class.WaitsForTables {
		return e.tableLocksHeld(q.tables, r.now) + failed
	}
	return failed
}

// tablesLockedWidely reports whether q, which will lock its tables, has to join an engine on which
// they are locked already, because these are at least widelyLockedShare of the healthy engines. q
// waits there, and queries that wait for the tables find engines without locks. Under traffic on
// few table groups, their locks would otherwise spread to all engines. The cost is that queries
// that lock tables queue up, and more of them are late.
func (r *Router) tablesLockedWidely(q *query) bool {
	if !q.class.LocksTables || len(q.tables.lockHolders) == 0 {
		return false
	}
	locked := r.lockedEngines(q.tables)
	return locked > 0 && locked >= widelyLockedShare*r.healthyEngines()
}

// lockedEngines counts the ready and healthy engines on which a table group is locked.
func (r *Router) lockedEngines(g *tableGroup) float64 {
	g.dropReleasedLocks(r.now)
	count := 0.0
	for _, e := range g.lockHolders {
		if e.state == Ready && e.healthy() {
			count++
		}
	}
	return count
}

// healthyEngines counts the engines that are ready and healthy.
func (r *Router) healthyEngines() float64 {
	count := 0.0
	for _, e := range r.engineList {
		if e.state == Ready && e.healthy() {
			count++
		}
	}
	return count
}

// rendezvousAffinity is a hash of a table group and an engine, from 0 to 1. It is the same at every
// controller, so that all prefer the same engines for a group without communication. The
// multipliers are those of SplitMix64.
func rendezvousAffinity(g *tableGroup, e *engine) float64 {
	x := e.idHash ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
