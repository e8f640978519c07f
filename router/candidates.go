package router

import (
	"cmp"
	"slices"
)

// candidateList caches, for one list of engines, what searches for different queries have in
// common: which engines may have capacity, for the rest of the step, and the order of the engines
// by affinity, until the topology changes.
type candidateList struct {
	step             uint64    // in which engines was computed
	engines          []*engine // that may have capacity
	noCapacityAtStep []uint64  // by class index: the last step in which no engine had capacity for it

	topologyVersion int // for which affinityOrders was computed
	affinityOrders  map[*tableGroup]*affinityOrder
	affinityEntries int // estimated size of affinityOrders, in entries of 4 bytes
}

// affinityOrder is the order of a list's engines by their affinity for one table group.
type affinityOrder struct {
	uses  int     // number of searches for the group
	order []int32 // indexes of the engines, highest affinity first; nil: not computed yet
}

const (
	// minQueuedForList is the number of queued queries from which the list of engines that may have
	// capacity is computed. The list pays off only if several queries use it in one step.
	minQueuedForList = 4
	// minEnginesForAffinityOrder is the number of engines from which their order by affinity is
	// cached.
	minEnginesForAffinityOrder = 64
	// minUsesForAffinityOrder is the number of searches for a table group from which its order is
	// computed.
	minUsesForAffinityOrder = 8
	// maxAffinityEntries is the size of affinityOrders, in entries of 4 bytes, above which the whole
	// cache is dropped.
	maxAffinityEntries = 200000
	// affinityEntriesPerGroup is the number of entries that a table group counts as, besides its
	// order. Clients can name any number of groups that don't exist, so groups that have only a count
	// of searches must be bounded too.
	affinityEntriesPerGroup = 64
)

// withCapacity narrows the engines of a search to those that may have capacity. The narrowed list
// serves all searches of the step: while queries are started, capacity only shrinks.
func (r *Router) withCapacity(s *listSearch) []*engine {
	if r.queue.length < minQueuedForList {
		return s.engines
	}
	list := s.candidates
	if list.step == r.stepCount {
		return list.engines
	}
	list.step = r.stepCount
	list.engines = list.engines[:0]
	for _, e := range s.engines {
		if s.capacity.mayHaveCapacity(e) {
			list.engines = append(list.engines, e)
		}
	}
	return list.engines
}

// knownWithoutCapacity reports whether a search in this step has found no engine of the list with
// capacity for a class.
func (r *Router) knownWithoutCapacity(list *candidateList, class *queryClass) bool {
	return class.index < len(list.noCapacityAtStep) &&
		list.noCapacityAtStep[class.index] == r.stepCount
}

// markWithoutCapacity records for this step that no engine of the list has capacity for a class.
func (r *Router) markWithoutCapacity(list *candidateList, class *queryClass) {
	if list.noCapacityAtStep == nil {
		list.noCapacityAtStep = make([]uint64, len(r.classes))
	}
	list.noCapacityAtStep[class.index] = r.stepCount
}

// knownWithoutCapacityFor reports whether searches in this step have found no engine with capacity
// for the class of q, neither in the pools of its table group nor elsewhere.
func (r *Router) knownWithoutCapacityFor(q *query) bool {
	if !r.knownWithoutCapacity(&r.search.candidates, q.class) {
		return false
	}
	for kind, pool := range q.tables.pools {
		if pool != nil && permits(q.class.Kinds, KindID(kind)) &&
			!r.knownWithoutCapacity(&pool.candidates, q.class) {
			return false
		}
	}
	return true
}

// unrestricted reports whether only its class and table group limit the engines of q: only then
// does the result of a search that finds no engine hold for other queries of its class too. A query
// with an estimate above the usual work of its class may be too large for a warming engine that
// still takes others.
func (r *Router) unrestricted(q *query) bool {
	if r.search.warmingEngines > 0 && q.uncappedEstimate > q.class.meanWork(r.now) {
		return false
	}
	if q.kinds != nil || q.zones != nil {
		return false
	}
	return q.unresolved == nil || q.class.Effect == Idempotent
}

// affinityOrderOf returns the order of a list's engines by their affinity for a table group; nil:
// there are too few engines, or too few searches for the group, to cache one.
func (r *Router) affinityOrderOf(list *candidateList, g *tableGroup, engines []*engine) []int32 {
	if len(engines) < minEnginesForAffinityOrder {
		return nil
	}
	outdated := list.topologyVersion != r.topologyVersion || list.affinityOrders == nil
	if outdated || list.affinityEntries > maxAffinityEntries {
		list.topologyVersion = r.topologyVersion
		list.affinityOrders = map[*tableGroup]*affinityOrder{}
		list.affinityEntries = 0
	}
	kept := list.affinityOrders[g]
	if kept == nil {
		kept = &affinityOrder{}
		list.affinityOrders[g] = kept
		list.affinityEntries += affinityEntriesPerGroup
	}
	kept.uses++
	if kept.uses < minUsesForAffinityOrder {
		return nil
	}
	if kept.order == nil {
		kept.order = orderByAffinity(g, engines)
		list.affinityEntries += len(engines)
	}
	return kept.order
}

// orderByAffinity returns the indexes of engines by their affinity for a table group, highest
// first.
func orderByAffinity(g *tableGroup, engines []*engine) []int32 {
	order := make([]int32, 0, len(engines))
	for i := range engines {
		order = append(order, int32(i))
	}
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Compare(rendezvousAffinity(g, engines[b]), rendezvousAffinity(g, engines[a]))
	})
	return order
}
