package router

import (
	"cmp"
	"math"
	"slices"
)

// poolState is which engines serve which table groups.
type poolState struct {
	byKind      [][]*enginePool // by machine kind; each ready engine of a kind is in one pool of it
	packed      bool            // by learned footprints
	rebalanceAt float64         // ms, when engines may move between pools again

	// marked is the pool to which markedPool of its engines points while engines are assigned; nil:
	// none.
	marked        *enginePool
	markedEngines []*engine
}

// enginePool is the engines of one kind that serve a pack of table groups, or several packs that
// share them as merged.
type enginePool struct {
	packs       [][]*tableGroup
	engines     []*engine
	targetCount int     // engines that it is to have
	demand      float64 // poolDemand, when engines were last allocated
	candidates  candidateList
}

func (pool *enginePool) tableGroups() []*tableGroup { return slices.Concat(pool.packs...) }

// demandPerEngine is the demand for each engine that the pool is to have.
func (pool *enginePool) demandPerEngine() float64 {
	return pool.demand / float64(max(1, pool.targetCount))
}

const (
	rebalanceInterval = 2000.0  // ms between moves of engines
	moveMargin        = 1.25    // busiest pool's load over the donor's future load, to move an engine
	recomputeMargin   = 2.5     // the same, from which all counts are solved at once
	underusedLoad     = 0.25    // load below which a pool of one engine may be merged with another
	hotDemandFactor   = 3.0     // weight of the demand of a table group that a rule marks as hot
	tableGroupMaxIdle = 60000.0 // ms after its last query for which a table group is kept
	negligibleDemand  = 1e-9    // so that no demand or load is a divisor of 0
)

// rebalanceAll forgets unused table groups, packs the pools of each kind once demand is known, and
// moves engines between them.
func (r *Router) rebalanceAll() {
	r.pools.rebalanceAt = r.now + rebalanceInterval
	r.forgetTableGroups(r.now-tableGroupMaxIdle, r.now-rebalanceInterval)
	demandKnown := r.firstQueryAt > 0 && r.now >= r.firstQueryAt+rebalanceInterval
	repack := !r.pools.packed && demandKnown
	r.pools.packed = r.pools.packed || repack
	for kind := range r.pools.byKind {
		if repack {
			r.repack(kind)
		}
		r.rebalance(kind)
	}
}

// rebalance moves engines between the pools of one kind. The donor is the pool that would have the
// lowest load with one engine less. It gives one to the busiest pool if the load of that is
// moveMargin times the donor's future load; after a sharp swing all counts are solved at once. A
// busiest pool of several packs on one engine is divided first. If no engine moves, two pools that
// underuse their only engines are merged, and the engine that is freed goes to the busiest pool.
func (r *Router) rebalance(kind int) {
	pools := r.pools.byKind[kind]
	ready := len(r.readyEngines(kind))
	if len(pools) == 0 || ready < len(pools) {
		return
	}
	busiest := slices.MaxFunc(pools, func(a, b *enginePool) int {
		return cmp.Compare(r.poolLoad(a), r.poolLoad(b))
	})
	donor := slices.MinFunc(pools, func(a, b *enginePool) int {
		return cmp.Compare(r.futureLoad(a), r.futureLoad(b))
	})
	load := r.poolLoad(busiest)
	futureLoad := r.futureLoad(donor)
	move := donor != busiest && load >= moveMargin*futureLoad
	recompute := donor != busiest && load >= recomputeMargin*futureLoad
	underused := r.underusedPools(pools, busiest)
	switch {
	case move && len(busiest.packs) > 1 && len(busiest.engines) == 1:
		pools = append(pools, &enginePool{packs: busiest.packs[:1:1], targetCount: 1})
		busiest.packs = busiest.packs[1:]
		donor.targetCount--
	case recompute:
		r.recomputeCounts(pools, ready)
	case move:
		donor.targetCount--
		busiest.targetCount++
	case len(underused) > 1:
		merged, freed := underused[0], underused[1]
		merged.packs = append(merged.packs, freed.packs...)
		pools = slices.DeleteFunc(pools, func(pool *enginePool) bool { return pool == freed })
		busiest.targetCount++
	default:
		return
	}
	r.assignEngines(kind, pools)
}

// underusedPools are the pools of one engine with a low load, without the busiest pool.
func (r *Router) underusedPools(pools []*enginePool, busiest *enginePool) []*enginePool {
	var underused []*enginePool
	for _, pool := range pools {
		if len(pool.engines) == 1 && pool != busiest && r.poolLoad(pool) < underusedLoad {
			underused = append(underused, pool)
		}
	}
	return underused
}

