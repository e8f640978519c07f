package router

import (
	"cmp"
	"slices"
)

// candidateList remembers, for one list of engines, what searches for many queries would find
// again: which engines may have capacity, for the rest of the step, and the order of engines by
// affinity, while the list is the same.
type candidateList struct {
	step             uint64    // in which engines was made
	engines          []*engine // that may have capacity
	noCapacityAtStep []uint64  // by class index: the last step in which no engine had capacity for it

	topologyVersion int // for which affinityOrders were made
	affinityOrders  map[*tableGroup]*affinityOrder
	affinityEntries int // size of affinityOrders, in entries
}

// affinityOrder is the order of a list's engines by their affinity for one table group.
type affinityOrder struct {
	uses  int     // searches for the group
	order []int32 // indexes of the engines, most affinity first; nil: not made yet
}

const (
	// minQueuedForList is the number of queued queries from which a list of the engines that may have
	// capacity is made: it pays only if several queries use it in one step.
	minQueuedForList = 4
	// minEnginesForAffinityOrder is the number of engines from which an order by affinity is made.
	minEnginesForAffinityOrder = 64
	// minUsesForAffinityOrder is how many searches for a table group come before an order is made for
	// it.
	minUsesForAffinityOrder = 8
	// maxAffinityEntries is the size of affinityOrders, in entries of 4 bytes, above which all are
	// dropped.
	maxAffinityEntries = 200000
	// affinityEntriesPerGroup is what a table group counts for without its order. Clients can name any
	// number of groups that don't exist, so the mere count of searches must be limited too.
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

// knownWithoutCapacity reports whether a search of this step has found that no engine of the list has capacity
// for a class.
func (r *Router) knownWithoutCapacity(list *candidateList, class *queryClass) bool {
	return class.index < len(list.noCapacityAtStep) && list.noCapacityAtStep[class.index] == r.stepCount
}

// markWithoutCapacity remembers for this step that no engine of the list has capacity for a class.
func (r *Router) markWithoutCapacity(list *candidateList, class *queryClass) {
	if list.noCapacityAtStep == nil {
		list.noCapacityAtStep = make([]uint64, len(r.classes))
	}
	list.noCapacityAtStep[class.index] = r.stepCount
}

// knownWithoutCapacityFor reports whether searches of this step have found that no engine at all has capacity
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

// unrestricted reports whether nothing but its class and table group limits the engines of q: only
// then does a search in vain for q say something about other queries. A query with an estimate
// above the usual may be too large for a warming engine that takes others.
func (r *Router) unrestricted(q *query) bool {
	if r.search.warmingEngines > 0 && q.uncappedEstimate > q.class.meanWork(r.now) {
		return false
	}
	if q.kinds != nil || q.zones != nil {
		return false
	}
	return q.unresolved == nil || q.class.Effect == Idempotent
}

// affinityOrderOf is the order of a list's engines by their affinity for a table group; nil: there
// are too few engines, or searches for the group, for an order to be cached.
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

// orderByAffinity returns the indexes of engines by their affinity for a table group, most first.
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
