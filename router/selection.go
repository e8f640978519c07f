package router

import (
	"math"
)

const (
	roomyFill         = 0.75   // share of the thread limit up to which an engine takes queries of other pools
	affinityWeight    = 1.0    // threads a core that the least affinity of a table group to an engine counts as
	tableLockPenalty  = 4.0    // threads a core that a lock on the query's tables counts as
	tableLockNoteLife = 1500.0 // ms for which a progress message that tells of a table lock counts
	// of the healthy engines; when as many have a group locked, further loads join them
	widelyLockedShare = 2.0 / 3
)

const (
	minClassBackoff = 200.0 // ms for which a class stays away from an engine that rejected it, at first
	maxClassBackoff = 1e3   // ms
)

// selectEngine finds the engine for c: the least pressed of its owners' with room, else a roomy one
// anywhere; of two alike the first. Who can't be it by their bounds, or by another of the profile just now,
// are left out.
func (r *Router) selectEngine(q *query) *engine {
	if r.noCapacityAnywhere(q) {
		return nil
	}
	best, crowded, part := bestCandidate{score: math.Inf(1)}, r.tablesLockedWidely(q), r.trafficShare()
	consider := func(s *candidateList, engines []*engine, fill float64) {
		if r.knownFull(s, q.class) {
			return
		}
		found := best.engine
		best.index = -1 // ahead of all others
		r.eachLikelyWinner(q, s, engines, fill, part, &best, func(e *engine, at int) {
			if q.placementAllows(e.kind, e.zone) && (!crowded || e.tableLocksHeld(q.tables, r.now) > 0) {
				x := r.placementScore(q, e)
				if best.beatenBy(x, at) && r.hasCapacity(q, e, fill) && r.eligible(q, e) {
					best = bestCandidate{e, x, at}
				}
			}
		})
		if found == nil && best.engine == nil && !crowded && r.unrestricted(q) {
			r.markFull(s, q.class)
		}
	}
	for k, pool := range q.tables.pools {
		if pool != nil && permits(q.class.Kinds, KindID(k)) {
			consider(&pool.candidates, pool.engines, 1)
		}
	}
	if best.engine == nil || r.contention(q, best.engine) > 0 {
		consider(&r.search.candidates, r.engineList, roomyFill)
	}
	return best.engine
}

// placementScore ranks engines for a command: how filled and slow they are, loads that hold its tables,
// leaning.
func (r *Router) placementScore(q *query, e *engine) float64 {
	x := (r.fill(e) + q.class.Threads/(e.cores*r.slowStartCapacity(e))) * max(1, e.slowdown.mean(r.now, 1,
		1)/widenBelowSlowdown)
	x += tableLockPenalty * r.contention(q, e) // who would stand still behind a load finds another engine
	if !q.class.LocksTables {                  // those don't meet, or they would stand still behind each other
		x += affinityWeight * (1 - rendezvousAffinity(q.tables, e))
	}
	return x
}

// fill is the threads a core that an engine is taken to run, own and others', by its reports.
func (r *Router) fill(e *engine) float64 {
	others := e.othersInflight.mean(r.now, e.cores*r.traffic.othersPerCore.mean(r.now, 0, 1), 0.5)
	return (e.threads + threadsPerOtherQuery*others) / (e.cores * r.slowStartCapacity(e))
}

// contention is what is known contention c on e: loads that it would stand still behind, its sends that
// failed there.
func (r *Router) contention(q *query, e *engine) float64 {
	if class := q.class; class.LocksTables || class.WaitsForTables {
		return e.tableLocksHeld(q.tables, r.now) + q.failedAttemptsOn(e)
	}
	return q.failedAttemptsOn(e)
}

// tablesLockedWidely tells whether loads hold c's tables on so many engines that another goes where they
// are held: it waits its turn there, and who waits for tables finds engines where it need not. Against
// traffic that meets on few tables, whose loads would hold them everywhere. Harm: loads queue up, and more
// of them are late.
func (r *Router) tablesLockedWidely(q *query) bool {
	if !q.class.LocksTables || len(q.tables.lockHolders) == 0 {
		return false
	}
	held := r.lockedEngines(q.tables)
	return held > 0 && held >= widelyLockedShare*r.healthyEngines()
}

// lockedEngines counts the ready and well engines on which loads hold a table group.
func (r *Router) lockedEngines(g *tableGroup) (n float64) {
	g.dropReleasedLocks(r.now)
	for _, e := range g.lockHolders {
		if e.state == Ready && e.healthy() {
			n++
		}
	}
	return n
}

// healthyEngines counts the engines that are ready and well.
func (r *Router) healthyEngines() (n float64) {
	for _, e := range r.engineList {
		if e.state == Ready && e.healthy() {
			n++
		}
	}
	return n
}

// rendezvousAffinity is a fixed leaning from 0 to 1 of a table group to an engine, the same at every
// controller.
func rendezvousAffinity(g *tableGroup, e *engine) float64 {
	x := e.idHash ^ uint64(g.id)*0x9e3779b97f4a7c15
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
