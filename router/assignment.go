package router

import (
	"cmp"
	"slices"
)

// allocateCounts makes the counts wanted sum to n, one at least each, by what demand leaves for each engine.
func (r *Router) allocateCounts(owners []*enginePool, n int) {
	r.updateDemands(owners)
	for _, pool := range owners {
		pool.targetCount = max(1, pool.targetCount)
		n -= pool.targetCount
	}
	giveByDemand(owners, n)
	for ; n < 0; n++ {
		after := func(pool *enginePool) float64 { return pool.demand / (float64(pool.targetCount) - 1) }
		slices.MinFunc(owners, func(a, b *enginePool) int { return cmp.Compare(after(a), after(b)) }).targetCount--
	}
}

// poolNeed is what an owner, by its place, asks for each engine.
type poolNeed struct {
	demandPerEngine float64
	index           int
}

// giveByDemand gives n engines out, one at a time, each to the first owner that asks for most for each that
// it has.
func giveByDemand(owners []*enginePool, n int) {
	neediest := heap[poolNeed]{less: func(a, b *poolNeed) bool {
		return a.demandPerEngine > b.demandPerEngine || a.demandPerEngine == b.demandPerEngine && a.index < b.index
	}}
	for i, pool := range owners {
		neediest.push(poolNeed{pool.demandPerEngine(), i})
	}
	for ; n > 0; n-- {
		top := &neediest.list[0]
		owners[top.index].targetCount++
		top.demandPerEngine = owners[top.index].demandPerEngine()
		neediest.sink(0)
	}
}

// assignEngines hands the engines of a kind out as wanted. An engine stays where its tables are warm, else
// goes by a leaning that all controllers share. Who gives up engines chooses first, so that one move moves
// one engine.
func (r *Router) assignEngines(k int, owners []*enginePool) {
	free, turn := r.readyEngines(k), slices.Clone(owners)
	r.allocateCounts(owners, len(free))
	growth := func(pool *enginePool) int { return pool.targetCount - len(pool.engines) }
	slices.SortStableFunc(turn, func(a, b *enginePool) int { return growth(a) - growth(b) })
	for _, pool := range turn {
		r.unmarkPool() // the last turn gave engines
		groups := r.heaviestGroups(pool.tableGroups(), len(free)*len(turn))
		for _, e := range free {
			e.affinity = 0
		}
		for _, g := range groups {
			weight, home := g.demand.rate(r.now)+1e-9, g.pools[k]
			r.markPool(home)
			for _, e := range free {
				if e.affinity += weight * rendezvousAffinity(g, e); e.markedPool == home && home != nil {
					e.affinity += weight
				}
			}
		}
		for _, g := range pool.tableGroups() {
			g.pools[k] = pool
		}
		pool.engines, free = splitByAffinity(free, pool.targetCount)
		for _, e := range pool.engines {
			e.pool = pool
		}
	}
	r.pools.byKind[k], r.topologyVersion = owners, r.topologyVersion+1
}

// markPool marks an owner's engines, and no others, as found there.
func (r *Router) markPool(pool *enginePool) {
	if r.pools.marked == pool || pool == nil {
		return
	}
	if r.pools.marked != nil {
		for _, e := range r.pools.markedEngines {
			e.markedPool = nil
		}
	}
	r.pools.marked, r.pools.markedEngines = pool, append(r.pools.markedEngines[:0], pool.engines...)
	for _, e := range pool.engines {
		e.markedPool = pool
	}
}

// unmarkPool forgets whose engines were marked: owners are about to be given others.
func (r *Router) unmarkPool() {
	for _, e := range r.pools.markedEngines {
		e.markedPool = nil
	}
	clear(r.pools.markedEngines)
	r.pools.marked, r.pools.markedEngines = nil, r.pools.markedEngines[:0]
}

// maxAssignmentPairs is how many pairs of table group and engine are looked at when the engines of a kind
// are handed out: some milliseconds.
const maxAssignmentPairs = 500000

// heaviestGroups is all groups of an owner, or as many of those asked for most, one at least, as can be
// looked at: each is paired with so many engines.
func (r *Router) heaviestGroups(groups []*tableGroup, pairs int) []*tableGroup {
	most := max(1, maxAssignmentPairs/max(1, pairs))
	if len(groups) <= most {
		return groups
	}
	slices.SortStableFunc(groups, func(a, b *tableGroup) int {
		return cmp.Compare(b.demand.rate(r.now),
			a.demand.rate(r.now))
	})
	return groups[:most]
}

// maxEnginesSortedWhole are sorted whole, so that who finds engines alike takes them in the order that
// others left; fewFittest are found one by one.
const maxEnginesSortedWhole, maxPicksByScan = 256, 8

// splitByAffinity parts the engines that fit best, those first, from the others; of two alike the earlier
// fits better.
func splitByAffinity(free []*engine, n int) (best, rest []*engine) {
	if len(free) <= maxEnginesSortedWhole {
		slices.SortStableFunc(free, func(a, b *engine) int { return cmp.Compare(b.affinity, a.affinity) })
		return slices.Clone(free[:n]), free[n:]
	}
	if n <= maxPicksByScan { // as many owners as engines: a look each is less than a heap
		for range n {
			at := 0
			for i, e := range free {
				if e.affinity > free[at].affinity {
					at = i
				}
			}
			best, free = append(best, free[at]), slices.Delete(free, at, at+1)
		}
		return best, free
	}
	type fit struct {
		*engine
		at int
	}
	h := heap[fit]{less: func(a, b *fit) bool {
		return a.engine.affinity > b.engine.affinity || a.engine.affinity == b.engine.affinity && a.at < b.at
	}}
	h.list = make([]fit, 0, len(free))
	for i, e := range free {
		h.list = append(h.list, fit{e, i})
	}
	h.heapify()
	taken := make([]bool, len(free))
	for range n {
		x := h.pop()
		best, taken[x.at] = append(best, x.engine), true
	}
	for i, e := range free {
		if !taken[i] {
			rest = append(rest, e)
		}
	}
	return best, rest
}
