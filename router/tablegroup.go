package router

import (
	"cmp"
	"maps"
	"slices"
)

// tableGroup is a group of tables with the demand for it.
type tableGroup struct {
	id          TableGroup
	lastQueryAt float64       // ms, when a query last named it
	openQueries int           // queries that name it and are not forgotten yet
	hot         bool          // an operator's rule marked it as hot
	confirmed   bool          // a query on it was answered; until then a client may have made it up
	demand      decayedMean   // its rate is ms of work on one thread for each ms
	memoryTime  decayedMean   // its rate is megabytes that this controller's attempts use
	pools       []*enginePool // that serve it, by machine kind; nil: none
	lockHolders []*engine     // all engines on which it may be locked
}

// byGroupID orders table groups by id.
func byGroupID(a, b *tableGroup) int { return cmp.Compare(a.id, b.id) }

// tableGroupOf returns the table group of an id. A new one is added to a pool of each machine kind.
func (r *Router) tableGroupOf(id TableGroup) *tableGroup {
	if g := r.tableGroups[id]; g != nil {
		return g
	}
	g := &tableGroup{
		id:         id,
		demand:     decayedMean{halfLife: demandHalfLife},
		memoryTime: decayedMean{halfLife: demandHalfLife},
		pools:      make([]*enginePool, len(r.kinds)),
	}
	r.tableGroups[id] = g
	r.groupList = insertSorted(r.groupList, g, byGroupID)
	for kind := range r.pools.byKind {
		r.addToPool(kind, g)
	}
	return g
}

// addLockHolder records that the table group may be locked on e.
func (g *tableGroup) addLockHolder(e *engine) {
	if !slices.Contains(g.lockHolders, e) {
		g.lockHolders = append(g.lockHolders, e)
	}
}

// dropReleasedLocks forgets the engines on which the table group is no longer locked, those that
// are gone among them.
func (g *tableGroup) dropReleasedLocks(now float64) {
	if len(g.lockHolders) == 0 {
		return
	}
	g.lockHolders = slices.DeleteFunc(g.lockHolders, func(e *engine) bool {
		return e.tableLocksHeld(g, now) == 0
	})
}

// removeIdleTableGroups drops table groups that have no open query and that no query has named since
// idleSince (ms) or, if no query on them was ever answered, since unconfirmedSince (ms). The second
// time is the later one: clients can name any number of groups that don't exist, and memory would
// grow with them.
func (r *Router) removeIdleTableGroups(idleSince, unconfirmedSince float64) {
	r.dropStaleTableLocks()
	unused := func(g *tableGroup) bool {
		if g.openQueries != 0 {
			return false
		}
		return g.lastQueryAt < idleSince || !g.confirmed && g.lastQueryAt < unconfirmedSince
	}
	r.groupList = slices.DeleteFunc(r.groupList, unused)
	for _, pool := range slices.Concat(r.pools.byKind...) {
		for i := range pool.packs {
			pool.packs[i] = slices.DeleteFunc(pool.packs[i], unused)
		}
	}
	maps.DeleteFunc(r.tableGroups, func(_ TableGroup, g *tableGroup) bool { return unused(g) })
}

// dropStaleTableLocks forgets the table locks that count no longer. They would keep dropped table groups
// in memory.
func (r *Router) dropStaleTableLocks() {
	for _, e := range r.engineList {
		maps.DeleteFunc(e.tablesLockedUntil, func(_ *tableGroup, until float64) bool {
			return r.now >= until
		})
	}
	for _, g := range r.groupList {
		g.dropReleasedLocks(r.now)
	}
}
