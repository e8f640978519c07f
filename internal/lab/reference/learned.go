package reference

import "math"

// Bounds of restored values. Values beyond them cannot be true, and they must not starve a class or an engine.
const (
	maxRestoredWeight, maxRestoredSlowdown = 1000.0, 20.0
	maxRestoredScale, maxRestoredRate      = 16.0, 1e6
)

// clamp limits x to a range; NaN becomes the lower bound.
func clamp(x, least, most float64) float64 {
	if !(x >= least) {
		return least
	}
	return min(x, most)
}

// restoredMean is a decayed mean restored as if its values had just been added.
func restoredMean(w WeightedMean, life, now, least, most float64) decayedMean {
	n := clamp(w.Weight, 0, maxRestoredWeight)
	return decayedMean{halfLife: life, updatedAt: now, sum: clamp(w.Mean, least, most) * n, weight: n}
}

// restore takes over the statistics of an earlier run of this controller. Whatever this run has learned itself stays,
// statistics of another process of an engine are skipped, and all values are clamped to their bounds.
func (r *Router) restore(l Statistics) {
	restoredPools := map[EngineID]*enginePool{} // by the engine that led the pool
	for _, m := range l.Engines {
		e := r.engines[m.Engine]
		if e == nil || e.state != Ready || max(e.startedAt, 0) != m.StartedAt {
			continue
		}
		if e.slowdown.weight == 0 && e.outcomes == math.MaxUint64 && e.threadsPerCore == initialThreadsPerCore {
			e.slowdown = restoredMean(m.Slowdown, e.slowdown.halfLife, r.now, 0, maxRestoredSlowdown)
			e.outcomes = math.MaxUint64&^0xff | uint64(m.Outcomes)
			e.threadsPerCore = clamp(m.ThreadsPerCore, minThreadsPerCore, maxThreadsPerCore)
		}
		if m.PoolLeader != "" {
			if restoredPools[m.PoolLeader] == nil {
				restoredPools[m.PoolLeader] = &enginePool{}
			}
			restoredPools[m.PoolLeader].engines = append(restoredPools[m.PoolLeader].engines, e)
		}
	}
	for _, m := range l.Classes {
		if m.Class < 0 || int(m.Class) >= len(r.classes) || r.classes[m.Class].unitTime.weight > 0 {
			continue
		}
		class := r.classes[m.Class]
		class.firstTryTimeout = max(class.firstTryTimeout, clamp(m.FirstTryTimeout, 0, class.ClientTimeout))
		class.bestUnitTime, class.unconfirmedSince = clamp(m.UnloadedTime, 0, class.ClientTimeout), r.now
		class.workScale = restoredMean(m.WorkScale, scaleHalfLife, r.now, 1/maxRestoredScale, maxRestoredScale)
		class.memoryScale = restoredMean(m.MemoryScale, scaleHalfLife, r.now, 1/maxRestoredScale, maxRestoredScale)
	}
	for _, m := range l.Traffic {
		if r.share.weight == 0 {
			r.share = restoredMean(m.Share, shareHalfLife, r.now, 0, 1)
		}
	}
	for _, m := range l.Tables {
		g := r.tableGroupOf(m.Tables)
		if g.confirmed {
			continue
		}
		g.confirmed, g.lastQueryAt = true, r.now
		demand, held := clamp(m.Demand, 0, maxRestoredRate), clamp(m.MemoryTime, 0, maxRestoredRate*maxRestoredRate)
		g.demand.add(r.now, demand*demandHalfLife/math.Ln2, 1)
		g.memoryTime.add(r.now, held*demandHalfLife/math.Ln2, 1)
		for k, lead := range m.PoolLeaders {
			if k < len(g.pools) && restoredPools[lead] != nil {
				g.pools[k] = restoredPools[lead]
			}
		}
	}
}

// discardRestored drops the restored estimates of a class.
func (class *queryClass) discardRestored() {
	class.bestUnitTime, class.unconfirmedSince = 0, 0
	class.workScale, class.memoryScale = decayedMean{halfLife: scaleHalfLife}, decayedMean{halfLife: scaleHalfLife}
}
