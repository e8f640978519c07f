package router

import (
	"cmp"
	"math"
	"slices"
)

// poolState is the assignment of engines to table groups.
type poolState struct {
	byKind      [][]*enginePool // by machine kind; each ready engine of a kind is in one of its pools
	packed      bool            // by learned memory footprints
	rebalanceAt float64         // ms, when engines may next move between pools

	// marked is the pool to which markedPool of its engines points, while engines are assigned to
	// pools; nil: none.
	marked        *enginePool
	markedEngines []*engine
}

// enginePool is the engines of one kind that serve a pack of table groups, or several packs whose
// pools were merged.
type enginePool struct {
	packs       [][]*tableGroup
	engines     []*engine
	targetCount int     // number of engines that it is to have
	demand      float64 // poolDemand, as last computed
	candidates  candidateList
}

func (pool *enginePool) tableGroups() []*tableGroup { return slices.Concat(pool.packs...) }

// demandPerEngine is the demand per engine at the target count.
func (pool *enginePool) demandPerEngine() float64 {
	return pool.demand / float64(max(1, pool.targetCount))
}

const (
	rebalanceInterval = 2000.0  // ms between rebalances
	moveMargin        = 1.25    // busiest pool's load over the donor's future load, to move an engine
	recomputeMargin   = 2.5     // the same, from which all target counts are recomputed at once
	underusedLoad     = 0.25    // load below which a pool of one engine may be merged with another
	hotDemandFactor   = 3.0     // weight of the demand of a table group that a rule marks as hot
	tableGroupMaxIdle = 60000.0 // ms after its last query for which a table group is kept
	negligibleDemand  = 1e-9    // avoids a division by a demand or load of 0
)

// rebalanceAll drops unused table groups, repacks the pools of each kind once the demand is known,
// and moves engines between them.
func (r *Router) rebalanceAll() {
	r.pools.rebalanceAt = r.now + rebalanceInterval
	r.removeIdleTableGroups(r.now-tableGroupMaxIdle, r.now-rebalanceInterval)
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

// rebalance moves engines between the pools of one kind. The donor is the pool whose load with one
// engine less, its future load, is the lowest. It gives one engine to the busiest pool if the load
// of that is at least moveMargin times the donor's future load; from recomputeMargin on, after a
// sharp swing, all target counts are recomputed at once.
//
// If the busiest pool has several packs on one engine, one of the packs gets a pool of its own
// instead, with the donor's engine. If no engine is to move, two underused pools of one engine are
// merged, and the engine that is freed goes to the busiest pool.
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

// underusedPools returns the pools of one engine with a load below underusedLoad, except the
// busiest pool.
func (r *Router) underusedPools(pools []*enginePool, busiest *enginePool) []*enginePool {
	var underused []*enginePool
	for _, pool := range pools {
		if len(pool.engines) == 1 && pool != busiest && r.poolLoad(pool) < underusedLoad {
			underused = append(underused, pool)
		}
	}
	return underused
}

// recomputeCounts sets the target counts at which all loads would be equal, rounded towards the
// present counts.
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

// poolDemand is the demand of a pool's table groups, in ms of work per ms, with a higher weight for
// hot groups.
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

// updateDemands recomputes the demand field of each pool.
func (r *Router) updateDemands(pools []*enginePool) {
	for _, pool := range pools {
		pool.demand = r.poolDemand(pool)
	}
}

// repack replaces the pools of a kind by one pool for each pack of table groups, packed by their
// present memory footprints.
func (r *Router) repack(kind int) {
	binSize := r.kinds[kind].MemoryMB * (1 - memoryReserve)
	r.pools.byKind[kind] = nil
	for _, pack := range bestFitDecreasing(r.groupList, r.footprints(kind), binSize) {
		pool := &enginePool{packs: [][]*tableGroup{pack}}
		r.pools.byKind[kind] = append(r.pools.byKind[kind], pool)
	}
	r.reassign(kind)
}

// addToPool adds a new table group to the pool with the lowest demand per engine.
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

// reassign distributes the engines of a kind anew after engines or table groups have changed. Pools
// preferably keep their engines, because these have the pool's tables in memory. If there are fewer
// engines than pools, the pools with the lowest demand are merged.
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

// mergeLightest merges the two pools with the lowest demand until at most count pools are left.
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
		// The pool that the last merge has grown may be out of order.
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
