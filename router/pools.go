package router

import (
	"cmp"
	"math"
	"slices"
)

// poolState has the engine pools of each machine kind.
type poolState struct {
	byKind        [][]*enginePool
	packed        bool    // by learned footprints
	rebalanceAt   float64 // ms, when engines may move between pools again
	marked        *enginePool
	markedEngines []*engine // those whose markedPool is marked
}

// enginePool is a pack, or several packs that share as merged, with the engines of one kind that it owns.
type enginePool struct {
	packs       [][]*tableGroup
	engines     []*engine
	targetCount int     // how many it is to have
	demand      float64 // its demand, when counts were last made
	candidates  candidateList
}

func (pool *enginePool) tableGroups() []*tableGroup { return slices.Concat(pool.packs...) }

// demandPerEngine is what an owner asked for demandPerEngine engine, when that was last reckoned.
func (pool *enginePool) demandPerEngine() float64 {
	return pool.demand / float64(max(1, pool.targetCount))
}

const (
	rebalanceInterval = 2000.0  // ms between moves of engines
	moveMargin        = 1.25    // busiest pool's load over the donor's future load from which an engine moves
	solveMargin       = 2.5     // the same from which all counts are solved at once
	underusedLoad     = 0.25    // load below which a pool of one engine may be merged with another
	hotDemandFactor   = 3.0     // weight of the demand of a table group that a rule marks as hot
	tableGroupMaxIdle = 60000.0 // ms after its last query for which a table group is kept
)

// rebalance is the design's period for one kind: split, fast solve, move or merge.
func (r *Router) rebalance(k int) {
	owners, ready := r.pools.byKind[k], len(r.readyEngines(k))
	if len(owners) == 0 || ready < len(owners) {
		return
	}
	busy := slices.MaxFunc(owners, func(a, b *enginePool) int {
		return cmp.Compare(r.poolLoad(a),
			r.poolLoad(b))
	})
	donor := slices.MinFunc(owners, func(a, b *enginePool) int {
		return cmp.Compare(r.futureLoad(a),
			r.futureLoad(b))
	})
	var lone []*enginePool
	total, high, low := 1e-9, r.poolLoad(busy), r.futureLoad(donor)
	for _, pool := range owners {
		total += r.poolLoad(pool) * float64(len(pool.engines))
		if len(pool.engines) == 1 && pool != busy && r.poolLoad(pool) < underusedLoad {
			lone = append(lone, pool)
		}
	}
	switch {
	case donor != busy && high >= moveMargin*low && len(busy.packs) > 1 && len(busy.engines) == 1:
		// who shares parts when busiest
		owners = append(owners, &enginePool{packs: busy.packs[:1:1], targetCount: 1})
		busy.packs = busy.packs[1:]
		donor.targetCount--
	case donor != busy && high >= solveMargin*low: // equal load, rounded towards the present counts
		for _, pool := range owners {
			n := float64(len(pool.engines))
			pool.targetCount = max(1, pool.targetCount+int(r.poolLoad(pool)*n/total*float64(ready)-n))
		}
	case donor != busy && high >= moveMargin*low:
		donor.targetCount--
		busy.targetCount++
	case len(lone) > 1:
		lone[0].packs = append(lone[0].packs, lone[1].packs...)
		owners = slices.DeleteFunc(owners, func(pool *enginePool) bool { return pool == lone[1] })
		busy.targetCount++
	default:
		return
	}
	r.assignEngines(k, owners)
}

// futureLoad is the load of an owner that gives up an engine; one that can't is never the lowest.
func (r *Router) futureLoad(pool *enginePool) float64 {
	if n := float64(len(pool.engines)); n > 1 {
		return r.poolLoad(pool) * n / (n - 1)
	}
	return math.Inf(1)
}

// poolLoad is an owner's load: that of its engines, on average.
func (r *Router) poolLoad(pool *enginePool) (sum float64) {
	for _, e := range pool.engines {
		sum += r.engineLoad(e) / float64(len(pool.engines))
	}
	return sum
}

// poolDemand is the work asked of an owner's groups, for each millisecond.
func (r *Router) poolDemand(pool *enginePool) float64 {
	sum := 1e-9
	for _, pack := range pool.packs {
		for _, g := range pack {
			if sum += g.demand.rate(r.now); g.hot {
				sum += (hotDemandFactor - 1) * g.demand.rate(r.now)
			}
		}
	}
	return sum
}

// updateDemands files what each owner asks for.
func (r *Router) updateDemands(owners []*enginePool) {
	for _, pool := range owners {
		pool.demand = r.poolDemand(pool)
	}
}

func (r *Router) repack(k int) {
	r.pools.byKind[k] = nil
	for _, bin := range bestFitDecreasing(r.groupList, r.footprints(k), r.kinds[k].MemoryMB*(1-memoryReserve)) {
		r.pools.byKind[k] = append(r.pools.byKind[k], &enginePool{packs: [][]*tableGroup{bin}})
	}
	r.reassign(k)
}

// addToPool gives a new group to the owner with least demand for each engine.
func (r *Router) addToPool(k int, g *tableGroup) {
	if len(r.pools.byKind[k]) == 0 {
		r.pools.byKind[k] = []*enginePool{{packs: make([][]*tableGroup, 1)}}
	}
	r.updateDemands(r.pools.byKind[k]) // once for each
	pool := slices.MinFunc(r.pools.byKind[k], func(a,
		b *enginePool) int {
		return cmp.Compare(a.demandPerEngine(), b.demandPerEngine())
	})
	if pool.packs[0], g.pools[k] = append(pool.packs[0], g), pool; len(pool.engines) == 0 {
		r.reassign(k)
	}
}

// reassign mends ownership after a change: surplus light packs share as merged, who has engines keeps them.
func (r *Router) reassign(k int) {
	owners, ready := r.pools.byKind[k], r.readyEngines(k)
	if len(ready) == 0 || len(r.groupList) == 0 {
		return
	}
	asks := map[*enginePool]float64{}
	for len(owners) > len(ready) {
		last := len(owners) - 1
		if len(asks) == 0 {
			for _, pool := range owners {
				asks[pool] = r.poolDemand(pool)
			}
			slices.SortStableFunc(owners, func(a, b *enginePool) int { return cmp.Compare(asks[b], asks[a]) })
		}
		for i := last; i > 0 && asks[owners[i-1]] < asks[owners[i]]; i-- { // who shares by now asks for more
			owners[i-1], owners[i] = owners[i], owners[i-1]
		}
		owners[last-1].packs = append(owners[last-1].packs, owners[last].packs...)
		asks[owners[last-1]], owners = r.poolDemand(owners[last-1]), owners[:last]
	}
	for _, pool := range owners {
		pool.engines = slices.DeleteFunc(pool.engines, func(e *engine) bool { return !e.readyOfKind(k) })
		pool.targetCount = len(pool.engines)
	}
	r.assignEngines(k, owners)
}

// rebalanceAll is the period of the design: table groups that nobody uses are forgotten, each kind's pools
// are packed once demand is known, and engines move between them.
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
