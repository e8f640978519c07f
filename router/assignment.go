package router

import (
	"cmp"
	"slices"
)

const (
	// maxAssignmentPairs is how many pairs of table group and engine are looked at when the engines of
	// a kind are assigned, so that it takes some milliseconds at most.
	maxAssignmentPairs = 500000
	// maxEnginesSortedWhole is the largest number of engines that are sorted whole, so that engines of
	// equal affinity go to the pools in the order that earlier pools left them in.
	maxEnginesSortedWhole = 256
	// maxPicksByScan is the largest number of picks, from more engines than that, which are found one
	// by one: it costs less than a heap.
	maxPicksByScan = 8
)

// assignEngines gives the pools of a kind as many engines as they are to have. An engine stays with
// the pool that it is in, as it has the tables of that pool in memory; otherwise it goes by
// rendezvous affinity. Pools that give up engines choose first, so that a move of one engine moves
// no other.
func (r *Router) assignEngines(kind int, pools []*enginePool) {
	free := r.readyEngines(kind)
	r.allocateCounts(pools, len(free))
	growth := func(pool *enginePool) int { return pool.targetCount - len(pool.engines) }
	poolsInOrder := slices.Clone(pools)
	slices.SortStableFunc(poolsInOrder, func(a, b *enginePool) int { return growth(a) - growth(b) })
	for _, pool := range poolsInOrder {
		r.unmarkPool() // the engines of the pool marked last have changed
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

// scoreAffinity computes how well each free engine suits a pool: for each of its table groups, by
// demand, the rendezvous affinity and whether the group's present pool has the engine.
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

// allocateCounts makes the target counts of all pools sum to the number of engines, one at least
// each, by demand for each engine.
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

// poolDemandEntry is what a pool asks for each engine that it is to have.
type poolDemandEntry struct {
	demandPerEngine float64
	index           int // of the pool
}

// allocateByDemand gives engines out one at a time, each to the pool with the most demand for each
// engine, the first of several.
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
		byDemand.sink(0)
	}
}

// markPool marks the engines of a pool, and no others.
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

// unmarkPool takes all marks back.
func (r *Router) unmarkPool() {
	for _, e := range r.pools.markedEngines {
		e.markedPool = nil
	}
	clear(r.pools.markedEngines)
	r.pools.marked = nil
	r.pools.markedEngines = r.pools.markedEngines[:0]
}

// highestDemandGroups are all table groups of a pool or, where there are too many pairs with engines,
// those with the most demand, one at least. Each group takes part in pairsEach pairs.
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

// splitByAffinity divides engines into the count with the most affinity, those first, and the rest;
// of two alike the earlier comes first.
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

// splitByScan is splitByAffinity by one pass for each engine picked.
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

// splitByHeap is splitByAffinity by a heap of all engines.
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
