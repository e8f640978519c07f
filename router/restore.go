package router

import (
	"math"
)

// The bounds of what is put in: past them no figure can be true, and none may starve a profile or an engine.
const (
	maxWeight, maxSlowdown = 1000.0, 20.0
	maxScale, maxRate      = 16.0, 1e6
)

// clamp brings a figure within bounds; what is no number counts as the least.
func clamp(x, least, most float64) float64 {
	if !(x >= least) {
		return least
	}
	return min(x, most)
}

// decayed is a decaying mean as it would stand had it just been learned.
func (w WeightedMean) decayed(life, now, least, most float64) decayedMean {
	n := clamp(w.Weight, 0, maxWeight)
	return decayedMean{halfLife: life, updatedAt: now, sum: clamp(w.Mean, least, most) * n, weight: n}
}

// statisticsRestored takes in what is remembered. Engines go back to the owners of the table groups that
// they had; they merge and move only by loads that are known: at first all are none, and lone engines would
// be shared.
func (r *Router) statisticsRestored(l Statistics) {
	if r.restore(l); len(l.Tables) > 0 {
		r.pools.rebalanceAt = max(r.pools.rebalanceAt, r.now+rebalanceInterval)
		for k := range r.pools.byKind {
			r.repack(k)
		}
	}
}

// restore puts in what an earlier run of this controller learned. Whatever this run has learned itself
// stands, an engine of which another process is remembered is passed over, and no figure is taken past its
// bounds.
func (r *Router) restore(l Statistics) {
	sets := map[EngineID]*enginePool{} // engines that had the same owner
	for _, m := range l.Engines {
		e := r.engines[m.Engine]
		if e == nil || e.state != Ready || max(e.startedAt, 0) != m.StartedAt {
			continue
		}
		if e.slowdown.weight == 0 && e.outcomes == math.MaxUint64 && e.threadsPerCore == initialThreadsPerCore {
			e.slowdown = m.Slowdown.decayed(e.slowdown.halfLife, r.now, 0, maxSlowdown)
			e.outcomes = math.MaxUint64&^0xff | uint64(m.Outcomes)
			e.threadsPerCore = clamp(m.ThreadsPerCore, minThreadsPerCore, maxThreadsPerCore)
			r.updateBounds(e)
		}
		if m.PoolLeader != "" {
			if sets[m.PoolLeader] == nil {
				sets[m.PoolLeader] = &enginePool{}
			}
			sets[m.PoolLeader].engines = append(sets[m.PoolLeader].engines, e)
		}
	}
	for _, m := range l.Classes {
		if m.Class < 0 || int(m.Class) >= len(r.classes) || r.classes[m.Class].unitTime.weight > 0 {
			continue
		}
		class := r.classes[m.Class]
		class.firstTryTimeout = max(class.firstTryTimeout, clamp(m.FirstTryTimeout, 0, class.ClientTimeout))
		class.bestUnitTime, class.unconfirmedSince = clamp(m.UnloadedTime, 0, class.ClientTimeout), r.now
		class.workScale = m.WorkScale.decayed(scaleHalfLife, r.now, 1/maxScale, maxScale)
		class.memoryScale = m.MemoryScale.decayed(scaleHalfLife, r.now, 1/maxScale, maxScale)
	}
	for _, m := range l.Traffic {
		if r.traffic.share.weight == 0 {
			r.traffic.share = m.Share.decayed(shareHalfLife, r.now, 0, 1)
		}
	}
	for _, m := range l.Tables {
		g := r.tableGroupOf(m.Tables)
		if g.confirmed {
			continue
		}
		g.confirmed, g.lastQueryAt = true, r.now
		demand, held := clamp(m.Demand, 0, maxRate), clamp(m.MemoryTime, 0, maxRate*maxRate)
		g.demand.add(r.now, demand*demandHalfLife/math.Ln2, 1)
		g.memoryTime.add(r.now, held*demandHalfLife/math.Ln2, 1)
		for k, lead := range m.PoolLeaders {
			if k < len(g.pools) && sets[lead] != nil {
				g.pools[k] = sets[lead]
			}
		}
	}
}
