package router

import (
	"cmp"
	"slices"
)

// candidateList is a list of engines that may have room, kept for the step in which it was made: room only
// shrinks while held commands are let go. none are the profiles for which none has, by number. It also
// keeps in which order table groups lean to the engines, as long as these are the same.
type candidateList struct {
	step       uint64
	engines    []*engine
	fullAtStep []uint64

	topology       int // by which the orders were made
	affinityOrders map[*tableGroup]*affinityOrder
	entries        int
}

// minQueuedForList is how many commands must be held for a list to be worth making.
const minQueuedForList = 4

// withCapacity narrows engines to those that may have room, where the list will be used again in this step.
func (r *Router) withCapacity(s *candidateList, engines []*engine, fill, part float64) []*engine {
	if r.queue.length < minQueuedForList {
		return engines
	}
	if s.step != r.stepCount {
		s.step, s.engines = r.stepCount, s.engines[:0]
		for _, e := range engines {
			if r.mayHaveCapacity(e, fill, part) {
				s.engines = append(s.engines, e)
			}
		}
	}
	return s.engines
}

// knownFull tells whether it is known of this step that no engine has room for a profile.
func (r *Router) knownFull(s *candidateList, class *queryClass) bool {
	return class.index < len(s.fullAtStep) && s.fullAtStep[class.index] == r.stepCount
}

func (r *Router) markFull(s *candidateList, class *queryClass) {
	if s.fullAtStep == nil {
		s.fullAtStep = make([]uint64, len(r.classes))
	}
	s.fullAtStep[class.index] = r.stepCount
}

// knownFullFor tells that it is known of this step that no engine has room for c.
func (r *Router) knownFullFor(q *query) bool {
	if !r.knownFull(&r.search.candidates, q.class) {
		return false
	}
	for k, pool := range q.tables.pools {
		if pool != nil && permits(q.class.Kinds, KindID(k)) && !r.knownFull(&pool.candidates, q.class) {
			return false
		}
	}
	return true
}

// unrestricted tells that nothing but its profile and table group narrows where c may go: no estimate that
// makes it more than its profile's others to a cold engine.
func (r *Router) unrestricted(q *query) bool {
	return (r.search.warmingEngines == 0 || q.uncappedEstimate <= q.class.usualWork(r.now)) && q.kinds == nil && q.zones == nil && (q.unresolved == nil || q.class.Effect == Idempotent)
}

// affinityOrder are the places of engines, the most liked first, once a group has been looked for often
// enough.
type affinityOrder struct {
	uses   int
	places []int32
}

const (
	minEnginesForAffinityOrder = 64     // engines for which an order is worth making,
	minUsesForAffinityOrder    = 8      // for a table group that is looked for so often
	maxAffinityEntries         = 200000 // entries that a list keeps: under two megabytes; any stranger may name a group, so
	// that it was looked for weighs as what its books take
	affinityEntriesPerGroup = 64
)

// affinityOrderOf is the order in which a table group leans to engines; nil: none is worth keeping.
func (r *Router) affinityOrderOf(s *candidateList, g *tableGroup, engines []*engine) []int32 {
	if len(engines) < minEnginesForAffinityOrder {
		return nil
	}
	if s.topology != r.topologyVersion || s.affinityOrders == nil || s.entries > maxAffinityEntries {
		s.topology, s.affinityOrders, s.entries = r.topologyVersion, map[*tableGroup]*affinityOrder{}, 0
	}
	l := s.affinityOrders[g]
	if l == nil {
		l = &affinityOrder{}
		s.affinityOrders[g] = l
		s.entries += affinityEntriesPerGroup
	}
	if l.uses++; l.uses < minUsesForAffinityOrder {
		return nil
	}
	if l.places == nil {
		for i := range engines {
			l.places = append(l.places, int32(i))
		}
		slices.SortFunc(l.places, func(a, b int32) int {
			return cmp.Compare(rendezvousAffinity(g, engines[b]), rendezvousAffinity(g, engines[a]))
		})
		s.entries += len(engines)
	}
	return l.places
}
