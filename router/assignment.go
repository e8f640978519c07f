package router

import (
	"cmp"
	"slices"
)

const (
	// maxAssignmentPairs limits the pairs of table group and engine that are examined when the engines
	// of a kind are assigned, which then takes some milliseconds at most.
	maxAssignmentPairs = 500000
	// maxEnginesSortedWhole is the largest number of engines that are sorted completely. The sort is
	// stable, so engines of equal affinity stay in the order in which earlier pools left them.
	maxEnginesSortedWhole = 256
	// maxPicksByScan is the largest number of engines that are picked from a longer list by one scan
	// each, which costs less than a heap for so few.
	maxPicksByScan = 8
)

// assignEngines distributes the ready engines of a kind over its pools by their target counts. An
// engine preferably stays in its pool, because it has the pool's tables in memory; otherwise
// rendezvous affinity decides. Pools that give up engines choose first, so that moving one engine
// moves no other.
func (r *Router) assignEngines(kind int, pools []*enginePool) {
	free := r.readyEngines(kind)
	r.allocateCounts(pools, len(free))
	growth := func(pool *enginePool) int { return pool.targetCount - len(pool.engines) }
	poolsInOrder := slices.Clone(pools)
	slices.SortStableFunc(poolsInOrder, func(a, b *enginePool) int { return growth(a) - growth(b) })
	for _, pool := range poolsInOrder {
		r.unmarkPool() // the marked pool may have other engines since the last iteration
		r.scoreAffinity(kind, pool, free, len(poolsInOrder))
		for _, g := range pool.tableGroups() {
			g.pools[kind] = pool
		}
		pool.engines, free = splitByAffinity(free, pool.targetCount)
		for _, e := range pool.engines {
			e.pool = pool
		}
	}
	r.pools.byKind[kind] = pools
	r.topologyVersion++
}

// scoreAffinity computes the affinity of each free engine to a pool: the sum over its table groups,
// weighted by demand, of the rendezvous affinity, plus 1 if the engine is in the present pool of
// the group.
func (r *Router) scoreAffinity(kind int, pool *enginePool, free []*engine, poolCount int) {
	for _, e := range free {
		e.affinity = 0
	}
	for _, g := range r.highestDemandGroups(pool.tableGroups(), len(free)*poolCount) {
		weight := g.demand.rate(r.now) + negligibleDemand
		present := g.pools[kind]
		r.markPool(present)
		for _, e := range free {
			e.affinity += weight * rendezvousAffinity(g, e)
			if present != nil && e.markedPool == present {
				e.affinity += weight
			}
		}
	}
}

// allocateCounts adjusts the target counts of all pools, at least one each, so that they add up to
// the number of engines. Spare engines go to the pools with the highest demand per engine; missing
// ones come from the pools that have the lowest with one engine less.
func (r *Router) allocateCounts(pools []*enginePool, engines int) {
	r.updateDemands(pools)
	for _, pool := range pools {
		pool.targetCount = max(1, pool.targetCount)
		engines -= pool.targetCount
	}
	allocateByDemand(pools, engines)
	for ; engines < 0; engines++ {
		demandWithOneLess := func(pool *enginePool) float64 {
			return pool.demand / (float64(pool.targetCount) - 1)
		}
		donor := slices.MinFunc(pools, func(a, b *enginePool) int {
			return cmp.Compare(demandWithOneLess(a), demandWithOneLess(b))
		})
		donor.targetCount--
	}
}

// poolDemandEntry is the demand per engine of a pool, as an entry of a heap.
type poolDemandEntry struct {
	demandPerEngine float64
	index           int // of the pool
}

// allocateByDemand hands out engines one at a time, each to the pool with the highest demand per
// engine. Ties go to the first pool.
func allocateByDemand(pools []*enginePool, engines int) {
	byDemand := heap[poolDemandEntry]{less: func(a, b *poolDemandEntry) bool {
		return a.demandPerEngine > b.demandPerEngine ||
			a.demandPerEngine == b.demandPerEngine && a.index < b.index
	}}
	for i, pool := range pools {
		byDemand.push(poolDemandEntry{demandPerEngine: pool.demandPerEngine(), index: i})
	}
	for range engines {
		top := &byDemand.list[0]
		pool := pools[top.index]
		pool.targetCount++
		top.demandPerEngine = pool.demandPerEngine()
		byDemand.siftDown(0)
	}
}

// markPool sets markedPool on the engines of a pool and clears it on all others; nil changes
// nothing.
func (r *Router) markPool(pool *enginePool) {
	if pool == nil || r.pools.marked == pool {
		return
	}
	if r.pools.marked != nil {
		for _, e := range r.pools.markedEngines {
			e.markedPool = nil
		}
	}
	r.pools.marked = pool
	r.pools.markedEngines = append(r.pools.markedEngines[:0], pool.engines...)
	for _, e := range pool.engines {
		e.markedPool = pool
	}
}

// unmarkPool clears markedPool on all engines.
func (r *Router) unmarkPool() {
	for _, e := range r.pools.markedEngines {
		e.markedPool = nil
	}
	clear(r.pools.markedEngines)
	r.pools.marked = nil
	r.pools.markedEngines = r.pools.markedEngines[:0]
}

// highestDemandGroups returns all table groups of a pool or, if these make too many pairs with
// engines, those with the highest demand, at least one. Each group makes pairsEach pairs.
func (r *Router) highestDemandGroups(groups []*tableGroup, pairsEach int) []*tableGroup {
	maxGroups := max(1, maxAssignmentPairs/max(1, pairsEach))
	if len(groups) <= maxGroups {
		return groups
	}
	slices.SortStableFunc(groups, func(a, b *tableGroup) int {
		return cmp.Compare(b.demand.rate(r.now), a.demand.rate(r.now))
	})
	return groups[:maxGroups]
}

// splitByAffinity divides engines into the count with the highest affinity, in descending order,
// and the rest. Ties go to the earlier engine.
func splitByAffinity(engines []*engine, count int) (best, rest []*engine) {
	switch {
	case len(engines) <= maxEnginesSortedWhole:
		slices.SortStableFunc(engines, func(a, b *engine) int {
			return cmp.Compare(b.affinity, a.affinity)
		})
		return slices.Clone(engines[:count]), engines[count:]
	case count <= maxPicksByScan:
		return splitByScan(engines, count)
	default:
		return splitByHeap(engines, count)
	}
}

// splitByScan is splitByAffinity with one scan for each engine picked.
func splitByScan(engines []*engine, count int) (best, rest []*engine) {
	for range count {
		top := 0
		for i, e := range engines {
			if e.affinity > engines[top].affinity {
				top = i
			}
		}
		best = append(best, engines[top])
		engines = slices.Delete(engines, top, top+1)
	}
	return best, engines
}

// splitByHeap is splitByAffinity with a heap of all engines.
func splitByHeap(engines []*engine, count int) (best, rest []*engine) {
	type indexed struct {
		e     *engine
		index int
	}
	byAffinity := heap[indexed]{less: func(a, b *indexed) bool {
		return a.e.affinity > b.e.affinity || a.e.affinity == b.e.affinity && a.index < b.index
	}}
	byAffinity.list = make([]indexed, 0, len(engines))
	for i, e := range engines {
		byAffinity.list = append(byAffinity.list, indexed{e, i})
	}
	byAffinity.heapify()
	taken := make([]bool, len(engines))
	for range count {
		top := byAffinity.pop()
		best = append(best, top.e)
		taken[top.index] = true
	}
	for i, e := range engines {
		if !taken[i] {
			rest = append(rest, e)
		}
	}
	return best, rest
}