// recomputeCounts sets the counts for which all loads would be equal, rounded towards the present
// counts.
func (r *Router) recomputeCounts(pools []*enginePool, ready int) {
	total := negligibleDemand
	for _, pool := range pools {
		total += r.poolLoad(pool) * float64(len(pool.engines))
	}
	for _, pool := range pools {
		count := float64(len(pool.engines))
		change := int(r.poolLoad(pool)*count/total*float64(ready) - count)
		pool.targetCount = max(1, pool.targetCount+change)
	}
}

// futureLoad is the load that a pool would have with one engine less; +Inf if it has no engine to
// give.
func (r *Router) futureLoad(pool *enginePool) float64 {
	count := float64(len(pool.engines))
	if count <= 1 {
		return math.Inf(1)
	}
	return r.poolLoad(pool) * count / (count - 1)
}

// poolLoad is the mean load of a pool's engines.
func (r *Router) poolLoad(pool *enginePool) float64 {
	load := 0.0
	for _, e := range pool.engines {
		load += r.engineLoad(e) / float64(len(pool.engines))
	}
	return load
}

// poolDemand is the work that the queries of a pool's table groups ask for, in ms for each ms.
func (r *Router) poolDemand(pool *enginePool) float64 {
	demand := negligibleDemand
	for _, pack := range pool.packs {
		for _, g := range pack {
			demand += g.demand.rate(r.now)
			if g.hot {
				demand += (hotDemandFactor - 1) * g.demand.rate(r.now)
			}
		}
	}
	return demand
}

// updateDemands computes the demand of each pool.
func (r *Router) updateDemands(pools []*enginePool) {
	for _, pool := range pools {
		pool.demand = r.poolDemand(pool)
	}
}

// repack gives each pack of table groups, by their present footprints, a pool of its own.
func (r *Router) repack(kind int) {
	binSize := r.kinds[kind].MemoryMB * (1 - memoryReserve)
	r.pools.byKind[kind] = nil
	for _, pack := range bestFitDecreasing(r.groupList, r.footprints(kind), binSize) {
		pool := &enginePool{packs: [][]*tableGroup{pack}}
		r.pools.byKind[kind] = append(r.pools.byKind[kind], pool)
	}
	r.reassign(kind)
}

// addToPool gives a new table group to the pool with the least demand for each engine.
func (r *Router) addToPool(kind int, g *tableGroup) {
	if len(r.pools.byKind[kind]) == 0 {
		r.pools.byKind[kind] = []*enginePool{{packs: make([][]*tableGroup, 1)}}
	}
	pools := r.pools.byKind[kind]
	r.updateDemands(pools)
	pool := slices.MinFunc(pools, func(a, b *enginePool) int {
		return cmp.Compare(a.demandPerEngine(), b.demandPerEngine())
	})
	pool.packs[0] = append(pool.packs[0], g)
	g.pools[kind] = pool
	if len(pool.engines) == 0 {
		r.reassign(kind)
	}
}

// reassign gives each pool of a kind engines after engines or table groups have changed. Pools keep
// the engines that they have, as these have their tables in memory. While there are fewer engines
// than pools the lightest are merged.
func (r *Router) reassign(kind int) {
	pools := r.pools.byKind[kind]
	ready := r.readyEngines(kind)
	if len(ready) == 0 || len(r.groupList) == 0 {
		return
	}
	if len(pools) > len(ready) {
		pools = r.mergeLightest(pools, len(ready))
	}
	for _, pool := range pools {
		pool.engines = slices.DeleteFunc(pool.engines, func(e *engine) bool {
			return !e.readyOfKind(kind)
		})
		pool.targetCount = len(pool.engines)
	}
	r.assignEngines(kind, pools)
}

// mergeLightest merges the two pools with the least demand until no more than count are left.
func (r *Router) mergeLightest(pools []*enginePool, count int) []*enginePool {
	demand := map[*enginePool]float64{}
	for _, pool := range pools {
		demand[pool] = r.poolDemand(pool)
	}
	slices.SortStableFunc(pools, func(a, b *enginePool) int {
		return cmp.Compare(demand[b], demand[a])
	})
	for len(pools) > count {
		last := len(pools) - 1
		// The pool that was merged into last may be out of order by now.
		for i := last; i > 0 && demand[pools[i-1]] < demand[pools[i]]; i-- {
			pools[i-1], pools[i] = pools[i], pools[i-1]
		}
		merged, lightest := pools[last-1], pools[last]
		merged.packs = append(merged.packs, lightest.packs...)
		demand[merged] = r.poolDemand(merged)
		pools = pools[:last]
	}
	return pools
}
