package router

import (
	"cmp"
	"maps"
	"slices"
)

// tableGroup is a group of tables with its learned demand.
type tableGroup struct {
	id          TableGroup
	lastQueryAt float64       // when it was last named
	openQueries int           // commands on it in the books
	hot         bool          // it was said to be
	confirmed   bool          // commands on it have been answered; else any stranger may have named it
	demand      decayedMean   // work asked for
	memoryTime  decayedMean   // memory times time, of this controller's sends
	pools       []*enginePool // by kind
	lockHolders []*engine     // on which loads may hold it
}

func byGroupID(a, b *tableGroup) int { return cmp.Compare(a.id, b.id) }

// tableGroupOf is the table group of an id; a new one finds its owners.
func (r *Router) tableGroupOf(id TableGroup) *tableGroup {
	g := r.tableGroups[id]
	if g == nil {
		g = &tableGroup{id: id, demand: decayedMean{halfLife: demandHalfLife}, memoryTime: decayedMean{halfLife: demandHalfLife},
			pools: make([]*enginePool, len(r.kinds))}
		r.tableGroups[id], r.groupList = g, insertSorted(r.groupList, g, byGroupID)
		for k := range r.pools.byKind {
			r.addToPool(k, g)
		}
	}
	return g
}

// addLockHolder files that a load holds a table group on e, or that a note said so.
func (g *tableGroup) addLockHolder(e *engine) {
	if !slices.Contains(g.lockHolders, e) {
		g.lockHolders = append(g.lockHolders, e)
	}
}

// dropReleasedLocks forgets the engines on which no load holds the table group any more, those that are
// gone among them.
func (g *tableGroup) dropReleasedLocks(now float64) {
	if len(g.lockHolders) > 0 {
		g.lockHolders = slices.DeleteFunc(g.lockHolders, func(e *engine) bool { return e.tableLocksHeld(g, now) == 0 })
	}
}

// forgetTableGroups drops table groups that nobody has named since then, or since the later time if no
// command on them was ever answered, and that have no command open, with all that is kept by them.
func (r *Router) forgetTableGroups(since, strange float64) {
	for _, e := range r.engineList {
		maps.DeleteFunc(e.tablesLockedUntil, func(_ *tableGroup, until float64) bool { return r.now >= until })
	}
	for _, g := range r.groupList {
		g.dropReleasedLocks(r.now)
	}
	gone := func(g *tableGroup) bool {
		return g.openQueries == 0 && (g.lastQueryAt < since || !g.confirmed && g.lastQueryAt < strange)
	}
	r.groupList = slices.DeleteFunc(r.groupList, gone)
	for _, pool := range slices.Concat(r.pools.byKind...) {
		for i := range pool.packs {
			pool.packs[i] = slices.DeleteFunc(pool.packs[i], gone)
		}
	}
	maps.DeleteFunc(r.tableGroups, func(_ TableGroup, g *tableGroup) bool { return gone(g) })
}
