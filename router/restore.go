package router

import "math"

// Bounds of restored figures. No true figure is beyond them, and none within them can exclude a
// class or an engine for long.
const (
	maxRestoredWeight   = 1000.0 // in additions of weight 1
	maxRestoredSlowdown = 20.0   // times the time on an idle engine
	maxRestoredScale    = 16.0   // true over estimated cost; the lower bound is one over this
	maxRestoredRate     = 1e6    // ms of work per ms; its square bounds megabytes in use
)

// clamp limits x to the range from least to most. NaN becomes least.
func clamp(x, least, most float64) float64 {
	if math.IsNaN(x) || x < least {
		return least
	}
	return min(x, most)
}

// restored converts an exported mean into a decayed mean, as if it had been learned just now. The
// mean is clamped to the given bounds, and the weight to maxRestoredWeight.
func (m WeightedMean) restored(halfLife, now, least, most float64) decayedMean {
	weight := clamp(m.Weight, 0, maxRestoredWeight)
	return decayedMean{
		halfLife:  halfLife,
		updatedAt: now,
		sum:       clamp(m.Mean, least, most) * weight,
		weight:    weight,
	}
}

// statisticsRestored imports what an earlier run of this controller exported. If that includes
// table groups, the pools are repacked by them, and the next rebalance waits for a whole interval:
// while no load is known, it would merge pools of one engine as underused.
func (r *Router) statisticsRestored(s Statistics) {
	r.restore(s)
	if len(s.Tables) == 0 {
		return
	}
	r.pools.rebalanceAt = max(r.pools.rebalanceAt, r.now+rebalanceInterval)
	for kind := range r.pools.byKind {
		r.repack(kind)
	}
}

// restore imports statistics, which may contain any figures. What this run has learned takes
// precedence. Figures are clamped to their bounds, and records are skipped if their engine or class
// does not exist or their engine has another process now.
func (r *Router) restore(s Statistics) {
	pools := restoredPools{}
	for _, record := range s.Engines {
		r.restoreEngine(record, pools)
	}
	for _, record := range s.Classes {
		r.restoreClass(record)
	}
	for _, record := range s.Traffic {
		r.restoreTraffic(record)
	}
	for _, record := range s.Tables {
		r.restoreTables(record, pools)
	}
}

// restoredPools are the pools of the earlier run by leader, each with those of its engines that
// still have the same process. They stand in as the pools of table groups until repack, which
// prefers for its new pools the engines that their table groups had.
type restoredPools map[EngineID]*enginePool

// add adds an engine to the pool of a leader.
func (pools restoredPools) add(leader EngineID, e *engine) {
	pool := pools[leader]
	if pool == nil {
		pool = &enginePool{}
		pools[leader] = pool
	}
	pool.engines = append(pool.engines, e)
}

// restoreEngine imports the record of an engine, if it is ready and still has the process that the
// record describes.
func (r *Router) restoreEngine(record EngineStatistics, pools restoredPools) {
	e := r.engines[record.Engine]
	if e == nil || e.state != Ready || max(e.startedAt, 0) != record.StartedAt {
		return
	}
	if e.unobserved() {
		e.slowdown = record.Slowdown.restored(e.slowdown.halfLife, r.now, 0, maxRestoredSlowdown)
		e.outcomes = allSucceeded&^math.MaxUint8 | uint64(record.Outcomes)
		e.threadsPerCore = clamp(record.ThreadsPerCore, minThreadsPerCore, maxThreadsPerCore)
		r.updateBounds(e)
	}
	if record.PoolLeader != "" {
		pools.add(record.PoolLeader, e)
	}
}

// unobserved reports whether this run has learned nothing about an engine.
func (e *engine) unobserved() bool {
	return e.slowdown.weight == 0 && e.outcomes == allSucceeded &&
		e.threadsPerCore == initialThreadsPerCore
}

// restoreClass imports the record of a query class, if this run has no answer of its queries yet.
func (r *Router) restoreClass(record ClassStatistics) {
	if record.Class < 0 || int(record.Class) >= len(r.classes) {
		return
	}
	class := r.classes[record.Class]
	if class.unitTime.weight > 0 {
		return
	}
	firstTryTimeout := clamp(record.FirstTryTimeout, 0, class.ClientTimeout)
	class.firstTryTimeout = max(class.firstTryTimeout, firstTryTimeout)
	class.bestUnitTime = clamp(record.UnloadedTime, 0, class.ClientTimeout)
	class.unconfirmedSince = r.now
	class.workScale = record.WorkScale.restored(scaleHalfLife, r.now, 1/maxRestoredScale,
		maxRestoredScale)
	class.memoryScale = record.MemoryScale.restored(scaleHalfLife, r.now, 1/maxRestoredScale,
		maxRestoredScale)
}

// restoreTraffic imports this controller's share of the traffic, if this run has learned nothing
// about it.
func (r *Router) restoreTraffic(record TrafficStatistics) {
	if r.traffic.share.weight == 0 {
		r.traffic.share = record.Share.restored(shareHalfLife, r.now, 0, 1)
	}
}

// restoreTables imports the record of a table group, if this run has answered no query on it.
func (r *Router) restoreTables(record TableStatistics, pools restoredPools) {
	g := r.tableGroupOf(record.Tables)
	if g.confirmed {
		return
	}
	g.confirmed = true
	g.lastQueryAt = r.now
	demand := clamp(record.Demand, 0, maxRestoredRate)
	memoryTime := clamp(record.MemoryTime, 0, maxRestoredRate*maxRestoredRate)
	g.demand.add(r.now, demand*demandHalfLife/math.Ln2, 1) // inverse of rate
	g.memoryTime.add(r.now, memoryTime*demandHalfLife/math.Ln2, 1)
	for kind, leader := range record.PoolLeaders {
		if pool := pools[leader]; pool != nil && kind < len(g.pools) {
			g.pools[kind] = pool
		}
	}
}
